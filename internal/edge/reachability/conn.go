package reachability

import "time"

// Conn tracks whether one connection to a call server still works. The server as a whole cannot tell: it may be alive on its
// other connections.
//
// Silence alone proves nothing. It counts only while something is due on the connection: the rest of a message, or a reply to
// a set-up, also to one that was abandoned before any reply came. The methods take the number of set-ups that are pending on it.
type Conn struct {
	openedAt           time.Duration
	receivedAt         time.Duration // when bytes last arrived; 0: never
	dueAt              time.Duration // when a set-up was last sent while nothing was due
	hasUnansweredSetUp bool          // a set-up was abandoned, and nothing has arrived since
	incompleteBytes    int           // received of a message whose rest is due
}

// Opened records that the connection opened.
func (c *Conn) Opened(now time.Duration) { c.openedAt = now }

// OpenedAt returns when the connection opened.
func (c *Conn) OpenedAt() time.Duration { return c.openedAt }

// Received records that bytes arrived, whether or not they complete a message.
func (c *Conn) Received(now time.Duration) { c.receivedAt, c.hasUnansweredSetUp = now, false }

// Incomplete records how many bytes of an incomplete message have arrived.
func (c *Conn) Incomplete(size int) { c.incompleteBytes = size }

// IncompleteBytes returns how many bytes of an incomplete message have arrived.
func (c *Conn) IncompleteBytes() int { return c.incompleteBytes }

// SetUpSent records that a set-up is written beside those that are pending.
func (c *Conn) SetUpSent(now time.Duration, pending int) {
	if !c.isDue(pending) {
		c.dueAt = now
	}
}

// SetUpAbandoned records that a set-up is released without a reply.
func (c *Conn) SetUpAbandoned() { c.hasUnansweredSetUp = true }

// LastReceived returns when bytes last arrived, or 0.
func (c *Conn) LastReceived() time.Duration { return c.receivedAt }

// LastActive returns when bytes last arrived, or when the connection opened.
func (c *Conn) LastActive() time.Duration { return max(c.openedAt, c.receivedAt) }

// isDue reports whether the server owes something on the connection.
func (c *Conn) isDue(pending int) bool {
	return pending > 0 || c.hasUnansweredSetUp || c.incompleteBytes > 0
}

// SilentFor returns for how long nothing has arrived while something was due.
func (c *Conn) SilentFor(now time.Duration, pending int) time.Duration {
	if !c.isDue(pending) {
		return 0
	}
	return now - max(c.LastActive(), c.dueAt)
}

// MayDropSetUps reports whether closing the connection gives up no set-up that may still be answered: none is pending, or an
// answer cannot arrive whole any more.
func (c *Conn) MayDropSetUps(pending int) bool { return pending == 0 || c.incompleteBytes > 0 }

// IsSuspect reports whether a connection that has been silent for that long may not work any more, so that another one is
// preferred to it.
func (s *State) IsSuspect(silence time.Duration) bool { return silence >= s.settings.ProbeAfter }

// HasStopped reports whether a connection that has been silent for that long no longer works: since it became suspect the
// server has sent something on another one. sinceReceived is how long ago that was.
func (s *State) HasStopped(silence, sinceReceived time.Duration) bool {
	return s.IsSuspect(silence) && sinceReceived <= silence-s.settings.ProbeAfter
}

// NeedsProbeBeside reports whether a new connection should be opened beside one that has been silent for that long. The server
// repeats on it the releases of calls that it has sent on its other connections.
func (s *State) NeedsProbeBeside(now, silence time.Duration) bool {
	return s.IsSuspect(silence) && now-s.openedAt >= s.settings.ProbeAfter
}

// NeedsProbeForCalls reports the same for a connection on which nothing is due, if calls stand whose release may come on it: it
// may have stopped too.
func (s *State) NeedsProbeForCalls(now, lastActive time.Duration) bool {
	return now-lastActive >= s.settings.QuietAfter && now-s.openedAt >= s.settings.QuietAfter
}

// probeLifetime is more than the time for which a connection is open that was opened as a probe and carries no set-up.
const probeLifetime = 2 * time.Second

// IsProbe reports whether a connection that has been open for that long may be a probe. Servers may send releases of calls that
// were set up on other connections on it, but if these were asked for after its end, one probe would follow another.
func IsProbe(openFor time.Duration) bool { return openFor < probeLifetime }
