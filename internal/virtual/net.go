// Package virtual simulates a network and a clock. Actors on it exchange messages with delay and loss, in an order that
// depends only on the input. Messages are serialized and parsed as they would be on a real network.
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

// Net runs actors in virtual time.
type Net struct {
	Delay  time.Duration // one way
	Jitter time.Duration // maximum additional delay of a datagram, uniformly distributed
	// Path, if set, returns what the path between two hosts does to a message, in addition to Delay and Jitter.
	Path func(now time.Duration, from, to netip.AddrPort) Path
	// OnMissed, if set, is called for each message that is lost or refused, or delayed by more than Delay and
	// Jitter. until is the time of its arrival, or 0 if it never arrives.
	OnMissed func(now, until time.Duration, from netip.AddrPort, to sip.Peer, m *sip.Message)
	// AcceptsConn, if set, reports whether a host accepts another connection, given the number of open ones that other
	// hosts opened to it.
	AcceptsConn func(to netip.AddrPort, held int) bool
	// IsRefusing, if set, reports whether a running host currently refuses datagrams and connections, as if its sockets were
	// closed.
	IsRefusing    func(to netip.AddrPort) bool
	rng           *rand.Rand
	now           time.Duration
	eventQueue    eventQueue
	seq           uint64
	hostsByName   map[string]*host
	allHosts      []*host
	hostsByAddr   map[netip.AddrPort]*host
	conns         map[uint64]*conn  // open connections by number
	connsByTarget map[connKey]*conn // open connections by the host that opened them and their destination
	lastConnID    uint64
}

// Path is the effect of the path between two hosts on a message, in addition to the network's delay.
type Path struct {
	Delay  time.Duration // additional delay
	IsLost bool          // a datagram is lost; a message on a connection is held until Until
	Until  time.Duration // for a held message: the earliest time at which it is sent on
}

// connKey identifies a connection by the host that opened it and its destination.
type connKey struct {
	from *host
	to   netip.AddrPort
}

// host is an actor on the network with its addresses.
type host struct {
	name         string
	actor        actor.Actor
	addrs        []netip.AddrPort
	capture      actor.CaptureHook
	onNote       func(now time.Duration, note any)
	isUp         bool
	stalledUntil time.Duration // time until which the actor is stalled
	wakeSeq      uint64        // sequence number of the valid wake-up; earlier ones are ignored
	pendingInput []func()      // inputs for the next turn
}

// conn is a connection between two hosts; the host that opened it is the first end.
type conn struct {
	id          uint64
	ends        [2]*host
	addrs       [2]netip.AddrPort
	lastArrival [2]time.Duration // arrival time of the latest message by sending end, to preserve the order of messages
	wasReset    bool             // reset by ResetConns: messages in transit are lost
}

// event is a function to run at a time. Events at the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// New returns a network whose random numbers all come from the seed.
func New(seed uint64) *Net {
	return &Net{Delay: time.Millisecond, rng: rand.New(rand.NewPCG(seed, 0x6e6574)), hostsByName: map[string]*host{},
		hostsByAddr: map[netip.AddrPort]*host{}, conns: map[uint64]*conn{}, connsByTarget: map[connKey]*conn{}, now: time.Second}
}

// Now returns the virtual time, which begins at one second.
func (n *Net) Now() time.Duration { return n.now }

// Add adds an actor to the network and starts it. If the name is in use, the previous actor is killed and replaced. capture
// and onNote, if not nil, receive the actor's messages and notes.
func (n *Net) Add(name string, a actor.Actor, capture actor.CaptureHook, onNote func(time.Duration, any), addrs ...netip.AddrPort) {
	n.Kill(name)
	h := &host{name: name, actor: a, addrs: addrs, capture: capture, onNote: onNote, isUp: true}
	n.hostsByName[name] = h
	n.allHosts = append(n.allHosts, h)
	for _, ap := range addrs {
		n.hostsByAddr[ap] = h
	}
	n.At(n.now, func() {
		a.Start(n.now)
		n.runTurn(h)
	})
}

// Kill removes an actor from the network as a crash would: datagrams to it are refused and its connections end.
func (n *Net) Kill(name string) {
	h := n.hostsByName[name]
	if h == nil || !h.isUp {
		return
	}
	h.isUp = false
	for _, ap := range h.addrs {
		if n.hostsByAddr[ap] == h {
			delete(n.hostsByAddr, ap)
		}
	}
	n.closeConns(h)
}

// ResetConns resets all connections of a host, as a middlebox or a fault of its operating system may. Messages in transit on
// them are lost. Both ends are notified.
func (n *Net) ResetConns(name string) {
	if h := n.hostsByName[name]; h != nil && h.isUp {
		for _, c := range n.closeConns(h) {
			c.wasReset = true
		}
	}
}

// closeConns closes a host's connections in the order in which they were opened, and notifies the ends that are up.
func (n *Net) closeConns(h *host) (closed []*conn) {
	for _, id := range slices.Sorted(maps.Keys(n.conns)) {
		c := n.conns[id]
		if c.ends[0] != h && c.ends[1] != h {
			continue
		}
		delete(n.conns, id)
		delete(n.connsByTarget, connKey{c.ends[0], c.addrs[1]})
		for end, endpoint := range c.ends {
			peer := sip.Peer{Transport: sip.TCP, Addr: c.addrs[1-end], Conn: c.id}
			n.At(n.now+n.Delay, func() { n.deliver(endpoint, func() { endpoint.actor.TransportFailed(n.now, peer, sip.ErrLost) }) })
		}
		closed = append(closed, c)
	}
	return closed
}

// Stall suspends an actor for a duration. Its input waits until then.
func (n *Net) Stall(name string, d time.Duration) {
	if h := n.hostsByName[name]; h != nil && h.isUp {
		h.stalledUntil = n.now + d
		n.At(h.stalledUntil, func() { n.runTurn(h) })
	}
}

// At runs a function at the given time, or now if that has passed.
func (n *Net) At(at time.Duration, fn func()) {
	n.seq++
	heap.Push(&n.eventQueue, event{max(at, n.now), n.seq, fn})
}

// Do runs a function in a turn of an actor.
func (n *Net) Do(name string, fn func(now time.Duration)) {
	if h := n.hostsByName[name]; h != nil && h.isUp {
		n.deliver(h, func() { fn(n.now) })
	}
}

// Inspect runs a function outside an actor's turns. The function must not change the actor's state.
func (n *Net) Inspect(name string, fn func(now time.Duration)) {
	if h := n.hostsByName[name]; h != nil && h.isUp {
		fn(n.now)
	}
}

// Run processes all events up to a time.
func (n *Net) Run(until time.Duration) {
	for len(n.eventQueue) > 0 && n.eventQueue[0].at <= until {
		e := heap.Pop(&n.eventQueue).(event)
		n.now = e.at
		e.run()
	}
	n.now = max(n.now, until)
}

// deliver passes input to an actor in a turn. While the actor is stalled the input waits.
func (n *Net) deliver(h *host, fn func()) {
	if !h.isUp {
		return
	}
	h.pendingInput = append(h.pendingInput, fn)
	n.runTurn(h)
}

// runTurn processes an actor's waiting input, advances it, sends its messages and schedules its next wake-up.
func (n *Net) runTurn(h *host) {
	if !h.isUp || n.now < h.stalledUntil {
		return
	}
	for _, fn := range h.pendingInput {
		fn()
	}
	h.pendingInput = h.pendingInput[:0]
	h.actor.Advance(n.now)
	h.actor.TakeEffects(func(e actor.Effect) {
		if e.Send != nil {
			n.send(h, e.To, e.Send)
		} else if h.onNote != nil {
			h.onNote(n.now, e.Note)
		}
	})
	h.wakeSeq++
	if at, ok := h.actor.NextDeadline(); ok {
		seq := h.wakeSeq
		n.At(at, func() {
			if h.wakeSeq == seq {
				n.runTurn(h)
			}
		})
	}
}

// arrivalTime returns the time at which something sent now arrives, with jitter.
func (n *Net) arrivalTime() time.Duration {
	d := n.now + n.Delay
	if n.Jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(n.Jitter)))
	}
	return d
}

// send sends a message from a host.
func (n *Net) send(h *host, to sip.Peer, m *sip.Message) {
	if h.capture != nil {
		h.capture(n.now, actor.Out, to, m)
	}
	raw := m.Bytes()
	deliverMessage := func(dst *host, from sip.Peer) {
		n.deliver(dst, func() {
			msg, err := sip.Parse(raw, sip.Limits{})
			if err == nil && dst.capture != nil {
				dst.capture(n.now, actor.In, from, msg)
			}
			dst.actor.Receive(n.now, sip.Packet{Peer: from, Msg: msg, Err: err})
		})
	}
	source := h.addrs[0]
	var path Path
	if n.Path != nil {
		dst := to.Addr
		if c := n.conns[to.Conn]; c != nil && to.Conn != 0 { // look the path up by the hosts' addresses, not by the port of a connection
			other := c.ends[1]
			if other == h {
				other = c.ends[0]
			}
			dst = other.addrs[0]
		}
		path = n.Path(n.now, source, dst)
	}
	if to.Transport == sip.UDP {
		if path.IsLost {
			n.reportMissed(0, source, to, m)
			return
		}
		at := n.arrivalTime() + path.Delay
		if path.Delay > 0 {
			n.reportMissed(at, source, to, m)
		}
		n.At(at, func() {
			dst := n.hostsByAddr[to.Addr]
			if dst == nil || n.IsRefusing != nil && n.IsRefusing(to.Addr) {
				n.reportMissed(0, source, to, m)
				n.At(n.arrivalTime(), func() {
					n.deliver(h, func() {
						h.actor.TransportFailed(n.now, to, &sip.SendError{Branch: m.Branch(), Err: fmt.Errorf("%v: %w", to, sip.ErrRefused)})
					})
				})
				return
			}
			deliverMessage(dst, sip.Peer{Addr: source})
		})
		return
	}
	c := n.connection(h, to)
	if c == nil {
		n.reportMissed(0, source, to, m)
		n.At(n.arrivalTime(), func() {
			n.deliver(h, func() { h.actor.TransportFailed(n.now, to, fmt.Errorf("%v: %w", to, sip.ErrRefused)) })
		})
		return
	}
	end := 0
	if c.ends[1] == h && c.ends[0] != h {
		end = 1
	}
	dst, from := c.ends[1-end], sip.Peer{Transport: sip.TCP, Addr: c.addrs[end], Conn: c.id}
	at := n.now + n.Delay + path.Delay
	if path.IsLost {
		at = max(at, path.Until+n.Delay)
	}
	c.lastArrival[end] = max(at, c.lastArrival[end]) // no jitter on a connection, messages stay in order
	if c.lastArrival[end] > n.now+n.Delay {
		n.reportMissed(c.lastArrival[end], source, to, m)
	}
	n.At(c.lastArrival[end], func() {
		if c.wasReset {
			n.reportMissed(0, source, to, m)
			return
		}
		deliverMessage(dst, from) // even if the sender has been killed since: the kernel already had the message
	})
}

// reportMissed calls OnMissed if it is set.
func (n *Net) reportMissed(until time.Duration, from netip.AddrPort, to sip.Peer, m *sip.Message) {
	if n.OnMissed != nil {
		n.OnMissed(n.now, until, from, to, m)
	}
}

// acceptedConns returns the number of open connections that other hosts opened to a host.
func (n *Net) acceptedConns(h *host) int {
	k := 0
	for _, c := range n.connsByTarget {
		if c.ends[1] == h {
			k++
		}
	}
	return k
}

// connection returns the connection to send on and opens one if needed. It returns nil if the connection has ended or is
// refused.
func (n *Net) connection(h *host, to sip.Peer) *conn {
	if to.Conn != 0 {
		if c := n.conns[to.Conn]; c != nil {
			return c
		}
		return nil
	}
	if c := n.connsByTarget[connKey{h, to.Addr}]; c != nil {
		return c
	}
	dst := n.hostsByAddr[to.Addr]
	if dst == nil {
		return nil
	}
	if n.IsRefusing != nil && n.IsRefusing(to.Addr) {
		return nil
	}
	if n.AcceptsConn != nil && !n.AcceptsConn(to.Addr, n.acceptedConns(dst)) {
		return nil
	}
	n.lastConnID++
	c := &conn{id: n.lastConnID, ends: [2]*host{h, dst}}
	c.addrs[0] = netip.AddrPortFrom(h.addrs[0].Addr(), uint16(20000+n.lastConnID%40000))
	c.addrs[1] = to.Addr
	n.conns[c.id], n.connsByTarget[connKey{h, to.Addr}] = c, c
	return c
}
