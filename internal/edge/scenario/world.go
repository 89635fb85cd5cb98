package scenario

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/rules"
	"larkrouter/internal/timers"
)

const (
	worldStart = time.Hour // the clock at the begin; zero means "long ago" to the node
	latency    = time.Millisecond
	nodeName   = "127.0.0.1:5060"
)

// world is the state of a run: the clock, the node, and all that it speaks with. Everything happens in timers, one at a time.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	timers    timers.Heap
	node      *access.Node // nil while it is down
	links     map[access.ConnID]*link
	dialing   map[access.ConnID]bool
	processes map[netip.AddrPort]*callServer // the last process at each address
	servers   []*callServer                  // all processes, in order of their start
	callers   *callers
	channel   *channel
	rules     *rules.Checker
	standing  *rules.StandingChecker
	faults    faultList

	maxAdoptedCalls  int  // limit of the node
	stopBothWays     bool // connections that stop do so in both directions
	statesOnlyOnOpen bool // call servers send their state on new connections alone
}

// link is a connection of the node. It is open until one of its ends closes it.
type link struct {
	id     access.ConnID
	peer   peer
	isOpen bool

	hasStopped bool // nothing arrives at the node any more
	isDeaf     bool // nothing arrives at the peer any more
}

// peer is the far end of a link.
type peer interface {
	receive(l *link, data []byte)
	linkClosed(l *link)
}

// after calls f when the given time has passed.
func (w *world) after(d time.Duration, f func()) { w.timers.Set(&timers.Timer{}, w.now+max(d, 0), f) }

// between returns a random time from min to max.
func (w *world) between(min, max time.Duration) time.Duration {
	return min + time.Duration(w.rng.Int64N(int64(max-min)+1))
}

// oneIn reports true in one of n cases.
func (w *world) oneIn(n int) bool { return w.rng.IntN(n) == 0 }

// run lets time pass until the given time.
func (w *world) run(until time.Duration) {
	for {
		next, isSet := w.timers.Next()
		if w.node != nil {
			if at, ok := w.node.NextTimer(); ok && (!isSet || at < next) {
				next, isSet = at, true
			}
		}
		if !isSet || next > until {
			w.now = until
			return
		}
		w.now = max(w.now, next)
		w.timers.Advance(w.now)
		if w.node != nil {
			w.node.Advance(w.now)
			w.execute()
		}
	}
}

// execute carries out the effects of the node.
func (w *world) execute() {
	w.node.TakeEffects(func(effect access.Effect) {
		switch effect.Kind {
		case access.EffectWrite:
			if l := w.links[effect.Conn]; l != nil {
				data := effect.Bytes
				w.after(latency, func() {
					if l.isOpen {
						l.peer.receive(l, data)
					}
				})
			}
		case access.EffectClose:
			delete(w.dialing, effect.Conn)
			if l := w.links[effect.Conn]; l != nil {
				w.closeFromNode(l)
			}
		case access.EffectDial:
			w.dial(effect.Conn, effect.Addr)
		}
	})
}

// closeFromNode closes a link at the node's end. What was written before still arrives.
func (w *world) closeFromNode(l *link) {
	delete(w.links, l.id)
	w.after(latency, func() {
		if l.isOpen {
			l.isOpen = false
			l.peer.linkClosed(l)
		}
	})
}

// atNode calls f a moment later with the node, if the link is still open there.
func (w *world) atNode(l *link, f func(node *access.Node)) {
	w.after(latency, func() {
		if w.links[l.id] == l {
			f(w.node)
		}
	})
}

// dial opens a connection of the node to a call server.
func (w *world) dial(conn access.ConnID, addr netip.AddrPort) {
	w.dialing[conn] = true
	node, server := w.node, w.processes[addr]
	finish := func(after time.Duration, f func()) {
		w.after(after, func() {
			if w.node == node && w.dialing[conn] {
				delete(w.dialing, conn)
				f()
			}
		})
	}
	if server != nil && server.state == processCutOff {
		finish(connectTimeout, func() { node.TrunkDialFailed(w.now, conn, false) })
		return
	}
	finish(latency, func() {
		if server == nil || server.state != processUp {
			node.TrunkDialFailed(w.now, conn, true)
			return
		}
		l := &link{id: conn, peer: server, isOpen: true}
		w.links[conn] = l
		node.TrunkOpened(w.now, conn)
		server.accept(l)
	})
}

// startNode starts a node that knows the current list.
func (w *world) startNode() {
	node, err := access.New(nodeConfig(w.rng.Uint64(), w.maxAdoptedCalls), w.now)
	if err != nil {
		panic(err) // the configuration is a constant
	}
	w.node, w.links, w.dialing = node, map[access.ConnID]*link{}, map[access.ConnID]bool{}
	w.channel.restart()
}

// stopNode stops the node as a planned restart does: it goes on until its calls are answered, then all its connections end.
func (w *world) stopNode(finished func()) {
	node, deadline := w.node, w.now+maxStopTime
	node.Stop(w.now, deadline)
	var poll func()
	poll = func() {
		if node.OpenCalls() > 0 && w.now < deadline+latency {
			w.after(20*time.Millisecond, poll)
			return
		}
		w.node = nil
		for _, l := range w.linksInOrder() {
			w.closeFromNode(l)
		}
		w.channel.stop()
		finished()
	}
	w.after(stopAcceptTime, poll)
}

// linksInOrder returns the open links, oldest first.
func (w *world) linksInOrder() []*link {
	links := make([]*link, 0, len(w.links))
	for _, id := range sortedKeys(w.links) {
		links = append(links, w.links[id])
	}
	return links
}
