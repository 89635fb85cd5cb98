package larkrouter

import (
	"cmp"
	"math"
	"time"
)

// Estimates of what servers can do.
const (
	meanRateTime  = 6 * time.Second  // time constant of the mean answered rate
	referenceTime = 60 * time.Second // time constant of the reference rate and of a falling best rate

	// maxOverMean limits the best rate of any server to this multiple of the mean rate: where counts are
	// small, the best of many is high by coincidence.
	maxOverMean = 1.6

	// minFleetRate is the rate in set-ups per second that all nodes together may always send to a server: the
	// "at least one" per slot of the paper, which is a second long.
	minFleetRate = 1.0
)

// onFleetSize rescales the node's rates and estimates, which are shares of the fleet's, to a new fleet size.
// What all nodes together send to a server stays the same.
func (c *Controller) onFleetSize(ev FleetSize) {
	if !(ev.Nodes >= 1) || math.IsInf(ev.Nodes, 1) {
		return
	}
	scale := c.fleetSize / ev.Nodes
	c.fleetSize, c.settings.Rank = ev.Nodes, ev.Rank
	c.referenceRate *= scale
	for _, s := range c.servers {
		s.rate, s.bestRate = s.rate*scale, s.bestRate*scale
		for i := range s.slotTokens {
			s.slotTokens[i] *= min(1, scale)
		}
	}
}

// onRestoredMemory takes over what a previous run of the node knew. Its capacity is a hint of a server's
// size, and a limited rate starts at its old value and grows as any other. The delay is not used: the first
// answer shows it.
func (c *Controller) onRestoredState(ev RestoredState) {
	sumPerSize, known := 0.0, 0.0
	for _, restored := range ev.Servers {
		s := c.serverByID[restored.ID]
		if s == nil || s.Phase != Ready || s.warmUpStart >= 0 ||
			!(restored.BestRate >= 0 && restored.Rate >= 0) || math.IsInf(restored.BestRate, 1) {
			continue
		}
		sumPerSize, known = sumPerSize+restored.BestRate/c.relativeSize(s), known+1
		s.bestRate = max(s.bestRate, restored.BestRate)
		c.referenceRate = max(c.referenceRate, s.bestRate/c.relativeSize(s))
		if restored.Rate > 0 && restored.Rate < s.rate {
			s.rate = max(restored.Rate, c.minRateStep(s), minFleetRate/c.fleetSize)
			s.tokens = min(s.tokens, c.rng.Float64())
		}
	}
	// The mean starts from the old one; that this run has no answers yet is no evidence against it.
	if known > 0 && sumPerSize/known > maxOverMean*c.meanServerRate {
		c.meanServerRate, c.hasRestoredRate = sumPerSize/known/maxOverMean, true
	}
}

// startWarmUp limits a server to the budget of a cold one. It has just restarted, according to the list or to
// an outage that was observed.
func (c *Controller) startWarmUp(s *server, start time.Duration) {
	s.warmUpStart = start
	s.tokens = min(s.tokens, c.rng.Float64())
	// Set unconditionally: the reason for any earlier limit ended with the server's old process.
	c.reduceRate(s, c.coldRate(s), "cold")
}

// coldRate is this node's share of what a warming server can handle. No message announces a server's
// capacity, so the best rate observed while it was warm is used; for a server never seen warm, the best rate
// of any server, scaled by size.
func (c *Controller) coldRate(s *server) float64 {
	warmth, warmRate := 1.0, min(c.referenceRate, maxOverMean*c.meanServerRate)*c.relativeSize(s)
	if s.bestRate > 0 {
		warmRate = min(warmRate, s.bestRate)
	}
	if c.settings.RampTime > 0 {
		warmth = min(1, float64(c.now-s.warmUpStart)/float64(c.settings.RampTime))
	}
	return max(warmRate*(c.settings.ColdShare+(1-c.settings.ColdShare)*warmth), minFleetRate/c.fleetSize)
}

// updateEstimates computes sums and means over all servers, as the answers of one server in one slot are too
// few.
func (c *Controller) updateEstimates() {
	var warmSize, reporting, sizeSum, warmRate float64
	c.offeredRate, c.minServerSize = 0, unlimited
	for _, s := range c.servers {
		c.offeredRate += s.offeredRate
		if s.Phase == Ready && s.totalLines > 0 {
			reporting, sizeSum, c.minServerSize = reporting+1, sizeSum+s.totalLines,
				min(c.minServerSize, s.totalLines)
		}
	}
	c.meanServerSize = sizeSum / max(reporting, 1)
	for _, s := range c.servers {
		if s.Phase == Ready && s.warmUpStart < 0 {
			warmSize, warmRate = warmSize+c.relativeSize(s), warmRate+s.answerRate
		}
	}
	gain := c.slotLength.Seconds() / meanRateTime.Seconds()
	if !c.hasRestoredRate {
		gain = max(gain, 1/float64(c.slot))
	}
	if c.referenceRate *= 1 - c.slotLength.Seconds()/referenceTime.Seconds(); warmSize > 0 {
		c.meanServerRate += (warmRate/warmSize - c.meanServerRate) * gain
	}
}

// relativeSize is a server's number of lines relative to the mean of all servers, as sizes differ widely. A
// server that has not reported its lines counts as the smallest known one, and as 1 where none has reported.
func (c *Controller) relativeSize(s *server) float64 {
	if c.meanServerSize == 0 {
		return 1
	}
	return cmp.Or(s.totalLines, c.minServerSize) / c.meanServerSize
}
