// Package daemon is the shell around a pure core: sockets, clock, signals, files and logging. It holds no rule.
package daemon

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/sip/transport"
)

// Loop drives one actor on sockets: one goroutine owns the actor, takes what has come as a turn with one time, and
// writes what the turn brought in batches.
type Loop struct {
	Actor actor.Actor
	Clock func() time.Duration // monotonic
	Tap   actor.Tap            // sees messages, if set
	Note  func(now time.Duration, note any)
	After func() // after each turn, if set
	// Divert, if set, is shown what comes and may take it: it is another process's.
	Divert func(now time.Duration, ev transport.Event) bool

	stack  *transport.Stack
	events chan []transport.Event
	calls  chan func(now time.Duration)
	done   chan struct{}
	busy   atomic.Uint64 // per cent, see Busy
}

// Busy is the share of its time, per cent, that the loop worked over the last second or so.
func (l *Loop) Busy() uint64 { return l.busy.Load() }

// busyMeter adds up the time spent in turns.
type busyMeter struct {
	from time.Duration
	work time.Duration
}

func (b *busyMeter) turn(l *Loop, began time.Duration) {
	now := l.Clock()
	b.work += now - began
	if span := now - b.from; span >= time.Second {
		l.busy.Store(uint64(100 * b.work / span))
		b.from, b.work = now, 0
	}
}

// Monotonic is a clock that begins at one second, as the module's zero means long ago.
func Monotonic() func() time.Duration {
	begin := time.Now().Add(-time.Second)
	return func() time.Duration { return time.Since(begin) }
}

// NewLoop opens the sockets. The actor may be set later, before Run.
func NewLoop(cfg transport.Config) (*Loop, error) {
	l := &Loop{events: make(chan []transport.Event, 1024), calls: make(chan func(time.Duration), 64),
		done: make(chan struct{}), Clock: Monotonic()}
	var err error
	l.stack, err = transport.Listen(cfg, l.events)
	return l, err
}

// FreeAddress is one on loopback that nobody listens on now, by UDP and TCP.
func FreeAddress() (netip.AddrPort, error) {
	l, at, err := NewLoopback()
	if err == nil {
		l.stack.Close()
	}
	return at, err
}

// NewLoopback opens a loop at a port of 127.0.0.1 that is free for both transports.
func NewLoopback() (*Loop, netip.AddrPort, error) {
	var err error
	for range 20 {
		var l *Loop
		if l, err = NewLoop(transport.Config{UDP: netip.MustParseAddrPort("127.0.0.1:0")}); err != nil {
			continue
		}
		at := l.stack.UDPAddr()
		l.stack.Close()
		if l, err = NewLoop(transport.Config{UDP: at, TCP: at}); err == nil {
			return l, at, nil
		} // another has the port for TCP
	}
	return nil, netip.AddrPort{}, err
}

// Stack is the loop's sockets.
func (l *Loop) Stack() *transport.Stack { return l.stack }

// Do runs a function in the loop, as part of a turn; false when the loop has ended.
func (l *Loop) Do(fn func(now time.Duration)) bool {
	select {
	case l.calls <- fn:
		return true
	case <-l.done:
		return false
	}
}

// Call is Do that waits until the function has run.
func (l *Loop) Call(fn func(now time.Duration)) bool {
	ran := make(chan struct{})
	if !l.Do(func(now time.Duration) { fn(now); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Run serves until the context ends, then closes the sockets.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	defer l.stack.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	meter := busyMeter{from: l.Clock()}
	l.Actor.Start(l.Clock())
	l.finish(l.Clock())
	for {
		if at, ok := l.Actor.Next(); ok {
			timer.Reset(max(0, at-l.Clock()))
		} else {
			timer.Reset(time.Hour)
		}
		var evs []transport.Event
		var call func(time.Duration)
		select {
		case <-ctx.Done():
			return
		case evs = <-l.events:
		case call = <-l.calls:
		case <-timer.C:
		}
		now := l.Clock()
		l.take(now, evs)
		if call != nil {
			call(now)
		}
		// What has come meanwhile belongs to the turn: after a stall it has all waited.
		for range 256 {
			select {
			case evs = <-l.events:
				l.take(now, evs)
				continue
			default:
			}
			break
		}
		l.finish(now)
		meter.turn(l, now)
	}
}

func (l *Loop) take(now time.Duration, evs []transport.Event) {
	for _, ev := range evs {
		p := ev.Packet
		if l.Divert != nil && l.Divert(now, ev) {
			continue
		}
		if ev.Lost != nil {
			l.Actor.Lost(now, p.Peer, ev.Lost)
			continue
		}
		if l.Tap != nil && p.Msg != nil {
			l.Tap(now, actor.In, p.Peer, p.Msg)
		}
		l.Actor.Receive(now, p)
	}
}

func (l *Loop) finish(now time.Duration) {
	l.Actor.Advance(now)
	l.Actor.Take(func(e actor.Effect) {
		switch {
		case e.Send != nil:
			if l.Tap != nil {
				l.Tap(now, actor.Out, e.To, e.Send)
			}
			l.stack.Send(e.To, e.Send)
		case e.Note != nil && l.Note != nil:
			l.Note(now, e.Note)
		}
	})
	l.stack.Flush()
	if l.After != nil {
		l.After()
	}
}
