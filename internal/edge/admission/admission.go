// Package admission decides which connections from callers to keep: how many, which one is evicted for a new one,
// and which ones are closed after a timeout. It has no I/O and no clock.
//
// Conforming callers hold at most a third of the descriptor limit and close connections that are idle for 4 s. A
// misbehaving client must be answered or disconnected within 3 s of connecting. A connection with an open
// set-up is never evicted. A connection closed here may be the idle connection of a conforming caller, which then
// opens another.
package admission

import "time"

const (
	unprovenTimeout = 2200 * time.Millisecond // no call on it was ever answered, and no set-up is open
	idleTimeout     = 8 * time.Second         // no set-up is open
	partialTimeout  = 2 * time.Second         // a message has started and does not complete
	maxOpenCalls    = 256                     // set-ups open on one connection
)

// At the limit on sockets a new connection waits for another one to close, so that a request that has arrived on it is not
// lost with it.
const (
	MaxAcceptWait       = 100 * time.Millisecond
	AcceptRetryInterval = time.Millisecond
)

// Conn is the state of a connection from callers.
type Conn struct {
	OpenedAt, LastUsed time.Duration
	PartialSince       time.Duration // when the current incomplete message started; 0: none
	OpenCalls          int           // set-ups that await an answer
	Proven             bool          // a call received on it was answered, or a standing call was adopted on it
}

// CloseReason is the timeout that a connection has exceeded.
type CloseReason uint8

// Close reasons.
const (
	NoCloseReason     CloseReason = iota
	IncompleteMessage             // a message has started and does not complete
	NoAnsweredCall                // no call on it was answered
	Idle
)

// CloseReason returns the timeout that the connection has exceeded, or NoCloseReason.
func (c *Conn) CloseReason(now time.Duration) CloseReason {
	switch {
	case c.OpenCalls > 0:
		return NoCloseReason
	case c.PartialSince > 0 && now-c.PartialSince >= partialTimeout:
		return IncompleteMessage
	case !c.Proven && now-c.OpenedAt >= unprovenTimeout:
		return NoAnsweredCall
	case now-c.LastUsed >= idleTimeout:
		return Idle
	}
	return NoCloseReason
}

// CanOpenCall reports whether one more set-up may be open on the connection.
func (c *Conn) CanOpenCall() bool { return c.OpenCalls < maxOpenCalls }

// EvictBefore reports whether c is evicted before other if one of the two must be. Unproven connections go
// first, then the least recently used. The caller ensures that neither has an open set-up.
func (c *Conn) EvictBefore(other *Conn) bool {
	if c.Proven != other.Proven {
		return !c.Proven
	}
	return c.LastUsed < other.LastUsed
}

// Limits on the standing calls that are known only because callers have named them.
const (
	adoptedCallBytes       = 512
	adoptedCallMemoryShare = 8 // one in so many bytes of the memory limit
)

// MaxAdoptedCalls returns how many standing calls, known only because callers have named them, fit into their share of
// a memory limit. It returns 0 if there is no limit.
func MaxAdoptedCalls(memoryBytes int64) int {
	return int(memoryBytes / adoptedCallMemoryShare / adoptedCallBytes)
}

// ConnLimits returns how many of a number of descriptors connections from callers may use, and how many all
// connections together may. The rest is for files, the listener, and connections that are being opened or
// closed.
func ConnLimits(descriptors int) (callers, all int) {
	return descriptors * 11 / 20, descriptors * 17 / 20
}
