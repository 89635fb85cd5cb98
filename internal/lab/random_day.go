package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larkrouter/internal/day"
)

// Ranges holds the parameter ranges from which a hunt draws its days.
type Ranges struct {
	Nodes, Servers [2]int
	Load           [2]float64
	ServerCapacity float64 // calls per second that a server handles at full utilization
	Seconds        float64
	Troubles       [2]int
	Kinds          []string // kinds of trouble to draw; empty: all of DrawnKinds
}

// DefaultRanges returns the ranges of small days. A problem found there is cheap to shrink and easy to understand, and
// most problems do not depend on the size. Larger days have to be requested.
func DefaultRanges() Ranges {
	return Ranges{Nodes: [2]int{3, 24}, Servers: [2]int{2, 6}, Load: [2]float64{0.5, 1.2}, ServerCapacity: 35,
		Seconds: 40, Troubles: [2]int{1, 4}}
}

// DrawnKinds returns the kinds of trouble that a hunt draws. Wrong fleet sizes are left out, since the rules do not hold under
// them (docs/fleet.md), and so are the operator actions reload and upgrade.
func DrawnKinds() []string {
	return slices.DeleteFunc(day.TroubleKinds(), func(k string) bool {
		return k == "told sizes" || k == "reload nodes" || k == "upgrade nodes"
	})
}

// Draw returns a random day within the ranges.
func (r *Ranges) Draw(rng *rand.Rand, name string) *day.File {
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	intBetween := func(v [2]int) int { return v[0] + rng.IntN(v[1]-v[0]+1) }
	withProbability := func(p float64) bool { return rng.Float64() < p }
	file := day.Default()
	file.Name, file.About = name, "drawn by a hunt"
	fleet := &file.Fleet
	fleet.Nodes, fleet.Servers, fleet.Seconds = intBetween(r.Nodes), intBetween(r.Servers), r.Seconds
	fleet.Load = round(between(r.Load[0], r.Load[1]), 2)
	fleet.Rate = round(fleet.Load*r.ServerCapacity*float64(fleet.Servers), 0)
	if withProbability(0.5) {
		file.Servers.Work = day.Distribution{Kind: "gamma", CV: round(between(0.2, 1), 1)}
		file.Servers.Speeds = day.Distribution{Kind: "lognormal", CV: round(between(0.05, 0.3), 2)}
	}
	if withProbability(0.3) {
		file.Servers.ReportInterval = day.Duration(time.Duration(between(1, 9)) * 100 * time.Millisecond)
		file.Servers.ReportNoise = day.Distribution{Kind: "lognormal", CV: 0.2}
	}
	file.Servers.HideWait = withProbability(0.2)
	file.Servers.SetUpsFirst = withProbability(0.3)
	if withProbability(0.3) {
		file.Servers.Thrash = round(between(0.05, 0.3), 2)
	}
	if withProbability(0.3) {
		file.Callers.Shape, file.Callers.CV = "bursty", round(between(0.2, 0.6), 1)
	}
	if withProbability(0.3) {
		file.Callers.Drift, file.Callers.DriftEach = round(between(0.3, 0.7), 1), day.Duration(15*time.Second)
	}
	if withProbability(0.3) {
		file.Network.Loss = round(between(0.001, 0.02), 3)
	}
	file.Callers.RedialAfterCut = day.Duration(1500 * time.Millisecond)
	kinds := r.Kinds
	if len(kinds) == 0 {
		kinds = DrawnKinds()
	}
	for range intBetween(r.Troubles) {
		file.Troubles = append(file.Troubles, drawTrouble(rng, kinds[rng.IntN(len(kinds))], fleet))
	}
	return &file
}

// drawTrouble returns a random trouble of a kind, with the keys that the kind takes.
func drawTrouble(rng *rand.Rand, kind string, fleet *day.Fleet) day.Trouble {
	share := func() float64 { return float64(1+rng.IntN(10)) / 10 }
	seconds := func(a, b float64) day.Duration {
		return day.Duration(time.Duration((a+(b-a)*rng.Float64())*10) * 100 * time.Millisecond)
	}
	trouble := day.Trouble{Kind: kind, At: float64(rng.IntN(80)) / 100}
	sides := []string{"callers", "nodes", "servers"}
	required, optional := day.KeysOfKind(kind)
	for _, key := range append(slices.Clone(required), optional...) {
		switch key {
		case "server":
			trouble.Server = rng.IntN(fleet.Servers)
		case "nodes":
			trouble.Nodes = share()
		case "servers":
			trouble.Servers = share()
		case "for":
			trouble.For = seconds(1, 12)
		case "down":
			trouble.Down = seconds(0.5, 6)
		case "spread":
			trouble.Spread = seconds(0.1, 8)
		case "wait":
			trouble.Wait = seconds(0.5, 6)
		case "share":
			trouble.Share = share()
		case "factor":
			trouble.Factor = round(1.2+2*rng.Float64(), 1)
		case "every":
			trouble.Every = seconds(0.5, 4)
		case "by":
			trouble.By = seconds(0.1, 1)
		case "limit":
			trouble.Limit = 1 + rng.IntN(4)
		case "as":
			trouble.As = []string{"draining", "gone"}[rng.IntN(2)]
		case "older":
			trouble.Older = rng.IntN(2) == 0
		}
	}
	if slices.Contains(required, "from") || slices.Contains(optional, "from") { // between adjacent kinds of hosts on the path of a call
		i := rng.IntN(2)
		trouble.From, trouble.To = sides[i], sides[i+1]
		if rng.IntN(2) == 0 {
			trouble.From, trouble.To = trouble.To, trouble.From
		}
	}
	switch kind {
	case "clocks apart", "late list":
		trouble.By = seconds(1, 8)
	case "lose datagrams":
		trouble.Share /= 3
	case "slow network":
		trouble.By /= 20
	case "ageing server":
		trouble.Share, trouble.By = 0.3, day.Duration(100*time.Millisecond)
	}
	return trouble
}

// round rounds to a number of decimal digits.
func round(x float64, digits int) float64 {
	p := math.Pow10(digits)
	return math.Round(x*p) / p
}
