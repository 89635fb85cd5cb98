package access

import (
	"cmp"
	"slices"
	"time"
)

// Limits on releases that callers have not received or confirmed.
const (
	maxUnconfirmedReleases = 500                    // of one connection
	unsentReleaseTimeout   = 10 * time.Minute       // how long a release waits that was never written
	resentReleaseTimeout   = 30 * time.Second       // how long a release waits that was written before
	releaseResendWindow    = time.Second            // a release is sent again if the connection that it was written to ends within this time
	anyConnAfter           = 500 * time.Millisecond // a release that has waited this long goes to any connection from callers
)

// callerRelease is a release of a call for its caller. It goes to the connection on which the call was received. If that
// has ended, it goes to the best other connection from callers: one that had an answer, else one with an open set-up, else,
// after anyConnAfter, any. A connection without an answer may belong to a client that ignores the release, also if calls were
// named on it. Therefore a release that was written only to such a connection is sent again on the next one that gets an
// answer, unless a caller has confirmed it.
type callerRelease struct {
	callID    uint64
	message   []byte
	conn      ConnID        // on which the call was received
	since     time.Duration // when the call ended
	sentAt    time.Duration // when it was last written; 0: never
	isClaimed bool          // the call is known only from its caller, and may not exist
}

// forwardRelease notifies a caller that its call server has released its call.
func (n *Node) forwardRelease(call *callState, cause byte) { n.writeFirstRelease(call, cause, false) }

// releaseAtCaller notifies a caller of the end of its call, of which the call server has said nothing. A call that this process has
// not set up is known only from its caller.
func (n *Node) releaseAtCaller(call *callState, cause byte) {
	n.writeFirstRelease(call, cause, call.attempts == 0)
}

func (n *Node) writeFirstRelease(call *callState, cause byte, isClaimed bool) {
	n.Totals.CallerReleases++
	rel := callerRelease{callID: call.id, message: call.release(cause), conn: call.conn, since: n.now, isClaimed: isClaimed}
	if c := n.callerConns[call.conn]; c != nil {
		n.writeRelease(rel, c)
		return
	}
	n.sendRelease(rel)
}

// sendRelease sends a release on the best connection that is open. If there is none, the release waits.
func (n *Node) sendRelease(rel callerRelease) {
	to := n.lastUsedConn(func(c *callerConn) bool { return c.hadAnswer })
	if to == nil {
		to = n.lastUsedConn(func(c *callerConn) bool { return c.OpenCalls > 0 && c.hasRoomForRelease() })
	}
	if to != nil {
		n.writeRelease(rel, to)
		return
	}
	if !rel.hasExpired(n.now) {
		n.pendingReleases.push(rel)
	}
}

// hasExpired reports whether the release is not worth sending any more.
func (r *callerRelease) hasExpired(now time.Duration) bool {
	if r.sentAt == 0 {
		return now-r.since > unsentReleaseTimeout
	}
	return now-r.since > resentReleaseTimeout
}

// lastUsedConn returns the suitable connection from callers that was used last, or nil.
func (n *Node) lastUsedConn(isSuitable func(*callerConn) bool) (last *callerConn) {
	for _, c := range n.callerConns {
		if !isSuitable(c) {
			continue
		}
		if last == nil || c.LastUsed > last.LastUsed || c.LastUsed == last.LastUsed && c.id > last.id {
			last = c
		}
	}
	return last
}

// hasRoomForRelease reports whether one more release that is written to the connection can be remembered.
func (c *callerConn) hasRoomForRelease() bool {
	return len(c.unconfirmedReleases) < maxUnconfirmedReleases
}

// writeRelease writes a release to a connection and remembers it until it is confirmed. On a connection that
// had an answer, one that was written a while ago has been read.
func (n *Node) writeRelease(rel callerRelease, to *callerConn) {
	rel.sentAt = n.now
	n.write(to.id, rel.message)
	isOldestRead := to.hadAnswer && len(to.unconfirmedReleases) > 0 && n.now-to.unconfirmedReleases[0].sentAt >= releaseResendWindow
	if isOldestRead {
		to.unconfirmedReleases = slices.Clone(to.unconfirmedReleases[1:])
	}
	if to.hasRoomForRelease() || to.forgetRelease(rel.isClaimed) {
		to.unconfirmedReleases = append(to.unconfirmedReleases, rel)
	}
}

// forgetRelease makes room for one more release: the oldest of a claimed call gives way, or if there is none, the oldest of all,
// but not to that of a claimed call. It reports whether there is room.
func (c *callerConn) forgetRelease(isForClaimed bool) bool {
	i := slices.IndexFunc(c.unconfirmedReleases, func(rel callerRelease) bool { return rel.isClaimed })
	if i < 0 && isForClaimed {
		return false
	}
	c.unconfirmedReleases = slices.Delete(c.unconfirmedReleases, max(i, 0), max(i, 0)+1)
	return true
}

// confirmRelease records that the caller has confirmed the release of a call.
func (c *callerConn) confirmRelease(callID uint64) {
	c.unconfirmedReleases = slices.DeleteFunc(c.unconfirmedReleases, func(rel callerRelease) bool { return rel.callID == callID })
}

// resendReleases sends the releases again that the caller may not have read before its connection ended: those written
// less than window before, and those that still need a connection that had an answer.
func (n *Node) resendReleases(ended *callerConn, window time.Duration) {
	for _, rel := range ended.unconfirmedReleases {
		if ended.mayIgnore(&rel) || n.now-rel.sentAt < window {
			n.sendRelease(rel)
		}
	}
}

// dropRelease drops a release that waits for a connection, because its caller has released the call itself.
func (n *Node) dropRelease(callID uint64) {
	n.pendingReleases.remove(func(rel callerRelease) bool { return rel.callID == callID })
}

// markAnswered records that a call received on a connection was answered, and sends on it the releases that wait and those that
// were written only to connections without an answer.
func (n *Node) markAnswered(c *callerConn) {
	c.Proven = true
	if !c.hadAnswer {
		c.hadAnswer = true
		n.takeIgnorableReleases()
	}
	n.sendPendingReleases(c)
}

// mayIgnore reports whether the client of the connection may have ignored a release written to it: the connection neither had
// an answer nor is the call's own.
func (c *callerConn) mayIgnore(rel *callerRelease) bool { return !c.hadAnswer && c.id != rel.conn }

// takeIgnorableReleases moves the releases that clients may have ignored to those that wait.
func (n *Node) takeIgnorableReleases() {
	var unanswered []*callerConn
	for _, c := range n.callerConns {
		if !c.hadAnswer && len(c.unconfirmedReleases) > 0 {
			unanswered = append(unanswered, c)
		}
	}
	slices.SortFunc(unanswered, func(a, b *callerConn) int { return cmp.Compare(a.id, b.id) })
	for _, c := range unanswered {
		c.unconfirmedReleases = slices.DeleteFunc(c.unconfirmedReleases, func(rel callerRelease) bool {
			if c.mayIgnore(&rel) {
				n.pendingReleases.push(rel)
			}
			return c.mayIgnore(&rel)
		})
	}
}

// sendPendingReleases sends the releases that wait on a connection, as many as it can take.
func (n *Node) sendPendingReleases(c *callerConn) {
	for n.pendingReleases.len() > 0 && (c.hadAnswer || c.hasRoomForRelease()) {
		n.writeRelease(n.pendingReleases.pop(), c)
	}
}

// maintainReleases drops releases that have found no caller in time, and sends those that have waited for long on any
// connection from callers.
func (n *Node) maintainReleases() {
	if n.pendingReleases.len() == 0 {
		return
	}
	n.pendingReleases.remove(func(rel callerRelease) bool { return rel.hasExpired(n.now) })
	hasWaited := n.pendingReleases.contains(func(rel callerRelease) bool { return n.now-rel.since >= anyConnAfter })
	if !hasWaited {
		return
	}
	if c := n.lastUsedConn((*callerConn).hasRoomForRelease); c != nil {
		n.sendPendingReleases(c)
	}
}
