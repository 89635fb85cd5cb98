package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"larkrouter/internal/day"
	"larkrouter/internal/demo"
	"larkrouter/internal/fleet"
	"larkrouter/internal/lab"
)

// fleetCmd simulates a day of a whole fleet and checks the rules over all nodes.
type fleetCmd struct {
	Day      string   `default:"bad" help:"A built-in day (${days}), or the path of a day file that ends in .toml."`
	Nodes    *int     `help:"Number of access nodes, overriding the day's."`
	Servers  *int     `help:"Number of call servers, overriding the day's."`
	Rate     *float64 `help:"Calls per second of the whole fleet, overriding the day's."`
	Load     *float64 `help:"Load of the servers at that rate, as a share of their capacity; all work is counted."`
	Seconds  *float64 `help:"Seconds during which callers dial; the day takes 10 s longer."`
	Size     *int     `help:"Fleet size in the nodes' configuration; 0: the actual number of nodes."`
	HideSize bool     `name:"untold" help:"The list server does not announce the fleet size."`
	Seed     uint64   `default:"1" help:"Seed of all random numbers."`
	Seeds    int      `default:"1" help:"Number of runs, with consecutive seeds; prints a line for each and their mean."`
	NoFaults bool     `name:"calm" help:"Leave out the day's injected faults."`
	Sockets  bool     `help:"Run on loopback sockets in real time instead of virtual time."`
}

// dayWithFlags returns the day with the changes from the command line.
func (c *fleetCmd) dayWithFlags() (*day.File, error) {
	variant, err := readDay(c.Day)
	if err != nil {
		return nil, err
	}
	var settings []string
	for _, override := range []struct {
		key  string
		from *int
	}{{"nodes", c.Nodes}, {"servers", c.Servers}, {"size", c.Size}} {
		if override.from != nil {
			settings = append(settings, fmt.Sprintf("fleet.%s=%d", override.key, *override.from))
		}
	}
	for _, override := range []struct {
		key  string
		from *float64
	}{{"rate", c.Rate}, {"load", c.Load}, {"seconds", c.Seconds}} {
		if override.from != nil {
			settings = append(settings, fmt.Sprintf("fleet.%s=%g", override.key, *override.from))
		}
	}
	if c.HideSize {
		settings = append(settings, "fleet.tell_size=false")
	}
	if c.NoFaults {
		variant.Troubles = nil
	}
	return lab.Override(variant, settings)
}

func (c *fleetCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	variant, err := c.dayWithFlags()
	if err != nil {
		return err
	}
	environment := "virtual time"
	if c.Sockets {
		environment = "loopback sockets"
	}
	fmt.Printf("%s: day %s, %d nodes, %d servers, %.0f calls per second for %.0f s, load %g, seed %d", environment, variant.Name,
		variant.Fleet.Nodes, variant.Fleet.Servers, variant.Fleet.Rate, variant.Fleet.Seconds, variant.Fleet.Load, c.Seed)
	if c.Seeds > 1 {
		fmt.Printf(" to %d\n", c.Seed+uint64(c.Seeds)-1)
		return c.runSeeds(ctx, variant)
	}
	fmt.Println()
	options := fleet.Options{Day: variant, Seed: c.Seed,
		OnStep: func(at time.Duration, event string) { fmt.Printf("%6.1f s  %s\n", (at - time.Second).Seconds(), event) }}
	var simulation *fleet.Fleet
	if c.Sockets {
		runCtx, cancel := context.WithCancel(ctx)
		var sockets *demo.SocketEnvironment
		if simulation, sockets, err = fleet.NewSockets(runCtx, options); err == nil {
			defer sockets.Wait()
		}
		defer cancel()
	} else {
		simulation, err = fleet.NewVirtual(options)
	}
	if err != nil {
		return err
	}
	start, cpuBefore := time.Now(), cpuTime()
	report := simulation.Run(ctx)
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rules were not checked completely")
	}
	if err := simulation.WriteResults(os.Stdout, report); err != nil {
		return err
	}
	elapsed := time.Since(start)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Fprintf(os.Stderr, "%d records in %.1f s, %.1f virtual seconds per second, %.1f s of CPU, %d MB\n", simulation.Records,
		elapsed.Seconds(),
		simulation.Length().Seconds()/elapsed.Seconds(), (cpuTime() - cpuBefore).Seconds(), memory.Sys>>20)
	if report.Broken() > 0 || simulation.CollapsedServers() > 0 {
		return errReported
	}
	return nil
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runSeeds runs the day with consecutive seeds in parallel; each result is the same as that of a separate run.
func (c *fleetCmd) runSeeds(ctx context.Context, variant *day.File) error {
	specs := make([]lab.Spec, c.Seeds)
	for i := range specs {
		specs[i] = lab.Spec{Day: variant, Policy: fleet.Module, Seed: c.Seed + uint64(i)}
	}
	results, err := (&lab.Runner{}).Run(ctx, specs)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "seed\trules broken\tservers collapsed\tserved\tbound\t")
	for i := range results {
		result := &results[i]
		fmt.Fprintf(table, "%d\t%d\t%d\t%.3f\t%.3f\t\n", result.Seed, result.Broken(), result.Collapsed, result.Served, result.Bound)
	}
	group := lab.Groups(results)[0]
	broken, collapsed := group.Failures()
	served, bounds := group.Values(func(result *lab.Result) float64 { return result.Served }),
		group.Values(func(result *lab.Result) float64 { return result.Bound })
	fmt.Fprintf(table, "mean\t%d\t%d\t%s\t%.3f\t\n", broken, collapsed, formatInterval(group.Served()), stat.Mean(bounds, nil))
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Printf("lowest served %.3f; rules broken %d, servers collapsed %d in %d runs\n", slices.Min(served), broken, collapsed,
		len(results))
	if broken+collapsed > 0 {
		return errReported
	}
	return nil
}
