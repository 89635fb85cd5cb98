package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"larkrouter/internal/actor"
	"larkrouter/internal/daemon"
	"larkrouter/internal/demo"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
)

// processes are nodes that run as the program itself does: each a process with a configuration, a store and signals.
type processes struct {
	program string
	dir     string
	mu      sync.Mutex
	cmds    []*exec.Cmd
	ended   []chan struct{}
}

// mostProcesses bounds a fleet of processes: each has its sockets, its store and its threads.
const mostProcesses = 80

// NewProcesses sets a day up on loopback sockets with every node a process of a program, whose files go to a directory.
// The stand-ins are in this process and end with the context; the nodes end with EndProcesses.
func NewProcesses(ctx context.Context, opt Options, program, dir string) (*Fleet, *demo.Sockets, error) {
	f := newFleet(opt)
	f.sampling = 500 * time.Millisecond
	if err := f.onSockets(); err != nil {
		return nil, nil, err
	}
	if opt.Policy != "" && opt.Policy != Module || opt.Break != nil {
		return nil, nil, errors.New("fleet: processes of the program have its own module: no other policy and no planted fault is right")
	}
	if n := f.day.Nodes; n > mostProcesses {
		return nil, nil, fmt.Errorf("fleet: %d nodes as processes: %d at the most are right", n, mostProcesses)
	}
	for i := range f.file.Trouble {
		switch t := f.file.Trouble[i].What; t {
		case "clocks apart":
			return nil, nil, fmt.Errorf("fleet: trouble[%d] (%s): the clocks of this machine are one; without it the day is right", i, t)
		case "upgrade nodes": // the new process is the old one's child, and would be nobody's to end
			return nil, nil, fmt.Errorf("fleet: trouble[%d] (%s): the daemon's own tests play it; without it the day is right", i, t)
		}
	}
	if f.opt.LogLevel == "" {
		f.opt.LogLevel = "warn"
	}
	f.rec = &demo.Recorder{Log: f.note}
	stage := demo.NewSockets(ctx, f.rec)
	f.stage = stage
	f.figures = f.rules(400*time.Millisecond, 150*time.Millisecond)
	n := f.day.Nodes
	f.procs = &processes{program: program, dir: dir, cmds: make([]*exec.Cmd, n), ended: make([]chan struct{}, n)}
	if err := f.set(); err != nil {
		return nil, nil, err
	}
	if err := f.boot(); err != nil {
		f.EndProcesses()
		return nil, nil, err
	}
	return f, stage, nil
}

// freeAddress is one that nobody listens on now, by UDP and TCP.
func freeAddress() (netip.AddrPort, error) {
	l, at, err := daemon.NewLoopback()
	if err != nil {
		return at, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Actor = idle{}
	l.Run(ctx) // it closes its sockets at once
	return at, nil
}

// idle is an actor that does nothing.
type idle struct{}

func (idle) Start(time.Duration)                 {}
func (idle) Receive(time.Duration, sip.Packet)   {}
func (idle) Lost(time.Duration, sip.Peer, error) {}
func (idle) Advance(time.Duration)               {}
func (idle) Next() (time.Duration, bool)         { return 0, false }
func (idle) Take(func(actor.Effect))             {}

// configure writes a node's configuration.
func (f *Fleet) configure(i int) (string, error) {
	cfg := f.nodeConfig(i)
	dur := func(d time.Duration) string { return d.String() }
	var classes []map[string]any
	for _, c := range f.classes {
		classes = append(classes, map[string]any{"name": c.Name, "prefixes": []string{c.Prefix}, "aim": dur(c.Aim), "deadline": dur(c.Deadline),
			"try": dur(c.Try), "worth": c.Worth, "late_share": c.Late})
	}
	s := cfg.Settings
	by := "udp"
	if f.day.ListTCP {
		by = "tcp"
	}
	file := map[string]any{
		"node":   map[string]any{"name": f.nodeName(i), "seed": int64(cfg.Seed >> 1)},
		"listen": map[string]any{"udp": f.nodeAt[i].String(), "tcp": f.nodeAt[i].String()},
		"fleet":  map[string]any{"size": s.Instances, "rank": s.Rank},
		"pool":   map[string]any{"list_server": f.listAt.String(), "transport": by, "expires": "15s"},
		"rules": map[string]any{"tick": dur(s.Tick), "release_guard": dur(s.ReleaseGuard), "retransmit": dur(s.Retransmit),
			"cold_share": s.ColdShare, "ramp_time": dur(s.RampTime), "tip_multiple": s.TipMultiple, "overload_for": dur(s.OverloadFor),
			"max_attempts": s.MaxAttempts, "max_retry_after": dur(s.MaxRetryAfter), "may_cancel": s.MayCancel, "callers_mark_redials": true},
		"calls": map[string]any{"max_open": cfg.MaxCalls, "stop_wait": "10s"},
		"log":   map[string]any{"level": f.opt.LogLevel, "calls": false},
		"store": map[string]any{"dir": filepath.Join(f.procs.dir, f.nodeName(i))},
		"class": classes,
	}
	if len(cfg.Routes) > 0 {
		var routes []map[string]any
		for _, r := range cfg.Routes {
			routes = append(routes, map[string]any{"prefix": r.Prefix, "server": r.Server})
		}
		file["route"] = routes
	}
	b, err := toml.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.procs.dir, f.nodeName(i)+".toml")
	return path, os.WriteFile(path, b, 0o600)
}

// startProcess starts a node and waits until it listens.
func (f *Fleet) startProcess(i int) error {
	path, err := f.configure(i)
	if err != nil {
		return err
	}
	p := f.procs
	name := filepath.Join(p.dir, f.nodeName(i)+".log")
	log, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	cmd := exec.Command(p.program, "serve", "-c", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("fleet: %s serve: %w", p.program, err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmds[i], p.ended[i] = cmd, ended
	p.mu.Unlock()
	go func() { defer close(ended); _ = cmd.Wait() }() // how it ended is for whoever ended it
	for range 500 {
		c, err := net.DialTimeout("tcp", f.nodeAt[i].String(), time.Second)
		if err == nil {
			return c.Close()
		}
		select {
		case <-ended:
			return fmt.Errorf("fleet: %s ended at once; its log is %s", f.nodeName(i), name)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("fleet: %s does not listen on %s after 10 s", f.nodeName(i), f.nodeAt[i])
}

func (p *processes) signal(i int, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmds[i] != nil {
		_ = p.cmds[i].Process.Signal(s) // one that has ended needs none
	}
}

// kill ends a process without a word, and waits for that.
func (p *processes) kill(i int) {
	p.signal(i, syscall.SIGKILL) // one that is stopped ends as well
	if p.ended[i] != nil {
		<-p.ended[i]
	}
}

// EndProcesses kills the nodes that still run, and waits for that. Whoever made a fleet of processes calls it.
func (f *Fleet) EndProcesses() {
	for i := range f.procs.cmds {
		f.procs.kill(i)
	}
}

// stall lets a process stand still for a while.
func (p *processes) stall(i int, d time.Duration) {
	p.signal(i, syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(i, syscall.SIGCONT) })
}

// told is what a list server's NOTIFY tells a node, as a capture has it.
func (f *Fleet) told(now time.Duration, dir actor.Direction, to sip.Peer, m *sip.Message) {
	if dir != actor.Out || m.Method != sip.NOTIFY || len(m.Body) == 0 {
		return
	}
	var d pool.Document
	if json.Unmarshal(m.Body, &d) != nil {
		return
	}
	r := rules.Record{Time: now, Kind: "list", Self: to.Addr.String(), Full: d.State == "full"}
	for _, s := range d.Servers {
		e := rules.ListEntry{Address: s.Address, Phase: s.Phase}
		if s.AgeMs > 0 {
			e.Started = now - time.Duration(s.AgeMs)*time.Millisecond
		}
		r.List = append(r.List, e)
	}
	f.rec.Add(r)
}
