package lab

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"larkrouter/internal/fleet"
)

// Reference policies of the normalized score.
const (
	RandomPolicy = "random"
	OraclePolicy = "oracle"
)

// minScoreRange is the min difference between oracle and random in NormalizedScore. If the two are closer, tiny
// differences would dominate the score.
const minScoreRange = 0.10

// NormalizedScore scales a share served so that random routing scores 0 and the oracle scores 1. The upper bound by the
// servers' work may lie above the oracle and has no part in the score, since no policy that depends on messages can
// reach it.
func NormalizedScore(served, random, oracle float64) float64 {
	return 1 - (oracle-served)/max(oracle-random, minScoreRange)
}

// Interval is a sample mean with its 95% confidence interval, which extends HalfWidth to both sides of the mean.
type Interval struct {
	N                       int
	Mean, StdDev, HalfWidth float64
}

// IntervalOf returns the mean and the confidence interval of a sample by Student's t-distribution.
func IntervalOf(sample []float64) Interval {
	interval := Interval{N: len(sample), HalfWidth: math.Inf(1)}
	if len(sample) == 0 {
		interval.Mean = notANumber
		return interval
	}
	interval.Mean = stat.Mean(sample, nil)
	if len(sample) > 1 {
		interval.StdDev = stat.StdDev(sample, nil)
		interval.HalfWidth = studentT975(len(sample)-1) * interval.StdDev / math.Sqrt(float64(len(sample)))
	}
	return interval
}

// studentT975 returns the 97.5% quantile of Student's t-distribution.
func studentT975(degreesOfFreedom int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(degreesOfFreedom)}.Quantile(0.975)
}

// SeedsNeeded returns the number of seeds with which a difference is significant at 95%, given the standard
// deviation of a sample. The result is at most 100,000.
func SeedsNeeded(stdDev, difference float64) int {
	for n := 2; n < 100_000; n++ {
		if studentT975(n-1)*stdDev/math.Sqrt(float64(n)) <= difference {
			return n
		}
	}
	return 100_000
}

// Group holds the results of one day with the same overrides, policy and version, sorted by seed.
type Group struct {
	Day, Policy, Version string
	Overrides            []string
	Results              []Result
}

// Groups groups results by day, overrides, policy and version.
func Groups(all []Result) []*Group {
	var groups []*Group
	byKey := map[string]*Group{}
	for _, r := range all {
		key := strings.Join([]string{r.Day, strings.Join(r.Overrides, " "), r.Policy, r.Version}, "\x00")
		g := byKey[key]
		if g == nil {
			g = &Group{Day: r.Day, Policy: r.Policy, Version: r.Version, Overrides: r.Overrides}
			byKey[key] = g
			groups = append(groups, g)
		}
		g.Results = append(g.Results, r)
	}
	for _, g := range groups {
		slices.SortFunc(g.Results, func(a, b Result) int { return cmp.Compare(a.Seed, b.Seed) })
	}
	return groups
}

// Values returns f of each result of the group.
func (g *Group) Values(f func(*Result) float64) []float64 {
	var values []float64
	for i := range g.Results {
		values = append(values, f(&g.Results[i]))
	}
	return values
}

// Served returns the mean share served over the seeds, with its confidence interval.
func (g *Group) Served() Interval {
	return IntervalOf(g.Values(func(r *Result) float64 { return r.Served }))
}

// Failures returns the total numbers of broken rules and of collapsed servers.
func (g *Group) Failures() (rules, collapsed int) {
	for i := range g.Results {
		rules += g.Results[i].Broken()
		collapsed += g.Results[i].Collapsed
	}
	return rules, collapsed
}

// GroupScore returns the mean normalized score of a group over its seeds, with the results of the reference policies for
// the same day, overrides and seeds taken from groups. It reports false if there are none.
func GroupScore(g *Group, groups []*Group) (Interval, bool) {
	randomServed, oracleServed := map[uint64]float64{}, map[uint64]float64{}
	for _, other := range groups {
		if other.Day != g.Day || !slices.Equal(other.Overrides, g.Overrides) {
			continue
		}
		for i := range other.Results {
			switch other.Policy {
			case RandomPolicy:
				randomServed[other.Results[i].Seed] = other.Results[i].Served
			case OraclePolicy:
				oracleServed[other.Results[i].Seed] = other.Results[i].Served
			}
		}
	}
	var scores []float64
	for i := range g.Results {
		r := &g.Results[i]
		low, okRandom := randomServed[r.Seed]
		high, okOracle := oracleServed[r.Seed]
		if okRandom && okOracle {
			scores = append(scores, NormalizedScore(r.Served, low, high))
		}
	}
	return IntervalOf(scores), len(scores) > 0
}

// Pair is the paired comparison, by seed, of two groups.
type Pair struct {
	Day           string
	Overrides     []string
	First, Second Interval
	Diff          Interval // Second minus First
	SeedsPaired   int      // seeds needed to detect a difference of 0.03 if paired by seed
	SeedsUnpaired int      // seeds needed without pairing
}

// Compare pairs results by day, overrides and seed, and returns one comparison per group of the first side.
func Compare(first, second []Result) []Pair {
	type key struct {
		day, set string
		seed     uint64
	}
	keyOf := func(r *Result) key { return key{r.Day, strings.Join(r.Overrides, " "), r.Seed} }
	secondByKey := map[key]float64{}
	for i := range second {
		secondByKey[keyOf(&second[i])] = second[i].Served
	}
	var pairs []Pair
	for _, g := range Groups(first) {
		var firstServed, secondServed, diffs []float64
		for i := range g.Results {
			r := &g.Results[i]
			if v, ok := secondByKey[keyOf(r)]; ok {
				firstServed, secondServed, diffs = append(firstServed, r.Served), append(secondServed, v), append(diffs, v-r.Served)
			}
		}
		if len(diffs) == 0 {
			continue
		}
		pair := Pair{Day: g.Day, Overrides: g.Overrides, First: IntervalOf(firstServed), Second: IntervalOf(secondServed),
			Diff: IntervalOf(diffs)}
		pair.SeedsPaired = SeedsNeeded(pair.Diff.StdDev, 0.03)
		pair.SeedsUnpaired = SeedsNeeded(math.Hypot(pair.First.StdDev, pair.Second.StdDev), 0.03)
		pairs = append(pairs, pair)
	}
	return pairs
}

// policyOrder returns a policy's position in tables: the module first, then the baselines from the weakest up.
func policyOrder(p string) int {
	return slices.Index([]string{fleet.Module, RandomPolicy, "first-choice", "least-delay", "token-gate", "window", "loss", OraclePolicy}, p)
}
