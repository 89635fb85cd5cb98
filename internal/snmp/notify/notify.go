// Package notify decides which notifications are due: from what the node shows, with hysteresis and a limit on rate.
// It has no I/O and no clock.
//
// Hysteresis, as the operators' page states it: a server's closing and coldness are told at once, its coming back once
// it has been open for Settle; overload is entered when the share refused in a window of Window is at or over Enter and
// left when it has been under Leave for Settle; the list is lost when its source has failed for ListAfter, and back at
// once. One notification of a kind and server goes out in MinGap at most; what is kept back is counted, and the state
// that holds when the gap ends is told, so that the last word is always true.
package notify

import (
	"slices"
	"time"
)

// Kind numbers the notifications as the MIB does.
type Kind uint32

// The kinds.
const (
	ServerClosed Kind = iota + 1
	ServerCold
	ServerBack
	OverloadEntered
	OverloadLeft
	ListLost
	ListBack
)

// Settings of the decisions.
type Settings struct {
	Settle, Window, MinGap, ListAfter time.Duration
	Enter, Leave                      float64 // shares of the calls refused
	AtLeast                           uint64  // calls in a window from which a share says something
}

// Defaults are the settings where none are given.
var Defaults = Settings{Settle: 5 * time.Second, Window: 5 * time.Second, MinGap: 10 * time.Second, ListAfter: 10 * time.Second,
	Enter: 0.1, Leave: 0.02, AtLeast: 10}

// State of a server as it matters here.
type State uint8

// The states.
const (
	Fine State = iota
	Cold
	Closed
)

// Seen is what the node shows at a time.
type Seen struct {
	Servers          map[uint32]State
	Offered, Refused uint64 // so far
	ListLost         bool
}

// Event is a notification to be sent.
type Event struct {
	Kind   Kind
	Server uint32
}

// Decider holds what was told last.
type Decider struct {
	set      Settings
	servers  map[uint32]*server
	windowAt time.Duration
	offered  uint64
	refused  uint64
	over     bool
	calm     time.Duration // since when the share is under Leave; -1: it is not
	overSent time.Duration
	overTold bool
	lostAt   time.Duration
	lost     bool
	listTold bool
	listSent time.Duration
	Held     uint64 // notifications kept back
}

type server struct {
	state, told State
	since, sent time.Duration
	heldFor     State
}

// never is a time long before any.
const never = -1 << 50

// New makes a decider.
func New(s Settings) *Decider {
	return &Decider{set: s, servers: map[uint32]*server{}, calm: -1, overSent: never, listSent: never, lostAt: -1}
}

// Look takes what the node shows and tells what is due, servers by number.
func (d *Decider) Look(now time.Duration, s Seen) []Event {
	var out []Event
	ids := make([]uint32, 0, len(s.Servers))
	for id := range s.Servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		v := d.servers[id]
		if v == nil {
			v = &server{sent: never, since: now}
			d.servers[id] = v
		}
		if st := s.Servers[id]; st != v.state {
			v.state, v.since = st, now
		}
		due := v.state != v.told && (v.state != Fine || now-v.since >= d.set.Settle)
		switch {
		case !due:
			v.heldFor = v.told
		case now-v.sent < d.set.MinGap:
			if v.heldFor != v.state {
				v.heldFor = v.state
				d.Held++
			}
		default:
			v.told, v.sent, v.heldFor = v.state, now, v.state
			out = append(out, Event{map[State]Kind{Fine: ServerBack, Cold: ServerCold, Closed: ServerClosed}[v.state], id})
		}
	}
	for id := range d.servers {
		if _, ok := s.Servers[id]; !ok { // gone from the list for good
			delete(d.servers, id)
		}
	}
	d.overload(now, s)
	if d.over != d.overTold {
		if now-d.overSent >= d.set.MinGap {
			d.overTold, d.overSent = d.over, now
			kind := OverloadLeft
			if d.over {
				kind = OverloadEntered
			}
			out = append(out, Event{Kind: kind})
		}
	}
	switch {
	case !s.ListLost:
		d.lost, d.lostAt = false, -1
	case d.lostAt < 0:
		d.lostAt = now
	case now-d.lostAt >= d.set.ListAfter:
		d.lost = true
	}
	if d.lost != d.listTold && now-d.listSent >= d.set.MinGap {
		d.listTold, d.listSent = d.lost, now
		kind := ListBack
		if d.lost {
			kind = ListLost
		}
		out = append(out, Event{Kind: kind})
	}
	return out
}

// overload judges the share refused, window by window.
func (d *Decider) overload(now time.Duration, s Seen) {
	if now-d.windowAt < d.set.Window {
		return
	}
	offered, refused := s.Offered-d.offered, s.Refused-d.refused
	d.windowAt, d.offered, d.refused = now, s.Offered, s.Refused
	share := 0.0
	if offered >= d.set.AtLeast {
		share = float64(refused) / float64(offered)
	}
	switch {
	case share >= d.set.Enter:
		d.over, d.calm = true, -1
	case share >= d.set.Leave:
		d.calm = -1
	case d.calm < 0:
		d.calm = now
	}
	if d.over && d.calm >= 0 && now-d.calm >= d.set.Settle {
		d.over = false
	}
}
