package access

import "slices"

// maxPendingCallerReleases is the limit on each of the two lists of a releaseQueue.
const maxPendingCallerReleases = 20000

// releaseQueue holds the releases that no client known to handle calls has got yet. Those of calls that are known only from their
// callers have a list of their own and go last: a client can make up calls, and must not take the places of others. Removed
// releases stay in the lists until the next call of compact, so that no operation on one release depends on their number.
type releaseQueue struct {
	answered releaseList
	claimed  releaseList
	byCall   map[uint64]*callerRelease // the last one of each call
}

// releaseList is a list of releases, oldest first.
type releaseList struct {
	all       []*callerRelease
	unreached []*callerRelease // those written to no connection that is open, and some that no longer belong here
}

func newReleaseQueue() releaseQueue { return releaseQueue{byCall: map[uint64]*callerRelease{}} }

func (q *releaseQueue) len() int { return len(q.byCall) }

func (q *releaseQueue) lists() [2]*releaseList { return [2]*releaseList{&q.answered, &q.claimed} }

func (q *releaseQueue) listOf(rel *callerRelease) *releaseList {
	if rel.isClaimed {
		return &q.claimed
	}
	return &q.answered
}

// push adds a release that was written to no connection that is open. At the limit it is dropped.
func (q *releaseQueue) push(rel *callerRelease) {
	list := q.listOf(rel)
	if len(list.all) >= maxPendingCallerReleases {
		return
	}
	q.removeCall(rel.callID)
	rel.isPending, rel.sentTo = true, 0
	q.byCall[rel.callID] = rel
	list.all = append(list.all, rel)
	list.unreached = append(list.unreached, rel)
}

// removeCall removes the release of a call.
func (q *releaseQueue) removeCall(callID uint64) {
	rel := q.byCall[callID]
	if rel == nil {
		return
	}
	rel.isPending = false
	if delete(q.byCall, callID); len(q.byCall) == 0 {
		q.answered, q.claimed = releaseList{}, releaseList{}
	}
}

// each calls f with all releases in the order in which they go, until it returns false.
func (q *releaseQueue) each(f func(*callerRelease) bool) {
	for _, list := range q.lists() {
		for _, rel := range list.all {
			if rel.isPending && !f(rel) {
				return
			}
		}
	}
}

// takeAll removes and returns all releases in the order in which they go.
func (q *releaseQueue) takeAll() (all []*callerRelease) {
	q.each(func(rel *callerRelease) bool {
		all = append(all, rel)
		return true
	})
	for _, rel := range all {
		rel.isPending = false
	}
	*q = newReleaseQueue()
	return all
}

// connClosed records that the connection that a release was written to first has closed. It has no effect on a release that was
// removed.
func (q *releaseQueue) connClosed(rel *callerRelease) {
	if !rel.isPending {
		return
	}
	rel.sentTo = 0
	list := q.listOf(rel)
	list.unreached = append(list.unreached, rel)
}

// takeUnreached calls offer with the releases that were written to no connection that is open, up to a limit on those that it writes.
// The others stay.
func (q *releaseQueue) takeUnreached(limit int, offer func(*callerRelease) (isWritten bool)) {
	for _, list := range q.lists() {
		for range len(list.unreached) {
			if limit <= 0 {
				return
			}
			rel := list.unreached[0]
			list.unreached = list.unreached[1:]
			switch {
			case !rel.isUnreached():
			case offer(rel):
				limit--
			default:
				list.unreached = append(list.unreached, rel)
			}
		}
	}
}

func (r *callerRelease) isUnreached() bool { return r.isPending && r.sentTo == 0 }

// compact removes the releases for which the condition holds, and frees the memory of removed ones.
func (q *releaseQueue) compact(isOver func(*callerRelease) bool) {
	q.each(func(rel *callerRelease) bool {
		if isOver(rel) {
			q.removeCall(rel.callID)
		}
		return true
	})
	for _, list := range q.lists() {
		list.all = slices.DeleteFunc(list.all, func(rel *callerRelease) bool { return !rel.isPending })
		list.unreached = slices.DeleteFunc(list.unreached, func(rel *callerRelease) bool { return !rel.isUnreached() })
	}
}
