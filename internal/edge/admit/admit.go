// Package admit decides which connections from callers are kept: how many, which gives way to a new one, and when one
// is closed by itself. It has no I/O and no clock.
//
// Callers hold at most a third of the descriptor limit and close what is idle after 4 s; a bad client is to be answered or
// closed within 3 s of connecting. A connection on which a set-up is open never gives way. What is closed here may be an
// honest caller's idle one: it opens another.
package admit

import "time"

const (
	unproven = 2200 * time.Millisecond // one that has brought no call that stood, with nothing open
	idle     = 8 * time.Second         // any with nothing open
	part     = 2 * time.Second         // one on which a message has begun that does not end
	openMost = 256                     // set-ups open on one
)

// Conn is what is known of a connection from callers.
type Conn struct {
	Opened, Used time.Duration
	Part         time.Duration // since when a message has begun that is not whole; 0: none
	Open         int           // set-ups owed an answer
	Proven       bool          // a call that came on it stood
}

// Over says whether the connection is to be closed now.
func (c *Conn) Over(now time.Duration) bool {
	return c.Open == 0 && (c.Part > 0 && now-c.Part >= part || !c.Proven && now-c.Opened >= unproven || now-c.Used >= idle)
}

// Takes says whether one more set-up may be open on the connection.
func (c *Conn) Takes() bool { return c.Open < openMost }

// YieldsTo says whether the connection gives way before another, where one of the two must: neither does with a set-up open.
func (c *Conn) YieldsTo(o *Conn) bool {
	if c.Proven != o.Proven {
		return !c.Proven
	}
	return c.Used < o.Used
}

// Shares are how many of a number of descriptors callers' connections may take, and all connections together. The rest
// is for files, the listener, and connections that are being opened or closed.
func Shares(descriptors int) (callers, all int) {
	return descriptors * 11 / 20, descriptors * 17 / 20
}
