// Package notify decides when SNMP notifications are due. It compares successive observations of the node and applies
// hysteresis and a rate limit. It has no I/O and no clock.
//
// The rules are:
//   - A server that is suspended or cold is reported at once; that it is back, after it has been normal for Settle.
//   - Overload begins when the share of refused calls in an interval of length Window reaches EnterShare. It ends when the share
//     has been below LeaveShare for Settle.
//   - The server list is lost when its source has failed for ListAfter. It is back as soon as the source works again.
//   - The interval between two notifications for the same server, about overload or about the list is at least MinGap.
//     Suppressed notifications are counted. When the interval has passed, the current state is reported, so
//     that the last notification always matches it.
package notify

import (
	"maps"
	"slices"
	"time"
)

// Kind is a kind of notification. Its value is the ID of the notification in the MIB.
type Kind uint32

// The kinds of notifications, named as in the MIB.
const (
	ServerClosed Kind = iota + 1
	ServerCold
	ServerBack
	OverloadEntered
	OverloadLeft
	ListLost
	ListBack
)

// Settings configure a Decider; the package comment explains them.
type Settings struct {
	Settle, Window, MinGap, ListAfter time.Duration
	EnterShare, LeaveShare            float64 // shares of refused calls at which overload begins and ends, from 0 to 1
	MinCalls                          uint64  // min calls in a window; with fewer the share counts as 0
}

// DefaultSettings are the default settings.
var DefaultSettings = Settings{Settle: 5 * time.Second, Window: 5 * time.Second, MinGap: 10 * time.Second, ListAfter: 10 * time.Second,
	EnterShare: 0.1, LeaveShare: 0.02, MinCalls: 10}

// State is the state of a server, as far as notifications depend on it.
type State uint8

// The states of a server. Normal means neither cold nor suspended.
const (
	Normal State = iota
	Cold
	Suspended
)

// Observation is the part of the node's state on which notifications depend, at one time.
type Observation struct {
	Servers          map[uint32]State // by the server's number in the list
	Offered, Refused uint64           // number of calls since the start of the node
	ListLost         bool             // the source of the server list fails
}

// Event is a notification to send.
type Event struct {
	Kind   Kind
	Server uint32 // number of the server; 0 if the notification is not about a server
}

// Decider keeps the last reported states and decides which notifications are due.
type Decider struct {
	settings         Settings
	servers          map[uint32]*serverState
	windowStart      time.Duration
	offeredBefore    uint64 // Observation.Offered at windowStart
	refusedBefore    uint64 // Observation.Refused at windowStart
	overloaded       bool
	belowLeaveSince  time.Duration // time since which the share has been below LeaveShare; -1 if it is not
	overload         announcement[bool]
	listFailingSince time.Duration // time since which the source of the list has failed; -1 if it works
	listLost         bool
	list             announcement[bool]
	Suppressed       uint64 // number of suppressed notifications
}

// serverState holds the observed and the reported state of one server.
type serverState struct {
	state     State         // last observed state
	since     time.Duration // when it was first observed
	announced announcement[State]
}

// announcement is the last reported value of what notifications are sent about.
type announcement[T comparable] struct {
	value      T
	sentAt     time.Duration
	suppressed T // value whose notification was suppressed and counted last
}

// longAgo is the time of the last notification before any was sent.
const longAgo = -1 << 50

// New returns a Decider.
func New(s Settings) *Decider {
	return &Decider{settings: s, servers: map[uint32]*serverState{}, belowLeaveSince: -1, listFailingSince: -1,
		overload: announcement[bool]{sentAt: longAgo}, list: announcement[bool]{sentAt: longAgo}}
}

// update reports whether a notification of the value is due now. One that the interval since the last one suppresses is counted.
func (a *announcement[T]) update(now time.Duration, value T, minGap time.Duration, suppressedCount *uint64) bool {
	if value == a.value {
		a.suppressed = a.value
		return false
	}
	if now-a.sentAt >= minGap {
		a.value, a.sentAt, a.suppressed = value, now, value
		return true
	}
	if a.suppressed != value {
		a.suppressed = value
		*suppressedCount++
	}
	return false
}

// Observe takes an observation and returns the notifications that are due, those about servers first, ordered by number.
func (d *Decider) Observe(now time.Duration, observed Observation) []Event {
	events := d.observeServers(now, observed.Servers)
	d.updateOverload(now, observed)
	if d.overload.update(now, d.overloaded, d.settings.MinGap, &d.Suppressed) {
		events = append(events, Event{Kind: map[bool]Kind{true: OverloadEntered, false: OverloadLeft}[d.overloaded]})
	}
	d.updateList(now, observed.ListLost)
	if d.list.update(now, d.listLost, d.settings.MinGap, &d.Suppressed) {
		events = append(events, Event{Kind: map[bool]Kind{true: ListLost, false: ListBack}[d.listLost]})
	}
	return events
}

// observeServers returns the notifications about servers that are due.
func (d *Decider) observeServers(now time.Duration, observed map[uint32]State) (events []Event) {
	for _, id := range slices.Sorted(maps.Keys(observed)) {
		server := d.servers[id]
		if server == nil {
			server = &serverState{since: now, announced: announcement[State]{sentAt: longAgo}}
			d.servers[id] = server
		}
		if state := observed[id]; state != server.state {
			server.state, server.since = state, now
		}
		value := server.state
		if value == Normal && now-server.since < d.settings.Settle {
			value = server.announced.value
		}
		if server.announced.update(now, value, d.settings.MinGap, &d.Suppressed) {
			events = append(events, Event{map[State]Kind{Normal: ServerBack, Cold: ServerCold, Suspended: ServerClosed}[value], id})
		}
	}
	maps.DeleteFunc(d.servers, func(id uint32, _ *serverState) bool { // removed from the list
		_, isListed := observed[id]
		return !isListed
	})
	return events
}

// updateList decides whether the list is lost.
func (d *Decider) updateList(now time.Duration, isFailing bool) {
	switch {
	case !isFailing:
		d.listLost, d.listFailingSince = false, -1
	case d.listFailingSince < 0:
		d.listFailingSince = now
	case now-d.listFailingSince >= d.settings.ListAfter:
		d.listLost = true
	}
}

// updateOverload evaluates the share of refused calls at the end of each window.
func (d *Decider) updateOverload(now time.Duration, observed Observation) {
	if now-d.windowStart < d.settings.Window {
		return
	}
	offered, refused := observed.Offered-d.offeredBefore, observed.Refused-d.refusedBefore
	d.windowStart, d.offeredBefore, d.refusedBefore = now, observed.Offered, observed.Refused
	share := 0.0
	if offered >= d.settings.MinCalls {
		share = float64(refused) / float64(offered)
	}
	switch {
	case share >= d.settings.EnterShare:
		d.overloaded, d.belowLeaveSince = true, -1
	case share >= d.settings.LeaveShare:
		d.belowLeaveSince = -1
	case d.belowLeaveSince < 0:
		d.belowLeaveSince = now
	}
	if d.overloaded && d.belowLeaveSince >= 0 && now-d.belowLeaveSince >= d.settings.Settle {
		d.overloaded = false
	}
}
