// Package reach judges, from what connections show, whether a call server can be reached: when the next connection to
// it is opened, and when the calls that stand there must be over. It has no I/O, no clock and no randomness.
//
// One reset connection proves nothing: connections are reset while the server goes on. What proves that a process has
// ended is that its port goes on refusing connections while no other is open, or nothing is heard on those that are: a
// server that was drained and has stopped leaves them open. What a machine leaves behind that has vanished is
// silence: nothing on any connection, and new ones that never come up; the same is seen while the way there is cut, and
// then calls go on, so that it takes Unreachable until they are given up.
package reach

import "time"

// Settings of the judgement. Zero values stand for the defaults.
type Settings struct {
	Timeout     time.Duration // a connection that is not up by then never comes up; 500 ms
	Quiet       time.Duration // with nothing heard for so long, a connection is tried; 1.6 s
	Unreachable time.Duration // nothing heard for so long, and tries that do not come up: its calls are over; 5.5 s
	Refused     time.Duration // refused for so long, nothing open: its calls are over; 300 ms
	First, Most time.Duration // between failed tries; 40 ms, doubling up to 500 ms
}

func (s *Settings) fill() {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&s.Timeout, 500*time.Millisecond)
	def(&s.Quiet, 1600*time.Millisecond)
	def(&s.Unreachable, 5500*time.Millisecond)
	def(&s.Refused, 300*time.Millisecond)
	def(&s.First, 40*time.Millisecond)
	def(&s.Most, 500*time.Millisecond)
}

// State is what is known of the way to one call server.
type State struct {
	set      Settings
	open     int
	failures int           // tries in a row that did not come up
	heard    time.Duration // last sign of life: bytes, or a connection that came up
	next     time.Duration // no try before
	refused  time.Duration // when the refusals began that go on
	refusing bool
	silent   bool // the last failure was a try that never came up
}

// New begins with a server that was not tried yet.
func New(set Settings, now time.Duration) *State {
	set.fill()
	return &State{set: set, heard: now, next: now}
}

// Open tells that a connection came up.
func (s *State) Open(now time.Duration) {
	s.open++
	s.failures, s.refusing, s.silent, s.heard, s.next = 0, false, false, now, now
}

// Heard tells that bytes came.
func (s *State) Heard(now time.Duration) { s.heard, s.silent = now, false }

// Closed tells that an open connection has ended.
func (s *State) Closed(now time.Duration) {
	s.open--
	s.next = max(s.next, now+s.set.First)
}

// Failed tells that a try did not come up: refused at once, or never.
func (s *State) Failed(now time.Duration, refused bool) {
	s.failures++
	if refused && !s.refusing {
		s.refused = now
	}
	s.refusing, s.silent = refused, !refused
	s.next = now + min(s.set.First<<min(s.failures-1, 8), s.set.Most)
}

// Retry is when the next connection may be tried.
func (s *State) Retry() time.Duration { return s.next }

// Check says whether a connection is to be tried although others are open, since nothing is heard on them.
func (s *State) Check(now time.Duration) bool {
	return s.open > 0 && now-s.heard >= s.set.Quiet && now >= s.next
}

// Mute says whether the open connections lead nowhere: nothing is heard on them and two tries did not come up.
func (s *State) Mute(now time.Duration) bool {
	return s.failures >= 2 && now-s.heard >= s.set.Quiet
}

// Dead says whether calls that stand there are over, and why.
func (s *State) Dead(now time.Duration) (string, bool) {
	switch {
	case s.refusing && s.failures >= 2 && (s.open == 0 || s.Mute(now)) && now-s.refused >= s.set.Refused:
		return "refuses connections", true
	case s.silent && s.failures >= 2 && now-s.heard >= s.set.Unreachable:
		return "silent, connections never come up", true
	}
	return "", false
}
