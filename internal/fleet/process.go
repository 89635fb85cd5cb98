package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"larkrouter/internal/actor"
	"larkrouter/internal/demo"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
	"larkrouter/internal/spawn"
)

// processes runs the nodes as the production program does: each is a process with a configuration file and a store, and
// is controlled by signals.
type processes struct {
	program string
	dir     string
	nodes   []*spawn.Process // current or last run of each node; nil: not started
}

// maxProcesses bounds the number of node processes, since each has sockets, a store and threads of its own.
const maxProcesses = 80

// NewProcesses prepares a day on loopback sockets with every node a process of the given program. The nodes' files go to
// dir. The simulated participants run in this process and end with the context; the nodes end with EndProcesses.
func NewProcesses(ctx context.Context, options Options, program, dir string) (*Fleet, *demo.SocketEnvironment, error) {
	f := newFleet(options)
	f.sampleInterval = 500 * time.Millisecond
	if err := f.checkSocketSupport(); err != nil {
		return nil, nil, err
	}
	if options.Policy != "" && options.Policy != Module || options.InjectFault != nil {
		return nil, nil, errors.New("fleet: node processes run the built-in module: other policies and fault injection are not supported")
	}
	if n := f.spec.Nodes; n > maxProcesses {
		return nil, nil, fmt.Errorf("fleet: %d nodes as processes: must be at most %d", n, maxProcesses)
	}
	for i := range f.dayFile.Troubles {
		switch t := f.dayFile.Troubles[i].Kind; t {
		case "clocks apart":
			return nil, nil, fmt.Errorf("fleet: trouble[%d] (%s): processes on one machine share its clock; remove this trouble", i, t)
		case "upgrade nodes": // the new process is a child of the old one, and EndProcesses could not end it
			return nil, nil, fmt.Errorf("fleet: trouble[%d] (%s): not supported with processes, the daemon's tests cover it; remove this trouble",
				i, t)
		}
	}
	if f.options.LogLevel == "" {
		f.options.LogLevel = "warn"
	}
	f.recorder = &demo.Recorder{OnNote: f.onNote}
	environment := demo.NewSocketEnvironment(ctx, f.recorder)
	f.environment = environment
	f.ruleParameters = f.checkerParameters(400*time.Millisecond, 150*time.Millisecond)
	n := f.spec.Nodes
	f.processes = &processes{program: program, dir: dir, nodes: make([]*spawn.Process, n)}
	if err := f.setUp(); err != nil {
		return nil, nil, err
	}
	if err := f.startAll(); err != nil {
		f.EndProcesses()
		return nil, nil, err
	}
	return f, environment, nil
}

// writeConfig writes a node's configuration file and returns its path.
func (f *Fleet) writeConfig(i int) (string, error) {
	config := f.nodeConfig(i)
	format := func(d time.Duration) string { return d.String() }
	var classes []map[string]any
	for _, c := range f.classes {
		classes = append(classes, map[string]any{"name": c.Name, "prefixes": []string{c.Prefix}, "aim": format(c.Aim),
			"deadline": format(c.Deadline), "try": format(c.TryTimeout), "worth": c.Worth, "late_share": c.LateShare})
	}
	settings := config.Settings
	transport := "udp"
	if f.spec.ListTCP {
		transport = "tcp"
	}
	file := map[string]any{
		"node":   map[string]any{"name": f.nodeName(i), "seed": int64(config.Seed >> 1)},
		"listen": map[string]any{"udp": f.nodeAddrs[i].String(), "tcp": f.nodeAddrs[i].String()},
		"fleet":  map[string]any{"size": settings.FleetSize, "rank": settings.Rank},
		"pool":   map[string]any{"list_server": f.listAddr.String(), "transport": transport, "expires": "15s"},
		"rules": map[string]any{"tick": format(settings.Tick), "release_guard": format(settings.ReleaseGuard),
			"retransmit": format(settings.Retransmit), "cold_share": settings.ColdShare, "ramp_time": format(settings.RampTime),
			"tip_multiple": settings.TipMultiple, "overload_for": format(settings.OverloadFor),
			"max_attempts": settings.MaxAttempts, "max_retry_after": format(settings.MaxRetryAfter),
			"may_cancel": settings.MayCancel, "callers_mark_redials": true},
		"calls": map[string]any{"max_open": config.MaxCalls, "stop_wait": "10s"},
		"log":   map[string]any{"level": f.options.LogLevel, "calls": false},
		"store": map[string]any{"dir": filepath.Join(f.processes.dir, f.nodeName(i))},
		"class": classes,
	}
	if len(config.Routes) > 0 {
		var routes []map[string]any
		for _, r := range config.Routes {
			routes = append(routes, map[string]any{"prefix": r.Prefix, "server": r.ServerNumber})
		}
		file["route"] = routes
	}
	b, err := toml.Marshal(file)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.processes.dir, f.nodeName(i)+".toml")
	return path, os.WriteFile(path, b, 0o600)
}

// startProcess starts a node's process and waits until it listens.
func (f *Fleet) startProcess(i int) error {
	path, err := f.writeConfig(i)
	if err != nil {
		return err
	}
	p, err := spawn.Start(f.processes.program, path)
	if err != nil {
		return err
	}
	f.processes.nodes[i] = p
	return p.WaitReady(20*time.Millisecond, func() bool {
		c, err := net.DialTimeout("tcp", f.nodeAddrs[i].String(), time.Second)
		return err == nil && c.Close() == nil
	})
}

// EndProcesses kills the nodes that still run and waits until they have ended. The caller of NewProcesses must call it.
func (f *Fleet) EndProcesses() {
	for _, n := range f.processes.nodes {
		if n != nil {
			n.Kill()
		}
	}
}

// stall suspends a node's process for a time, with SIGSTOP and SIGCONT.
func (p *processes) stall(i int, d time.Duration) {
	n := p.nodes[i]
	n.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { n.Signal(syscall.SIGCONT) })
}

// captureListNotify adds the server list of a NOTIFY that the list server sends to the capture.
func (f *Fleet) captureListNotify(now time.Duration, dir actor.Direction, to sip.Peer, msg *sip.Message) {
	if dir != actor.Out || msg.Method != sip.NOTIFY || len(msg.Body) == 0 {
		return
	}
	var document pool.Document
	if json.Unmarshal(msg.Body, &document) != nil {
		return
	}
	record := rules.Record{Time: now, Kind: "list", Owner: to.Addr.String(), IsFull: document.State == "full"}
	for _, server := range document.Servers {
		entry := rules.ListEntry{Address: server.Address, Phase: server.Phase}
		if server.AgeMs > 0 {
			entry.Started = now - time.Duration(server.AgeMs)*time.Millisecond
		}
		record.List = append(record.List, entry)
	}
	f.recorder.Add(record)
}
