package larkrouter

import (
	"slices"
	"time"
)

const (
	// freeCircuitsLifetime is how long a reported number of free circuits is used.
	freeCircuitsLifetime = 2 * time.Second
)

// destination returns the server that the call names as its destination, or nil if no ready server has that
// number.
func (c *Controller) destination(call *openCall) *server {
	for _, s := range c.servers {
		if s.Number == call.Destination && s.Phase == Ready {
			return s
		}
	}
	return nil
}

// isEligible reports whether an attempt of the call may be sent to the server at all.
func (c *Controller) isEligible(s *server, call *openCall) bool {
	switch {
	case s.Phase != Ready, c.now < s.suspendedUntil, s.suspendedFor > 0 && len(s.outstanding) > 0,
		c.settings.IsMesh && s.Number == c.settings.HomeNumber,
		call.InTransit && s.Number != call.Destination,
		!c.settings.IsMesh && call.class.Pools != nil && !slices.Contains(call.class.Pools, s.Number),
		c.now-s.freeCircuitsAt < freeCircuitsLifetime && s.freeCircuits < call.Circuits:
		return false
	}
	if !call.mayHaveRun || call.class.Repeat == Repeatable {
		return true
	}
	// An attempt may have run, and the call must not take effect twice: repeats are sent only where they are
	// recognised.
	sameScope := call.class.Scope == ScopeAll || call.class.Scope == ScopeZone && s.Zone == call.firstRunZone
	return call.class.Repeat == Keyed && c.now-call.firstRunAt < call.class.Window &&
		(sameScope || s.Number == call.firstRunNumber)
}

// route selects a server, in this order: the destination, if it is within the hold aim and its gate admits
// the call; another such server, drawn at random and weighted by inverse delay; the destination if its gate
// admits the call; any server whose gate does.
func (c *Controller) route(call *openCall) *server {
	destination := c.destination(call)
	if destination != nil && (!c.isEligible(destination, call) || !c.admits(destination, call)) {
		destination = nil
	}
	if destination != nil && !c.isCongested(destination) &&
		(destination.directShare >= 1 || c.rng.Float64() < destination.directShare) {
		return destination
	}
	if s := c.drawServer(call, false); s != nil {
		return s
	}
	if destination != nil {
		return destination
	}
	return c.drawServer(call, true)
}

// drawServer returns a random server other than the destination whose gate admits the call, or nil. The
// weight of a server is its size divided by its delay.
func (c *Controller) drawServer(call *openCall, allowCongested bool) *server {
	var picked *server
	totalWeight := 0.0
	for _, s := range c.servers {
		if s.Number == call.Destination || !c.isEligible(s, call) || !c.admits(s, call) ||
			!allowCongested && c.isCongested(s) {
			continue
		}
		weight := c.relativeSize(s) / (c.expectedDelay(s) + c.slotLength.Seconds())
		totalWeight += weight
		if c.rng.Float64()*totalWeight < weight {
			picked = s
		}
	}
	return picked
}

// serverToBorrowFrom is the server from whose ring a blocked call borrows: its destination or, if that is not
// eligible, the one with the shortest delay.
func (c *Controller) serverToBorrowFrom(call *openCall) *server {
	if s := c.destination(call); s != nil && c.isEligible(s, call) {
		return s
	}
	var best *server
	for _, s := range c.servers {
		if c.isEligible(s, call) && (best == nil || c.expectedDelay(s) < c.expectedDelay(best)) {
			best = s
		}
	}
	return best
}
