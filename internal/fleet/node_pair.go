package fleet

import (
	"net/netip"
	"strings"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/baseline"
	"larkrouter/internal/node"
	"larkrouter/internal/sip"
)

// nodePair is the actor at a node's address. During an upgrade it holds two nodes, as two processes share one set of
// sockets: the previous node receives the messages that belong to its calls, and the current node all others.
type nodePair struct {
	current, previous *node.Node
	// lossControl, if set, is the baseline policy that uses loss-based overload control (RFC 7339). The module does
	// not use it.
	lossControl *baseline.LossControl
	serverID    func(netip.AddrPort) (uint32, bool)
}

// upgrade makes next the current node. The node that was current continues its open calls, until they end.
func (pair *nodePair) upgrade(now time.Duration, next *node.Node) {
	if pair.previous != nil { // still has calls from the upgrade before
		pair.previous.EndAllCalls(now)
	}
	pair.current.HandOver(now)
	pair.previous, pair.current = pair.current, next
	next.Start(now)
}

// Start implements actor.Actor.
func (pair *nodePair) Start(now time.Duration) { pair.current.Start(now) }

// Receive implements actor.Actor.
func (pair *nodePair) Receive(now time.Duration, p sip.Packet) {
	if pair.previous != nil && p.Msg != nil && pair.previous.OwnsMessage(now, p.Msg) {
		pair.previous.Receive(now, p)
		return
	}
	if pair.lossControl != nil && p.Msg != nil && !p.Msg.IsRequest() {
		if id, ok := pair.serverID(p.Peer.Addr); ok {
			pair.lossControl.ReadResponse(now, id, p.Msg)
		}
	}
	pair.current.Receive(now, p)
}

// TransportFailed implements actor.Actor.
func (pair *nodePair) TransportFailed(now time.Duration, to sip.Peer, err error) {
	if pair.previous != nil {
		pair.previous.TransportFailed(now, to, err)
	}
	pair.current.TransportFailed(now, to, err)
}

// Advance implements actor.Actor.
func (pair *nodePair) Advance(now time.Duration) {
	if pair.previous != nil {
		pair.previous.Advance(now)
	}
	pair.current.Advance(now)
}

// NextDeadline implements actor.Actor.
func (pair *nodePair) NextDeadline() (time.Duration, bool) {
	at, ok := pair.current.NextDeadline()
	if pair.previous != nil {
		if first, also := pair.previous.NextDeadline(); also && (!ok || first < at) {
			return first, true
		}
	}
	return at, ok
}

// TakeEffects implements actor.Actor.
func (pair *nodePair) TakeEffects(emit func(actor.Effect)) {
	if pair.previous != nil {
		pair.previous.TakeEffects(emit)
		if w, s := pair.previous.OpenCalls(); w+s == 0 {
			pair.previous.EndAllCalls(0) // its last call has ended, and so does its process
			pair.previous = nil
		}
	}
	if pair.lossControl == nil {
		pair.current.TakeEffects(emit)
		return
	}
	pair.current.TakeEffects(func(e actor.Effect) {
		if e.Send != nil && e.Send.Method == sip.INVITE {
			if _, ok := pair.serverID(e.To.Addr); ok && !strings.Contains(e.Send.Get("Via"), ";oc;") {
				baseline.OfferLossControl(e.Send)
			}
		}
		emit(e)
	})
}
