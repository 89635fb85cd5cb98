package reachability

import (
	"slices"
	"time"
)

// Conn tracks whether one connection to a call server still works. The server as a whole cannot tell: it may be alive on its
// other connections.
//
// Silence alone proves nothing. It counts only while something is due on the connection: the rest of a message, or a reply to
// a set-up, also to one that was abandoned before any reply came.
type Conn struct {
	openedAt           time.Duration
	receivedAt         time.Duration // when bytes last arrived; 0: never
	dueAt              time.Duration // when a set-up was last sent while nothing was due
	pendingSetUps      int           // sent, and neither answered nor abandoned
	hasUnansweredSetUp bool          // a set-up was abandoned, and nothing has arrived since
	incompleteBytes    int           // received of a message whose rest is due
}

// Opened records that the connection opened.
func (c *Conn) Opened(now time.Duration) { c.openedAt = now }

// Received records that bytes arrived, whether or not they complete a message.
func (c *Conn) Received(now time.Duration) { c.receivedAt, c.hasUnansweredSetUp = now, false }

// Incomplete records how many bytes of an incomplete message have arrived.
func (c *Conn) Incomplete(size int) { c.incompleteBytes = size }

// IncompleteBytes returns how many bytes of an incomplete message have arrived.
func (c *Conn) IncompleteBytes() int { return c.incompleteBytes }

// SetUpSent records that a set-up was written.
func (c *Conn) SetUpSent(now time.Duration) {
	if !c.isDue() {
		c.dueAt = now
	}
	c.pendingSetUps++
}

// SetUpEnded records that a set-up was answered or abandoned.
func (c *Conn) SetUpEnded() { c.pendingSetUps-- }

// SetUpAbandoned records that a set-up is released without a reply. SetUpEnded follows.
func (c *Conn) SetUpAbandoned() { c.hasUnansweredSetUp = true }

// LastActive returns when bytes last arrived, or when the connection opened.
func (c *Conn) LastActive() time.Duration { return max(c.openedAt, c.receivedAt) }

// isDue reports whether the server owes something on the connection.
func (c *Conn) isDue() bool {
	return c.pendingSetUps > 0 || c.hasUnansweredSetUp || c.incompleteBytes > 0
}

// SilentFor returns for how long nothing has arrived while something was due.
func (c *Conn) SilentFor(now time.Duration) time.Duration {
	if !c.isDue() {
		return 0
	}
	return now - max(c.LastActive(), c.dueAt)
}

// HasReceivedSince reports whether bytes have arrived since the given time.
func (c *Conn) HasReceivedSince(at time.Duration) bool { return c.receivedAt > 0 && c.receivedAt >= at }

// MayDropSetUps reports whether closing the connection gives up no set-up that may still be answered: none is pending, or an
// answer cannot arrive whole any more.
func (c *Conn) MayDropSetUps() bool { return c.pendingSetUps == 0 || c.incompleteBytes > 0 }

// IsSuspect reports whether a connection may not work any more, so that another one is preferred to it.
func (s *State) IsSuspect(c *Conn, now time.Duration) bool {
	return c.SilentFor(now) >= s.settings.ProbeAfter
}

// HasStopped reports whether a connection no longer works: it has been silent for too long, and after that the server has
// sent something on one of its other connections.
func (s *State) HasStopped(c *Conn, now time.Duration, others []*Conn) bool {
	if !s.IsSuspect(c, now) {
		return false
	}
	limit := now - c.SilentFor(now) + s.settings.ProbeAfter
	return slices.ContainsFunc(others, func(other *Conn) bool { return other != c && other.HasReceivedSince(limit) })
}

// NeedsProbeBeside reports whether a new connection should be opened beside one that may have stopped. The server repeats on
// it the releases of calls that it has sent on its other connections.
func (s *State) NeedsProbeBeside(c *Conn, now time.Duration) bool {
	return s.IsSuspect(c, now) && now-s.openedAt >= s.settings.ProbeAfter
}

// NeedsProbeForCalls reports the same for a connection on which nothing is due, if calls stand whose release may come on it: it
// may have stopped too.
func (s *State) NeedsProbeForCalls(c *Conn, now time.Duration) bool {
	return now-c.LastActive() >= s.settings.QuietAfter && now-s.openedAt >= s.settings.QuietAfter
}
