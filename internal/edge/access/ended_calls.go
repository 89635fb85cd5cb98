package access

import (
	"slices"
	"time"
)

// endedCall returns what is known of a call that has ended recently.
func (n *Node) endedCall(id uint64) (ended endedCall, hasEnded bool) {
	if ended, hasEnded = n.releasedUnknown.byID[id]; hasEnded {
		return ended, true
	}
	ended, hasEnded = n.ended.byID[id]
	return ended, hasEnded
}

// endedCalls remembers recently ended calls, because messages about them may still be on their way. What callers end and
// what call servers release unasked is remembered apart, so that no client can displace a server's release.
type endedCalls struct {
	byID        map[uint64]endedCall
	oldestFirst []uint64 // ids in the order in which the calls ended
}

type endedCall struct {
	endedAt time.Duration
	cause   byte // release cause of a call that this process did not know; 0: the call ended here
}

const (
	endedRetention = 10 * time.Second
	maxEndedCalls  = 20000
)

func (n *Node) hasEnded(id uint64) bool {
	_, hasEnded := n.endedCall(id)
	return hasEnded
}

func newEndedCalls() endedCalls { return endedCalls{byID: map[uint64]endedCall{}} }

func (e *endedCalls) add(id uint64, ended endedCall) {
	if _, ok := e.byID[id]; !ok {
		e.oldestFirst = append(e.oldestFirst, id)
	}
	e.byID[id] = ended
	if len(e.oldestFirst) > maxEndedCalls {
		delete(e.byID, e.oldestFirst[0])
		e.oldestFirst = e.oldestFirst[1:]
	}
}

func (e *endedCalls) removeExpired(now time.Duration) {
	expired := 0
	for ; expired < len(e.oldestFirst) && now-e.byID[e.oldestFirst[expired]].endedAt > endedRetention; expired++ {
		delete(e.byID, e.oldestFirst[expired])
	}
	if expired > 0 {
		e.oldestFirst = slices.Clone(e.oldestFirst[expired:])
	}
}
