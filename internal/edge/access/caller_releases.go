package access

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits on releases that callers have not received or confirmed.
const (
	maxUnconfirmedReleases = 500                    // of one connection
	unsentReleaseTimeout   = 10 * time.Minute       // how long a release waits that was never written
	resentReleaseTimeout   = 30 * time.Second       // how long a release waits that was written before
	releaseResendWindow    = time.Second            // a release is sent again if the connection that it was written to ends within this time
	anyConnAfter           = 500 * time.Millisecond // a release that has waited this long goes to one connection from callers after another
	maxOffersAtOnce        = 8                      // connections that a release goes to in one maintenance interval
	maxOffersPerInterval   = 2000                   // of all releases in one maintenance interval
)

// callerRelease is a release of a call for its caller. It goes to the connection on which the call was received. If that
// has ended, it goes to another connection from callers that had an answer. Others may belong to clients that ignore the
// release, also if calls were named on them. If only such are open, the release goes to one with an open set-up at once and,
// after anyConnAfter, to one after the other, until a caller has confirmed it or a connection gets an answer.
type callerRelease struct {
	callID    uint64
	message   []byte
	conn      ConnID        // on which the call was received
	since     time.Duration // when the call ended
	sentAt    time.Duration // when it was last written; 0: never
	sentTo    ConnID        // open connection that it was written to first; 0: none
	triedUpTo ConnID        // connections up to this one have been tried in order
	isClaimed bool          // the call is known only from its caller, and may not exist
	isPending bool          // it is in the queue
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
	rel := &callerRelease{callID: call.id, message: call.release(cause), conn: call.conn, since: n.now, isClaimed: isClaimed}
	if c := n.callerConns[call.conn]; c != nil {
		n.writeRelease(rel, c)
		return
	}
	n.sendRelease(rel)
}

// sendRelease sends a release on the connection that was last used of those that had an answer. If there is none, the release waits
// for one, and goes to a connection with an open set-up meanwhile.
func (n *Node) sendRelease(rel *callerRelease) {
	if to := n.lastUsedConn(func(c *callerConn) bool { return c.hadAnswer }); to != nil {
		n.writeRelease(rel, to)
		return
	}
	if rel.hasExpired(n.now) {
		return
	}
	n.pendingReleases.push(rel)
	if to := n.lastUsedConn(func(c *callerConn) bool { return c.OpenCalls > 0 }); to != nil {
		n.offerRelease(rel, to)
	}
}

// WaitingReleases returns the number of releases that no client known to handle calls has got yet.
func (n *Node) WaitingReleases() int { return n.pendingReleases.len() }

// hasReached reports whether the release was written to a connection that is open.
func (r *callerRelease) hasReached(conn ConnID) bool { return conn == r.sentTo || conn <= r.triedUpTo }

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

// offerRelease writes a release that waits to a connection whose client may ignore it.
func (n *Node) offerRelease(rel *callerRelease, to *callerConn) {
	n.write(to.id, rel.message)
	rel.sentAt = n.now
	if rel.sentTo == 0 {
		rel.sentTo = to.id
		to.offeredReleases = append(to.offeredReleases, rel)
	}
}

// writeRelease writes a release to a connection and remembers it until it is confirmed.
func (n *Node) writeRelease(rel *callerRelease, to *callerConn) {
	if !rel.hasReached(to.id) {
		rel.sentAt, rel.sentTo = n.now, to.id
		n.write(to.id, rel.message)
	}
	to.rememberRelease(rel, n.now)
}

// rememberRelease remembers a release that was written to the connection, in case it ends soon. Those written a while ago have
// been read.
func (c *callerConn) rememberRelease(rel *callerRelease, now time.Duration) {
	c.unconfirmedReleases = slices.DeleteFunc(c.unconfirmedReleases, func(rel *callerRelease) bool {
		return now-rel.sentAt >= releaseResendWindow
	})
	if len(c.unconfirmedReleases) < maxUnconfirmedReleases || c.forgetRelease(rel.isClaimed) {
		c.unconfirmedReleases = append(c.unconfirmedReleases, rel)
	}
}

// forgetRelease makes room for one more release: the oldest of a claimed call gives way, or if there is none, the oldest of all,
// but not to that of a claimed call. It reports whether there is room.
func (c *callerConn) forgetRelease(isForClaimed bool) bool {
	i := slices.IndexFunc(c.unconfirmedReleases, func(rel *callerRelease) bool { return rel.isClaimed })
	if i < 0 && isForClaimed {
		return false
	}
	c.unconfirmedReleases = slices.Delete(c.unconfirmedReleases, max(i, 0), max(i, 0)+1)
	return true
}

// confirmRelease records that a caller has confirmed the release of a call.
func (n *Node) confirmRelease(c *callerConn, callID uint64) {
	c.unconfirmedReleases = slices.DeleteFunc(c.unconfirmedReleases, func(rel *callerRelease) bool { return rel.callID == callID })
	n.pendingReleases.removeCall(callID)
}

// resendReleases sends the releases again that the caller may not have read before its connection ended: those written
// less than window before, and those that wait for a better connection.
func (n *Node) resendReleases(ended *callerConn, window time.Duration) {
	for _, rel := range ended.unconfirmedReleases {
		if n.now-rel.sentAt < window {
			n.sendRelease(rel)
		}
	}
	for _, rel := range ended.offeredReleases {
		n.pendingReleases.connClosed(rel)
	}
	if n.pendingReleases.len() == 0 {
		return
	}
	if to := n.lastUsedConn(func(c *callerConn) bool { return c.OpenCalls > 0 }); to != nil {
		n.offerReleases(to)
	}
}

// markAnswered records that a call received on a connection was answered, and sends on it the releases that wait.
func (n *Node) markAnswered(c *callerConn) {
	c.Proven, c.hadAnswer = true, true
	if n.pendingReleases.len() == 0 {
		return
	}
	for _, rel := range n.pendingReleases.takeAll() {
		n.writeRelease(rel, c)
	}
}

// sinceWritten returns how long ago a release was written, or since when it waits if it never was.
func (n *Node) sinceWritten(rel *callerRelease) time.Duration {
	return n.now - cmp.Or(rel.sentAt, rel.since)
}

// offerReleases writes releases that wait, and that no open connection has got, to a connection on which a call was placed or named.
// Their number is limited, so that a client that opens many connections cannot make the node write all of them on each.
func (n *Node) offerReleases(to *callerConn) {
	n.pendingReleases.takeUnreached(maxUnconfirmedReleases-len(to.offeredReleases), func(rel *callerRelease) bool {
		if rel.hasReached(to.id) {
			return false
		}
		n.offerRelease(rel, to)
		return true
	})
}

// maintainReleases drops releases that have found no caller in time, and offers those that have waited for long to the connections
// from callers, oldest first.
func (n *Node) maintainReleases() {
	if n.pendingReleases.len() == 0 {
		return
	}
	n.pendingReleases.compact(func(rel *callerRelease) bool {
		if !rel.hasExpired(n.now) {
			return false
		}
		n.Totals.ReleasesExpired++
		n.log(LogEntry{Event: "release expired", Call: rel.callID,
			Cause: fmt.Sprintf("no client known to handle calls came within %v", n.sinceWritten(rel))})
		return true
	})
	conns := slices.Sorted(maps.Keys(n.callerConns))
	offers := 0
	n.pendingReleases.each(func(rel *callerRelease) bool {
		if n.now-rel.since >= anyConnAfter {
			offers += n.tryConns(rel, conns)
		}
		return offers < maxOffersPerInterval
	})
}

// tryConns offers a release to the next connections, of all in order of their age. It returns their number.
func (n *Node) tryConns(rel *callerRelease, conns []ConnID) (offers int) {
	next, _ := slices.BinarySearch(conns, rel.triedUpTo+1)
	for _, conn := range conns[next:] {
		if offers == maxOffersAtOnce {
			break
		}
		if conn != rel.sentTo {
			n.offerRelease(rel, n.callerConns[conn])
			offers++
		}
		rel.triedUpTo = conn
	}
	return offers
}
