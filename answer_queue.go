package larkrouter

import (
	"math"
	"slices"
)

const (
	// initialAnswerIntervalInAims is the assumed interval between answers, in shortest aims, of a server that
	// has not answered yet.
	initialAnswerIntervalInAims = 0.01

	// maxAnswerQueue is the maximum number of calls that wait for an answer.
	maxAnswerQueue = 200
)

// canAwaitAnswer reports whether the call is blocked only by set-ups that are not answered yet, at a server
// within its hold aim, and whether enough answers for the call and all others that wait are expected within
// the call's aim.
func (c *Controller) canAwaitAnswer(s *server, call *openCall) bool {
	timeLeft, perAnswer := call.firstTryAt+call.class.Aim-c.holdAim-c.now, s.latency
	if s.lastAnswerAt == 0 { // latency is the initial value, and a waiting call is routed again in each slot
		perAnswer = c.shortestAim.Seconds() * initialAnswerIntervalInAims
	}
	return math.IsInf(s.rate, 1) && !c.isCongested(s) && s.warmUpStart < 0 &&
		c.activeTime()-s.lastReducedAt >= stableTime && len(c.answerQueue) < maxAnswerQueue &&
		float64(len(c.answerQueue)+1)*perAnswer < timeLeft.Seconds()
}

// sendNextWaiting sends the waiting call of the highest worth after an answer has come.
func (c *Controller) sendNextWaiting() {
	// Remove calls that were sent or held for another reason since they joined.
	c.answerQueue = slices.DeleteFunc(c.answerQueue, func(call *openCall) bool {
		return call.hasEnded || call.isAttemptPending || !call.isHeld || call.dueSlot > c.slot+1 ||
			c.now+c.slotLength >= call.deadline
	})
	var best *openCall
	for _, call := range c.answerQueue {
		if best == nil || c.worthAt(call, c.now) > c.worthAt(best, c.now) {
			best = call
		}
	}
	if best != nil {
		if s := c.route(best); s != nil {
			best.isHeld = false
			c.send(s, best)
		}
	}
}
