// Package reach judges, from what connections show, whether a call server can be reached: when the next connection to
// it is opened, and when the calls that stand there must be over. It has no I/O, no clock and no randomness.
//
// One reset connection proves nothing: connections are reset while the server goes on. What shows that a process has
// died is that its connections have ended and its port goes on refusing new ones. Where some are open and nothing is
// heard on them, calls may well go on there: a server that drains has been seen to refuse new connections and to say
// nothing on old ones for seconds while its calls went on, and a way that is cut looks the same as a machine that has
// vanished. Then it takes Unreachable until its calls are given up, or the list's word that it is gone.
package reach

import "time"

// spareFor is how long a peak of set-ups keeps its connections open ahead.
const spareFor = 10 * time.Second

// Demand is how many set-ups a node has had out at once at a server lately, those that wait for a connection included: so
// many connections are worth having open, and one at the least. Most nodes of a large fleet need no more than that one,
// and connections at a server are shared by all of them.
type Demand struct {
	peak, before int // in this span and the one before
	span         time.Duration
}

// Note takes how many are out now.
func (d *Demand) Note(now time.Duration, out int) {
	if now-d.span >= spareFor {
		d.before = d.peak
		if now-d.span >= 2*spareFor {
			d.before = 0
		}
		d.peak, d.span = 0, now
	}
	d.peak = max(d.peak, out)
}

// Connections is how many are worth having, of most.
func (d *Demand) Connections(most int) int { return min(most, max(1, d.peak, d.before)) }

// Stale says whether a server may be about to close a connection that was of no use for a while, where it closes those idle
// for so long (0: not told): a set-up written on it could cross the close.
func Stale(unused, idle time.Duration) bool { return idle > 0 && unused >= idle-idle/8 }

// Spare says whether a connection beyond those wanted may be closed: not as long as more may be on its way on it.
func Spare(unused time.Duration) bool { return unused >= time.Second }

// Settings of the judgement. Zero values stand for the defaults.
type Settings struct {
	Timeout     time.Duration // a connection that is not up by then never comes up; 500 ms
	Quiet       time.Duration // with nothing heard for so long, a connection is tried; 1.6 s
	Unreachable time.Duration // nothing heard for so long, and tries that do not come up: its calls are over; 6 s
	Refused     time.Duration // refused for so long, all connections ended: its calls are over; 1 s
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
	def(&s.Unreachable, 6*time.Second)
	def(&s.Refused, time.Second)
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
	left     bool // the node itself has closed those that led nowhere
}

// New begins with a server that was not tried yet.
func New(set Settings, now time.Duration) *State {
	set.fill()
	return &State{set: set, heard: now, next: now}
}

// Open tells that a connection came up.
func (s *State) Open(now time.Duration) {
	s.open++
	s.failures, s.refusing, s.left, s.heard, s.next = 0, false, false, now, now
}

// Heard tells that bytes came.
func (s *State) Heard(now time.Duration) { s.heard = now }

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
	s.refusing = refused
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

// Leave tells that the node closes the connections that lead nowhere.
func (s *State) Leave() { s.left = true }

// Silent says whether the last try got no answer at all: the way may be cut, and the server alive.
func (s *State) Silent() bool { return s.failures > 0 && !s.refusing }

// Dead says whether calls that stand there are over, and why. gone is the list's word that the server is.
func (s *State) Dead(now time.Duration, gone bool) (string, bool) {
	switch {
	case s.failures < 2:
	case gone && (s.open == 0 || s.Mute(now)):
		return "gone, and no connection comes up", true
	case s.refusing && s.open == 0 && !s.left && now-s.refused >= s.set.Refused:
		return "refuses connections", true
	case now-s.heard >= s.set.Unreachable:
		return "silent, and no connection comes up", true
	}
	return "", false
}
