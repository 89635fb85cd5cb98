// Package daemon runs a node as a process: it connects the node, which does no input or output of its own, to sockets, the
// clock, signals, files, the store, the SNMP agent and the log. It makes no routing decisions.
package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/sip/transport"
)

// Loop runs one actor on SIP sockets. A single goroutine owns the actor. It works in turns: all events that have arrived
// are handled with the same time, and the messages that result are written in batches at the end of the turn.
type Loop struct {
	Actor     actor.Actor
	Clock     func() time.Duration              // monotonic
	OnMessage actor.CaptureHook                 // called with each message received or sent, if set
	OnNote    func(now time.Duration, note any) // called with each of the actor's notes (see actor.Effect), if set
	AfterTurn func()                            // called after each turn, if set
	// Intercept, if set, is called with each event first. It returns true for an event that it has consumed because it
	// belongs to another process.
	Intercept func(now time.Duration, ev transport.Event) bool

	stack       *transport.Stack
	events      chan []transport.Event
	funcs       chan func(now time.Duration)
	done        chan struct{}
	busyPercent atomic.Uint64 // per cent; see BusyPercent
}

// BusyPercent returns the share of time that the loop spent in turns, in per cent, over the last measured window of at least
// one second.
func (l *Loop) BusyPercent() uint64 { return l.busyPercent.Load() }

// busyMeter measures the share of time spent in turns.
type busyMeter struct {
	windowStart time.Duration
	busyTime    time.Duration
}

// addTurn adds a turn that began at start and, once per window of a second, updates the loop's busy share.
func (b *busyMeter) addTurn(l *Loop, start time.Duration) {
	now := l.Clock()
	b.busyTime += now - start
	if elapsed := now - b.windowStart; elapsed >= time.Second {
		l.busyPercent.Store(uint64(100 * b.busyTime / elapsed))
		b.windowStart, b.busyTime = now, 0
	}
}

// MonotonicClock returns a monotonic clock that starts at one second, because the decision module reads a time of zero as
// "long ago".
func MonotonicClock() func() time.Duration {
	origin := time.Now().Add(-time.Second)
	return func() time.Duration { return time.Since(origin) }
}

// NewLoop opens the sockets. The actor must be set before Run.
func NewLoop(cfg transport.Config) (*Loop, error) {
	l := &Loop{events: make(chan []transport.Event, 1024), funcs: make(chan func(time.Duration), 64),
		done: make(chan struct{}), Clock: MonotonicClock()}
	var err error
	l.stack, err = transport.Listen(cfg, l.events)
	return l, err
}

// FreeLoopbackAddress returns a loopback address whose port is currently free for both UDP and TCP.
func FreeLoopbackAddress() (netip.AddrPort, error) {
	l, address, err := NewLoopbackLoop()
	if err == nil {
		l.stack.Close()
	}
	return address, err
}

// NewLoopbackLoop opens a loop on a port of 127.0.0.1 that is free for both UDP and TCP. It tries up to 20 ports.
func NewLoopbackLoop() (*Loop, netip.AddrPort, error) {
	var err error
	for range 20 {
		var l *Loop
		if l, err = NewLoop(transport.Config{UDP: netip.MustParseAddrPort("127.0.0.1:0")}); err != nil {
			continue
		}
		address := l.stack.UDPAddr()
		l.stack.Close()
		if l, err = NewLoop(transport.Config{UDP: address, TCP: address}); err == nil {
			return l, address, nil
		}
		// The port is in use for TCP: try another one.
	}
	return nil, netip.AddrPort{}, err
}

// Stack returns the loop's sockets.
func (l *Loop) Stack() *transport.Stack { return l.stack }

// Post queues a function to run in the loop as part of a turn. It returns false if the loop has ended.
func (l *Loop) Post(fn func(now time.Duration)) bool {
	select {
	case l.funcs <- fn:
		return true
	case <-l.done:
		return false
	}
}

// PostAndWait runs a function in the loop as Post does and waits for it. It returns false if the loop ended first.
func (l *Loop) PostAndWait(fn func(now time.Duration)) bool {
	done := make(chan struct{})
	if !l.Post(func(now time.Duration) { fn(now); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	}
}

// Run handles events until the context ends, then closes the sockets.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	defer l.stack.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	meter := busyMeter{windowStart: l.Clock()}
	l.Actor.Start(l.Clock())
	l.finishTurn(l.Clock())
	for {
		if next, ok := l.Actor.NextDeadline(); ok {
			timer.Reset(max(0, next-l.Clock()))
		} else {
			timer.Reset(time.Hour)
		}
		var events []transport.Event
		var queued func(time.Duration)
		select {
		case <-ctx.Done():
			return
		case events = <-l.events:
		case queued = <-l.funcs:
		case <-timer.C:
		}
		now := l.Clock()
		l.deliver(now, events)
		if queued != nil {
			queued(now)
		}
		// Events that arrived in the meantime belong to this turn: after a stall many of them have queued up.
		for range 256 {
			select {
			case events = <-l.events:
				l.deliver(now, events)
				continue
			default:
			}
			break
		}
		l.finishTurn(now)
		meter.addTurn(l, now)
	}
}

// deliver passes events to the actor, except those that Intercept consumes.
func (l *Loop) deliver(now time.Duration, events []transport.Event) {
	for _, event := range events {
		packet := event.Packet
		if l.Intercept != nil && l.Intercept(now, event) {
			continue
		}
		if event.TransportErr != nil {
			l.Actor.TransportFailed(now, packet.Peer, event.TransportErr)
			continue
		}
		if l.OnMessage != nil && packet.Msg != nil {
			l.OnMessage(now, actor.In, packet.Peer, packet.Msg)
		}
		l.Actor.Receive(now, packet)
	}
}

// finishTurn advances the actor to now, sends its messages and passes on its notes.
func (l *Loop) finishTurn(now time.Duration) {
	l.Actor.Advance(now)
	l.Actor.TakeEffects(func(effect actor.Effect) {
		switch {
		case effect.Send != nil:
			if l.OnMessage != nil {
				l.OnMessage(now, actor.Out, effect.To, effect.Send)
			}
			l.stack.Send(effect.To, effect.Send)
		case effect.Note != nil && l.OnNote != nil:
			l.OnNote(now, effect.Note)
		}
	})
	l.stack.Flush()
	if l.AfterTurn != nil {
		l.AfterTurn()
	}
}
