// Package admission decides which connections from callers to keep: how many, which one is evicted for a new one,
// and which ones are closed after a timeout. It has no I/O and no clock.
//
// Conforming callers hold at most a third of the descriptor limit and close connections that are idle for 4 s. A
// misbehaving client must be answered or disconnected within 3 s of connecting. A connection with an open
// set-up is never evicted. A connection closed here may be the idle connection of a conforming caller, which then
// opens another.
package admission

import (
	"cmp"
	"time"
)

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
	PartialBytes       int           // received of the current incomplete message
	OpenCalls          int           // set-ups that await an answer
	OpenBytes          int           // of the messages of these set-ups
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

// Shares of the memory limit that callers can fill: one in so many bytes.
const (
	partialMessageShare = 16
	openCallShare       = 8
)

// defaultMemory stands for the memory limit where there is none.
const defaultMemory = 192 << 20

// MaxPartialBytes returns how many bytes of incomplete messages may be held for callers under a memory limit; 0 stands for no
// limit.
func MaxPartialBytes(memoryBytes int64) int {
	return int(cmp.Or(memoryBytes, defaultMemory) / partialMessageShare)
}

// MaxOpenBytes returns how many bytes of set-ups that await an answer may be held under a memory limit; 0 stands for no limit.
func MaxOpenBytes(memoryBytes int64) int {
	return int(cmp.Or(memoryBytes, defaultMemory) / openCallShare)
}

// CanHold reports whether a set-up may be held for the connection, where the set-ups of all connections hold some bytes already. At the
// limit, connections with less than an equal share may still place calls, so that one client's calls do not displace those of others.
func (c *Conn) CanHold(size, heldByAll, limit, conns int) bool {
	return heldByAll+size <= limit || c.OpenBytes+size <= limit/max(conns, 1)
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
