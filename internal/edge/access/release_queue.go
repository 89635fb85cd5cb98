package access

import "slices"

// maxPendingCallerReleases is the limit on each of the two lists of a releaseQueue.
const maxPendingCallerReleases = 20000

// releaseQueue holds the releases that wait for a connection from callers. Those of calls that are known only from their callers
// have a list of their own and go last: a client can make up calls, and must not take the places of others.
type releaseQueue struct {
	answered []callerRelease // oldest first
	claimed  []callerRelease // oldest first
}

// push adds a release. At the limit it is dropped.
func (q *releaseQueue) push(rel callerRelease) {
	list := &q.answered
	if rel.isClaimed {
		list = &q.claimed
	}
	if len(*list) < maxPendingCallerReleases {
		*list = append(*list, rel)
	}
}

// pop removes and returns the release that goes first. The queue must not be empty.
func (q *releaseQueue) pop() callerRelease {
	list := &q.answered
	if len(*list) == 0 {
		list = &q.claimed
	}
	first := (*list)[0]
	if *list = (*list)[1:]; len(*list) == 0 {
		*list = nil
	}
	return first
}

func (q *releaseQueue) len() int { return len(q.answered) + len(q.claimed) }

// remove removes the releases for which the condition holds.
func (q *releaseQueue) remove(condition func(callerRelease) bool) {
	q.answered = slices.DeleteFunc(q.answered, condition)
	q.claimed = slices.DeleteFunc(q.claimed, condition)
}

// contains reports whether the condition holds for a release.
func (q *releaseQueue) contains(condition func(callerRelease) bool) bool {
	return slices.ContainsFunc(q.answered, condition) || slices.ContainsFunc(q.claimed, condition)
}
