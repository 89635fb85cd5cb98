package node

import "larkrouter/internal/sip"

// JournalEntry is the state of a call in a form that can be persisted over a restart. Each entry replaces the previous one
// of the same call.
type JournalEntry struct {
	Call    uint64        `cbor:"1,keyasint"`
	State   CallState     `cbor:"2,keyasint"`
	Session string        `cbor:"3,keyasint"`
	Class   string        `cbor:"4,keyasint"`
	Server  uint32        `cbor:"5,keyasint,omitempty"`
	Attempt int           `cbor:"6,keyasint,omitempty"`
	Outcome string        `cbor:"7,keyasint,omitempty"`
	Dialog  *StoredDialog `cbor:"8,keyasint,omitempty"` // of a standing call, towards its server
}

// CallState is the progress of a call.
type CallState string

// Call states, in order.
const (
	StateAccepted  CallState = "accepted"
	StateAttempted CallState = "attempted"
	StateStanding  CallState = "stands"
	StateEnded     CallState = "ended"
)

// StoredDialog holds what is needed to end a dialog that a previous process left standing.
type StoredDialog struct {
	CallID  string   `cbor:"1,keyasint"`
	Local   string   `cbor:"2,keyasint"`
	Remote  string   `cbor:"3,keyasint"`
	Target  string   `cbor:"4,keyasint"`
	Routes  []string `cbor:"5,keyasint,omitempty"`
	NextHop string   `cbor:"6,keyasint"` // host:port
	IsTCP   bool     `cbor:"7,keyasint,omitempty"`
	CSeq    uint32   `cbor:"8,keyasint"`
}

// noteCallState emits a JournalEntry if Config.EmitJournal is set.
func (n *Node) noteCallState(call *callContext, state CallState, outcome string) {
	if !n.cfg.EmitJournal {
		return
	}
	entry := &JournalEntry{Call: call.id, State: state, Session: call.sessionID, Class: n.className(call),
		Server: call.serverID, Attempt: call.attemptCount, Outcome: outcome}
	if state == StateAttempted && call.currentAttempt != nil {
		entry.Server = call.currentAttempt.serverID
	}
	if state == StateStanding {
		leg := call.serverLeg
		entry.Dialog = &StoredDialog{CallID: leg.callID, Local: leg.local, Remote: leg.remote, Target: leg.target, Routes: leg.routes,
			NextHop: leg.nextHop.Addr.String(), IsTCP: leg.nextHop.Transport == sip.TCP, CSeq: leg.localSeq}
	}
	n.effects = append(n.effects, noteEffect(entry))
}
