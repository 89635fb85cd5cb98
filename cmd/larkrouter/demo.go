package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"larkrouter/internal/demo"
	"larkrouter/internal/rules"
)

// demoCmd runs a scripted scenario against one node and checks the five call rules (see rules.Names).
type demoCmd struct {
	Seed           uint64  `default:"1" help:"Seed of all random numbers."`
	CallsPerSecond float64 `default:"60" help:"Calls per second before the burst."`
	Seconds        float64 `default:"28" help:"Seconds during which callers dial; the scenario takes 8 s longer."`
	Capture        string  `type:"path" help:"Write each message on the callers' and servers' sockets to this file, one JSON object per line."`
	Virtual        bool    `help:"Simulate in virtual time instead of running on loopback sockets."`
}

func (c *demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var captureFile *os.File
	if c.Capture != "" {
		var err error
		if captureFile, err = os.Create(c.Capture); err != nil {
			return fmt.Errorf("creating the capture file: %w", err)
		}
		defer captureFile.Close()
	}
	recorder := &demo.Recorder{}
	options := demo.Options{Seed: c.Seed, Rate: c.CallsPerSecond, Duration: time.Duration(c.Seconds * float64(time.Second))}
	var scenario *demo.Scenario
	var environment demo.Environment
	options.OnStep = func(at time.Duration, event string) { fmt.Printf("%6.1f s  %s\n", (at - time.Second).Seconds(), event) }
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Tolerances of the rule check; larger on sockets, whose timing varies.
	answerTime, slack := time.Millisecond, time.Millisecond
	var sockets *demo.SocketEnvironment
	if c.Virtual {
		environment = demo.NewVirtualEnvironment(c.Seed, recorder)
	} else {
		sockets = demo.NewSocketEnvironment(runCtx, recorder)
		environment, answerTime, slack = sockets, 200*time.Millisecond, 100*time.Millisecond
	}
	scenario, err := demo.NewScenario(options, environment, recorder)
	if err != nil {
		return err
	}
	fmt.Printf("node %v, three call servers, a list server; %.0f calls per second for %.0f s\n", scenario.NodeParticipant.Addr,
		c.CallsPerSecond,
		c.Seconds)
	if !c.Virtual {
		go showProgress(runCtx, environment, scenario)
	}
	scenario.Run(ctx)
	cancel()
	if sockets != nil {
		sockets.Wait()
	}
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rules were not checked")
	}
	records := recorder.Records()
	if captureFile != nil {
		if err := rules.WriteCapture(captureFile, records); err != nil {
			return err
		}
	}
	report := rules.Check(records, scenario.RuleParameters(answerTime, slack))
	if err := scenario.Print(os.Stdout, report); err != nil {
		return err
	}
	if report.Kept() != 5 {
		return errReported
	}
	return nil
}

// showProgress updates a progress line on standard error every second while the scenario runs, if that is a terminal.
func showProgress(ctx context.Context, environment demo.Environment, scenario *demo.Scenario) {
	if info, err := os.Stderr.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return
	}
	for {
		select {
		case <-ctx.Done():
			fmt.Fprint(os.Stderr, "\r\033[K")
			return
		case <-time.After(time.Second):
		}
		var waiting, standing int
		environment.Do("node", func(time.Duration) { waiting, standing = scenario.Node.OpenCalls() })
		fmt.Fprintf(os.Stderr, "\r\033[K%3.0f of %.0f s  %d calls waiting, %d standing ", (environment.Now() - time.Second).Seconds(),
			scenario.Duration().Seconds(), waiting, standing)
	}
}
