package larkrouter

import (
	"fmt"
	"math"
	"time"
)

// Adjustment of a server's rate while answers come within the hold aim.
const (
	// growthPerSecond is the relative growth of a rate per second. The Abacus Filter paper applies it once
	// per slot (T0), which is a second long there.
	growthPerSecond = 0.1

	// minFleetGrowth is the minimum growth in set-ups per second, each second, for all nodes together; a
	// single node adds at most 1. If the share capacityGrowth of a warm server's capacity is more, it applies
	// instead.
	minFleetGrowth = 7.0
	capacityGrowth = 0.1

	// stableTime is the time since the last reduction after which growth speeds up, in proportion to that
	// time and up to four times.
	stableTime = 3 * time.Second

	// probeShare is the share of the mean server rate that a rate may reach before the first answer
	// or report within the hold aim.
	probeShare = 0.25

	// rateWindowSlots is the averaging window of answers: two aims, as few come in a second.
	rateWindowSlots = 24

	// priorCount is the expected number of answers at which a server's own count weighs as much as the mean
	// of all servers.
	priorCount = 4.0
)

// Reaction to congestion.
const (
	idleHalfLife      = time.Second // half-life of the answer time at an idle server
	minReductionShare = 0.5         // minimum share of the answered rate that is left after a reduction
	recoveryInAims    = 3.0         // aims over which directShare returns to 1 after congestion
)

// reduceRate lowers a server's rate and the buckets of its ring. A gate that was unlimited starts with a
// random part of its tokens, so that nodes that are notified at the same time do not act in step.
func (c *Controller) reduceRate(s *server, rate float64, reason string) {
	if math.IsInf(s.rate, 1) {
		s.tokens = min(s.tokens, c.rng.Float64())
	}
	s.rate, s.lastReducedAt = max(rate, minFleetRate/c.fleetSize), c.activeTime()
	s.slotRing.capTokens(max(0, (s.rate-s.offeredRate)*c.slotLength.Seconds()))
	c.logServer(s, "%s, limited to %.2f/s", reason, s.rate)
}

// minRateStep is the minimum growth per second of a server's rate.
func (c *Controller) minRateStep(s *server) float64 {
	return c.relativeSize(s) * max(min(1, minFleetGrowth/c.fleetSize), capacityGrowth*c.referenceRate)
}

// estimatedAnswerRate is the server's answered rate, moved towards the mean of all servers, or towards its
// rate if that is lower. The fewer answers the node can expect to count, the further it is moved.
func (c *Controller) estimatedAnswerRate(s *server) float64 {
	mean := c.meanServerRate * c.relativeSize(s)
	expected := mean * meanRateTime.Seconds() / priorCount
	return s.answerRate + (min(s.rate, mean)-s.answerRate)/(1+expected*expected)
}

// growRate raises the rate of a server within the hold aim at the end of a slot. Until an answer or report
// within the hold aim has come since the last reduction, growth stops at a small probing rate: probes by each
// of hundreds of nodes would otherwise keep a queue of seconds at the server.
func (c *Controller) growRate(s *server) {
	minStep := c.minRateStep(s)
	if s.warmUpStart >= 0 {
		// A cold server's budget is granted at once, whatever limited it before.
		minStep = max(minStep, c.coldRate(s))
	}
	boost := max(1, (c.activeTime()-s.lastReducedAt).Seconds()/stableTime.Seconds())
	step := min(4, boost) * max(growthPerSecond*s.rate, minStep) * c.slotLength.Seconds()
	if s.lastWithinAimAt <= s.lastReducedAt {
		step = min(step, max(0, probeShare*c.meanServerRate*c.relativeSize(s)-s.rate))
	}
	if s.rate += step; s.rate > c.offeredRate && s.warmUpStart < 0 {
		s.rate = unlimited
	}
}

// endSlot ends a slot of a server: it updates the averages, reduces, raises or lifts the rate and advances
// the ring.
func (c *Controller) endSlot(s *server) {
	slotSeconds := c.slotLength.Seconds()
	gain := max(2.0/(rateWindowSlots+1), 1/float64(c.slot))
	s.answerRate += (s.slotAnswers/slotSeconds - s.answerRate) * gain
	s.offeredRate += (s.slotCalls/slotSeconds - s.offeredRate) * gain
	s.slotAnswers, s.slotCalls = 0, 0
	answerRate := c.estimatedAnswerRate(s)
	if len(s.outstanding) == 0 && c.activeTime()-s.lastAnswerAt > idleHalfLife {
		s.latency *= math.Exp2(-c.slotLength.Seconds() / idleHalfLife.Seconds())
	}
	if delay, holdAim := c.expectedDelay(s), c.holdAim.Seconds(); delay > holdAim {
		// The rate is reduced so that the delay in excess of the hold aim is gone within an aim, as far
		// as minReductionShare allows.
		if s.directShare = 0; c.activeTime()-s.lastReducedAt >= fromSeconds(delay) {
			drain := max(minReductionShare, 1-(delay-holdAim)/c.shortestAim.Seconds())
			c.reduceRate(s, answerRate*drain, fmt.Sprintf("answer time %.0f ms", delay*1000))
		}
	} else {
		s.directShare = min(1, s.directShare+slotSeconds/(recoveryInAims*c.shortestAim.Seconds()))
		c.growRate(s)
	}
	if s.warmUpStart >= 0 && c.now-s.warmUpStart >= c.settings.RampTime {
		s.warmUpStart = -1
	}
	if s.warmUpStart >= 0 {
		s.rate = min(s.rate, c.coldRate(s))
	} else {
		gain = slotSeconds / referenceTime.Seconds()
		// The estimate rises slowly too, as a count over a short time varies at random.
		if answerRate > s.bestRate {
			gain = max(slotSeconds/meanRateTime.Seconds(), 1/float64(c.slot))
		}
		s.bestRate += (answerRate - s.bestRate) * gain
		c.referenceRate = max(c.referenceRate, s.bestRate/c.relativeSize(s))
	}
	s.refill(c.slotLength)
	s.slotRing.advance(max(0,
		(min(s.rate, s.offeredRate+answerRate+c.minRateStep(s))-s.offeredRate)*slotSeconds))
}
