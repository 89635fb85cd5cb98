package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"larkrouter/internal/day"
	"larkrouter/internal/fleet"
)

// Hunt searches random days for those on which the module serves the least compared with the oracle, or breaks a rule,
// and shrinks them to what is needed to reproduce the result.
type Hunt struct {
	Runner
	Ranges
	Seed           uint64
	Budget         int  // simulation runs of the search; scoring and shrinking need a bounded number in addition
	FindViolations bool // search for days that break a rule instead of the worst served days
	MaxDays        int  // number of days to return
	Version        string
	Logf           func(format string, args ...any)
}

// FoundDay is a day that a hunt has found.
type FoundDay struct {
	Day    *day.File
	Seed   uint64
	Reason string  // the rule that was broken, or the shares that the policies served
	Loss   float64 // share served that was lost against the oracle, or against the upper bound
	Result Result
}

// newRand returns the random stream of a hunt.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x68756e74)) }

// errBudget is returned when a shrink has used up its runs.
var errBudget = errors.New("budget of simulation runs used up")

// violationOf returns which rule a result shows to be broken, or "".
func violationOf(r *Result) string {
	for i, v := range r.Rules {
		if v.Violations > 0 {
			return fmt.Sprintf("rule %d broken", i+1)
		}
	}
	switch {
	case r.Collapsed > 0:
		return "rule 4 broken"
	case r.Asserts > 0:
		return "assertion failed in a node"
	}
	return ""
}

// Run runs the hunt. It returns the days found, the worst first, and the number of simulation runs. If the context ends
// during shrinking, the days are returned as far as they have been shrunk.
func (h *Hunt) Run(ctx context.Context) ([]FoundDay, int, error) {
	if h.Budget < 1 || h.MaxDays < 1 {
		return nil, 0, fmt.Errorf("hunt: budget %d and %d days: both must be at least 1", h.Budget, h.MaxDays)
	}
	if h.Logf == nil {
		h.Logf = func(string, ...any) {}
	}
	rng := newRand(h.Seed)
	runs := 0
	var found []FoundDay
	batch := 16
	for runs < h.Budget {
		n := min(batch, h.Budget-runs)
		var specs []Spec
		for i := range n {
			specs = append(specs, Spec{Day: h.Draw(rng, fmt.Sprintf("drawn-%d-%d", h.Seed, runs+i)), Policy: fleet.Module,
				Seed: h.Seed*1000 + uint64(runs+i), Version: h.Version})
		}
		all, err := h.Runner.Run(ctx, specs)
		if err != nil {
			return nil, runs, err
		}
		runs += n
		for i := range all {
			result := &all[i]
			candidate := FoundDay{Day: specs[i].Day, Seed: specs[i].Seed, Result: *result, Loss: result.Bound - result.Served}
			if candidate.Reason = violationOf(result); h.FindViolations == (candidate.Reason != "") {
				found = append(found, candidate)
			} else if candidate.Reason != "" {
				h.Logf("%s: %s (not searched for)", result.ID, candidate.Reason)
			}
		}
		if h.FindViolations && len(found) >= h.MaxDays {
			break
		}
	}
	slices.SortStableFunc(found, func(a, b FoundDay) int { return cmp.Compare(b.Loss, a.Loss) })
	if !h.FindViolations {
		var err error
		if found, err = h.scoreWorst(ctx, found, &runs); err != nil {
			return nil, runs, err
		}
	}
	found = h.selectDistinct(found)
	shrinkRuns := make([]int, len(found))
	// Shrinks all days concurrently; the steps of each day run in sequence.
	g, ctx := errgroup.WithContext(ctx)
	for i := range found {
		g.Go(func() error { return h.shrink(ctx, &found[i], &shrinkRuns[i]) })
	}
	if err := g.Wait(); err != nil {
		return found, runs, err
	}
	for i := range found {
		runs += shrinkRuns[i]
		h.Logf("%s: %s, %d troubles left", found[i].Day.Name, found[i].Reason, len(found[i].Day.Troubles))
	}
	return found, runs, nil
}

// scoreWorst runs the days with the largest loss against the upper bound under the random and the oracle policy, and
// sorts them by their loss against the oracle.
func (h *Hunt) scoreWorst(ctx context.Context, found []FoundDay, runs *int) ([]FoundDay, error) {
	found = found[:min(len(found), 4*h.MaxDays)]
	var specs []Spec
	for i := range found {
		specs = append(specs, h.referenceSpecs(&found[i])...)
	}
	all, err := h.Runner.Run(ctx, specs)
	*runs += len(specs)
	if err != nil {
		return nil, err
	}
	for i := range found {
		found[i].setScore(all[2*i].Served, all[2*i+1].Served)
	}
	slices.SortStableFunc(found, func(a, b FoundDay) int { return cmp.Compare(b.Loss, a.Loss) })
	return found, nil
}

// scoreDay runs a day under the random and the oracle policy and sets its loss against the oracle.
func (h *Hunt) scoreDay(ctx context.Context, found *FoundDay, runs *int) error {
	references, err := h.Runner.Run(ctx, h.referenceSpecs(found))
	*runs += 2
	if err == nil {
		found.setScore(references[0].Served, references[1].Served)
	}
	return err
}

// referenceSpecs returns the runs of a day under the random and the oracle policy.
func (h *Hunt) referenceSpecs(found *FoundDay) []Spec {
	return []Spec{{Day: found.Day, Policy: RandomPolicy, Seed: found.Seed, Version: h.Version}, {Day: found.Day, Policy: OraclePolicy,
		Seed:    found.Seed,
		Version: h.Version}}
}

// setScore sets the loss and the reason from the shares that the random and the oracle policy served.
func (f *FoundDay) setScore(random, oracle float64) {
	served := f.Result.Served
	f.Loss = oracle - served
	f.Reason = fmt.Sprintf("random %.3f, module %.3f, oracle %.3f, normalized score %.2f", random, served, oracle, NormalizedScore(served,
		random, oracle))
}

// selectDistinct returns the worst days that have no kind of trouble in common, so that a hunt does not return many
// variants of one day. If there are too few of these, it adds the worst of the others.
func (h *Hunt) selectDistinct(found []FoundDay) []FoundDay {
	seenKinds := map[string]bool{}
	var selected, rest []FoundDay
	for _, f := range found {
		overlaps := slices.ContainsFunc(f.Day.Troubles, func(t day.Trouble) bool { return seenKinds[t.Kind] })
		if overlaps || len(selected) == h.MaxDays {
			rest = append(rest, f)
			continue
		}
		for _, t := range f.Day.Troubles {
			seenKinds[t.Kind] = true
		}
		selected = append(selected, f)
	}
	return append(selected, rest[:min(len(rest), h.MaxDays-len(selected))]...)
}

// maxShrinkRuns bounds the module runs for the shrinking of one day.
const maxShrinkRuns = 40

// shrink simplifies a day as long as the result stays as bad: the same rule is broken, or at least nine tenths of the loss
// against the oracle remain.
func (h *Hunt) shrink(ctx context.Context, found *FoundDay, runs *int) error {
	runsLeft, minLoss := maxShrinkRuns, 0.9*found.Loss
	stillFails := func(simplified *day.File) (*FoundDay, error) { // nil: it does not fail
		if runsLeft--; runsLeft < 0 {
			return nil, errBudget
		}
		res, err := h.Runner.Run(ctx, []Spec{{Day: simplified, Policy: fleet.Module, Seed: found.Seed, Version: h.Version}})
		if err != nil {
			return nil, err
		}
		*runs++
		smaller := &FoundDay{Day: simplified, Seed: found.Seed, Reason: found.Reason, Loss: res[0].Bound - res[0].Served, Result: res[0]}
		switch {
		case h.FindViolations && violationOf(&res[0]) == found.Reason:
			return smaller, nil
		case h.FindViolations, smaller.Loss < minLoss/2: // so close to the upper bound that no run of the oracle is needed
			return nil, nil
		}
		if err := h.scoreDay(ctx, smaller, runs); err != nil || smaller.Loss < minLoss {
			return nil, err
		}
		return smaller, nil
	}
	for improved := true; improved; {
		improved = false
		for _, cut := range simplifications(found.Day) {
			simplified, err := Override(cut, nil) // validates the simplified day
			if err != nil {
				continue
			}
			smaller, err := stillFails(simplified)
			if errors.Is(err, errBudget) || ctx.Err() != nil {
				return nil // found stays as far as it has been shrunk
			}
			if err != nil {
				return err
			}
			if smaller != nil {
				*found, improved = *smaller, true
				break
			}
		}
	}
	return nil
}

// simplifications returns the variants of a day that are simpler by one step, the largest steps first.
func simplifications(d *day.File) []*day.File {
	var variants []*day.File
	add := func(change func(*day.File)) {
		variant := *d
		variant.Troubles = slices.Clone(d.Troubles)
		change(&variant)
		a, _ := FormatDay(&variant)
		if b, _ := FormatDay(d); string(a) != string(b) {
			variants = append(variants, &variant)
		}
	}
	defaults := day.Default()
	for i := range d.Troubles {
		add(func(variant *day.File) { variant.Troubles = slices.Delete(variant.Troubles, i, i+1) })
	}
	add(func(variant *day.File) { variant.Servers = defaults.Servers })
	add(func(variant *day.File) { variant.Callers = defaults.Callers })
	add(func(variant *day.File) { variant.Network = defaults.Network })
	add(func(variant *day.File) {
		variant.Servers.Work, variant.Servers.Speeds = defaults.Servers.Work, defaults.Servers.Speeds
	})
	add(func(variant *day.File) {
		variant.Servers.ReportInterval, variant.Servers.ReportNoise = 0, day.Distribution{}
	})
	add(func(variant *day.File) { variant.Servers.HideWait = false })
	add(func(variant *day.File) { variant.Servers.SetUpsFirst = false })
	add(func(variant *day.File) { variant.Servers.Thrash = 0 })
	add(func(variant *day.File) {
		variant.Callers.Shape, variant.Callers.CV = defaults.Callers.Shape, defaults.Callers.CV
	})
	add(func(variant *day.File) { variant.Callers.Drift, variant.Callers.DriftEach = 0, 0 })
	add(func(variant *day.File) { variant.Callers.RedialAfterCut = 0 })
	if count := d.Fleet.Nodes; count > 2 {
		add(func(variant *day.File) { variant.Fleet.Nodes = (count + 1) / 2 })
	}
	if count := d.Fleet.Servers; count > 2 { // with a single server there is no routing decision
		add(func(variant *day.File) {
			variant.Fleet.Servers, variant.Fleet.Rate = count-1, round(variant.Fleet.Rate*float64(count-1)/float64(count), 0)
			for i := range variant.Troubles {
				variant.Troubles[i].Server = min(variant.Troubles[i].Server, count-2)
			}
		})
	}
	if d.Fleet.Seconds > 15 {
		add(func(variant *day.File) { // the troubles keep their absolute times
			oldSeconds := variant.Fleet.Seconds
			variant.Fleet.Seconds = max(15, round(oldSeconds*0.7, 0))
			for i := range variant.Troubles {
				variant.Troubles[i].At = min(1, round(variant.Troubles[i].At*oldSeconds/variant.Fleet.Seconds, 3))
			}
		})
	}
	for i := range d.Troubles {
		if length := d.Troubles[i].For; time.Duration(length) > time.Second {
			add(func(variant *day.File) {
				variant.Troubles[i].For = length / 2 / day.Duration(100*time.Millisecond) * day.Duration(100*time.Millisecond)
			})
		}
	}
	return variants
}
