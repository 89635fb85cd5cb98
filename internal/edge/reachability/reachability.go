// Package reachability tracks whether a call server can be reached. From what a node observes on its connections it
// decides when to open the next connection to the server and when the standing calls there must be considered
// lost. It has no I/O, no clock and no randomness.
//
// A single reset proves nothing: connections are reset while the server keeps running. A process is known to
// have died when its connections have ended and its port keeps refusing new ones. If connections are open but
// receive nothing, calls may still be running: a draining server was observed to refuse new connections and to
// stay silent on existing ones for seconds while its calls continued, and a network partition looks the same as
// a machine that has vanished. In that case calls are abandoned only after Settings.UnreachableAfter, or once
// the server list reports that the server is gone.
package reachability

import "time"

// demandSpan is how long a peak of concurrent set-ups keeps its connections open.
const demandSpan = 10 * time.Second

// Demand tracks the peak number of concurrent set-ups that a node recently had at one server, including those
// that wait for a connection. The node keeps that many connections open, and at least one. Most nodes of a
// large fleet need no more than one, and the connections that a server accepts are shared by all nodes.
type Demand struct {
	peak, previousPeak int // peaks of the current span and of the one before it
	spanStart          time.Duration
}

// Observe records the current number of pending set-ups.
func (d *Demand) Observe(now time.Duration, pending int) {
	if now-d.spanStart >= demandSpan {
		d.previousPeak = d.peak
		if now-d.spanStart >= 2*demandSpan {
			d.previousPeak = 0
		}
		d.peak, d.spanStart = 0, now
	}
	d.peak = max(d.peak, pending)
}

// Connections returns how many connections to keep open: between 1 and limit.
func (d *Demand) Connections(limit int) int { return min(limit, max(1, d.peak, d.previousPeak)) }

// IsStale reports whether the server may be about to close a connection that has been unused for that long.
// idleTimeout is the time after which the server closes idle connections; 0 means unknown. A set-up written on
// a stale connection could cross the close.
func IsStale(unused, idleTimeout time.Duration) bool {
	return idleTimeout > 0 && unused >= idleTimeout-idleTimeout/8
}

// CanCloseSpare reports whether a connection beyond the wanted number may be closed. A recently used one may
// not: more messages may still be on their way on it.
func CanCloseSpare(unused time.Duration) bool { return unused >= time.Second }

// Settings are the timeouts of the reachability decisions. Zero values select the defaults.
type Settings struct {
	ConnectTimeout         time.Duration // a connection that is not open by then never opens; default 500 ms
	ProbeAfter             time.Duration // after receiving nothing for this long, a new connection is tried as a probe; default 1.6 s
	QuietAfter             time.Duration // as ProbeAfter, for one connection with standing calls on which nothing is due; default 4 s
	UnreachableAfter       time.Duration // after receiving nothing for this long and failed dials, the calls are lost; default 6 s
	RefusedAfter           time.Duration // after dials were refused for this long with no connection open, the calls are lost; default 1 s
	MinBackoff, MaxBackoff time.Duration // time between failed dials; defaults 40 ms, doubling up to 500 ms
}

func (s *Settings) setDefaults() {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&s.ConnectTimeout, 500*time.Millisecond)
	setDefault(&s.ProbeAfter, 1600*time.Millisecond)
	setDefault(&s.QuietAfter, 4*time.Second)
	setDefault(&s.UnreachableAfter, 6*time.Second)
	setDefault(&s.RefusedAfter, time.Second)
	setDefault(&s.MinBackoff, 40*time.Millisecond)
	setDefault(&s.MaxBackoff, 500*time.Millisecond)
}

// State is the reachability of one call server.
type State struct {
	settings          Settings
	openConns         int
	failures          int           // consecutive failed dials
	lastReceived      time.Duration // when bytes were last received or a connection last opened
	openedAt          time.Duration // when a connection last opened
	nextDial          time.Duration // earliest time of the next dial
	refusedSince      time.Duration // start of the current sequence of refused dials
	isRefusing        bool
	hasAbandonedConns bool // the node has closed the connections that were unresponsive
}

// New returns the state of a server that has not been dialed yet.
func New(settings Settings, now time.Duration) *State {
	settings.setDefaults()
	return &State{settings: settings, lastReceived: now, nextDial: now}
}

// ConnOpened records that a connection opened.
func (s *State) ConnOpened(now time.Duration) {
	s.openConns++
	s.failures, s.isRefusing, s.hasAbandonedConns = 0, false, false
	s.lastReceived, s.openedAt, s.nextDial = now, now, now
}

// BytesReceived records that bytes arrived on a connection.
func (s *State) BytesReceived(now time.Duration) { s.lastReceived = now }

// ConnClosed records that an open connection ended.
func (s *State) ConnClosed(now time.Duration) {
	s.openConns--
	s.nextDial = max(s.nextDial, now+s.settings.MinBackoff)
}

// DialFailed records a failed dial: refused by the server, or unanswered.
func (s *State) DialFailed(now time.Duration, refused bool) {
	s.failures++
	if refused && !s.isRefusing {
		s.refusedSince = now
	}
	s.isRefusing = refused
	s.nextDial = now + min(s.settings.MinBackoff<<min(s.failures-1, 8), s.settings.MaxBackoff)
}

// NextDial returns the earliest time of the next dial.
func (s *State) NextDial() time.Duration { return s.nextDial }

// NeedsProbe reports whether a new connection should be tried although others are open, because nothing is
// received on them.
func (s *State) NeedsProbe(now time.Duration) bool {
	return s.openConns > 0 && now-s.lastReceived >= s.settings.ProbeAfter && now >= s.nextDial
}

// IsUnresponsive reports whether the open connections are unusable: nothing is received on them and two dials
// failed.
func (s *State) IsUnresponsive(now time.Duration) bool {
	return s.failures >= 2 && now-s.lastReceived >= s.settings.ProbeAfter
}

// ConnsAbandoned records that the node closes its unresponsive connections.
func (s *State) ConnsAbandoned() { s.hasAbandonedConns = true }

// IsSilent reports whether the last dial got no answer at all. The network may be partitioned while the server
// is alive.
func (s *State) IsSilent() bool { return s.failures > 0 && !s.isRefusing }

// IsDead reports whether the calls standing at the server are lost, and why. listedGone is whether the server
// list reports the server as gone.
func (s *State) IsDead(now time.Duration, listedGone bool) (string, bool) {
	switch {
	case s.failures < 2:
	case listedGone && (s.openConns == 0 || s.IsUnresponsive(now)):
		return "gone, and connections fail", true
	case s.isRefusing && s.openConns == 0 && !s.hasAbandonedConns && now-s.refusedSince >= s.settings.RefusedAfter:
		return "refuses connections", true
	case now-s.lastReceived >= s.settings.UnreachableAfter:
		return "silent, and connections fail", true
	}
	return "", false
}
