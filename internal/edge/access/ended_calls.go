package access

import (
	"slices"
	"time"
)

const (
	endedRetention = 10 * time.Second
	maxEndedCalls  = 20000
)

// endedIDs remembers the ids of calls that have ended at this node recently, because messages about them may still be on their way,
// and a set-up that comes again with the id of one must not run twice. Beyond the limit the connection whose calls are the most forgets
// its oldest one.
type endedIDs struct {
	connGroups[*endedID]
	byID        map[uint64]*endedID
	oldestFirst []*endedID // and some that are forgotten
	lastNumber  uint64
}

// endedID is the id of a call that has ended.
type endedID struct {
	id      uint64
	number  uint64 // in order of their ends
	endedAt time.Duration
	group   *connGroup[*endedID] // nil: forgotten
}

func newEndedIDs() endedIDs {
	return endedIDs{connGroups: newConnGroups(maxEndedCalls, func(ended *endedID) uint64 { return ended.number }), byID: map[uint64]*endedID{}}
}

// add remembers the id of a call that was received on the given connection.
func (e *endedIDs) add(now time.Duration, id uint64, conn ConnID, isClosed bool) {
	if old := e.byID[id]; old != nil {
		e.forget(old)
	}
	e.lastNumber++
	ended := &endedID{id: id, number: e.lastNumber, endedAt: now}
	ended.group = e.connGroups.add(ended, conn, isClosed)
	e.byID[id] = ended
	e.oldestFirst = append(e.oldestFirst, ended)
	for group := e.excess(); group != nil; group = e.excess() {
		e.forget(group.members[0])
	}
	if len(e.oldestFirst) > 2*maxEndedCalls {
		e.compact()
	}
}

// forget removes an id. It stays in oldestFirst.
func (e *endedIDs) forget(ended *endedID) {
	e.connGroups.remove(ended, ended.group)
	ended.group = nil
	delete(e.byID, ended.id)
}

func (e *endedIDs) compact() {
	e.oldestFirst = slices.DeleteFunc(e.oldestFirst, func(ended *endedID) bool { return ended.group == nil })
}

// removeExpired forgets the ids of calls that ended a while ago.
func (e *endedIDs) removeExpired(now time.Duration) {
	expired := 0
	for _, ended := range e.oldestFirst {
		if now-ended.endedAt <= endedRetention {
			break
		}
		expired++
		if ended.group != nil {
			e.forget(ended)
		}
	}
	if expired > 0 {
		e.oldestFirst = slices.Clone(e.oldestFirst[expired:])
	}
}

// unknownReleases remembers what call servers have released recently and this node did not know, as its caller may still name the call.
// They are remembered apart from calls that callers end, so that no client can displace a server's release.
type unknownReleases struct {
	byID        map[uint64]unknownRelease
	oldestFirst []uint64 // ids in order of their releases
}

type unknownRelease struct {
	at    time.Duration
	cause byte
}

func newUnknownReleases() unknownReleases { return unknownReleases{byID: map[uint64]unknownRelease{}} }

func (u *unknownReleases) add(id uint64, released unknownRelease) {
	if _, isKnown := u.byID[id]; !isKnown {
		u.oldestFirst = append(u.oldestFirst, id)
	}
	u.byID[id] = released
	if len(u.oldestFirst) > maxEndedCalls {
		delete(u.byID, u.oldestFirst[0])
		u.oldestFirst = u.oldestFirst[1:]
	}
}

func (u *unknownReleases) removeExpired(now time.Duration) {
	expired := 0
	for ; expired < len(u.oldestFirst) && now-u.byID[u.oldestFirst[expired]].at > endedRetention; expired++ {
		delete(u.byID, u.oldestFirst[expired])
	}
	if expired > 0 {
		u.oldestFirst = slices.Clone(u.oldestFirst[expired:])
	}
}

// hasEnded reports whether a call has ended recently, at this node or unknown to it.
func (n *Node) hasEnded(id uint64) bool {
	_, isReleased := n.unknownReleases.byID[id]
	return isReleased || n.endedIDs.byID[id] != nil
}
