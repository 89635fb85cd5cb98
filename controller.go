// Package larkrouter decides, for one access node, at which call server a call is set up, when, and whether
// at all. It does no I/O, starts no goroutines and reads no clock: Handle takes an event and the time and
// returns actions.
//
// Events, actions and settings are declared in api.go; the decisions are in controller.go and the files
// beside it. A call normally passes an Abacus Filter (gate.go, docs/design.md); the rest handles exceptional
// cases.
package larkrouter

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// slotsPerAim is the number of slots (T0) in the shortest aim. A slot is a fraction of the aim, because a
	// held call earns its full worth only within its aim. The first two borrowing offsets, 3 and 9 slots, lie
	// within the aim.
	slotsPerAim = 12

	// defaultAim is the shortest aim if no class has one.
	defaultAim = time.Second
)

// The hold aim is the expected set-up delay at a server above which it counts as congested.
const (
	// holdAimDivisor limits the hold aim to a third of the shortest aim. The hold aim is also at most three
	// quarters of Settings.Retransmit, because a set-up that waits longer is retransmitted, which costs the
	// server more work.
	holdAimDivisor = 3
)

const (
	minLogInterval = 5 * time.Second // between two log messages about a server
)

// slotTimerCookie identifies the slot timer in Wake and Timer.
const slotTimerCookie = 1

// unlimited is the rate of a gate that admits every call.
var unlimited = math.Inf(1)

// fromSeconds converts seconds to a Duration.
func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Controller decides for one access node. It is not safe for concurrent use.
type Controller struct {
	settings                      *Settings // for calls that arrive from now on
	rng                           *rand.Rand
	now                           time.Duration // the clock, as passed to Handle
	slot                          int           // number of the current slot
	slotStart                     time.Duration // start of the current slot, moved by stalls
	slotLength                    time.Duration // T0 of the Abacus Filter paper
	holdAim                       time.Duration // delay above which a server is congested
	fleetSize                     float64       // nodes that share the servers; fractional while it changes
	shortestAim                   time.Duration // of all classes
	servers                       []*server     // sorted by ID
	serverByID                    map[uint32]*server
	calls                         map[uint64]*openCall     // by ID
	openCalls                     []*openCall              // in order of arrival; may hold ended ones
	lossRate                      float64                  // smoothed share of set-ups that were lost
	offeredRate                   float64                  // new calls per second in all; a bound for each
	meanWorth                     float64                  // smoothed worth of a new call
	meanServerRate                float64                  // answers per second of a warm server of mean size
	hasRestoredRate               bool                     // meanServerRate was initialised by RestoredState
	referenceRate                 float64                  // highest bestRate for mean size, decaying
	meanServerSize, minServerSize float64                  // circuits per server, as reported
	answerQueue                   []*openCall              // held calls that wait for an answer
	actions                       []Action                 // returned by the current call of Handle
	started                       bool                     // Handle has been called
	slotTimerDue                  time.Duration            // when the slot timer is due
	stallEnd                      time.Duration            // end of the last stall of this node
	stallLength                   time.Duration            // length of that stall
	totalStall                    time.Duration            // sum of all stalls
	usualTimeLeft                 map[int]time.Duration    // Call.TimeLeft on undelayed arrival, by class
	failedCalls                   map[redialKey]failedCall // calls that ended without being set up
	listRetryAt                   time.Duration            // when to subscribe again; 0: no failure
}

func newController(s Settings, seed uint64) *Controller {
	c := &Controller{rng: rand.New(rand.NewPCG(seed, 0x6c61726b)), serverByID: map[uint32]*server{},
		calls: map[uint64]*openCall{}, usualTimeLeft: map[int]time.Duration{},
		failedCalls: map[redialKey]failedCall{}, fleetSize: max(1, float64(s.FleetSize))}
	c.applySettings(s)
	return c
}

// applySettings puts settings into force for calls that arrive from now on.
func (c *Controller) applySettings(s Settings) {
	if !s.SendsRetryAfter {
		s.MaxRetryAfter = 0
	}
	c.settings, c.shortestAim = &s, 0
	clear(c.usualTimeLeft)
	for _, class := range s.Classes {
		if class.Aim > 0 && (c.shortestAim == 0 || class.Aim < c.shortestAim) {
			c.shortestAim = class.Aim
		}
	}
	c.shortestAim = cmp.Or(c.shortestAim, defaultAim)
	c.slotLength = max(c.shortestAim/slotsPerAim, s.Tick, time.Millisecond)
	c.holdAim = c.shortestAim / holdAimDivisor
	if s.Retransmit > 0 {
		c.holdAim = min(c.holdAim, s.Retransmit*3/4)
	}
	for _, server := range c.servers {
		if server.lastAnswerAt == 0 { // latency still has its initial value, based on the hold aim
			server.latency = c.holdAim.Seconds() / 2
		}
	}
}

// emit appends an action to those that Handle returns.
func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

// logServer emits a Log action about a server, at most one per minLogInterval. The text names the server by
// its Number, as calls do, not by its ID.
func (c *Controller) logServer(s *server, format string, args ...any) {
	if s.loggedAt == 0 || c.now-s.loggedAt >= minLogInterval {
		s.loggedAt = c.now
		c.emit(Log{fmt.Sprintf("server %d: ", s.Number) + fmt.Sprintf(format, args...)})
	}
}

// Handle processes an event and returns the actions to take. The slice is valid until the next call of
// Handle.
func (c *Controller) Handle(now time.Duration, ev Event) []Action {
	c.actions, c.now = c.actions[:0], max(now, c.now)
	if !c.started {
		c.started, c.slotStart = true, c.now
		c.startSlotTimer()
		if c.settings.ListOnRequest {
			c.emit(Subscribe{true})
		}
	}
	c.detectStall()
	switch ev := ev.(type) {
	case ServerList:
		c.onServerList(ev)
	case Call:
		c.onCall(ev)
	case Standing:
		c.onStanding(ev)
	case AttemptResult:
		c.onAttemptResult(ev)
	case CallCancelled:
		c.endCall(c.calls[ev.Call], false)
	case AnswerDue:
		c.onAnswerDue(ev)
	case Timer:
		if ev.Cookie == slotTimerCookie {
			c.onSlotTimer()
		}
	case ProbeResult:
		c.onReport(c.serverByID[ev.Server], ev.Report)
	case FleetSize:
		c.onFleetSize(ev)
	case Reconfigured:
		c.applySettings(ev.Settings)
	case RestoredState:
		c.onRestoredState(ev)
	}
	return c.actions
}

// startSlotTimer requests a Timer event at the end of the current slot.
func (c *Controller) startSlotTimer() {
	c.slotTimerDue = c.now + c.slotLength
	c.emit(Wake{slotTimerCookie, c.slotLength})
}

// detectStall recognises a stall of this node by a slot timer that is overdue by more than a slot. Slots and
// the ages of set-ups then exclude the stall, as otherwise the stall would look like a queue at every server.
// Held calls stay due at the same time by the clock.
func (c *Controller) detectStall() {
	overdue := c.now - c.slotTimerDue
	if overdue <= c.slotLength {
		return
	}
	c.slotTimerDue, c.stallEnd, c.stallLength = c.now, c.now, overdue
	c.totalStall, c.slotStart = c.totalStall+overdue, c.slotStart+overdue
	for _, call := range c.openCalls {
		call.dueSlot -= int(overdue / c.slotLength)
	}
}

// activeTime is the clock without the time during which this node was stalled.
func (c *Controller) activeTime() time.Duration { return c.now - c.totalStall }

// onSlotTimer ends the slots that have passed, removes expired state, cancels lost attempts and routes the
// held calls that are due, those worth most first.
func (c *Controller) onSlotTimer() {
	c.startSlotTimer()
	if c.settings.ListOnRequest && c.listRetryAt > 0 && c.now >= c.listRetryAt {
		c.emit(Subscribe{true})
		c.listRetryAt = 0
	}
	for processed := 0; c.now >= c.slotStart+c.slotLength && processed < rateWindowSlots; processed++ {
		c.slotStart, c.slot = c.slotStart+c.slotLength, c.slot+1
		c.updateEstimates()
		c.markSilentAsLost()
		for _, s := range c.servers {
			c.endSlot(s)
		}
	}
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		if s.Phase != Gone {
			s.goneAt = c.now
		}
		expired := c.now-s.goneAt > goneServerLifetime && len(s.outstanding) == 0
		if expired {
			delete(c.serverByID, s.ID)
		}
		return expired
	})
	maps.DeleteFunc(c.failedCalls, func(_ redialKey, t failedCall) bool { return t.expires <= c.now })
	c.cancelLost()
	var due []*openCall
	for _, call := range c.openCalls {
		switch {
		case call.hasEnded || call.isAttemptPending:
		case c.now+c.slotLength >= call.deadline:
			c.refuseOrAbandon(call)
		case call.isHeld && call.dueSlot <= c.slot && c.now >= call.notBefore:
			due = append(due, call)
		}
	}
	slices.SortStableFunc(due, func(a, b *openCall) int {
		return cmp.Compare(c.worthAt(b, c.now), c.worthAt(a, c.now))
	})
	c.answerQueue = c.answerQueue[:0] // every call in it is due now and joins again if it still has to wait
	for _, call := range due {
		c.routeOrHold(call)
	}
	c.openCalls = slices.DeleteFunc(c.openCalls, func(call *openCall) bool { return call.hasEnded })
}
