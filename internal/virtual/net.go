// Package virtual is a network and a clock that exist only in numbers: actors on it exchange messages with delay and
// loss, in an order that depends on nothing but the input. Messages go through the codec, as they would on a wire.
package virtual

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/sip"
)

// Net drives actors in virtual time.
type Net struct {
	Delay  time.Duration // one way
	Jitter time.Duration // more, at the most, drawn evenly
	// Path, if set, says what more the way between two hosts does to a message.
	Path func(now time.Duration, from, to netip.AddrPort) Path
	// Missed, if set, is told of each message that does not get there in its time: until then, or never where that is 0.
	Missed func(now, until time.Duration, from netip.AddrPort, to sip.Peer, m *sip.Message)
	// Accepts, if set, says whether a host takes one more connection, given how many it holds; otherwise it is refused.
	Accepts func(to netip.AddrPort, held int) bool
	// Refuses, if set, says whether a host that is up refuses what comes to it now, as if nobody listened.
	Refuses func(to netip.AddrPort) bool
	rng     *rand.Rand
	now     time.Duration
	queue   events
	seq     uint64
	hosts   map[string]*host
	order   []*host
	at      map[netip.AddrPort]*host
	conns   map[uint64]*conn  // that are open
	open    map[connKey]*conn // by who opened them and to where
	count   uint64
}

// Path is what a way between two hosts does beyond the network's own delay.
type Path struct {
	Delay time.Duration // more
	Lost  bool          // a datagram is lost; what goes over a connection waits
	Until time.Duration // and until when
}

type connKey struct {
	from *host
	to   netip.AddrPort
}

// host is an actor with its addresses.
type host struct {
	name   string
	act    actor.Actor
	addrs  []netip.AddrPort
	tap    actor.Tap
	note   func(now time.Duration, note any)
	up     bool
	stall  time.Duration // nothing is read or done before
	wake   uint64        // number of the valid wake event
	inTurn []func()
}

type conn struct {
	id     uint64
	ends   [2]*host
	port   [2]netip.AddrPort
	last   [2]time.Duration // what was sent last arrives then, by end: a connection keeps order
	broken bool             // by Break: what was on its way is lost
}

type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// New makes a network whose draws come from the seed alone.
func New(seed uint64) *Net {
	return &Net{Delay: time.Millisecond, rng: rand.New(rand.NewPCG(seed, 0x6e6574)), hosts: map[string]*host{},
		at: map[netip.AddrPort]*host{}, conns: map[uint64]*conn{}, open: map[connKey]*conn{}, now: time.Second}
}

// Now is the virtual time; it begins at one second.
func (n *Net) Now() time.Duration { return n.now }

// Add puts an actor on the network and starts it. A name that exists already is a restart at the same addresses.
func (n *Net) Add(name string, a actor.Actor, tap actor.Tap, note func(time.Duration, any), addrs ...netip.AddrPort) {
	n.Kill(name)
	h := &host{name: name, act: a, addrs: addrs, tap: tap, note: note, up: true}
	n.hosts[name] = h
	n.order = append(n.order, h)
	for _, ap := range addrs {
		n.at[ap] = h
	}
	n.At(n.now, func() {
		a.Start(n.now)
		n.turn(h)
	})
}

// Kill takes an actor off the network without a word: datagrams to it are refused, its connections break.
func (n *Net) Kill(name string) {
	h := n.hosts[name]
	if h == nil || !h.up {
		return
	}
	h.up = false
	for _, ap := range h.addrs {
		if n.at[ap] == h {
			delete(n.at, ap)
		}
	}
	n.hangUp(h)
}

// Break resets all connections of a host, as a middlebox or a fault of its system may; what is on its way over them is
// lost. Both ends learn of it.
func (n *Net) Break(name string) {
	if h := n.hosts[name]; h != nil && h.up {
		for _, c := range n.hangUp(h) {
			c.broken = true
		}
	}
}

// hangUp ends a host's connections, in the order in which they were opened; the ends that are up learn of it.
func (n *Net) hangUp(h *host) (ended []*conn) {
	for _, id := range slices.Sorted(maps.Keys(n.conns)) {
		c := n.conns[id]
		if c.ends[0] != h && c.ends[1] != h {
			continue
		}
		delete(n.conns, id)
		delete(n.open, connKey{c.ends[0], c.port[1]})
		for end, who := range c.ends {
			peer := sip.Peer{Transport: sip.TCP, Addr: c.port[1-end], Conn: c.id}
			n.At(n.now+n.Delay, func() { n.deliver(who, func() { who.act.Lost(n.now, peer, sip.ErrLost) }) })
		}
		ended = append(ended, c)
	}
	return ended
}

// Stall keeps an actor from doing anything for a while; what comes waits.
func (n *Net) Stall(name string, d time.Duration) {
	if h := n.hosts[name]; h != nil && h.up {
		h.stall = n.now + d
		n.At(h.stall, func() { n.turn(h) })
	}
}

// At runs a function at a time.
func (n *Net) At(at time.Duration, fn func()) {
	n.seq++
	heap.Push(&n.queue, event{max(at, n.now), n.seq, fn})
}

// Do runs a function as part of an actor's turn.
func (n *Net) Do(name string, fn func(now time.Duration)) {
	if h := n.hosts[name]; h != nil && h.up {
		n.deliver(h, func() { fn(n.now) })
	}
}

// Look runs a function beside an actor's turns: it may look, and what it sees is not changed by it.
func (n *Net) Look(name string, fn func(now time.Duration)) {
	if h := n.hosts[name]; h != nil && h.up {
		fn(n.now)
	}
}

// Run goes on until a time, then stops with all events up to it done.
func (n *Net) Run(until time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= until {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.fn()
	}
	n.now = max(n.now, until)
}

// deliver hands input over in a turn; while the actor stalls it waits with the rest.
func (n *Net) deliver(h *host, fn func()) {
	if !h.up {
		return
	}
	h.inTurn = append(h.inTurn, fn)
	n.turn(h)
}

func (n *Net) turn(h *host) {
	if !h.up || n.now < h.stall {
		return
	}
	for _, fn := range h.inTurn {
		fn()
	}
	h.inTurn = h.inTurn[:0]
	h.act.Advance(n.now)
	h.act.Take(func(e actor.Effect) {
		if e.Send != nil {
			n.send(h, e.To, e.Send)
		} else if h.note != nil {
			h.note(n.now, e.Note)
		}
	})
	h.wake++
	if at, ok := h.act.Next(); ok {
		mine := h.wake
		n.At(at, func() {
			if h.wake == mine {
				n.turn(h)
			}
		})
	}
}

func (n *Net) later() time.Duration {
	d := n.now + n.Delay
	if n.Jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(n.Jitter)))
	}
	return d
}

func (n *Net) send(h *host, to sip.Peer, m *sip.Message) {
	if h.tap != nil {
		h.tap(n.now, actor.Out, to, m)
	}
	raw := m.Bytes()
	read := func(dst *host, from sip.Peer) {
		n.deliver(dst, func() {
			msg, err := sip.Parse(raw, sip.Limits{})
			if err == nil && dst.tap != nil {
				dst.tap(n.now, actor.In, from, msg)
			}
			dst.act.Receive(n.now, sip.Packet{Peer: from, Msg: msg, Err: err})
		})
	}
	src := h.addrs[0]
	var way Path
	if n.Path != nil {
		dst := to.Addr
		if c := n.conns[to.Conn]; c != nil && to.Conn != 0 { // by the hosts, not by the port of one connection
			other := c.ends[1]
			if other == h {
				other = c.ends[0]
			}
			dst = other.addrs[0]
		}
		way = n.Path(n.now, src, dst)
	}
	if to.Transport == sip.UDP {
		if way.Lost {
			n.missed(0, src, to, m)
			return
		}
		at := n.later() + way.Delay
		if way.Delay > 0 {
			n.missed(at, src, to, m)
		}
		n.At(at, func() {
			dst := n.at[to.Addr]
			if dst == nil || n.Refuses != nil && n.Refuses(to.Addr) {
				n.missed(0, src, to, m)
				n.At(n.later(), func() {
					n.deliver(h, func() {
						h.act.Lost(n.now, to, &sip.SendError{Branch: m.Branch(), Err: fmt.Errorf("%v: %w", to, sip.ErrRefused)})
					})
				})
				return
			}
			read(dst, sip.Peer{Addr: src})
		})
		return
	}
	c := n.connection(h, to)
	if c == nil {
		n.missed(0, src, to, m)
		n.At(n.later(), func() {
			n.deliver(h, func() { h.act.Lost(n.now, to, fmt.Errorf("%v: %w", to, sip.ErrRefused)) })
		})
		return
	}
	end := 0
	if c.ends[1] == h && c.ends[0] != h {
		end = 1
	}
	dst, from := c.ends[1-end], sip.Peer{Transport: sip.TCP, Addr: c.port[end], Conn: c.id}
	at := n.now + n.Delay + way.Delay
	if way.Lost {
		at = max(at, way.Until+n.Delay)
	}
	c.last[end] = max(at, c.last[end]) // in order: no jitter on a connection
	if c.last[end] > n.now+n.Delay {
		n.missed(c.last[end], src, to, m)
	}
	n.At(c.last[end], func() {
		if c.broken {
			n.missed(0, src, to, m)
			return
		}
		read(dst, from) // also when its sender has died meanwhile: the kernel had it already
	})
}

func (n *Net) missed(until time.Duration, from netip.AddrPort, to sip.Peer, m *sip.Message) {
	if n.Missed != nil {
		n.Missed(n.now, until, from, to, m)
	}
}

// held is how many connections to a host are open.
func (n *Net) held(h *host) int {
	k := 0
	for _, c := range n.open {
		if c.ends[1] == h {
			k++
		}
	}
	return k
}

func (n *Net) connection(h *host, to sip.Peer) *conn {
	if to.Conn != 0 {
		if c := n.conns[to.Conn]; c != nil {
			return c
		}
		return nil
	}
	if c := n.open[connKey{h, to.Addr}]; c != nil {
		return c
	}
	dst := n.at[to.Addr]
	if dst == nil {
		return nil
	}
	if n.Refuses != nil && n.Refuses(to.Addr) {
		return nil
	}
	if n.Accepts != nil && !n.Accepts(to.Addr, n.held(dst)) {
		return nil
	}
	n.count++
	c := &conn{id: n.count, ends: [2]*host{h, dst}}
	c.port[0] = netip.AddrPortFrom(h.addrs[0].Addr(), uint16(20000+n.count%40000))
	c.port[1] = to.Addr
	n.conns[c.id], n.open[connKey{h, to.Addr}] = c, c
	return c
}
