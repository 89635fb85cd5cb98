package standin

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// base is the part common to all simulated endpoints: clock, timers, transactions and outgoing messages.
type base struct {
	now      time.Duration
	heap     timers.Heap
	layer    *transaction.Layer
	id       sip.Ident
	outgoing []actor.Effect
	// dropOutgoing, if set, reports whether a message is lost before it reaches the socket.
	dropOutgoing func(m *sip.Message) bool
}

// init sets the endpoint's address, random source and transaction layer.
func (b *base) init(addr netip.AddrPort, seed uint64, u transaction.User) {
	b.id = sip.Ident{Addrs: [2]netip.AddrPort{addr, addr}, Rand: rand.New(rand.NewPCG(seed, 0x7374616e64))}
	b.layer = transaction.New(transaction.Times{}, &b.heap, u, (*baseSender)(b))
}

// baseSender is base as a transaction.Sender.
type baseSender base

// Send implements transaction.Sender.
func (s *baseSender) Send(to sip.Peer, m *sip.Message) { (*base)(s).send(to, m) }

// send queues a message unless it is lost.
func (b *base) send(to sip.Peer, m *sip.Message) {
	if b.dropOutgoing != nil && b.dropOutgoing(m) {
		return
	}
	b.outgoing = append(b.outgoing, actor.Effect{Send: m, To: to})
}

// clock sets the current time, which never runs backwards.
func (b *base) clock(now time.Duration) {
	b.now = max(now, b.now)
	b.layer.SetNow(b.now)
}

// Start implements actor.Actor.
func (b *base) Start(now time.Duration) { b.clock(now) }

// Receive implements actor.Actor. Malformed messages are dropped.
func (b *base) Receive(now time.Duration, p sip.Packet) {
	b.clock(now)
	if p.Err == nil && p.Msg != nil {
		if p.Msg.IsRequest() {
			sip.StampReceived(p.Msg, p.Peer)
		}
		b.layer.Receive(p.Msg, p.Peer)
	}
}

// TransportFailed implements actor.Actor.
func (b *base) TransportFailed(now time.Duration, to sip.Peer, err error) {
	b.clock(now)
	b.layer.TransportFailed(to, err)
}

// Advance implements actor.Actor.
func (b *base) Advance(now time.Duration) {
	b.clock(now)
	b.heap.Advance(b.now)
}

// NextDeadline implements actor.Actor.
func (b *base) NextDeadline() (time.Duration, bool) { return b.heap.Next() }

// TakeEffects implements actor.Actor.
func (b *base) TakeEffects(f func(actor.Effect)) {
	for i := range b.outgoing {
		f(b.outgoing[i])
	}
	clear(b.outgoing)
	b.outgoing = b.outgoing[:0]
}
