package access

import "slices"

// maxPendingCallerReleases is the limit on each of the two lists of a releaseQueue.
const maxPendingCallerReleases = 20000

// releaseQueue holds the releases that no client known to handle calls has got yet. Those of calls that are known only from their
// callers have a list of their own and go last: a client can make up calls, and must not take the places of others.
type releaseQueue struct {
	answered []*callerRelease // oldest first
	claimed  []*callerRelease // oldest first
	count    map[uint64]int   // releases by call id
}

func newReleaseQueue() releaseQueue { return releaseQueue{count: map[uint64]int{}} }

// push adds a release. At the limit it is dropped.
func (q *releaseQueue) push(rel *callerRelease) {
	list := &q.answered
	if rel.isClaimed {
		list = &q.claimed
	}
	if len(*list) < maxPendingCallerReleases {
		*list = append(*list, rel)
		q.count[rel.callID]++
	}
}

func (q *releaseQueue) len() int { return len(q.answered) + len(q.claimed) }

// each calls f with all releases in the order in which they go, until it returns false.
func (q *releaseQueue) each(f func(*callerRelease) bool) {
	for _, list := range [...][]*callerRelease{q.answered, q.claimed} {
		for _, rel := range list {
			if !f(rel) {
				return
			}
		}
	}
}

// removeCall removes the releases of a call.
func (q *releaseQueue) removeCall(callID uint64) {
	if q.count[callID] > 0 {
		q.remove(func(rel *callerRelease) bool { return rel.callID == callID })
	}
}

// remove removes the releases for which the condition holds.
func (q *releaseQueue) remove(condition func(*callerRelease) bool) {
	counted := func(rel *callerRelease) bool {
		isRemoved := condition(rel)
		if isRemoved {
			q.forget(rel)
		}
		return isRemoved
	}
	q.answered = slices.DeleteFunc(q.answered, counted)
	q.claimed = slices.DeleteFunc(q.claimed, counted)
}

// takeAll removes and returns all releases in the order in which they go.
func (q *releaseQueue) takeAll() []*callerRelease {
	all := slices.Concat(q.answered, q.claimed)
	*q = newReleaseQueue()
	return all
}

func (q *releaseQueue) forget(rel *callerRelease) {
	if q.count[rel.callID]--; q.count[rel.callID] == 0 {
		delete(q.count, rel.callID)
	}
}
