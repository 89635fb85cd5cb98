package larkrouter

import (
	"cmp"
	"math"
	"time"
)

const (
	// answerMarginTicks is the number of ticks before the deadline by which the final answer is given.
	answerMarginTicks = 4
)

// openCall is a call whose final answer is pending.
type openCall struct {
	Call
	class            Class
	firstTryAt       time.Duration // when the caller first tried; its aim runs from then
	deadline         time.Duration // when the final answer is due
	attempts         int           // number of attempts sent
	isAttemptPending bool          // an attempt is outstanding
	dueSlot          int           // slot in which the call is routed again while it is held
	notBefore        time.Duration // earliest time of the next attempt, by the release guard
	chainPosition    int           // number of borrowing offsets used
	isHeld           bool          // waits for dueSlot
	mayHaveRun       bool          // an attempt may have run; the firstRun fields describe the first such one
	firstRunAt       time.Duration
	firstRunZone     int
	firstRunNumber   int
	hasEnded         bool      // it stands, or has its final answer or needs none
	settings         *Settings // settings in force when the call arrived
}

// redialKey and failedCall recognise redials of calls that were not set up, by the number called and the
// class.
type redialKey struct{ number, class uint64 }

type failedCall struct{ firstTryAt, expires time.Duration }

// onCall accepts a new call.
func (c *Controller) onCall(ev Call) {
	if c.calls[ev.ID] != nil {
		return
	}
	call := &openCall{Call: ev, class: c.classOf(ev.Class), settings: c.settings,
		deadline: c.now + ev.TimeLeft - answerMarginTicks*max(c.settings.Tick, time.Millisecond)}
	call.firstTryAt = c.firstTryTime(call)
	c.calls[ev.ID] = call
	c.openCalls = append(c.openCalls, call)
	c.meanWorth = cmp.Or(c.meanWorth, call.class.Worth)
	// Each new call has a weight of 0.01 in the smoothed mean.
	c.meanWorth += (c.worthAt(call, c.now) - c.meanWorth) * 0.01
	if s := c.destination(call); s != nil {
		s.slotCalls++
	}
	// Calls that arrive together at the end of a stall are spread over some slots.
	if c.now == c.stallEnd && call.firstTryAt+call.class.Aim-c.now > 2*c.holdAim {
		c.hold(call, c.rng.IntN(firstOffset+1))
		return
	}
	c.routeOrHold(call)
}

// classOf returns a class by its number, or a default for a number that the settings do not have.
func (c *Controller) classOf(number int) Class {
	if number >= 0 && number < len(c.settings.Classes) {
		return c.settings.Classes[number]
	}
	return Class{Aim: c.shortestAim, Worth: 1, LateShare: 1}
}

// firstTryTime is when the caller first tried; the aim runs from then. Unmarked redials are recognised by the
// number called.
func (c *Controller) firstTryTime(call *openCall) time.Duration {
	key := redialKey{call.CalledNumber, uint64(call.Class)}
	if previous, ok := c.failedCalls[key]; ok && call.CalledNumber != 0 &&
		(call.IsRedial || !c.settings.CallersMarkRedials) {
		delete(c.failedCalls, key)
		return previous.firstTryAt
	}
	if call.IsRedial {
		return c.now - max(0, call.class.Deadline-call.TimeLeft)
	}
	if c.now == c.stallEnd { // the call may have arrived, unread, during the stall
		return c.now - min(max(0, c.usualTimeLeft[call.Class]-call.TimeLeft), c.stallLength)
	}
	c.usualTimeLeft[call.Class] = call.TimeLeft
	return c.now
}

// endCall removes a call. If it was not set up, its first try is remembered until its deadline, to recognise
// a redial.
func (c *Controller) endCall(call *openCall, stood bool) {
	if call == nil {
		return
	}
	if !stood && call.CalledNumber != 0 {
		c.failedCalls[redialKey{call.CalledNumber, uint64(call.Class)}] = failedCall{call.firstTryAt,
			call.firstTryAt + call.class.Deadline}
	}
	call.hasEnded, call.isHeld = true, false
	delete(c.calls, call.ID)
}

// worthAt is what the call earns if it is set up at the given time.
func (c *Controller) worthAt(call *openCall, at time.Duration) float64 {
	if at >= call.firstTryAt+call.class.Aim {
		return call.class.Worth * call.class.LateShare
	}
	return call.class.Worth
}

// routeOrHold sends the call if a gate admits it. Otherwise the call is held until a slot or an answer, or
// refused or abandoned.
func (c *Controller) routeOrHold(call *openCall) {
	call.isHeld = false
	if c.attemptsExhausted(call) || c.now >= call.deadline {
		c.refuseOrAbandon(call)
	} else if s := c.route(call); s != nil {
		c.send(s, call)
	} else {
		c.holdOrRefuse(call)
	}
}

// holdOrRefuse handles a call that no gate admits now.
func (c *Controller) holdOrRefuse(call *openCall) {
	maxOffset, nextOffset := int((call.deadline-c.now)/c.slotLength), firstOffset<<call.chainPosition
	s := c.serverToBorrowFrom(call)
	switch {
	case s == nil: // no server is available: wait for one until the deadline
		c.hold(call, firstOffset)
		return
	case c.canAwaitAnswer(s, call): // an answer may cause it to be sent before that
		c.answerQueue = append(c.answerQueue, call)
		c.hold(call, 1)
		return
	case s.chainBorrowed[s.head] > 0 && nextOffset <= maxOffset && call.chainPosition < chainLength:
		s.chainBorrowed[s.head]--
		call.chainPosition++
		c.hold(call, nextOffset)
		return
	default:
		if offset, position, ok := s.borrow(maxOffset, c.rng.Float64()); ok {
			call.chainPosition = position
			c.hold(call, offset)
			return
		}
	}
	c.refuseOrAbandon(call)
}

// hold holds a call for a number of slots. The call is refused or abandoned at once if either the current
// slot or the release guard ends only at or after the deadline.
func (c *Controller) hold(call *openCall, slots int) {
	if call.isHeld, call.dueSlot = true, c.slot+slots; max(c.slotTimerDue, call.notBefore) >= call.deadline {
		c.refuseOrAbandon(call)
	}
}

// send starts an attempt of the call at a server.
func (c *Controller) send(s *server, call *openCall) {
	if !math.IsInf(s.rate, 1) {
		s.tokens--
	}
	s.outstanding = append(s.outstanding,
		outstandingAttempt{callID: call.ID, attempt: call.attempts, sentAt: c.activeTime()})
	call.isAttemptPending, call.attempts = true, call.attempts+1
	c.emit(Attempt{call.ID, s.ID, call.deadline - c.now})
}

// onAnswerDue gives the final answer of a call that the node can no longer wait for.
func (c *Controller) onAnswerDue(ev AnswerDue) {
	call := c.calls[ev.Call]
	if call == nil && ev.IsAlerting {
		call = &openCall{Call: Call{ID: ev.Call}, class: c.classOf(ev.Class), settings: c.settings}
	}
	if call == nil {
		return
	}
	call.mayHaveRun = call.mayHaveRun || ev.AttemptSent
	c.refuseOrAbandon(call)
}

// refuseOrAbandon gives the final answer: Abandon if an attempt may have run and a repeat at another server
// might not be recognised, otherwise Refuse.
func (c *Controller) refuseOrAbandon(call *openCall) {
	if call.mayHaveRun && (call.class.Repeat == NonRepeatable ||
		call.class.Repeat == Keyed && call.class.Scope != ScopeAll) {
		c.emit(Abandon{call.ID})
	} else {
		spread := 0.25 + 0.75*c.rng.Float64() // spreads the redials over time
		c.emit(Refuse{call.ID, time.Duration(spread * float64(call.settings.MaxRetryAfter))})
	}
	c.endCall(call, false)
}
