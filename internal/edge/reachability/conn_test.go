package reachability

import (
	"testing"
	"time"
)

// TestSilentFor checks for how long a connection counts as silent 10 s after it opened: only while something is due, and not before that.
func TestSilentFor(t *testing.T) {
	const second = time.Second
	for name, tc := range map[string]struct {
		history func(*Conn)
		pending int
		want    time.Duration
	}{
		"nothing sent":           {func(*Conn) {}, 0, 0},
		"set-up pending":         {func(c *Conn) { c.SetUpSent(4*second, 0) }, 1, 6 * second},
		"second set-up pending":  {func(c *Conn) { c.SetUpSent(4*second, 0); c.SetUpSent(5*second, 1) }, 2, 6 * second},
		"one of two is answered": {func(c *Conn) { c.SetUpSent(0, 0); c.Received(5 * second) }, 1, 5 * second},
		"both are answered":      {func(c *Conn) { c.SetUpSent(0, 0); c.Received(5 * second) }, 0, 0},
		"set-up abandoned":       {func(c *Conn) { c.SetUpSent(4*second, 0); c.SetUpAbandoned() }, 0, 6 * second},
		"abandoned, then heard":  {func(c *Conn) { c.SetUpSent(4*second, 0); c.SetUpAbandoned(); c.Received(6 * second) }, 0, 0},
		"incomplete message":     {func(c *Conn) { c.Received(7 * second); c.Incomplete(3) }, 0, 3 * second},
		"message completed":      {func(c *Conn) { c.Received(7 * second); c.Incomplete(3); c.Received(8 * second); c.Incomplete(0) }, 0, 0},
	} {
		var conn Conn
		conn.Opened(0)
		tc.history(&conn)
		if got := conn.SilentFor(10*second, tc.pending); got != tc.want {
			t.Errorf("%s: silent for %v, want %v", name, got, tc.want)
		}
	}
}
