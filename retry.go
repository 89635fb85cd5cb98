package larkrouter

import "slices"

const (
	// highLossRate is the share of lost set-ups, over all servers, above which a set-up that is unanswered
	// while others are answered fast is taken as lost.
	highLossRate = 0.04
)

// onAttemptResult processes the outcome of an attempt and decides whether and when the call is tried again.
func (c *Controller) onAttemptResult(ev AttemptResult) {
	s, call := c.serverByID[ev.Server], c.calls[ev.Call]
	if s != nil {
		c.onReport(s, ev.Report)
		attempt := s.removeOutstanding(ev.Call, ev.Attempt)
		if attempt != nil && attempt.isPresumedLost && (ev.Outcome == TimedOut || ev.Outcome == Cancelled) {
			c.lossRate += (1 - c.lossRate) * lossSmoothing
		} else if attempt != nil {
			ev.Elapsed = min(ev.Elapsed, c.activeTime()-attempt.sentAt)
			c.recordOutcome(s, ev)
		}
	}
	if ev.CallEnded {
		c.endCall(call, false)
		return
	}
	if call == nil || !call.isAttemptPending || ev.Attempt != call.attempts-1 {
		return
	}
	call.isAttemptPending = false
	neverRan := ev.Outcome == Rejected || ev.Outcome == NoConnection || ev.Outcome == NotSent
	if !neverRan && !call.mayHaveRun && s != nil {
		call.mayHaveRun, call.firstRunAt, call.firstRunZone, call.firstRunNumber =
			true, c.now-ev.Elapsed, s.Zone, s.Number
	}
	switch ev.Outcome {
	case TimedOut, Reset, Cancelled: // its circuits may stay occupied until the release guard has passed
		call.notBefore = c.now + call.settings.ReleaseGuard
		c.hold(call, int(call.settings.ReleaseGuard/c.slotLength)+1)
	case Completed: // it stood and has ended, but its answer was late or lost: it must not be set up twice
		c.refuseOrAbandon(call)
	case Failed: // the fault may be transient: spread the attempts over the aim
		c.hold(call, firstOffset)
	default:
		c.routeOrHold(call)
	}
}

// attemptsExhausted reports whether the call has had all attempts that it may have.
func (c *Controller) attemptsExhausted(call *openCall) bool {
	return call.settings.MaxAttempts > 0 && call.attempts >= call.settings.MaxAttempts
}

// cancelLost cancels attempts that are presumed lost if another attempt can still be set up within the
// aim.
func (c *Controller) cancelLost() {
	for _, s := range c.servers {
		for i := range s.outstanding {
			attempt, age := &s.outstanding[i], c.activeTime()-s.outstanding[i].sentAt
			attempt.isPresumedLost = attempt.isPresumedLost ||
				age >= c.holdAim && c.lossRate > highLossRate && s.latency <= c.holdAim.Seconds()
			if attempt.isPresumedLost && age >= c.holdAim && !attempt.cancelled &&
				c.canRetryWithinAim(c.calls[attempt.callID]) {
				attempt.cancelled = true
				c.emit(Cancel{attempt.callID, attempt.attempt})
				c.logServer(s, "set-up lost, cancelled after %.1f s", age.Seconds())
			}
		}
	}
}

// canRetryWithinAim reports whether a cancelled call can still be set up within its aim. A call that would be
// late either way is not cancelled.
func (c *Controller) canRetryWithinAim(call *openCall) bool {
	if call == nil || !call.settings.MayCancel || call.class.Repeat == NonRepeatable ||
		c.attemptsExhausted(call) {
		return false
	}
	return slices.ContainsFunc(c.servers, func(s *server) bool {
		resendAt := c.now + call.settings.ReleaseGuard + fromSeconds(c.expectedDelay(s))
		return c.isEligible(s, call) && !c.isCongested(s) && resendAt < call.firstTryAt+call.class.Aim
	})
}
