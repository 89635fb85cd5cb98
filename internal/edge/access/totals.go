package access

import "larkrouter/internal/edge/admission"

// Totals are counters since the node started. Their JSON names are the keys of the node's status log record.
type Totals struct {
	Calls                uint64 // set-ups accepted
	Malformed            uint64 // requests rejected as malformed
	Answered             uint64 // calls answered by a server
	Refused              uint64 // set-ups refused with 503
	Failed               uint64 // set-ups refused with another status
	Cancelled            uint64 `json:"Withdrawn"` // set-ups cancelled by the caller
	AnswersDemanded      uint64 // calls answered before their deadline, as the node stopped or closed their connection
	Overdue              uint64 // set-ups whose deadline passed before the module abandoned them
	Adopted              uint64 // standing calls registered by their callers
	AdoptedOverLimit     uint64 // standing calls given up because callers named more than the node holds
	UnknownCalls         uint64 `json:"Unknown"` // messages about calls or servers that the node does not know
	LateReplies          uint64 `json:"Late"`    // messages about abandoned or unknown set-ups
	CallsLost            uint64 `json:"Cut"`     // standing calls lost with their server
	CallsMoved           uint64 // standing calls assigned to the server that has taken the address of theirs
	CallsUnclear         uint64 // standing calls ended at both ends, because it is not known at which process they stand
	DuplicateIDs         uint64 // set-ups refused because a call with their id is open or has ended recently
	OverOpenLimit        uint64 // set-ups refused because too many are open on the connection or at the node
	SentAgain            uint64 // set-ups sent to a server after an earlier attempt of their call
	CallerReleases       uint64 `json:"Farewells"` // releases for callers
	ReleasesExpired      uint64 // releases for callers that no client confirmed in time
	CallerHungUp         uint64 `json:"Dropped"`       // set-ups whose caller closed its connection
	CallerConnsClosed    uint64 `json:"CallersClosed"` // caller connections closed by the node
	CallerConnsOverLimit uint64 `json:"CallersFull"`   // caller connections opened at the limit
	TrunksStopped        uint64 // connections to call servers left because nothing arrived on them any more
	ConnsIncomplete      uint64 // caller connections closed because a message did not complete
	ConnsWithoutCall     uint64 // caller connections closed because no call on them was answered
	ConnsIdle            uint64 // caller connections closed because they were idle
	ConnsOverMemory      uint64 // caller connections closed because incomplete messages held too much memory
	ConnsUnparsable      uint64 // caller connections closed because their input could not be parsed
}

// countClosed counts a caller connection that is closed after a timeout.
func (t *Totals) countClosed(reason admission.CloseReason) {
	switch reason {
	case admission.IncompleteMessage:
		t.ConnsIncomplete++
	case admission.NoAnsweredCall:
		t.ConnsWithoutCall++
	case admission.Idle:
		t.ConnsIdle++
	}
}
