package lab

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"larkrouter/internal/fleet"
	"larkrouter/internal/rules"
)

var notANumber = math.NaN()

// RunDay simulates one day. The output does not depend on the machine that it runs on.
func RunDay(ctx context.Context, spec Spec, fault fleet.FaultInjector) (*RunOutput, error) {
	text, err := FormatDay(spec.Day)
	if err != nil {
		return nil, err
	}
	output := &RunOutput{}
	classes := spec.Day.Classes()
	for range classes {
		output.SetUpTimes = append(output.SetUpTimes, hdrhistogram.New(1, 60_000_000, 3))
	}
	simulation, err := fleet.NewVirtual(fleet.Options{Day: spec.Day, Seed: spec.Seed, Policy: spec.Policy, InjectFault: fault,
		OnSample: func(x fleet.Sample) { output.Series = append(output.Series, x) },
		OnSetUp: func(class int, d time.Duration) {
			// Can't fail: the value is within the histogram's range.
			_ = output.SetUpTimes[class].RecordValue(min(max(d.Microseconds(), 1), 60_000_000))
		}})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", spec.ID(), err)
	}
	report := simulation.Run(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	fleetSpec := spec.Day.Fleet
	output.Result = Result{ID: spec.ID(), Day: spec.Day.Name, Policy: spec.Policy, Seed: spec.Seed, Version: spec.Version,
		Overrides: spec.Overrides, Nodes: fleetSpec.Nodes, Servers: fleetSpec.Servers, Rate: fleetSpec.Rate,
		Load: fleetSpec.Load, Seconds: fleetSpec.Seconds,
		Served: simulation.Served(), Bound: simulation.MaxServed(), WorstTenSeconds: worstWindow(output.Series, simulation, 10),
		Collapsed: simulation.CollapsedServers(), Asserts: simulation.Asserts, Records: simulation.Records, DayText: string(text)}
	for i, c := range simulation.Counts() {
		output.Classes = append(output.Classes, ClassResult{Name: classes[i].Name, ClassCounts: c,
			P50: milliseconds(output.SetUpTimes[i].ValueAtQuantile(50)), P99: milliseconds(output.SetUpTimes[i].ValueAtQuantile(99))})
	}
	for i, v := range report.Verdicts {
		output.Rules = append(output.Rules, RuleResult{Name: rules.Names[i], Verdict: v.String(), Checks: v.Checks, Violations: v.Violations,
			Examples: v.Examples})
	}
	length := time.Duration(fleetSpec.Seconds * float64(time.Second))
	for i := range spec.Day.Troubles {
		trouble := &spec.Day.Troubles[i]
		output.Troubles = append(output.Troubles, TroubleMark{trouble.StartTime(length).Seconds(), trouble.String()})
	}
	return output, nil
}

// worstWindow returns the smallest share served over any window of a number of seconds: the worth of the calls that stood
// in the window over the worth offered in it.
func worstWindow(series []fleet.Sample, simulation *fleet.Fleet, window int) float64 {
	worst := 1.0
	classes := simulation.Classes()
	for i := window; i <= len(series); i++ {
		var servedWorth, offeredWorth float64
		for _, s := range series[i-window : i] {
			for k, c := range s.Classes {
				servedWorth += classes[k].Worth * (float64(c.InAim) + classes[k].LateShare*float64(c.Late))
				offeredWorth += classes[k].Worth * float64(c.Offered)
			}
		}
		if offeredWorth > 0 && series[i-1].At.Seconds() <= simulation.DialTime().Seconds() {
			worst = min(worst, servedWorth/offeredWorth)
		}
	}
	return worst
}

// Runner runs sets of simulations in parallel.
type Runner struct {
	Dir      string                         // directory where results are stored and existing ones are found; "": none
	Jobs     int                            // max parallel runs; 0: the number of cores
	OnResult func(done, all int, r *Result) // called after each run, if set
	// InjectFault, if set, is injected into every node. NewInjector, if set, returns an injector with state of its own for
	// each run and takes precedence.
	InjectFault fleet.FaultInjector
	NewInjector func() fleet.FaultInjector
}

// Run runs the simulations whose results are not in the directory yet, and returns all results in the order of the specs.
// If the run is interrupted, the results that are already complete remain.
func (r *Runner) Run(ctx context.Context, specs []Spec) ([]Result, error) {
	if r.Dir != "" {
		if err := os.MkdirAll(r.Dir, 0o755); err != nil {
			return nil, fmt.Errorf("results: %w", err)
		}
	}
	jobs := r.Jobs
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	all := make([]Result, len(specs))
	var mu sync.Mutex
	done := 0
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(jobs)
	for i := range specs {
		g.Go(func() error {
			res, err := r.runOne(ctx, specs[i])
			if err != nil {
				return err
			}
			all[i] = *res
			mu.Lock()
			defer mu.Unlock()
			done++
			if r.OnResult != nil {
				r.OnResult(done, len(specs), res)
			}
			return nil
		})
	}
	return all, g.Wait()
}

// runOne returns the stored result of a simulation, or runs it and stores the result.
func (r *Runner) runOne(ctx context.Context, s Spec) (*Result, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if r.Dir != "" {
		if res, err := loadExisting(r.Dir, s.ID()); res != nil || err != nil {
			return res, err
		}
	}
	fault := r.InjectFault
	if r.NewInjector != nil {
		fault = r.NewInjector()
	}
	output, err := RunDay(ctx, s, fault)
	if err != nil {
		return nil, err
	}
	if r.Dir != "" {
		if err := output.write(r.Dir); err != nil {
			return nil, err
		}
	}
	return &output.Result, nil
}
