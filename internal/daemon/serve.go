package daemon

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
)

// Daemon is a running node with its sockets, store, SNMP agent, control socket and signals.
type Daemon struct {
	file                  atomic.Pointer[config.File] // configuration in force
	path                  string                      // of the configuration file; "" if it was not read from a file
	seed                  uint64
	log                   *slog.Logger
	loop                  *Loop
	node                  *node.Node
	state                 *stateStore // nil without a store; owned by the loop while that runs
	signals               <-chan os.Signal
	cancelWatch           context.CancelFunc  // stops watching the pool file; nil if none is watched
	cancelAgent           context.CancelFunc  // stops the SNMP agent; nil if none runs
	agentDone             chan struct{}       // closed when the SNMP agent has ended
	commands              chan commandRequest // from the control socket
	predecessorActive     atomic.Bool         // the predecessor of an upgrade has not ended yet
	isClosingOldListeners atomic.Bool         // closeRetiredListeners is running
	wg                    sync.WaitGroup
}

// commandRequest is a command from the control socket, executed by the daemon's main goroutine.
type commandRequest struct {
	name string // "reload", "upgrade", "stop"
	done chan error
}

// NotifySignals starts to catch the signals that Serve handles and returns their channel.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR2)
	return signals
}

// Serve runs a node with a configuration until it is stopped. SIGHUP reloads the configuration, SIGUSR2 hands the sockets
// to a new process of the program, and SIGTERM or SIGINT stops the node: it accepts no new calls and waits up to
// calls.stop_wait for the accepted ones to end. A second signal ends it at once. Serve reports whether all calls ended by
// themselves.
func Serve(ctx context.Context, f *config.File, seed uint64, log *slog.Logger, signals <-chan os.Signal) (clean bool, err error) {
	d := &Daemon{path: f.Path, seed: seed, log: log, signals: signals, commands: make(chan commandRequest)}
	d.file.Store(f)
	sockets, err := adoptInherited(f, log)
	if err != nil {
		return false, err
	}
	if sockets.predecessor != nil {
		if err := sockets.predecessor.confirmPrepared(); err != nil { // the predecessor now closes the store and the agent
			return false, err
		}
	}
	if d.state, err = openStateStore(f.Store, log); err != nil {
		return false, err
	}
	cfg := f.NodeConfig(seed)
	cfg.ProcessNonce = rand.Uint64()
	var storedDialogs []node.StoredDialog
	if d.state != nil {
		defer func() { d.state.close() }()
		cfg.EmitJournal, cfg.WallClockMs = true, time.Now().UnixMilli()
		cfg.PersistedServers, storedDialogs = d.state.restore(sockets.predecessor == nil)
		cfg.PersistedState = d.state.loadServerState()
	}
	if d.node, err = node.New(cfg); err != nil {
		return false, err
	}
	d.node.SetStoredDialogs(storedDialogs)
	transportCfg := f.TransportConfig()
	transportCfg.OpenUDP, transportCfg.OpenTCP, transportCfg.DeferReads = sockets.udp, sockets.tcp, sockets.predecessor != nil
	if d.loop, err = NewLoop(transportCfg); err != nil {
		return false, err
	}
	loop := d.loop
	loop.Actor = d.node
	loop.OnNote = func(_ time.Duration, note any) {
		writeLogRecord(log, note)
		if d.state != nil {
			d.state.record(note)
		}
	}
	if d.state != nil {
		d.state.poolList, d.state.serverState = d.node.PersistedList, d.node.PersistedState
	}
	loop.AfterTurn = func() {
		if d.state != nil {
			d.state.flush()
		}
	}
	if sockets.predecessor != nil {
		loop.stack.SendRemote = sockets.predecessor.sendOnConn
	}
	ctx, stop := context.WithCancel(ctx)
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		loop.Run(ctx)
	}()
	defer func() {
		stop()
		<-loopDone
		d.wg.Wait()
	}()
	d.watchPoolFile(ctx, f.Pool)
	if err := d.startAgent(ctx, f); err != nil {
		return false, err
	}
	defer d.stopAgent()
	if f.Control.Socket != "" {
		control, err := d.openControl(f.Control.Socket, sockets.predecessor != nil)
		if err != nil {
			return false, err
		}
		defer control.Close()
	}
	log.Info("serving", "udp", loop.stack.UDPAddr().String(), "tcp", loop.stack.TCPAddr().String(), "fleet_size", f.Fleet.Size,
		"rank", f.Fleet.Rank, "classes", len(f.Classes))
	if sockets.predecessor != nil {
		if err := d.takeOver(ctx, sockets.predecessor); err != nil {
			return false, err
		}
	}
	notifyManager("READY=1")
	defer d.watchdog(ctx)()
	return d.run(ctx)
}

// run executes signals and commands from the control socket until the node stops or has handed over to a new process.
func (d *Daemon) run(ctx context.Context) (clean bool, err error) {
	for {
		command, reply := "", func(error) {}
		select {
		case <-ctx.Done():
			return false, nil
		case request := <-d.commands:
			command, reply = request.name, func(err error) { request.done <- err }
		case received := <-d.signals:
			switch received {
			case syscall.SIGHUP:
				command = "reload"
			case syscall.SIGUSR2:
				command = "upgrade"
			default:
				command = received.String()
			}
		}
		switch command {
		case "reload":
			reply(d.reload(ctx))
		case "upgrade":
			successor, err := d.upgrade(ctx)
			reply(err)
			if err == nil {
				return d.drainForSuccessor(successor), nil
			}
		default:
			d.log.Info("stopping: no new calls", "signal", command, "wait", time.Duration(d.file.Load().Calls.MaxStopWait).String())
			reply(nil)
			notifyManager("STOPPING=1")
			d.loop.PostAndWait(d.node.Drain)
			return d.drainCalls(drainForStop), nil
		}
	}
}

// startAgent starts the SNMP agent if the configuration has one.
func (d *Daemon) startAgent(ctx context.Context, cfg *config.File) error {
	if cfg.SNMP.Listen == "" {
		return nil
	}
	agent, err := NewSNMPAgent(cfg, d.loop, d.node, d.state, d.log)
	if err != nil {
		return err
	}
	ctx, d.cancelAgent = context.WithCancel(ctx)
	done := make(chan struct{})
	d.agentDone = done
	go func() { defer close(done); agent.Run(ctx) }()
	d.log.Info("snmp agent started", "address", agent.Addr().String(), "boots", agent.boots)
	return nil
}

// stopAgent stops the SNMP agent, if it runs, and waits for its end.
func (d *Daemon) stopAgent() {
	if d.cancelAgent != nil {
		d.cancelAgent()
		<-d.agentDone
		d.cancelAgent = nil
	}
}

// watchPoolFile reads the pool file at the configured interval and passes the list to the node whenever the content has changed.
// It replaces an earlier watch.
func (d *Daemon) watchPoolFile(ctx context.Context, cfg config.Pool) {
	if d.cancelWatch != nil {
		d.cancelWatch()
		d.cancelWatch = nil
	}
	if cfg.File == "" {
		return
	}
	ctx, d.cancelWatch = context.WithCancel(ctx)
	loop, routerNode, log := d.loop, d.node, d.log
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		interval := max(time.Duration(cfg.FilePollInterval), 50*time.Millisecond)
		var previous []byte // content of the last read; nil: none yet, or the read failed
		isMissing := false
		for {
			content, err := os.ReadFile(cfg.File)
			if err == nil && (previous == nil || !bytes.Equal(content, previous)) {
				previous, isMissing = content, false
				servers, parseErr := config.ParseServers(cfg.File, content)
				if parseErr != nil {
					log.Error("pool file rejected, the previous list stays in force", "cause", parseErr.Error())
				} else {
					loop.Post(func(now time.Duration) {
						routerNode.ApplyList(now, pool.Document{Version: 1, State: "full", Servers: servers})
					})
				}
			} else if err != nil && !isMissing {
				previous, isMissing = nil, true
				log.Error("reading the pool file failed, the previous list stays in force", "cause", err.Error())
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval):
			}
		}
	}()
}

// writeLogRecord writes a node's record to the log. Attributes without a value are left out.
func writeLogRecord(log *slog.Logger, note any) {
	record, ok := note.(*node.LogRecord)
	if !ok {
		return
	}
	level := slog.Level(record.Level)
	if !log.Enabled(context.Background(), level) {
		return
	}
	attrs := make([]slog.Attr, 0, 10)
	add := func(key string, present bool, v any) {
		if present {
			attrs = append(attrs, slog.Any(key, v))
		}
	}
	add("call", record.Call != 0, record.Call)
	add("session", record.Session != "", record.Session)
	add("class", record.Class != "", record.Class)
	add("server", record.Server != 0, record.Server)
	add("attempt", record.Call != 0, record.Attempt)
	add("outcome", record.Outcome != "", record.Outcome)
	add("status", record.Status != 0, record.Status)
	add("ms", record.Call != 0, float64(record.SetUpTime.Microseconds())/1000)
	add("stood_ms", record.StandingTime != 0, float64(record.StandingTime.Microseconds())/1000)
	add("cut", record.EndedEarly, true)
	add("peer", record.Peer.Addr.IsValid(), record.Peer.String())
	add("cause", record.Cause != "", record.Cause)
	add("skipped", record.Suppressed != 0, record.Suppressed)
	log.LogAttrs(context.Background(), level, record.Event, attrs...)
}

// Describe summarizes a configuration in a few lines, for `larkrouter check`.
func Describe(f *config.File) string {
	source := "configuration"
	switch {
	case f.Pool.ListServer != "":
		source = "list server " + f.Pool.ListServer
	case f.Pool.File != "":
		source = "file " + f.Pool.File
	}
	text := fmt.Sprintf("rank %d of %d nodes (from 0), udp %s, tcp %s, servers from %s\n", f.Fleet.Rank, f.Fleet.Size, orNone(f.Listen.UDP),
		orNone(f.Listen.TCP), source)
	for _, class := range f.Classes {
		text += fmt.Sprintf("class %s: aim %v, try %v, deadline %v, worth %g\n", class.Name, time.Duration(class.Aim),
			time.Duration(class.TryTimeout), time.Duration(class.Deadline), class.Worth)
	}
	return text
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
