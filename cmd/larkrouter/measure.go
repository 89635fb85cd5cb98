package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"

	"larkrouter/internal/measure"
)

// measureCmd measures a node under a steady load, or with --fresh just after its start.
type measureCmd struct {
	Transport string   `enum:"udp,tcp" default:"udp" help:"Transport of callers and servers: udp or tcp."`
	Rate      float64  `default:"1000" help:"Calls per second."`
	Standing  int      `name:"open" default:"50" help:"Calls that stand at the same time."`
	Calls     int      `default:"20000" help:"Total number of calls; with --fresh at most 1000."`
	Extra     string   `help:"Additional configuration of the node, TOML."`
	Walk      bool     `help:"Walk the node's MIB over SNMP during the measurement."`
	Fresh     bool     `help:"Instead of a steady load, measure a burst at a node that has just started, and again once it is warm."`
	Callers   int      `default:"20" help:"With --fresh: number of concurrent callers."`
	Against   []string `type:"path" help:"With --fresh: other builds of the program, measured in the same run."`
	Profile   string   `type:"path" help:"Write a CPU profile of the node to this file."`
}

func (c *measureCmd) Run() error {
	if c.Rate <= 0 || c.Standing < 0 || c.Calls < 1 {
		return fmt.Errorf("measure: rate %g, open %d, calls %d: the rate must be above 0, open at least 0, and calls at least 1",
			c.Rate, c.Standing, c.Calls)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Fresh {
		return c.runStartup(ctx, self)
	}
	fmt.Printf("%s, %.0f calls/s, %d standing, %d calls, %d processors\n", c.Transport, c.Rate, c.Standing, c.Calls, runtime.NumCPU())
	result, err := measure.Run(ctx, measure.Options{Program: self, TCP: c.Transport == "tcp", Rate: c.Rate, Standing: c.Standing,
		Calls: c.Calls, ExtraConfig: c.Extra, WalkMIB: c.Walk, Profile: c.Profile})
	if err != nil {
		return err
	}
	return result.Print(os.Stdout)
}

// runStartup measures the startup of the builds given by --against and then of this one.
func (c *measureCmd) runStartup(ctx context.Context, self string) error {
	calls := min(c.Calls, 1000)
	fmt.Printf("startup with one idle server: %d concurrent callers, %d calls, %d processors\n", c.Callers, calls, runtime.NumCPU())
	var results []measure.StartupResult
	for _, program := range append(slices.Clone(c.Against), self) {
		result, err := measure.RunStartup(ctx, program, c.Callers, calls)
		if err != nil {
			return fmt.Errorf("%s: %w", program, err)
		}
		results = append(results, result)
	}
	return measure.PrintStartup(os.Stdout, results)
}
