package measure

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"larkrouter/internal/daemon"
	"larkrouter/internal/sip"
	"larkrouter/internal/standin"
)

// Fresh is how a node that has just started takes a burst, and how it does once it has warmed.
type Fresh struct {
	Program              string
	Burst, Warm, Fifty   Burst
	Start                time.Duration // from the process's start to the first call that stood
	BurstCalls, WarmOpen int
}

// Burst is what became of some calls.
type Burst struct {
	Calls, Stood, Refused, Late int
	Median, P99                 time.Duration
	Took                        time.Duration
}

// freshAim is the class's aim in these measurements.
const freshAim = time.Second

// RunFresh starts a node beside one idle server that answers in a millisecond, and as soon as it serves lets callers
// place calls one after another, all at once; two seconds later the same again, and then fifty at once.
func RunFresh(ctx context.Context, program string, callers, calls int) (Fresh, error) {
	f := Fresh{Program: program, BurstCalls: calls}
	g := newRig(ctx)
	defer g.end()
	srv, srvAt, err := g.open()
	if err != nil {
		return f, err
	}
	srv.Actor = standin.NewServer(standin.ServerConfig{Seed: 1, Address: srvAt})
	g.run(srv)
	nodeAt, err := daemon.FreeAddress()
	if err != nil {
		return f, err
	}
	text := fmt.Sprintf("[listen]\nudp = %q\n[[class]]\nname = \"voice\"\naim = \"1s\"\ndeadline = \"9s\"\nworth = 1.0\n"+
		"[[server]]\nid = 1\nnumber = 0\naddress = %q\n", nodeAt, srvAt)
	began := time.Now()
	if _, err := g.node(program, text, 2*time.Millisecond); err != nil {
		return f, err
	}
	f.Start = time.Since(began)
	burst := func(callers, calls int) (Burst, error) {
		l, at, err := g.open()
		if err != nil {
			return Burst{}, err
		}
		act := standin.NewLoad(standin.LoadConfig{Seed: uint64(at.Port()), Address: at, To: sip.Peer{Addr: nodeAt}, Callers: callers,
			Calls: calls})
		took, err := g.load(l, act, calls, time.Minute)
		if err != nil {
			return Burst{}, err
		}
		b := Burst{Calls: calls, Stood: act.Stood, Refused: act.Failed, Median: quantile(act, 50), P99: quantile(act, 99),
			Took: took}
		for _, bar := range act.SetUp.Distribution() {
			if bar.From > freshAim.Microseconds() {
				b.Late += int(bar.Count)
			}
		}
		return b, nil
	}
	if f.Burst, err = burst(callers, calls); err != nil {
		return f, err
	}
	time.Sleep(2 * time.Second)
	if f.Warm, err = burst(callers, calls); err != nil {
		return f, err
	}
	f.Fifty, err = burst(50, 5*calls)
	return f, err
}

// PrintFresh writes a table of programs, the first burst of each, then what they do once warm.
func PrintFresh(w io.Writer, all []Fresh) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "program\tserves after\tcalls\tstood\trefused\tlate\tmedian\tp99\ttook\t")
	for _, f := range all {
		for _, b := range []struct {
			what string
			Burst
		}{{"just started", f.Burst}, {"warm", f.Warm}, {"warm, 50 at once", f.Fifty}} {
			fmt.Fprintf(t, "%s, %s\t%v\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t\n", filepath.Base(f.Program), b.what,
				f.Start.Round(time.Millisecond), b.Calls, b.Stood,
				b.Refused, b.Late, b.Median.Round(10*time.Microsecond), b.P99.Round(10*time.Microsecond), b.Took.Round(time.Millisecond))
		}
	}
	return t.Flush()
}
