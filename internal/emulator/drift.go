package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Drift says where calls go: how much more one server's numbers are called than another's, and how often that shifts.
type Drift struct {
	CV    float64       // of the shares from server to server
	Every time.Duration // 0: they never shift
}

// Destinations are a drift being played. All callers of a fleet share one: what is called is called everywhere.
type Destinations struct {
	drift Drift
	n     int
	draw  func() float64
	sums  [][]float64 // by span: shares summed up
}

// NewDestinations begins a drift over so many servers.
func NewDestinations(d Drift, n int, s Streams) *Destinations {
	return &Destinations{drift: d, n: n, draw: Spread{Kind: "gamma", CV: d.CV}.Factor(s, "destinations")}
}

// Pick is the server whose numbers a call is for.
func (d *Destinations) Pick(since time.Duration, rng *rand.Rand) int {
	span := 0
	if d.drift.Every > 0 {
		span = int(max(0, since) / d.drift.Every)
	}
	for len(d.sums) <= span {
		sums, sum := make([]float64, d.n), 0.0
		for i := range sums {
			sum += d.draw()
			sums[i] = sum
		}
		d.sums = append(d.sums, sums)
	}
	sums := d.sums[span]
	x := rng.Float64() * sums[d.n-1]
	for i, s := range sums {
		if x < s {
			return i
		}
	}
	return d.n - 1
}

// Number is the number called of a class with a prefix, for a server: the routes that RoutePrefix tells send it there.
func Number(prefix string, server, line int) string {
	return fmt.Sprintf("%s%03d", RoutePrefix(prefix, server), line%1000)
}

// RoutePrefix is what all of a server's numbers of a class begin with.
func RoutePrefix(prefix string, server int) string { return fmt.Sprintf("%s%03d", prefix, server) }
