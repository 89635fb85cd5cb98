package access

import (
	"cmp"
	"slices"
	"time"

	"larkrouter/internal/edge/admission"
	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

// callerConn is a connection from callers.
type callerConn struct {
	admission.Conn
	id        ConnID
	hadAnswer bool // a call received on it was answered, so its client handles calls

	// unconfirmedReleases were written to the connection, and no caller has confirmed them. See caller_releases.go.
	unconfirmedReleases []*callerRelease

	// offeredReleases were written to it first, as its client may ignore them, and some still wait.
	offeredReleases []*callerRelease
}

// CallerOpened handles a new connection from callers. At the limit another one is evicted for it if possible.
func (n *Node) CallerOpened(now time.Duration, conn ConnID) {
	n.advanceClock(now)
	if len(n.callerConns) >= n.cfg.MaxCallerConns {
		if evicted := n.evictionCandidate(); evicted != nil {
			n.Totals.CallerConnsOverLimit++
			n.closeCaller(evicted)
		} else {
			n.Totals.CallerConnsOverLimit++
			n.effects = append(n.effects, Effect{Kind: EffectClose, Conn: conn})
			return
		}
	}
	n.callerConns[conn] = &callerConn{id: conn, Conn: admission.Conn{OpenedAt: n.now, LastUsed: n.now}}
}

// maxEvictionChecks limits the connections that are asked for unread input for one eviction.
const maxEvictionChecks = 16

// evictionCandidate returns the connection to evict for a new one, or nil. It never has an open set-up;
// connections that never carried an answered call go first. One on which a request waits to be read is spared.
func (n *Node) evictionCandidate() *callerConn {
	var spared map[*callerConn]bool
	first := n.firstToEvict(nil)
	if first == nil || n.cfg.HasUnreadInput == nil {
		return first
	}
	for candidate := first; candidate != nil && len(spared) < maxEvictionChecks; candidate = n.firstToEvict(spared) {
		if !n.cfg.HasUnreadInput(candidate.id) {
			return candidate
		}
		if spared == nil {
			spared = map[*callerConn]bool{}
		}
		spared[candidate] = true
	}
	return first
}

// firstToEvict returns the first connection to evict, except those that are spared, or nil.
func (n *Node) firstToEvict(spared map[*callerConn]bool) (first *callerConn) {
	for _, c := range n.callerConns {
		if c.OpenCalls > 0 || spared[c] {
			continue
		}
		if first == nil || c.EvictBefore(&first.Conn) || !first.EvictBefore(&c.Conn) && c.id < first.id {
			first = c
		}
	}
	return first
}

// closeCaller closes a connection from callers.
func (n *Node) closeCaller(c *callerConn) {
	n.Totals.CallerConnsClosed++
	n.removeCallerConn(c)
	n.effects = append(n.effects, Effect{Kind: EffectClose, Conn: c.id})
	n.resendReleases(c, 0) // what was written is read before the end
}

// removeCallerConn removes a connection from callers. The calls that stand outlive it.
func (n *Node) removeCallerConn(c *callerConn) {
	delete(n.callerConns, c.id)
	n.partialBytes -= c.PartialBytes
	n.adopted.connClosed(c.id)
	n.endedIDs.connClosed(c.id)
}

// CallerClosed handles the end of a connection from callers. Its open calls can no longer be answered and are
// cancelled.
func (n *Node) CallerClosed(now time.Duration, conn ConnID) {
	n.advanceClock(now)
	c := n.callerConns[conn]
	if c == nil {
		return
	}
	n.removeCallerConn(c)
	n.resendReleases(c, releaseResendWindow)
	if c.OpenCalls == 0 {
		return
	}
	for _, call := range n.callsAwaitingAnswer() {
		if call.conn == conn {
			n.Totals.CallerHungUp++
			n.cancelCall(call)
		}
	}
}

// CallerPartialMessage records how many bytes of an incomplete message have been received on a connection. If those of all
// connections are over their limit, the connections that hold the most are closed.
func (n *Node) CallerPartialMessage(now time.Duration, conn ConnID, size int) {
	n.advanceClock(now)
	c := n.callerConns[conn]
	if c == nil {
		return
	}
	n.partialBytes += size - c.PartialBytes
	c.PartialBytes = size
	switch {
	case size == 0:
		c.PartialSince = 0
	case c.PartialSince == 0:
		c.PartialSince = n.now
	}
	for n.partialBytes > n.cfg.MaxPartialBytes {
		n.Totals.ConnsOverMemory++
		n.answerAndClose(n.largestPartial())
	}
}

// largestPartial returns the connection that holds the most bytes of an incomplete message.
func (n *Node) largestPartial() (largest *callerConn) {
	for _, c := range n.callerConns {
		if largest == nil || c.PartialBytes > largest.PartialBytes || c.PartialBytes == largest.PartialBytes && c.id < largest.id {
			largest = c
		}
	}
	return largest
}

// answerAndClose gives the open calls of a connection from callers their final answer and closes it.
func (n *Node) answerAndClose(c *callerConn) {
	if c.OpenCalls > 0 {
		for _, call := range n.callsAwaitingAnswer() {
			if call.conn == c.id {
				n.demandAnswer(call)
			}
		}
	}
	n.closeCaller(c)
}

// CallerProtocolError handles input that cannot be parsed. Nothing after it can be parsed either, so the
// connection is closed.
func (n *Node) CallerProtocolError(now time.Duration, conn ConnID, err error) {
	n.advanceClock(now)
	c := n.callerConns[conn]
	if c == nil {
		return
	}
	n.Totals.Malformed++
	if parseErr, ok := sip.AsParseError(err); ok && parseErr.Status > 0 && parseErr.Partial != nil && parseErr.Partial.Method != sip.ACK {
		n.write(conn, codec.Response(parseErr.Partial, parseErr.Status, 0, nil))
	}
	n.Totals.ConnsUnparsable++
	n.answerAndClose(c)
}

// CallerMessage handles a message from a caller. receivedAt is when its last byte arrived.
func (n *Node) CallerMessage(now, receivedAt time.Duration, conn ConnID, msg *sip.Message) {
	n.advanceClock(now)
	c := n.callerConns[conn]
	if c == nil { // closed by the node: messages that cross the close are ignored
		return
	}
	c.LastUsed = n.now
	id, err := codec.ParseID(msg.Get("Call-ID"))
	switch {
	case !msg.IsRequest():
		n.confirmRelease(c, id)
	case msg.Method == sip.ACK:
	case msg.Method == sip.OPTIONS:
		n.write(conn, codec.Response(msg, 200, 0, nil))
	case msg.Method == sip.INVITE:
		n.handleInvite(c, receivedAt, msg)
	case err != nil:
		n.rejectMalformed(c, msg)
	case msg.Method == sip.CANCEL:
		switch call := n.callsByID[id]; {
		case call != nil && !call.isStanding && call.conn == conn:
			n.Totals.Cancelled++
			n.cancelCall(call)
		case call != nil && call.isStanding && call.conn == conn: // the CANCEL crossed the answer: the call stands
			n.releaseByCaller(call, codec.ParseCause(msg.Get("Reason")))
			n.releaseAtCaller(call, trunk.CauseNormal)
		}
	case msg.Method == sip.BYE:
		switch call := n.callsByID[id]; {
		case call != nil && call.isStanding:
			n.releaseByCaller(call, codec.ParseCause(msg.Get("Reason")))
			n.write(conn, codec.Response(msg, 200, 0, nil))
		case call != nil && call.conn == conn:
			n.Totals.Cancelled++
			n.cancelCall(call)
			n.write(conn, codec.Response(msg, 200, 0, nil))
		case n.hasEnded(id):
			n.pendingReleases.removeCall(id)
			n.write(conn, codec.Response(msg, 200, 0, nil))
		default:
			n.Totals.UnknownCalls++
			n.write(conn, codec.Response(msg, 481, 0, nil))
		}
	default:
		n.Totals.Malformed++
		n.write(conn, codec.Response(msg, 405, 0, nil))
	}
}

// rejectMalformed answers a request that no conforming caller sends. It is not forwarded.
func (n *Node) rejectMalformed(c *callerConn, msg *sip.Message) {
	n.Totals.Malformed++
	n.write(c.id, codec.Response(msg, 400, 0, nil))
}

// maintainCallers sends or drops releases that have waited for long and closes connections past their timeouts.
func (n *Node) maintainCallers() {
	n.maintainReleases()
	var expired []*callerConn
	for _, c := range n.callerConns {
		reason := c.CloseReason(n.now)
		if reason == admission.NoCloseReason {
			continue
		}
		n.Totals.countClosed(reason)
		expired = append(expired, c)
	}
	slices.SortFunc(expired, func(a, b *callerConn) int { return cmp.Compare(a.id, b.id) })
	for _, c := range expired {
		n.closeCaller(c)
	}
}
