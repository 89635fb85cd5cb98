// Package edge runs the access node on the platform: listener, connections, command channel, signals, clock,
// resource limits and log around the core in internal/edge/access. It makes no routing decisions.
package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/admission"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/settings"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

// clockStart is the node's clock at the start of the process. It is not zero because zero means "long ago" to
// the decision module, and call servers may have started before the node.
const clockStart = time.Hour

// After SIGTERM, the time during which calls are still accepted, and the limits on when the last answer is
// sent. The platform sends SIGKILL no sooner than the longest deadline (at most 3 s) plus 0.7 s after SIGTERM.
const (
	stopAcceptPeriod = 900 * time.Millisecond
	stopMargin       = 350 * time.Millisecond
	maxStopDeadline  = 3 * time.Second
)

// After SIGHUP, how often and for how long an invalid configuration is read again. Updates of the new command
// channel count as received 4 s after the signal.
const (
	reloadRetryInterval = 50 * time.Millisecond
	reloadRetryPeriod   = 4 * time.Second
)

type eventKind uint8

const (
	callerAccepted eventKind = iota
	callerRead
	trunkRead
	trunkDialed
	listReceived
	writeFinished
)

// loopEvent is a message from a goroutine to the event loop.
type loopEvent struct {
	kind           eventKind
	sock           *socket
	conn           *net.TCPConn  // for callerAccepted and trunkDialed
	id             access.ConnID // for trunkDialed
	receivedAt     time.Duration
	callerMessages []*sip.Message
	trunkMessages  []*trunk.Message
	hasBytes       bool  // bytes have been received, which need not complete a message
	isPartial      bool  // an incomplete message has been received
	protocolErr    error // the input cannot be parsed
	connErr        error // the connection has ended, or the dial or write has failed
	list           *feed.List
	listApplied    chan struct{} // closed once the node has applied the list
	eventNumber    uint64        // number of the command channel event with the list
}

// sharedState is shared by all goroutines of the node.
type sharedState struct {
	events      chan loopEvent
	done        chan struct{}
	startedAt   time.Time
	log         *slog.Logger
	socketCount atomic.Int64
}

func (s *sharedState) clock() time.Duration { return clockStart + time.Since(s.startedAt) }

// post sends an event to the loop. It returns false if the loop has ended.
func (s *sharedState) post(event loopEvent) bool {
	select {
	case s.events <- event:
		return true
	case <-s.done:
		return false
	}
}

// NotifySignals starts to receive the signals that Serve handles.
func NotifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Load reads and validates the configuration file.
func Load(path string) (*settings.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration named by EDGE_CONFIG: %w", err)
	}
	cfg, err := settings.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, nil
}

// eventLoop is the state of the event loop.
type eventLoop struct {
	*sharedState
	cfg           *settings.Config
	path          string
	node          *access.Node
	sockets       map[access.ConnID]*socket
	wantedDials   map[access.ConnID]bool // dials in progress; false: the connection is no longer wanted
	unflushed     []*socket              // with unsent bytes or to be closed at the end of the turn
	maxSockets    int64                  // limit on open connections of all kinds
	cursor        *feed.Cursor           // used only by the command channel's goroutine
	lastListEvent uint64                 // number of the last event with a server list
	channelAddr   string
	stopFeed      context.CancelFunc // stops the command channel's goroutine
	feedStopped   chan struct{}      // closed when that goroutine has ended
	stats         loopStats

	reloadRetry      <-chan time.Time // fires when an invalid configuration is to be read again
	reloadRetryUntil time.Duration
}

// Serve runs the access node until a signal stops it. It returns nil after all accepted calls are answered.
func Serve(cfg *settings.Config, path string, log *slog.Logger, signals <-chan os.Signal) error {
	applyLimits(cfg.Limits)
	state := &sharedState{events: make(chan loopEvent, 1024), done: make(chan struct{}), startedAt: time.Now(), log: log}
	defer close(state.done)
	loop := &eventLoop{sharedState: state, cfg: cfg, path: path, sockets: map[access.ConnID]*socket{},
		wantedDials: map[access.ConnID]bool{}, channelAddr: cfg.ChannelAddr, cursor: &feed.Cursor{Last: cfg.Cursor}}
	descriptors := cfg.Limits.MaxSockets
	if descriptors == 0 {
		descriptors = 1024
	}
	maxCallerConns, maxSockets := admission.ConnLimits(descriptors)
	loop.maxSockets = int64(maxSockets)
	node, err := access.New(access.Config{Module: cfg.Module, Edge: cfg.Edge, Seed: cfg.Seed, MaxCallerConns: maxCallerConns,
		MaxTrunksPerServer: 4, MaxTrunks: maxSockets - maxCallerConns, MaxAdoptedCalls: admission.MaxAdoptedCalls(cfg.Limits.MemoryBytes),
		ClockZeroUnixMilli: state.startedAt.Add(-clockStart).UnixMilli(), HasCallerClosed: loop.hasCallerClosed,
		HasUnreadInput: loop.hasUnreadInput}, state.clock())
	if err != nil {
		return err
	}
	loop.node = node
	for i, raw := range cfg.KnownEvents {
		event, err := feed.ParseEvent(raw)
		if err != nil {
			return fmt.Errorf("configuration %s: known event %d: %w", path, i, err)
		}
		if event.List != nil {
			node.UpdateServers(state.clock(), event.List, i == 0)
		}
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return fmt.Errorf("listening for callers on %s: %w; must be a free address of this machine", cfg.Listen, err)
	}
	defer listener.Close()
	go loop.accept(listener)
	loop.startFeed()
	defer func() { loop.stopFeed() }()
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen.String(), "channel", cfg.ChannelAddr, "cursor", cfg.Cursor,
		"classes", cfg.Module.Classes, "release_guard", cfg.Module.ReleaseGuard.String(), "retransmit", cfg.Module.Retransmit.String(),
		"ramp", cfg.Module.RampTime.String(), "instances", cfg.Module.FleetSize, "report", cfg.Module.ReportFields,
		"memory_mb", cfg.Limits.MemoryBytes>>20, "sockets", cfg.Limits.MaxSockets, "cores", cfg.Limits.Cores)
	loop.run(signals)
	return nil
}

// hasCallerClosed reports whether a caller has closed its connection.
func (el *eventLoop) hasCallerClosed(conn access.ConnID) bool {
	sock := el.sockets[conn]
	return sock != nil && sock.hasPeerClosed()
}

// hasUnreadInput reports whether a caller has sent bytes that the node has not handled.
func (el *eventLoop) hasUnreadInput(conn access.ConnID) bool {
	sock := el.sockets[conn]
	return sock != nil && sock.hasUnreadInput()
}

// applyLimits applies the resource limits of the platform to the process.
func applyLimits(limits settings.Limits) {
	if limits.Cores > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	}
	if limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(limits.MemoryBytes * 6 / 10)
	}
	debug.SetGCPercent(50)
}

// startFeed starts the goroutine that reads the command channel.
func (el *eventLoop) startFeed() {
	ctx, cancel := context.WithCancel(context.Background())
	el.stopFeed, el.feedStopped = cancel, make(chan struct{})
	go func(addr string, cursor *feed.Cursor, stopped chan struct{}) {
		defer close(stopped)
		el.followFeed(ctx, addr, cursor)
	}(el.channelAddr, el.cursor, el.feedStopped)
}

// reload reads the configuration again and switches to its command channel. Calls are not affected. An invalid
// file may be half written, so it is read again for as long as updates of the old channel may still arrive.
func (el *eventLoop) reload() {
	cfg, err := Load(el.path)
	if err != nil {
		el.log.Error("reload: keeping the previous configuration", "cause", err.Error())
		if now := el.clock(); now < el.reloadRetryUntil {
			el.reloadRetry = time.After(reloadRetryInterval)
		}
		return
	}
	el.log.Info("reload", "channel", cfg.ChannelAddr, "cursor", el.lastListEvent)
	el.reloadRetry = nil
	el.channelAddr = cfg.ChannelAddr
	el.stopFeed()
	previousStopped := el.feedStopped
	ctx, cancel := context.WithCancel(context.Background())
	el.stopFeed, el.feedStopped = cancel, make(chan struct{})
	go func(addr string, stopped chan struct{}) { // only one of the two goroutines uses the cursor at a time
		defer close(stopped)
		<-previousStopped
		el.followFeed(ctx, addr, el.cursor)
	}(el.channelAddr, el.feedStopped)
}

// accept accepts connections from callers until the listener is closed.
func (el *eventLoop) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors: connections wait in the kernel's queue
			continue
		}
		_ = conn.SetKeepAlive(false)
		if !el.waitForSocket() {
			conn.Close()
			continue
		}
		if !el.post(loopEvent{kind: callerAccepted, conn: conn}) {
			conn.Close()
			return
		}
	}
}

// waitForSocket counts one more socket. At the limit it waits for the event loop to close others, so that a request that has
// arrived on the new connection is not lost with it. It returns false if none was closed in time.
func (el *eventLoop) waitForSocket() bool {
	for deadline := time.Now().Add(admission.MaxAcceptWait); ; time.Sleep(admission.AcceptRetryInterval) {
		if el.socketCount.Add(1) <= el.maxSockets {
			return true
		}
		el.socketCount.Add(-1)
		if time.Now().After(deadline) {
			return false
		}
	}
}

// run is the event loop, the only goroutine that uses the node.
func (el *eventLoop) run(signals <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	statusTicker := time.NewTicker(time.Second)
	defer statusTicker.Stop()
	var batch []loopEvent
	var stopStarted time.Duration
	el.execute()
	for {
		if next, ok := el.node.NextTimer(); ok {
			timer.Reset(max(0, next-el.clock()))
		}
		batch = batch[:0]
		var stopPoll <-chan time.Time
		if stopStarted > 0 {
			stopPoll = time.After(20 * time.Millisecond)
		}
		select {
		case ev := <-el.events:
			batch = append(batch, ev)
		case <-timer.C:
		case <-stopPoll:
		case <-statusTicker.C:
			el.logStatus()
		case <-el.reloadRetry:
			el.reloadRetry = nil
			el.reload()
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				el.reloadRetryUntil = el.clock() + reloadRetryPeriod
				el.reload()
			} else if stopStarted == 0 {
				stopStarted = el.clock()
				maxDeadline := time.Duration(0)
				for _, class := range el.cfg.Module.Classes {
					maxDeadline = max(maxDeadline, class.Deadline)
				}
				el.node.Stop(stopStarted, stopStarted+min(maxDeadline, maxStopDeadline)+stopMargin)
				el.log.Info("stopping", "signal", sig.String(), "open", el.node.OpenCalls())
			}
		}
		turnStarted := el.clock()
	more:
		for len(batch) < 512 {
			select {
			case ev := <-el.events:
				batch = append(batch, ev)
			default:
				break more
			}
		}
		// List updates first: after a stall, draining servers are known before anything is sent.
		for _, ev := range batch {
			if ev.kind == listReceived {
				el.node.UpdateServers(el.clock(), ev.list, false)
				el.lastListEvent = ev.eventNumber
				close(ev.listApplied)
			}
		}
		for i := range batch {
			el.handle(&batch[i])
			batch[i] = loopEvent{}
		}
		el.node.Advance(el.clock())
		el.execute()
		el.stats.record(el.clock() - turnStarted)
		if stopStarted > 0 && el.clock()-stopStarted > stopAcceptPeriod && el.node.OpenCalls() == 0 {
			el.closeAll()
			return
		}
	}
}

// closeAll closes all connections in such a way that peers can still read what was written.
func (el *eventLoop) closeAll() {
	for _, sock := range el.sockets {
		sock.closeConn(false)
	}
	time.Sleep(100 * time.Millisecond)
	el.log.Info("stopped", "clean", true)
}

// startSocket starts reading from a connection. It returns nil if the connection is already broken.
func (el *eventLoop) startSocket(id access.ConnID, conn *net.TCPConn, isTrunk bool) *socket {
	sock, err := newSocket(id, conn, isTrunk)
	if err != nil {
		el.socketCount.Add(-1)
		conn.Close()
		return nil
	}
	el.sockets[id] = sock
	go sock.read(el.sharedState)
	return sock
}

// handle passes an event of a connection to the node. List updates are handled by run.
func (el *eventLoop) handle(event *loopEvent) {
	now := el.clock()
	switch event.kind {
	case callerAccepted:
		sock := el.startSocket(el.node.NewConn(), event.conn, false)
		if sock == nil {
			return
		}
		el.node.CallerOpened(now, sock.id)
	case trunkDialed:
		isWanted := el.wantedDials[event.id]
		delete(el.wantedDials, event.id)
		if event.conn == nil {
			if isWanted {
				el.node.TrunkDialFailed(now, event.id, errors.Is(event.connErr, syscall.ECONNREFUSED))
			}
			return
		}
		if !isWanted {
			el.socketCount.Add(-1)
			event.conn.Close()
			return
		}
		sock := el.startSocket(event.id, event.conn, true)
		if sock == nil {
			el.node.TrunkDialFailed(now, event.id, false)
			return
		}
		el.node.TrunkOpened(now, sock.id)
	case writeFinished:
		el.writeDone(event)
	case callerRead, trunkRead:
		sock := event.sock
		if el.sockets[sock.id] != sock {
			return
		}
		if sock.isTrunk {
			if event.hasBytes {
				el.node.TrunkBytesReceived(now, sock.id)
			}
			for _, msg := range event.trunkMessages {
				el.node.TrunkMessage(el.clock(), sock.id, msg)
			}
			if event.protocolErr != nil {
				el.node.TrunkProtocolError(now, sock.id, event.protocolErr)
			}
			if event.connErr != nil {
				el.node.TrunkClosed(now, sock.id, event.connErr.Error())
			}
		} else {
			for _, msg := range event.callerMessages {
				el.node.CallerMessage(el.clock(), event.receivedAt, sock.id, msg)
			}
			el.node.CallerPartialMessage(now, sock.id, event.isPartial)
			if event.protocolErr != nil {
				el.node.CallerProtocolError(now, sock.id, event.protocolErr)
			}
			if event.connErr != nil {
				el.node.CallerClosed(now, sock.id)
			}
		}
		if event.connErr != nil {
			sock.isClosed.Store(true)
			delete(el.sockets, sock.id)
		}
		select {
		case sock.eventHandled <- struct{}{}:
		default:
		}
	}
}

// execute carries out the effects of the node. Writes to one connection are combined.
func (el *eventLoop) execute() {
	for more := true; more; {
		more = false
		el.node.TakeEffects(func(effect access.Effect) {
			switch effect.Kind {
			case access.EffectWrite:
				if sock := el.sockets[effect.Conn]; sock != nil && !sock.closeAfterFlush {
					if sock.unsent = append(sock.unsent, effect.Bytes...); !sock.isUnflushed {
						sock.isUnflushed, el.unflushed = true, append(el.unflushed, sock)
					}
				}
			case access.EffectClose:
				if _, isDialing := el.wantedDials[effect.Conn]; isDialing {
					el.wantedDials[effect.Conn] = false
				} else if sock := el.sockets[effect.Conn]; sock != nil {
					sock.closeAfterFlush = true
					if !sock.isUnflushed {
						sock.isUnflushed, el.unflushed = true, append(el.unflushed, sock)
					}
				}
			case access.EffectDial:
				el.wantedDials[effect.Conn] = true
				go el.dial(effect.Conn, effect.Addr.String())
			case access.EffectLog:
				el.logEntry(effect.Entry)
			}
		})
		for _, sock := range el.unflushed {
			sock.isUnflushed = false
			more = el.flush(sock) || more
		}
		el.unflushed = el.unflushed[:0]
	}
}

// flush writes the unsent bytes of a connection. It returns true if that produced an event for the node.
func (el *eventLoop) flush(sock *socket) bool {
	if sock.isWriteBlocked || el.sockets[sock.id] != sock {
		if len(sock.unsent) > maxUnsentBytes {
			return el.closeBroken(sock)
		}
		return false
	}
	if len(sock.unsent) > 0 {
		if err := sock.write(); err != nil {
			return el.closeBroken(sock)
		}
	}
	if len(sock.unsent) > 0 {
		if sock.isTrunk { // a call server that does not read: a release that cannot be written must end the connection
			return el.closeBroken(sock)
		}
		sock.isWriteBlocked = true
		go func(data []byte) {
			_ = sock.conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, err := sock.conn.Write(data)
			el.post(loopEvent{kind: writeFinished, sock: sock, connErr: err})
		}(sock.unsent)
		sock.unsent = nil
		return false
	}
	if sock.closeAfterFlush {
		delete(el.sockets, sock.id)
		sock.closeConn(sock.isTrunk || el.socketCount.Load() > el.maxSockets*4/5)
	}
	return false
}

// writeDone handles the end of a write that blocked.
func (el *eventLoop) writeDone(event *loopEvent) {
	sock := event.sock
	sock.isWriteBlocked = false
	if event.connErr != nil {
		el.closeBroken(sock)
		return
	}
	el.flush(sock)
}

// closeBroken closes a connection that cannot be written to.
func (el *eventLoop) closeBroken(sock *socket) bool {
	if el.sockets[sock.id] != sock {
		return false
	}
	delete(el.sockets, sock.id)
	sock.closeConn(true)
	if sock.isTrunk {
		el.node.TrunkClosed(el.clock(), sock.id, "write failed")
	} else {
		el.node.CallerClosed(el.clock(), sock.id)
	}
	return true
}

// dial opens a trunk and reports the result to the loop.
func (el *eventLoop) dial(id access.ConnID, addr string) {
	dialer := net.Dialer{Timeout: el.cfg.Edge.ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", addr)
	event := loopEvent{kind: trunkDialed, id: id, connErr: err}
	if err == nil {
		el.socketCount.Add(1)
		event.conn = conn.(*net.TCPConn)
	}
	if !el.post(event) && err == nil {
		conn.Close()
	}
}
