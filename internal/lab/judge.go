package lab

import (
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"larkrouter/internal/fleet"
)

// The two ends of the way that a share is told of.
const (
	Bottom = "random"
	Top    = "oracle"
)

// divisorLeast is the least that the way from random to the oracle counts: on a day where the two lie closer, a hair's
// breadth would make all the difference.
const divisorLeast = 0.10

// Way is the share of the way from a route at random to the oracle; 1 is the oracle's. Where the bound by the servers'
// work is above the oracle it plays no part: no policy that goes by messages gets there.
func Way(served, random, oracle float64) float64 {
	return 1 - (oracle-served)/max(oracle-random, divisorLeast)
}

// Interval is a mean with its 95 in 100 confidence, half its width.
type Interval struct {
	N              int
	Mean, Dev, Has float64
}

// IntervalOf is that of a sample, by Student's t.
func IntervalOf(x []float64) Interval {
	v := Interval{N: len(x), Has: math.Inf(1)}
	if len(x) == 0 {
		v.Mean = nan
		return v
	}
	v.Mean = stat.Mean(x, nil)
	if len(x) > 1 {
		v.Dev = stat.StdDev(x, nil)
		v.Has = tValue(len(x)-1) * v.Dev / math.Sqrt(float64(len(x)))
	}
	return v
}

func tValue(free int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(free)}.Quantile(0.975)
}

// Needed is how many seeds tell a difference of a size from none, by a sample's deviation, at 95 in 100.
func Needed(dev, size float64) int {
	for n := 2; n < 100_000; n++ {
		if tValue(n-1)*dev/math.Sqrt(float64(n)) <= size {
			return n
		}
	}
	return 100_000
}

// Group are the results of one day with one setting under one policy, by seed.
type Group struct {
	Day, Policy, Version string
	Set                  []string
	Results              []Result
}

// Groups sorts results by day, setting, policy and version.
func Groups(all []Result) []*Group {
	var groups []*Group
	by := map[string]*Group{}
	for _, r := range all {
		key := strings.Join([]string{r.Day, strings.Join(r.Set, " "), r.Policy, r.Version}, "\x00")
		g := by[key]
		if g == nil {
			g = &Group{Day: r.Day, Policy: r.Policy, Version: r.Version, Set: r.Set}
			by[key] = g
			groups = append(groups, g)
		}
		g.Results = append(g.Results, r)
	}
	for _, g := range groups {
		slices.SortFunc(g.Results, func(a, b Result) int { return int(int64(a.Seed) - int64(b.Seed)) })
	}
	return groups
}

// Of is a figure of all results of a group.
func (g *Group) Of(f func(*Result) float64) []float64 {
	var x []float64
	for i := range g.Results {
		x = append(x, f(&g.Results[i]))
	}
	return x
}

// Served is the share served, over the seeds.
func (g *Group) Served() Interval {
	return IntervalOf(g.Of(func(r *Result) float64 { return r.Served }))
}

// Broken is how many rules were broken in all, and servers pushed over.
func (g *Group) Broken() (rules, fallen int) {
	for i := range g.Results {
		rules += g.Results[i].Broken()
		fallen += g.Results[i].Fallen
	}
	return rules, fallen
}

// WayOf is the share of the way, seed by seed, of a group among others of its day and setting; false where the two ends
// were not played.
func WayOf(g *Group, groups []*Group) (Interval, bool) {
	bottom, top := map[uint64]float64{}, map[uint64]float64{}
	for _, o := range groups {
		if o.Day != g.Day || !slices.Equal(o.Set, g.Set) {
			continue
		}
		for i := range o.Results {
			switch o.Policy {
			case Bottom:
				bottom[o.Results[i].Seed] = o.Results[i].Served
			case Top:
				top[o.Results[i].Seed] = o.Results[i].Served
			}
		}
	}
	var x []float64
	for i := range g.Results {
		r := &g.Results[i]
		low, ok := bottom[r.Seed]
		high, also := top[r.Seed]
		if ok && also {
			x = append(x, Way(r.Served, low, high))
		}
	}
	return IntervalOf(x), len(x) > 0
}

// Pair is a comparison of two groups, seed by seed.
type Pair struct {
	Day        string
	Set        []string
	A, B       Interval
	Diff       Interval // B over A
	Seeds      int      // that tell 0.03 apart, in pairs
	SeedsApart int      // and if the seeds were not paired
}

// Compare pairs results by day, setting and seed.
func Compare(a, b []Result) []Pair {
	type key struct {
		day, set string
		seed     uint64
	}
	of := func(r *Result) key { return key{r.Day, strings.Join(r.Set, " "), r.Seed} }
	other := map[key]float64{}
	for i := range b {
		other[of(&b[i])] = b[i].Served
	}
	var pairs []Pair
	for _, g := range Groups(a) {
		var x, y, d []float64
		for i := range g.Results {
			r := &g.Results[i]
			if v, ok := other[of(r)]; ok {
				x, y, d = append(x, r.Served), append(y, v), append(d, v-r.Served)
			}
		}
		if len(d) == 0 {
			continue
		}
		p := Pair{Day: g.Day, Set: g.Set, A: IntervalOf(x), B: IntervalOf(y), Diff: IntervalOf(d)}
		p.Seeds = Needed(p.Diff.Dev, 0.03)
		p.SeedsApart = Needed(math.Hypot(p.A.Dev, p.B.Dev), 0.03)
		pairs = append(pairs, p)
	}
	return pairs
}

// policyRank orders policies in tables: the module, then the baselines from the least up.
func policyRank(p string) int {
	return slices.Index([]string{fleet.Module, Bottom, "first-choice", "least-delay", "token-gate", "window", "loss", Top}, p)
}
