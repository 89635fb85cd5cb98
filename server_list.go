package larkrouter

import (
	"cmp"
	"slices"
	"time"
)

const (
	minListRetry       = time.Second // minimum time from a failed request to discovery to the next one
	goneServerLifetime = time.Minute // how long a server that is gone is remembered, in case it restarts
)

// server is the controller's state of a call server. lastAnswerAt, lastWithinAimAt and lastReducedAt are
// times by activeTime, the others by the clock.
type server struct {
	ServerInfo
	tokenBucket
	slotRing
	outstanding         []outstandingAttempt
	latency             float64       // smoothed answer time in seconds
	lastAnswerAt        time.Duration // 0: none yet
	lastWithinAimAt     time.Duration // last answer or report within the hold aim, or last start
	slotAnswers         float64       // set-ups answered in the current slot
	answerRate          float64       // answered set-ups per second, smoothed
	slotCalls           float64       // new calls for this destination in the current slot
	offeredRate         float64       // new calls per second for this destination, smoothed
	directShare         float64       // share of the calls destined for it that it gets; see route
	lastReducedAt       time.Duration // last reduction of the rate
	warmUpStart         time.Duration // start of the warm-up; negative: warm
	suspendedUntil      time.Duration // end of the last suspension
	suspendedFor        time.Duration // last suspension; > 0: probed with single attempts until one succeeds
	bestRate            float64       // estimated set-ups per second answered while warm
	goneAt              time.Duration // last slot timer at which it was not gone
	consecutiveFailures int           // failed or rejected attempts since the last success
	freeCircuits        float64       // number of free circuits, as reported
	totalCircuits       float64       // number of all circuits, as reported; 0: not known
	freeCircuitsAt      time.Duration // when freeCircuits was last set
	loggedAt            time.Duration // last log message about it
}

// onServerList updates the known servers. A server that has just started is put into its warm-up.
func (c *Controller) onServerList(list ServerList) {
	if list.Kind == ListFailed {
		// onSlotTimer subscribes again at this time.
		c.listRetryAt = c.now + time.Duration((1+c.rng.Float64())*float64(minListRetry))
		return
	}
	if list.Kind != ListDelta {
		for _, s := range c.servers { // those in the list are set again below
			s.Phase = Gone
		}
	}
	for _, info := range list.Servers {
		s := c.serverByID[info.ID]
		if s == nil {
			s = &server{directShare: 1, warmUpStart: -1, freeCircuitsAt: -freeCircuitsLifetime,
				latency: c.holdAim.Seconds() / 2}
			s.rate, s.tokens = unlimited, minBucketDepth
			s.lastReducedAt = c.activeTime() - stableTime
			s.lastWithinAimAt = s.lastReducedAt // equal: no answer within the hold aim since the reduction
			c.serverByID[info.ID] = s
			s.ID = info.ID
			c.servers = append(c.servers, s)
			slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		}
		if info.Started > s.Started && c.now-info.Started < c.settings.RampTime {
			c.startWarmUp(s, info.Started)
			// lastWithinAimAt is later than the reduction, so that the rate may grow without an answer.
			s.suspendedUntil, s.suspendedFor, s.lastWithinAimAt = 0, 0, c.activeTime()+1
		}
		s.ServerInfo = info
	}
}
