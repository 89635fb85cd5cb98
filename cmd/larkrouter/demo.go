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

type demoCmd struct {
	Seed           uint64  `default:"1" help:"Seed of all chance."`
	CallsPerSecond float64 `default:"60" help:"Calls a second, before the burst."`
	Seconds        float64 `default:"28" help:"How long callers dial; the day takes 8 s more."`
	Capture        string  `type:"path" help:"Write every message seen on the callers' and servers' sockets to this file, a JSON line each."`
	Virtual        bool    `help:"Play in virtual time in place of loopback sockets."`
}

func (c *demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var out *os.File
	if c.Capture != "" {
		var err error
		if out, err = os.Create(c.Capture); err != nil {
			return fmt.Errorf("opening the capture: %w", err)
		}
		defer out.Close()
	}
	rec := &demo.Recorder{}
	opt := demo.Options{Seed: c.Seed, Rate: c.CallsPerSecond, Length: time.Duration(c.Seconds * float64(time.Second))}
	var day *demo.Day
	var stage demo.Stage
	opt.Say = func(at time.Duration, what string) { fmt.Printf("%6.1f s  %s\n", (at - time.Second).Seconds(), what) }
	run, end := context.WithCancel(ctx)
	defer end()
	answer, slack := time.Millisecond, time.Millisecond
	var sockets *demo.Sockets
	if c.Virtual {
		stage = demo.NewVirtual(c.Seed, rec)
	} else {
		sockets = demo.NewSockets(run, rec)
		stage, answer, slack = sockets, 200*time.Millisecond, 100*time.Millisecond
	}
	day, err := demo.New(opt, stage, rec)
	if err != nil {
		return err
	}
	fmt.Printf("node %v, three call servers, a list server; %.0f calls a second for %.0f s\n", day.NodeAt.Addr, c.CallsPerSecond, c.Seconds)
	if !c.Virtual {
		go progress(run, stage, day)
	}
	day.Play(ctx)
	end()
	if sockets != nil {
		sockets.Wait()
	}
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rules were not checked")
	}
	records := rec.Records()
	if out != nil {
		if err := rules.Write(out, records); err != nil {
			return err
		}
	}
	rep := rules.Check(records, day.Figures(answer, slack))
	if err := day.Print(os.Stdout, rep); err != nil {
		return err
	}
	if rep.Kept() != 5 {
		return errSilent
	}
	return nil
}

// progress keeps one line up to date while the day goes on, where somebody may be looking.
func progress(ctx context.Context, stage demo.Stage, day *demo.Day) {
	if st, err := os.Stderr.Stat(); err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return
	}
	for {
		select {
		case <-ctx.Done():
			fmt.Fprint(os.Stderr, "\r\033[K")
			return
		case <-time.After(time.Second):
		}
		var w, s int
		stage.Do("node", func(time.Duration) { w, s = day.Node.Open() })
		fmt.Fprintf(os.Stderr, "\r\033[K%3.0f of %.0f s  %d calls wait, %d stand ", (stage.Now() - time.Second).Seconds(),
			day.End().Seconds(), w, s)
	}
}
