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

type fleetCmd struct {
	Day     string   `default:"bad" help:"A day that comes with the program (${days}), or a path that ends in .toml."`
	Nodes   *int     `help:"Access nodes, in place of the day's."`
	Servers *int     `help:"Call servers."`
	Rate    *float64 `help:"Calls a second of the whole fleet."`
	Load    *float64 `help:"How busy that keeps the servers, all work counted."`
	Seconds *float64 `help:"How long callers dial; the day takes 10 s more."`
	Size    *int     `help:"The fleet's size as the nodes' configuration has it; 0: the truth."`
	Untold  bool     `help:"The list server does not tell the size."`
	Seed    uint64   `default:"1" help:"Seed of all chance."`
	Seeds   int      `default:"1" help:"Play so many days, with seeds from the first on, and print a line for each and their mean."`
	Calm    bool     `help:"Without the day's troubles."`
	Sockets bool     `help:"On loopback sockets, in the time that it takes, in place of virtual time."`
}

// read is the day with what the command line changes.
func (c *fleetCmd) read() (*day.File, error) {
	d, err := readDay(c.Day)
	if err != nil {
		return nil, err
	}
	var set []string
	for _, v := range []struct {
		key  string
		from *int
	}{{"nodes", c.Nodes}, {"servers", c.Servers}, {"size", c.Size}} {
		if v.from != nil {
			set = append(set, fmt.Sprintf("fleet.%s=%d", v.key, *v.from))
		}
	}
	for _, v := range []struct {
		key  string
		from *float64
	}{{"rate", c.Rate}, {"load", c.Load}, {"seconds", c.Seconds}} {
		if v.from != nil {
			set = append(set, fmt.Sprintf("fleet.%s=%g", v.key, *v.from))
		}
	}
	if c.Untold {
		set = append(set, "fleet.tell_size=false")
	}
	if c.Calm {
		d.Trouble = nil
	}
	return lab.With(d, set)
}

func (c *fleetCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	d, err := c.read()
	if err != nil {
		return err
	}
	where := "virtual time"
	if c.Sockets {
		where = "loopback sockets"
	}
	fmt.Printf("%s: day %s, %d nodes, %d servers, %.0f calls a second for %.0f s, load %g, seed %d", where, d.Name, d.Fleet.Nodes,
		d.Fleet.Servers, d.Fleet.Rate, d.Fleet.Seconds, d.Fleet.Load, c.Seed)
	if c.Seeds > 1 {
		fmt.Printf(" to %d\n", c.Seed+uint64(c.Seeds)-1)
		return c.many(ctx, d)
	}
	fmt.Println()
	opt := fleet.Options{Day: d, Seed: c.Seed,
		Say: func(at time.Duration, what string) { fmt.Printf("%6.1f s  %s\n", (at - time.Second).Seconds(), what) }}
	var f *fleet.Fleet
	if c.Sockets {
		run, end := context.WithCancel(ctx)
		var stage *demo.Sockets
		if f, stage, err = fleet.NewSockets(run, opt); err == nil {
			defer stage.Wait()
		}
		defer end()
	} else {
		f, err = fleet.NewVirtual(opt)
	}
	if err != nil {
		return err
	}
	begin, used := time.Now(), cpu()
	rep := f.Play(ctx)
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rules were not checked to the end")
	}
	if err := f.Print(os.Stdout, rep); err != nil {
		return err
	}
	took := time.Since(begin)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	fmt.Fprintf(os.Stderr, "%d records in %.1f s, %.1f virtual seconds a second, %.1f s of CPU, %d MB\n", f.Records, took.Seconds(),
		f.End().Seconds()/took.Seconds(), (cpu() - used).Seconds(), m.Sys>>20)
	if rep.Broken() > 0 || f.Fallen() > 0 {
		return errSilent
	}
	return nil
}

// cpu is what this process has used so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// many plays days side by side over the cores; each is the same as if it were played alone.
func (c *fleetCmd) many(ctx context.Context, d *day.File) error {
	specs := make([]lab.Spec, c.Seeds)
	for i := range specs {
		specs[i] = lab.Spec{Day: d, Policy: fleet.Module, Seed: c.Seed + uint64(i)}
	}
	all, err := (&lab.Runner{}).Run(ctx, specs)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tbroken\tpushed over\tserved\tthe most\t")
	for i := range all {
		r := &all[i]
		fmt.Fprintf(w, "%d\t%d\t%d\t%.3f\t%.3f\t\n", r.Seed, r.Broken(), r.Fallen, r.Served, r.Most)
	}
	g := lab.Groups(all)[0]
	broken, fallen := g.Broken()
	served, most := g.Of(func(r *lab.Result) float64 { return r.Served }), g.Of(func(r *lab.Result) float64 { return r.Most })
	fmt.Fprintf(w, "mean\t%d\t%d\t%s\t%.3f\t\n", broken, fallen, plusMinus(g.Served()), stat.Mean(most, nil))
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("least served %.3f; rules broken %d, servers pushed over %d in %d days\n", slices.Min(served), broken, fallen, len(all))
	if broken+fallen > 0 {
		return errSilent
	}
	return nil
}
