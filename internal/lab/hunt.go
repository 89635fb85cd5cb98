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

// Hunt searches for the days on which the module does worst, or breaks a rule, and cuts them down to what matters.
type Hunt struct {
	Runner
	Ranges
	Seed    uint64
	Budget  int // plays of the search; shrinking takes as many again at the most
	Rules   bool
	Keep    int // days to come back with
	Version string
	Say     func(format string, args ...any)
}

// Find is a day that was found.
type Find struct {
	Day    *day.File
	Seed   uint64
	Why    string // the rule broken, or the way lost
	Loss   float64
	Result Result
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x68756e74)) }

// errBudget ends a search.
var errBudget = errors.New("the budget is used up")

// faultOf says what a result shows against the rules, or "".
func faultOf(r *Result) string {
	for i, v := range r.Rules {
		if v.Breaks > 0 {
			return fmt.Sprintf("rule %d broken", i+1)
		}
	}
	switch {
	case r.Fallen > 0:
		return "rule 4 broken"
	case r.Asserts > 0:
		return "an assert of the node"
	}
	return ""
}

// Run hunts.
func (h *Hunt) Run(ctx context.Context) ([]Find, int, error) {
	if h.Budget < 1 || h.Keep < 1 {
		return nil, 0, fmt.Errorf("hunt: budget %d and %d days: 1 at least of each is right", h.Budget, h.Keep)
	}
	if h.Say == nil {
		h.Say = func(string, ...any) {}
	}
	rng := newRand(h.Seed)
	plays := 0
	var found []Find
	batch := 16
	for plays < h.Budget {
		n := min(batch, h.Budget-plays)
		var specs []Spec
		for i := range n {
			specs = append(specs, Spec{Day: h.Draw(rng, fmt.Sprintf("drawn-%d-%d", h.Seed, plays+i)), Policy: fleet.Module,
				Seed: h.Seed*1000 + uint64(plays+i), Version: h.Version})
		}
		all, err := h.Runner.Run(ctx, specs)
		if err != nil {
			return nil, plays, err
		}
		plays += n
		for i := range all {
			r := &all[i]
			f := Find{Day: specs[i].Day, Seed: specs[i].Seed, Result: *r, Loss: r.Most - r.Served}
			if f.Why = faultOf(r); h.Rules == (f.Why != "") {
				found = append(found, f)
			} else if f.Why != "" {
				h.Say("%s: %s, in passing", r.ID, f.Why)
			}
		}
		if h.Rules && len(found) >= h.Keep {
			break
		}
	}
	slices.SortStableFunc(found, func(a, b Find) int { return cmp.Compare(b.Loss, a.Loss) })
	if !h.Rules {
		var err error
		if found, err = h.against(ctx, found, &plays); err != nil {
			return nil, plays, err
		}
	}
	found = h.apart(found)
	took := make([]int, len(found))
	// One cut after another, all days at once; interrupted, they are as far cut down as they are.
	g, ctx := errgroup.WithContext(ctx)
	for i := range found {
		g.Go(func() error { return h.shrink(ctx, &found[i], &took[i]) })
	}
	if err := g.Wait(); err != nil {
		return found, plays, err
	}
	for i := range found {
		plays += took[i]
		h.Say("%s: %s, %d troubles left", found[i].Day.Name, found[i].Why, len(found[i].Day.Trouble))
	}
	return found, plays, nil
}

// against tells how far from the oracle the worst by the bound truly are, on the way from random.
func (h *Hunt) against(ctx context.Context, found []Find, plays *int) ([]Find, error) {
	found = found[:min(len(found), 4*h.Keep)]
	var ends []Spec
	for i := range found {
		ends = append(ends, h.ends(&found[i])...)
	}
	all, err := h.Runner.Run(ctx, ends)
	*plays += len(ends)
	if err != nil {
		return nil, err
	}
	for i := range found {
		found[i].judged(all[2*i].Served, all[2*i+1].Served)
	}
	slices.SortStableFunc(found, func(a, b Find) int { return cmp.Compare(b.Loss, a.Loss) })
	return found, nil
}

// judge plays a find's day with the two ends of the way: its loss is what the oracle serves more.
func (h *Hunt) judge(ctx context.Context, f *Find, plays *int) error {
	ends, err := h.Runner.Run(ctx, h.ends(f))
	*plays += 2
	if err == nil {
		f.judged(ends[0].Served, ends[1].Served)
	}
	return err
}

// ends are the plays of the two ends of the way on a find's day.
func (h *Hunt) ends(f *Find) []Spec {
	return []Spec{{Day: f.Day, Policy: Bottom, Seed: f.Seed, Version: h.Version}, {Day: f.Day, Policy: Top, Seed: f.Seed, Version: h.Version}}
}

func (f *Find) judged(low, high float64) {
	served := f.Result.Served
	f.Loss = high - served
	f.Why = fmt.Sprintf("random %.3f, module %.3f, oracle %.3f, %.2f of the way", low, served, high, Way(served, low, high))
}

// apart keeps the worst days that have no kind of trouble in common, so that a hunt does not come back with one day many
// times; where there are not enough of them, the worst of the rest.
func (h *Hunt) apart(found []Find) []Find {
	seen := map[string]bool{}
	var kept, rest []Find
	for _, f := range found {
		like := slices.ContainsFunc(f.Day.Trouble, func(t day.Trouble) bool { return seen[t.What] })
		if like || len(kept) == h.Keep {
			rest = append(rest, f)
			continue
		}
		for _, t := range f.Day.Trouble {
			seen[t.What] = true
		}
		kept = append(kept, f)
	}
	return append(kept, rest[:min(len(rest), h.Keep-len(kept))]...)
}

// shrinkMost bounds the plays that cutting one day down may take.
const shrinkMost = 40

// shrink cuts a day down as long as it fails in the same way: the same rule broken, or nine tenths of what the oracle
// serves more still served more.
func (h *Hunt) shrink(ctx context.Context, f *Find, plays *int) error {
	left, wanted := shrinkMost, 0.9*f.Loss
	fails := func(d *day.File) (*Find, error) { // nil: it does not
		if left--; left < 0 {
			return nil, errBudget
		}
		res, err := h.Runner.Run(ctx, []Spec{{Day: d, Policy: fleet.Module, Seed: f.Seed, Version: h.Version}})
		if err != nil {
			return nil, err
		}
		*plays++
		less := &Find{Day: d, Seed: f.Seed, Why: f.Why, Loss: res[0].Most - res[0].Served, Result: res[0]}
		switch {
		case h.Rules && faultOf(&res[0]) == f.Why:
			return less, nil
		case h.Rules, less.Loss < wanted/2: // what is near the bound needs no oracle
			return nil, nil
		}
		if err := h.judge(ctx, less, plays); err != nil || less.Loss < wanted {
			return nil, err
		}
		return less, nil
	}
	for again := true; again; {
		again = false
		for _, cut := range cuts(f.Day) {
			d, err := With(cut, nil) // what can't be read is no day
			if err != nil {
				continue
			}
			less, err := fails(d)
			if errors.Is(err, errBudget) || ctx.Err() != nil {
				return nil // what is left stands as it is
			}
			if err != nil {
				return err
			}
			if less != nil {
				*f, again = *less, true
				break
			}
		}
	}
	return nil
}

// cuts are the ways in which a day may be made less, the greatest first.
func cuts(d *day.File) []*day.File {
	var all []*day.File
	less := func(change func(*day.File)) {
		c := *d
		c.Trouble = slices.Clone(d.Trouble)
		change(&c)
		a, _ := Text(&c)
		if b, _ := Text(d); string(a) != string(b) {
			all = append(all, &c)
		}
	}
	usual := day.Default()
	for i := range d.Trouble {
		less(func(c *day.File) { c.Trouble = slices.Delete(c.Trouble, i, i+1) })
	}
	less(func(c *day.File) { c.Servers = usual.Servers })
	less(func(c *day.File) { c.Callers = usual.Callers })
	less(func(c *day.File) { c.Network = usual.Network })
	less(func(c *day.File) { c.Servers.Work, c.Servers.Speeds = usual.Servers.Work, usual.Servers.Speeds })
	less(func(c *day.File) { c.Servers.ReportEvery, c.Servers.ReportNoise = 0, day.Spread{} })
	less(func(c *day.File) { c.Servers.Silent = false })
	less(func(c *day.File) { c.Servers.SetUpsFirst = false })
	less(func(c *day.File) { c.Servers.Thrash = 0 })
	less(func(c *day.File) { c.Callers.Shape, c.Callers.CV = usual.Callers.Shape, usual.Callers.CV })
	less(func(c *day.File) { c.Callers.Drift, c.Callers.DriftEach = 0, 0 })
	less(func(c *day.File) { c.Callers.Comes = 0 })
	if n := d.Fleet.Nodes; n > 2 {
		less(func(c *day.File) { c.Fleet.Nodes = (n + 1) / 2 })
	}
	if n := d.Fleet.Servers; n > 2 { // with one there would be nothing to decide but whether
		less(func(c *day.File) {
			c.Fleet.Servers, c.Fleet.Rate = n-1, round(c.Fleet.Rate*float64(n-1)/float64(n), 0)
			for i := range c.Trouble {
				c.Trouble[i].Server = min(c.Trouble[i].Server, n-2)
			}
		})
	}
	if d.Fleet.Seconds > 15 {
		less(func(c *day.File) { // troubles stay at their times
			was := c.Fleet.Seconds
			c.Fleet.Seconds = max(15, round(was*0.7, 0))
			for i := range c.Trouble {
				c.Trouble[i].At = min(1, round(c.Trouble[i].At*was/c.Fleet.Seconds, 3))
			}
		})
	}
	for i := range d.Trouble {
		if f := d.Trouble[i].For; time.Duration(f) > time.Second {
			less(func(c *day.File) {
				c.Trouble[i].For = f / 2 / day.Duration(100*time.Millisecond) * day.Duration(100*time.Millisecond)
			})
		}
	}
	return all
}
