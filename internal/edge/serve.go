// Package edge runs the access node on the platform: listener, connections, command channel, signals, clock,
// resource limits and log around the core in internal/edge/access. It makes no routing decisions.
package edge

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/admission"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/settings"
)

// clockStart is the node's clock at the start of the process. It is not zero because zero means "long ago" to
// the decision module, and call servers may have started before the node.
const clockStart = time.Hour

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

// Serve runs the access node until a signal stops it. It returns nil after all accepted calls are answered.
func Serve(cfg *settings.Config, path string, log *slog.Logger, signals <-chan os.Signal) error {
	applyLimits(cfg.Limits)
	state := &sharedState{events: make(chan loopEvent, 1024), done: make(chan struct{}), startedAt: time.Now(), log: log,
		backlogGate: newBacklogGate()}
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
		MaxPartialBytes: admission.MaxPartialBytes(cfg.Limits.MemoryBytes), MaxOpenBytes: admission.MaxOpenBytes(cfg.Limits.MemoryBytes),
		ClockZeroUnixMilli: state.startedAt.Add(-clockStart).UnixMilli(), HasPeerClosed: loop.hasPeerClosed,
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

// hasPeerClosed reports whether the peer has closed a connection.
func (el *eventLoop) hasPeerClosed(conn access.ConnID) bool {
	sock := el.sockets[conn]
	return sock != nil && sock.hasPeerClosed()
}

// hasUnreadInput reports whether bytes have arrived on a connection that the node has not handled.
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
