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

// base is what the stand-ins share: clock, timers, transactions and what is to be sent.
type base struct {
	now   time.Duration
	heap  timers.Heap
	layer *transaction.Layer
	id    sip.Ident
	out   []actor.Effect
	// lose, if set, says whether a message is lost before it reaches the socket.
	lose func(m *sip.Message) bool
}

func (b *base) init(addr netip.AddrPort, seed uint64, u transaction.User) {
	b.id = sip.Ident{Own: [2]netip.AddrPort{addr, addr}, Rand: rand.New(rand.NewPCG(seed, 0x7374616e64))}
	b.layer = transaction.New(transaction.Times{}, &b.heap, u, (*baseSender)(b))
}

type baseSender base

func (s *baseSender) Send(to sip.Peer, m *sip.Message) { (*base)(s).send(to, m) }

func (b *base) send(to sip.Peer, m *sip.Message) {
	if b.lose != nil && b.lose(m) {
		return
	}
	b.out = append(b.out, actor.Effect{Send: m, To: to})
}

func (b *base) clock(now time.Duration) {
	b.now = max(now, b.now)
	b.layer.Clock(b.now)
}

// Start implements actor.Actor.
func (b *base) Start(now time.Duration) { b.clock(now) }

// Receive implements actor.Actor; what can't be read is dropped.
func (b *base) Receive(now time.Duration, p sip.Packet) {
	b.clock(now)
	if p.Err == nil && p.Msg != nil {
		if p.Msg.IsRequest() {
			sip.Received(p.Msg, p.Peer)
		}
		b.layer.Receive(p.Msg, p.Peer)
	}
}

// Lost implements actor.Actor.
func (b *base) Lost(now time.Duration, to sip.Peer, err error) {
	b.clock(now)
	b.layer.Failed(to, err)
}

// Advance implements actor.Actor.
func (b *base) Advance(now time.Duration) {
	b.clock(now)
	b.heap.Advance(b.now)
}

// Next implements actor.Actor.
func (b *base) Next() (time.Duration, bool) { return b.heap.Next() }

// Take implements actor.Actor.
func (b *base) Take(f func(actor.Effect)) {
	for i := range b.out {
		f(b.out[i])
	}
	clear(b.out)
	b.out = b.out[:0]
}
