package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
)

// Serve runs a node by its configuration. The first signal stops it without cutting what it has accepted, for as long
// as calls.stop_wait says; a second one ends it at once. It says whether all calls had ended by themselves.
func Serve(ctx context.Context, f *config.File, seed uint64, log *slog.Logger, signals <-chan os.Signal) (clean bool, err error) {
	keep, err := openKeeper(f.Store, log)
	if err != nil {
		return false, err
	}
	cfg := f.NodeConfig(seed)
	var legs []node.StoredLeg
	if keep != nil {
		defer keep.close()
		cfg.Journal = true
		cfg.Cached, legs = keep.earlier()
	}
	n, err := node.New(cfg)
	if err != nil {
		return false, err
	}
	n.ReleaseStored(legs)
	l, err := NewLoop(f.Transport())
	if err != nil {
		return false, err
	}
	l.Actor = n
	l.Note = func(_ time.Duration, note any) { writeNote(log, note) }
	if keep != nil {
		keep.list = n.Kept
		l.Note = func(_ time.Duration, note any) {
			writeNote(log, note)
			keep.note(note)
		}
		l.After = keep.turn
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	defer func() {
		stop()
		<-ended
	}()
	if f.Pool.File != "" {
		go watch(ctx, l, n, f.Pool, log)
	}
	if f.SNMP.Listen != "" {
		s, err := ListenSNMP(f, l, n, keep, log)
		if err != nil {
			return false, err
		}
		agentEnded := make(chan struct{})
		go func() { defer close(agentEnded); s.Run(ctx) }()
		defer func() { stop(); <-agentEnded }()
		log.Info("snmp agent", "address", s.Addr().String(), "boots", s.boots)
	}
	log.Info("serving", "udp", l.stack.UDPAddr().String(), "tcp", l.stack.TCPAddr().String(), "fleet_size", f.Fleet.Size,
		"rank", f.Fleet.Rank, "classes", len(f.Class))
	select {
	case <-ctx.Done():
		return false, nil
	case s := <-signals:
		log.Info("stopping: no new calls", "signal", s.String(), "wait", time.Duration(f.Calls.StopWait).String())
	}
	return settle(l, n, time.Duration(f.Calls.StopWait), log, signals), nil
}

// settle waits for the calls to end, then releases the rest.
func settle(l *Loop, n *node.Node, wait time.Duration, log *slog.Logger, signals <-chan os.Signal) bool {
	l.Call(n.Drain)
	open := func() (waiting, standing int) {
		l.Call(func(time.Duration) { waiting, standing = n.Open() })
		return waiting, standing
	}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	limit := time.After(wait)
	for {
		w, s := open()
		if w+s == 0 {
			l.Call(n.Release) // ends the subscription
			time.Sleep(20 * time.Millisecond)
			log.Info("stopped", "clean", true)
			return true
		}
		select {
		case <-signals:
			log.Warn("stopped at once by a second signal", "unanswered", w, "standing", s)
			return false
		case <-limit:
			log.Warn("releasing what is left", "unanswered", w, "standing", s)
			l.Call(n.Release)
			select { // for the BYEs to be answered
			case <-time.After(time.Second):
			case <-signals:
			}
			log.Info("stopped", "clean", false)
			return false
		case <-tick.C:
		}
	}
}

// watch hands the list file on whenever it changes.
func watch(ctx context.Context, l *Loop, n *node.Node, p config.Pool, log *slog.Logger) {
	every := max(time.Duration(p.FileEvery), 50*time.Millisecond)
	var seen string
	for {
		b, err := os.ReadFile(p.File)
		if err == nil && string(b) != seen {
			seen = string(b)
			servers, bad := config.Servers(p.File, b)
			if bad != nil {
				log.Error("pool file kept out, the list before stays", "cause", bad.Error())
			} else {
				l.Do(func(now time.Duration) {
					n.List(now, pool.Document{Version: 1, State: "full", Servers: servers})
				})
			}
		} else if err != nil && seen != "missing" {
			seen = "missing"
			log.Error("pool file can't be read, the list before stays", "cause", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// Logger makes the log that the configuration asks for. Lines go out in lumps, 50 ms late at the most; flush writes
// what is waiting.
func Logger(f config.Log, out io.Writer) (log *slog.Logger, flush func()) {
	w := newGather(out, 50*time.Millisecond)
	opt := &slog.HandlerOptions{Level: slog.Level(f.NodeLevel())}
	if f.Format == "text" {
		return slog.New(slog.NewTextHandler(w, opt)), w.Flush
	}
	return slog.New(slog.NewJSONHandler(w, opt)), w.Flush
}

func writeNote(log *slog.Logger, note any) {
	r, ok := note.(*node.Record)
	if !ok {
		return
	}
	level := slog.Level(r.Level)
	if !log.Enabled(context.Background(), level) {
		return
	}
	attrs := make([]slog.Attr, 0, 10)
	add := func(key string, given bool, v any) {
		if given {
			attrs = append(attrs, slog.Any(key, v))
		}
	}
	add("call", r.Call != 0, r.Call)
	add("session", r.Session != "", r.Session)
	add("class", r.Class != "", r.Class)
	add("server", r.Server != 0, r.Server)
	add("attempt", r.Call != 0, r.Attempt)
	add("outcome", r.Outcome != "", r.Outcome)
	add("status", r.Status != 0, r.Status)
	add("ms", r.Call != 0, float64(r.Wait.Microseconds())/1000)
	add("stood_ms", r.Stood != 0, float64(r.Stood.Microseconds())/1000)
	add("cut", r.Cut, true)
	add("peer", r.Peer.Addr.IsValid(), r.Peer.String())
	add("cause", r.Cause != "", r.Cause)
	add("skipped", r.Skipped != 0, r.Skipped)
	log.LogAttrs(context.Background(), level, r.Event, attrs...)
}

// Describe says in a few lines what a configuration makes of a node, for `larkrouter check`.
func Describe(f *config.File) string {
	source := "configuration"
	switch {
	case f.Pool.ListServer != "":
		source = "list server " + f.Pool.ListServer
	case f.Pool.File != "":
		source = "file " + f.Pool.File
	}
	s := fmt.Sprintf("node %d of %d, udp %s, tcp %s, servers from %s\n", f.Fleet.Rank, f.Fleet.Size, orNone(f.Listen.UDP),
		orNone(f.Listen.TCP), source)
	for _, c := range f.Class {
		s += fmt.Sprintf("class %s: aim %v, try %v, deadline %v, worth %g\n", c.Name, time.Duration(c.Aim),
			time.Duration(c.Try), time.Duration(c.Deadline), c.Worth)
	}
	return s
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
