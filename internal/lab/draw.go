package lab

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larkrouter/internal/day"
)

// Ranges are what a hunt draws its days from.
type Ranges struct {
	Nodes, Servers [2]int
	Load           [2]float64
	PerServer      float64 // calls a second a server takes when it is busy all the time
	Seconds        float64
	Troubles       [2]int
	Only           []string // kinds of trouble; empty: all that a hunt draws
}

// DefaultRanges are small days: what is found there is cheap to shrink and to understand, and most of it is not a matter
// of size. Larger ones are asked for.
func DefaultRanges() Ranges {
	return Ranges{Nodes: [2]int{3, 24}, Servers: [2]int{2, 6}, Load: [2]float64{0.5, 1.2}, PerServer: 35, Seconds: 40, Troubles: [2]int{1, 4}}
}

// Drawn are the kinds of trouble that a hunt draws: all but lies about the fleet's size, which the rules don't stand
// (docs/fleet.md), and what operators do.
func Drawn() []string {
	return slices.DeleteFunc(day.Kinds(), func(k string) bool { return k == "told sizes" || k == "reload nodes" || k == "upgrade nodes" })
}

// Draw is a day drawn from ranges.
func (r *Ranges) Draw(rng *rand.Rand, name string) *day.File {
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	whole := func(v [2]int) int { return v[0] + rng.IntN(v[1]-v[0]+1) }
	chance := func(p float64) bool { return rng.Float64() < p }
	d := day.Default()
	d.Name, d.About = name, "drawn by a hunt"
	f := &d.Fleet
	f.Nodes, f.Servers, f.Seconds = whole(r.Nodes), whole(r.Servers), r.Seconds
	f.Load = round(between(r.Load[0], r.Load[1]), 2)
	f.Rate = round(f.Load*r.PerServer*float64(f.Servers), 0)
	if chance(0.5) {
		d.Servers.Work = day.Spread{Kind: "gamma", CV: round(between(0.2, 1), 1)}
		d.Servers.Speeds = day.Spread{Kind: "lognormal", CV: round(between(0.05, 0.3), 2)}
	}
	if chance(0.3) {
		d.Servers.ReportEvery = day.Duration(time.Duration(between(1, 9)) * 100 * time.Millisecond)
		d.Servers.ReportNoise = day.Spread{Kind: "lognormal", CV: 0.2}
	}
	d.Servers.Silent = chance(0.2)
	d.Servers.SetUpsFirst = chance(0.3)
	if chance(0.3) {
		d.Servers.Thrash = round(between(0.05, 0.3), 2)
	}
	if chance(0.3) {
		d.Callers.Shape, d.Callers.CV = "bursty", round(between(0.2, 0.6), 1)
	}
	if chance(0.3) {
		d.Callers.Drift, d.Callers.DriftEach = round(between(0.3, 0.7), 1), day.Duration(15*time.Second)
	}
	if chance(0.3) {
		d.Network.Loss = round(between(0.001, 0.02), 3)
	}
	d.Callers.Comes = day.Duration(1500 * time.Millisecond)
	kinds := r.Only
	if len(kinds) == 0 {
		kinds = Drawn()
	}
	for range whole(r.Troubles) {
		d.Trouble = append(d.Trouble, trouble(rng, kinds[rng.IntN(len(kinds))], f))
	}
	return &d
}

// trouble draws one of a kind, with the keys that it needs.
func trouble(rng *rand.Rand, kind string, f *day.Fleet) day.Trouble {
	share := func() float64 { return float64(1+rng.IntN(10)) / 10 }
	secs := func(a, b float64) day.Duration {
		return day.Duration(time.Duration((a+(b-a)*rng.Float64())*10) * 100 * time.Millisecond)
	}
	t := day.Trouble{What: kind, At: float64(rng.IntN(80)) / 100}
	sides := []string{"callers", "nodes", "servers"}
	needs, may := day.Keys(kind)
	for _, key := range append(slices.Clone(needs), may...) {
		switch key {
		case "server":
			t.Server = rng.IntN(f.Servers)
		case "nodes":
			t.Nodes = share()
		case "servers":
			t.Servers = share()
		case "for":
			t.For = secs(1, 12)
		case "down":
			t.Down = secs(0.5, 6)
		case "spread":
			t.Spread = secs(0.1, 8)
		case "wait":
			t.Wait = secs(0.5, 6)
		case "share":
			t.Share = share()
		case "factor":
			t.Factor = round(1.2+2*rng.Float64(), 1)
		case "every":
			t.Every = secs(0.5, 4)
		case "by":
			t.By = secs(0.1, 1)
		case "limit":
			t.Limit = 1 + rng.IntN(4)
		case "as":
			t.As = []string{"draining", "gone"}[rng.IntN(2)]
		case "older":
			t.Older = rng.IntN(2) == 0
		}
	}
	if slices.Contains(needs, "from") || slices.Contains(may, "from") { // between neighbours on the path of a call
		i := rng.IntN(2)
		t.From, t.To = sides[i], sides[i+1]
		if rng.IntN(2) == 0 {
			t.From, t.To = t.To, t.From
		}
	}
	switch kind {
	case "clocks apart", "late list":
		t.By = secs(1, 8)
	case "lose datagrams":
		t.Share /= 3
	case "slow network":
		t.By /= 20
	case "ageing server":
		t.Share, t.By = 0.3, day.Duration(100*time.Millisecond)
	}
	return t
}

func round(x float64, digits int) float64 {
	p := math.Pow10(digits)
	return math.Round(x*p) / p
}
