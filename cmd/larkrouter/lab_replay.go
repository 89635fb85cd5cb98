package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"larkrouter/internal/fleet"
	"larkrouter/internal/lab"
)

type labReplayCmd struct {
	Day     string   `arg:"" help:"A day that comes with the program (${days}), or a path that ends in .toml."`
	Set     []string `sep:"none" help:"key=value, of the day file, as fleet.nodes=8."`
	Seed    uint64   `default:"1" help:"Seed of all chance but that of the machine."`
	Program string   `type:"path" help:"The program; this one if nothing is said."`
	Log     string   `enum:"debug,info,warn,error" default:"warn" help:"Level of the nodes' logs: debug, info, warn or error."`
	Dir     string   `type:"path" help:"Keep the nodes' files here; else they go with the end."`
}

func (c *labReplayCmd) Run() error {
	ctx, stop := interruptible()
	defer stop()
	base, err := readDay(c.Day)
	if err != nil {
		return err
	}
	d, err := lab.With(base, c.Set)
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
	fmt.Printf("loopback sockets: day %s, %d processes of %s, %d servers, %.0f calls a second for %.0f s, seed %d\n", d.Name, d.Fleet.Nodes,
		c.Program, d.Fleet.Servers, d.Fleet.Rate, d.Fleet.Seconds, c.Seed)
	run, end := context.WithCancel(ctx)
	begun := time.Now()
	f, stage, err := fleet.NewProcesses(run, fleet.Options{Day: d, Seed: c.Seed, LogLevel: c.Log,
		Say: func(_ time.Duration, what string) { fmt.Printf("%6.1f s  %s\n", time.Since(begun).Seconds(), what) }}, c.Program, dir)
	if err != nil {
		end()
		return err
	}
	defer stage.Wait()
	defer end()
	defer f.EndProcesses()
	rep := f.Play(ctx)
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rules were not checked to the end")
	}
	if err := f.Print(os.Stdout, rep); err != nil {
		return err
	}
	if rep.Broken() > 0 || f.Fallen() > 0 {
		return errSilent
	}
	return nil
}
