package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Drift describes how calls are distributed over the servers that their numbers belong to, and how often that
// distribution changes.
type Drift struct {
	CV    float64       // coefficient of variation of the servers' shares
	Every time.Duration // interval between changes; 0: the shares never change
}

// Destinations picks the destination server of each call according to a Drift. All callers of a fleet share one, so
// that a server with a large share has it at every node.
type Destinations struct {
	drift      Drift
	servers    int
	draw       func() float64
	cumulative [][]float64 // by span: cumulative weights of the servers
}

// NewDestinations returns the destinations of a drift over a number of servers.
func NewDestinations(drift Drift, servers int, streams Streams) *Destinations {
	return &Destinations{drift: drift, servers: servers, draw: Distribution{Kind: "gamma", CV: drift.CV}.Factor(streams, "destinations")}
}

// Pick returns the server whose number a call dials, at a time since the start of the day.
func (d *Destinations) Pick(since time.Duration, rng *rand.Rand) int {
	span := 0
	if d.drift.Every > 0 {
		span = int(max(0, since) / d.drift.Every)
	}
	for len(d.cumulative) <= span {
		sums, sum := make([]float64, d.servers), 0.0
		for i := range sums {
			sum += d.draw()
			sums[i] = sum
		}
		d.cumulative = append(d.cumulative, sums)
	}
	sums := d.cumulative[span]
	x := rng.Float64() * sums[d.servers-1]
	for i, s := range sums {
		if x < s {
			return i
		}
	}
	return d.servers - 1
}

// Number returns a called number of a class for a server: the class's prefix, the server and the line, three digits
// each. A route for RoutePrefix of the same class and server matches it.
func Number(prefix string, server, line int) string {
	return fmt.Sprintf("%s%03d", RoutePrefix(prefix, server), line%1000)
}

// RoutePrefix returns the prefix of all of a server's numbers in a class.
func RoutePrefix(prefix string, server int) string { return fmt.Sprintf("%s%03d", prefix, server) }
