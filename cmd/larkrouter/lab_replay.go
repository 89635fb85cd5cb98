package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"larkrouter/internal/fleet"
	"larkrouter/internal/lab"
)

// labReplayCmd runs a day in real time on loopback sockets, with a process for each node.
type labReplayCmd struct {
	Day     string   `arg:"" help:"A built-in day (${days}), or the path of a day file that ends in .toml."`
	Set     []string `sep:"none" help:"key=value, overriding a key of the day file, such as fleet.nodes=8."`
	Seed    uint64   `default:"1" help:"Seed of all random numbers; the timing of the machine still varies."`
	Program string   `type:"path" help:"The program to run; the default is this one."`
	Log     string   `enum:"debug,info,warn,error" default:"warn" help:"Level of the nodes' logs: debug, info, warn or error."`
	Dir     string   `type:"path" help:"Directory in which to keep the nodes' files; without it they are removed at the end."`
}

func (c *labReplayCmd) Run() error {
	ctx, stop := signalContext()
	defer stop()
	base, err := readDay(c.Day)
	if err != nil {
		return err
	}
	variant, err := lab.Override(base, c.Set)
	if err != nil {
		return err
	}
	if c.Program == "" {
		if c.Program, err = os.Executable(); err != nil {
			return err
		}
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "larkrouter-replay-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	fmt.Printf("loopback sockets: day %s, %d processes of %s, %d servers, %.0f calls per second for %.0f s, seed %d\n", variant.Name,
		variant.Fleet.Nodes, c.Program, variant.Fleet.Servers, variant.Fleet.Rate, variant.Fleet.Seconds, c.Seed)
	runCtx, cancel := context.WithCancel(ctx)
	start := time.Now()
	simulation, environment, err := fleet.NewProcesses(runCtx, fleet.Options{Day: variant, Seed: c.Seed, LogLevel: c.Log,
		OnStep: func(_ time.Duration, event string) { fmt.Printf("%6.1f s  %s\n", time.Since(start).Seconds(), event) }}, c.Program, dir)
	if err != nil {
		cancel()
		return err
	}
	defer environment.Wait()
	defer cancel()
	defer simulation.EndProcesses()
	report := simulation.Run(ctx)
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rules were not checked completely")
	}
	if err := simulation.WriteResults(os.Stdout, report); err != nil {
		return err
	}
	if report.Broken() > 0 || simulation.CollapsedServers() > 0 {
		return errReported
	}
	return nil
}
