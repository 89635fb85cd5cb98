package rules

import (
	"fmt"
	"slices"
	"time"
)

// Limits within which a caller must hear of the end of its call.
const (
	releaseLimit   = time.Second           // after the release by the call server
	silentEndLimit = 8 * time.Second       // after an end that nobody reports
	tolerance      = 50 * time.Millisecond // of both
	maxExamples    = 5
)

// StandingChecker checks what becomes of calls that stand: their callers hear of the end in time, and not before it. Its
// methods are called in order of time.
type StandingChecker struct {
	// MayNodeEnd accepts that the node ends a call that stands, if its call server gets the release too, at most a second after the
	// caller. It must be set before the first call of a method.
	MayNodeEnd bool

	endedByNodeCount int
	calls            map[uint64]*standingCall
	callerConns      int           // open connections from callers
	callersBackAt    time.Duration // when the first of the open connections opened
	violationCount   int
	examples         []string
}

// standingCall is a call that stands, or that has ended and whose caller has not heard of it.
type standingCall struct {
	stands     bool          // its caller has got the answer
	knownSince time.Duration // since when the node can know it: answered, or named after a restart
	end        callEnd
	endedAt    time.Duration
	toldAt     time.Duration // when its caller was told of the end although it stands; 0: never
}

// callEnd is how a call has ended.
type callEnd uint8

const (
	notEnded callEnd = iota
	endedByServer
	endedByNode
	endedSilently
)

// NewStandingChecker returns a checker without calls.
func NewStandingChecker() *StandingChecker {
	return &StandingChecker{calls: map[uint64]*standingCall{}}
}

// Violations returns the number of violations, and descriptions of the first ones.
func (c *StandingChecker) Violations() (count int, examples []string) {
	return c.violationCount, c.examples
}

// Stands records that a caller has got its answer, or has named its call to a node that has just started.
func (c *StandingChecker) Stands(at time.Duration, call uint64) {
	known := c.call(call)
	known.stands, known.knownSince = true, at
}

// call returns the state of a call. It may end before its caller has got the answer.
func (c *StandingChecker) call(id uint64) *standingCall {
	if c.calls[id] == nil {
		c.calls[id] = &standingCall{}
	}
	return c.calls[id]
}

// ReleasedByServer records that a call server has written the release of a call on an open connection.
func (c *StandingChecker) ReleasedByServer(at time.Duration, call uint64) {
	c.endCall(at, call, endedByServer)
}

// ReleasedByNode records that a call server has got the node's release of a call that stood there.
func (c *StandingChecker) ReleasedByNode(at time.Duration, call uint64) {
	if c.calls[call] != nil { // else its caller has ended it
		c.endCall(at, call, endedByNode)
	}
}

// EndedSilently records that a call has ended with its call server.
func (c *StandingChecker) EndedSilently(at time.Duration, call uint64) {
	c.endCall(at, call, endedSilently)
}

func (c *StandingChecker) endCall(at time.Duration, call uint64, end callEnd) {
	known := c.call(call)
	if known.toldAt > 0 {
		c.endedAtBothEnds(at, call, known)
		return
	}
	if known.end == notEnded {
		known.end, known.endedAt = end, at
	}
}

// endedAtBothEnds checks a call that its caller was told of before it ended at its server.
func (c *StandingChecker) endedAtBothEnds(at time.Duration, call uint64, known *standingCall) {
	delete(c.calls, call)
	c.endedByNodeCount++
	if late := at - known.toldAt - releaseLimit - tolerance; late > 0 {
		c.addViolation(at, call, fmt.Sprintf("its server is told of its end %v too late", late))
	}
}

// EndedByNode returns how many calls the node has ended while they stood.
func (c *StandingChecker) EndedByNode() int { return c.endedByNodeCount }

// ReleasedByCaller records that a caller has ended its call.
func (c *StandingChecker) ReleasedByCaller(call uint64) { delete(c.calls, call) }

// ReleasedAtCaller records that a release has reached the caller.
func (c *StandingChecker) ReleasedAtCaller(at time.Duration, call uint64) {
	known := c.calls[call]
	if known == nil {
		return // a second release, or one that crosses the caller's
	}
	if c.MayNodeEnd && known.stands && known.end == notEnded {
		known.stands, known.toldAt = false, at
		return
	}
	delete(c.calls, call)
	switch due := c.due(known); {
	case !known.stands:
	case known.end == notEnded:
		c.addViolation(at, call, "released although it stands")
	case at > due:
		c.addViolation(at, call, fmt.Sprintf("released %v too late", at-due))
	}
}

// SetCallerConns records the number of open connections from callers.
func (c *StandingChecker) SetCallerConns(at time.Duration, count int) {
	if c.callerConns == 0 && count > 0 {
		c.callersBackAt = at
	}
	c.callerConns = count
}

// due returns when the caller of an ended call must have heard of it. The time for it starts once the node can know the call, and
// once a connection from callers is open.
func (c *StandingChecker) due(call *standingCall) time.Duration {
	limit := releaseLimit
	if call.end == endedSilently {
		limit = silentEndLimit
	}
	return max(call.endedAt+limit, call.knownSince+releaseLimit, c.callersBackAt+releaseLimit) + tolerance
}

// Finish checks the calls whose callers have not heard of their end. It must be called last.
func (c *StandingChecker) Finish(at time.Duration) {
	var ids []uint64
	for id := range c.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		call := c.calls[id]
		if call.toldAt > 0 && at > call.toldAt+releaseLimit+tolerance {
			c.addViolation(at, id, "released although it stands")
		}
		if call.stands && call.end != notEnded && c.callerConns > 0 && at > c.due(call) {
			c.addViolation(at, id, fmt.Sprintf("ended at %.3f s, and its caller has not heard of it", call.endedAt.Seconds()))
		}
	}
}

func (c *StandingChecker) addViolation(at time.Duration, call uint64, what string) {
	if c.violationCount++; len(c.examples) < maxExamples {
		c.examples = append(c.examples, fmt.Sprintf("at %.3f s: call %016x: %s", at.Seconds(), call, what))
	}
}
