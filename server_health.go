package larkrouter

import (
	"math"
	"slices"
	"time"
)

const (
	// latencySmoothing is the weight of each delay in the smoothed answer time.
	latencySmoothing = 0.5
)

// Detection of lost set-ups, and suspension of failing servers.
const (
	lossSmoothing     = 0.08 // weight of each answered or lost set-up in the loss rate
	recentLossRate    = 2e-5 // loss rate that is left of one lost set-up after a hundred answers
	failuresToSuspend = 12   // consecutive failures; where set-ups fail at random, shorter series are common
	firstSuspension   = 250 * time.Millisecond
	maxSuspension     = 2 * time.Second
)

// outstandingAttempt is an attempt whose outcome is pending.
type outstandingAttempt struct {
	callID    uint64
	attempt   int           // index among the attempts of the call
	sentAt    time.Duration // by activeTime
	cancelled bool          // a Cancel was issued
	// isPresumedLost is set if an attempt that was sent well after this one has been answered, or if
	// markSilentAsLost, cancelLost or a report takes this one as lost. It says nothing about the queue then.
	isPresumedLost bool
}

// expectedDelay is the time in seconds that a set-up sent now would wait: the smoothed answer time, or the
// age of the oldest unanswered set-up if that is longer.
func (c *Controller) expectedDelay(s *server) float64 {
	oldest, _ := c.oldestUnanswered(s)
	return max(s.latency, oldest.Seconds())
}

// oldestUnanswered returns the age of the oldest set-up that may still wait in the server's queue, which is
// served in order, and the number of such set-ups.
func (c *Controller) oldestUnanswered(s *server) (oldest time.Duration, count float64) {
	for _, attempt := range s.outstanding {
		if !attempt.isPresumedLost {
			oldest, count = max(oldest, c.activeTime()-attempt.sentAt), count+1
		}
	}
	return oldest, count
}

// isCongested reports whether the expected delay exceeds the hold aim.
func (c *Controller) isCongested(s *server) bool { return c.expectedDelay(s) > c.holdAim.Seconds() }

// onStanding processes the answer of a successful set-up.
func (c *Controller) onStanding(ev Standing) {
	if s := c.serverByID[ev.Server]; s != nil {
		if attempt := s.removeOutstanding(ev.Call, ev.Attempt); attempt != nil {
			s.presumeLost(attempt.sentAt - c.slotLength)
			c.lossRate -= c.lossRate * lossSmoothing
			if age := c.activeTime() - attempt.sentAt; ev.Elapsed < age+c.slotLength ||
				age.Seconds() > s.latency {
				c.recordDelay(s, min(age, ev.Elapsed).Seconds())
			}
			s.slotAnswers, s.consecutiveFailures, s.lastAnswerAt, s.suspendedFor =
				s.slotAnswers+1, 0, c.activeTime(), 0
		}
	}
	c.endCall(c.calls[ev.Call], true)
	c.sendNextWaiting()
}

// recordDelay updates the smoothed answer time with a delay in seconds.
func (c *Controller) recordDelay(s *server, delay float64) {
	if s.lastAnswerAt == 0 { // latency still has its initial value
		s.latency = min(delay, s.latency)
	}
	s.latency += (delay - s.latency) * latencySmoothing
	if delay <= c.holdAim.Seconds() {
		s.lastWithinAimAt = c.activeTime()
	}
}

// removeOutstanding removes an attempt from the outstanding ones and returns it, or nil.
func (s *server) removeOutstanding(callID uint64, attempt int) *outstandingAttempt {
	for i, candidate := range s.outstanding {
		if candidate.callID == callID && candidate.attempt == attempt {
			s.outstanding = slices.Delete(s.outstanding, i, i+1)
			return &candidate
		}
	}
	return nil
}

// presumeLost marks the outstanding attempts sent before the given time as lost.
func (s *server) presumeLost(before time.Duration) {
	for i := range s.outstanding {
		s.outstanding[i].isPresumedLost = s.outstanding[i].isPresumedLost || s.outstanding[i].sentAt < before
	}
}

// recordOutcome updates the server's state from the outcome of an attempt.
func (c *Controller) recordOutcome(s *server, ev AttemptResult) {
	switch ev.Outcome {
	case Rejected, Failed, Reset:
		// These outcomes may come fast, but they are not recorded as short delays, which would attract calls.
		// Without a free circuit, or with a full processor while answers are fast, there is no long queue,
		// but the server gets more calls than it can take.
		hasQueue := ev.ServerFull && (c.isCongested(s) || c.activeTime()-s.lastAnswerAt >= c.shortestAim)
		if ev.Outcome == Rejected && !ev.ServerFull {
			s.freeCircuits, s.freeCircuitsAt = 0, c.now
		}
		if hasQueue {
			c.recordDelay(s, max(ev.Elapsed, ev.ServerWait, 2*c.shortestAim).Seconds())
			s.lastAnswerAt = c.activeTime()
		} else if ev.Outcome == Rejected && c.activeTime()-s.lastReducedAt >= c.holdAim {
			c.reduceRate(s, min(s.rate, c.estimatedAnswerRate(s)), "no free line or processor full")
		}
		if s.consecutiveFailures++; s.consecutiveFailures >= failuresToSuspend {
			c.suspend(s, "set-ups rejected or failed", ev.Outcome == Reset)
		}
	case NoConnection: // once, the path may be at fault; twice, it is down or has restarted and is cold
		s.consecutiveFailures++
		c.suspend(s, "no connection", s.consecutiveFailures > 1)
	case TimedOut:
		s.latency = max(s.latency, ev.Elapsed.Seconds())
	}
}

// suspend opens the circuit breaker of a server, for a time that doubles with each suspension until an
// attempt succeeds. After that time, one attempt at a time probes the server.
func (c *Controller) suspend(s *server, reason string, mayHaveRestarted bool) {
	s.suspendedFor = min(max(2*s.suspendedFor, firstSuspension), maxSuspension)
	s.suspendedUntil = c.now + time.Duration((0.75+0.5*c.rng.Float64())*float64(s.suspendedFor))
	if mayHaveRestarted {
		c.startWarmUp(s, c.now)
	}
	c.logServer(s, "%s, suspended for %v", reason, s.suspendedFor)
}

// onReport processes a server's report: its free and total circuits, and its queue if it reports that.
func (c *Controller) onReport(s *server, report []float64) {
	if s == nil || len(report) < 2 || !(report[0] >= 0) || !(report[1] > 0) {
		return
	}
	s.freeCircuits, s.totalCircuits, s.freeCircuitsAt = report[0], report[1], c.now
	for i, name := range c.settings.ReportFields {
		var wait float64
		switch {
		case i >= len(report) || !(report[i] >= 0) || math.IsInf(report[i], 0):
			continue
		case name == "lat_ms":
			wait = report[i] / 1000
		case name == "q": // queue length, at the pace of a warm server shared by all nodes
			wait = report[i] / max(max(s.bestRate, c.relativeSize(s)*c.meanServerRate)*c.fleetSize, 1)
		default:
			continue
		}
		// Reports also come at the end of calls. They show the queue where no set-ups are answered, and they
		// cost no set-up.
		if c.activeTime()-s.lastAnswerAt > c.holdAim {
			c.recordDelay(s, wait)
			if wait < c.holdAim.Seconds() { // a report may be up to an aim old
				s.presumeLost(c.activeTime() - c.shortestAim)
			}
		}
	}
}

// markSilentAsLost prevents a rate reduction for a set-up that is lost rather than waiting. It applies if a
// set-up was lost recently and the server has answered fast within the last aim, which a server with a queue
// of that age hardly does. A queue that builds up in that time stays undetected as long as answers come fast.
func (c *Controller) markSilentAsLost() {
	for _, s := range c.servers {
		if c.lossRate > recentLossRate && s.latency <= c.holdAim.Seconds() &&
			c.activeTime()-s.lastAnswerAt < c.shortestAim {
			s.presumeLost(c.activeTime() - c.holdAim + 1)
		}
	}
}
