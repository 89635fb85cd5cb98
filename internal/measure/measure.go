// Package measure times the program itself: a node in a process of its own, serving on loopback, with call servers
// that do no work and a steady load. It reports what the operating system charged the node for it.
package measure

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/gosnmp/gosnmp"

	"larkrouter/internal/daemon"
	"larkrouter/internal/sip"
	"larkrouter/internal/standin"
)

// Options of a measurement.
type Options struct {
	Program string  // the larkrouter executable
	TCP     bool    // callers and servers by TCP
	Rate    float64 // calls a second
	Open    int     // calls that stand at once
	Calls   int
	Extra   string // more configuration, TOML
	Walk    bool   // an SNMP manager walks the node's MIB all the time
	Profile string // of the node's CPU, to this file; empty: none
}

const servers = 8

// Result is what was measured.
type Result struct {
	Stood, Failed int
	PerSecond     float64
	CPU           time.Duration // of the node, a call
	Median, P99   time.Duration // set-up through the node
	DirectMedian  time.Duration // set-up without it
	DirectP99     time.Duration
	Resident      int64 // bytes, most seen
	Walks, Rows   int   // of the SNMP manager
}

// Run measures, first straight to a server, then through the node.
func Run(ctx context.Context, o Options) (Result, error) {
	var r Result
	g := newRig(ctx)
	defer g.end()
	tr, word := sip.UDP, "udp"
	if o.TCP {
		tr, word = sip.TCP, "tcp"
	}
	var list strings.Builder
	var first netip.AddrPort
	for i := range servers {
		l, at, err := g.open()
		if err != nil {
			return r, err
		}
		l.Actor = standin.NewServer(standin.ServerConfig{Seed: uint64(i), Address: at})
		g.run(l)
		if i == 0 {
			first = at
		}
		fmt.Fprintf(&list, "[[server]]\nid = %d\nnumber = %d\naddress = %q\ntransport = %q\n", i+1, i, at, word)
	}
	load := func(to netip.AddrPort, calls int) (*standin.Load, time.Duration, error) {
		l, at, err := g.open()
		if err != nil {
			return nil, 0, err
		}
		act := standin.NewLoad(standin.LoadConfig{Seed: uint64(at.Port()), Address: at, To: sip.Peer{Transport: tr, Addr: to}, Rate: o.Rate,
			Hold: time.Duration(float64(o.Open) / o.Rate * float64(time.Second)), Calls: calls})
		took, err := g.load(l, act, calls, time.Duration(float64(calls+o.Open)/o.Rate*float64(time.Second))+90*time.Second)
		return act, took, err
	}
	direct, _, err := load(first, min(o.Calls, 2000))
	if err != nil {
		return r, fmt.Errorf("straight to a server: %w", err)
	}
	r.DirectMedian, r.DirectP99 = quantile(direct, 50), quantile(direct, 99)

	nodeAt, err := daemon.FreeAddress()
	if err != nil {
		return r, err
	}
	var agentAt netip.AddrPort
	if o.Walk {
		if agentAt, err = daemon.FreeAddress(); err != nil {
			return r, err
		}
		o.Extra += fmt.Sprintf("\n[snmp]\nlisten = %q\n[[snmp.community]]\nname = \"measure\"\n", agentAt)
	}
	text := fmt.Sprintf("[listen]\nudp = %q\ntcp = %q\n[log]\nlevel = \"info\"\n[[class]]\nname = \"voice\"\naim = \"1s\"\n"+
		"deadline = \"9s\"\nworth = 1.0\n%s%s",
		nodeAt, nodeAt, list.String(), o.Extra)
	var args []string
	if o.Profile != "" {
		args = append(args, "--cpu-profile", o.Profile)
	}
	n, err := g.node(o.Program, text, 5*time.Millisecond, args...)
	if err != nil {
		return r, err
	}
	if _, _, err := load(nodeAt, min(1000, o.Calls)); err != nil { // warm
		return r, err
	}
	walked := func() {}
	if o.Walk {
		walked = walker(g.ctx, agentAt, &r)
	}
	before, _ := cpu(n.Pid())
	act, took, err := load(nodeAt, o.Calls)
	after, _ := cpu(n.Pid())
	walked()
	if err != nil {
		return r, fmt.Errorf("through the node: %w", err)
	}
	r.Resident = resident(n.Pid())
	r.Stood, r.Failed = act.Stood, act.Failed
	r.PerSecond = float64(o.Calls) / took.Seconds()
	r.CPU = (after - before) / time.Duration(o.Calls)
	r.Median, r.P99 = quantile(act, 50), quantile(act, 99)
	n.Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond) // for the profile
	return r, nil
}

// walker walks an agent again and again until the function that it returns is called.
func walker(ctx context.Context, at netip.AddrPort, r *Result) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g := &gosnmp.GoSNMP{Target: at.Addr().String(), Port: at.Port(), Version: gosnmp.Version2c, Community: "measure",
			Timeout: time.Second, Retries: 1, MaxOids: gosnmp.MaxOids, MaxRepetitions: 25, Context: ctx}
		if g.Connect() != nil {
			return
		}
		defer g.Close()
		for ctx.Err() == nil {
			if g.BulkWalk("1.3", func(gosnmp.SnmpPDU) error { r.Rows++; return nil }) == nil {
				r.Walks++
			}
		}
	}()
	return func() { cancel(); <-done }
}

func quantile(l *standin.Load, q float64) time.Duration {
	return time.Duration(l.SetUp.ValueAtQuantile(q)) * time.Microsecond
}

// cpu is what a process has used so far, user and system (proc(5), clock ticks of 10 ms).
func cpu(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(f))
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	sys, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+sys) * 10 * time.Millisecond, nil
}

// resident is the most memory that a process had (VmHWM).
func resident(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// Print writes the result as a table.
func (r Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "calls stood, failed\t%d, %d\n", r.Stood, r.Failed)
	fmt.Fprintf(t, "calls a second\t%.0f\n", r.PerSecond)
	fmt.Fprintf(t, "CPU of the node a call\t%.3f ms\n", float64(r.CPU.Microseconds())/1000)
	fmt.Fprintf(t, "set-up through the node, median and 99th percentile\t%.2f ms, %.2f ms\n", ms(r.Median), ms(r.P99))
	fmt.Fprintf(t, "set-up without it\t%.2f ms, %.2f ms\n", ms(r.DirectMedian), ms(r.DirectP99))
	fmt.Fprintf(t, "added by the node\t%.2f ms, %.2f ms\n", ms(r.Median-r.DirectMedian), ms(r.P99-r.DirectP99))
	if r.Walks > 0 {
		fmt.Fprintf(t, "walks of the MIB, rows in all\t%d, %d\n", r.Walks, r.Rows)
	}
	fmt.Fprintf(t, "memory of the node at most\t%.1f MB\n", float64(r.Resident)/1e6)
	return t.Flush()
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
