package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parties of the network.
const (
	Caller = "callers"
	Node   = "nodes"
	Server = "servers"
	List   = "list"
)

// Place is a host: what kind, and which of them, from 0.
type Place struct {
	Kind string
	N    int
}

// Side is a choice of hosts: of a kind, the first share of them. "" is any kind.
type Side struct {
	Kind  string
	Share float64 // 0: all
	Of    int     // how many there are
}

func (s Side) has(p Place) bool {
	return s.Kind == "" || s.Kind == p.Kind && (s.Share <= 0 || p.N < max(1, int(s.Share*float64(s.Of)+0.5)))
}

// Fault is something that the network does to messages, for a time.
type Fault struct {
	From, To Side
	Both     bool // the other way as well
	Loss     float64
	Cut      bool          // nothing gets through; connections wait
	Delay    time.Duration // more
	Until    time.Duration
}

func (f *Fault) on(from, to Place) bool {
	return f.From.has(from) && f.To.has(to) || f.Both && f.From.has(to) && f.To.has(from)
}

// Weather is what the network does now.
type Weather struct {
	faults []*Fault
	rng    *rand.Rand
}

// NewWeather begins with a clear network.
func NewWeather(s Streams) *Weather { return &Weather{rng: s.Of("weather")} }

// Add lets a fault begin.
func (w *Weather) Add(now time.Duration, f Fault) {
	w.faults = slices.DeleteFunc(w.faults, func(f *Fault) bool { return f.Until <= now })
	w.faults = append(w.faults, &f)
}

// On is what becomes of a message now: more delay, lost, and until when what must not be lost waits.
func (w *Weather) On(now time.Duration, from, to Place) (delay time.Duration, lost bool, until time.Duration) {
	for _, f := range w.faults {
		if f.Until <= now || !f.on(from, to) {
			continue
		}
		delay += f.Delay
		if f.Cut {
			lost, until = true, max(until, f.Until)
		} else if f.Loss > 0 && w.rng.Float64() < f.Loss {
			lost, until = true, max(until, now+resend)
		}
	}
	return delay, lost, until
}

// resend is when TCP sends a lost segment again (RFC 6298, section 2: no sooner than a second; what is common is less).
const resend = 200 * time.Millisecond
