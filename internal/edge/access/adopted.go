package access

import "cmp"

// defaultMaxAdoptedCalls is the limit on adopted calls if the configuration sets none.
const defaultMaxAdoptedCalls = 16384

// adoptedCalls are the standing calls that the node knows only because a caller has named them. No call server has
// mentioned them, so they may not exist, and then nothing ever ends them. Their number is therefore limited. At the
// limit the connection that has named the most calls loses its newest one.
type adoptedCalls struct{ connGroups[*callState] }

// adoptedGroup is the nonempty set of the adopted calls of one connection.
type adoptedGroup = connGroup[*callState]

func newAdoptedCalls(limit int) *adoptedCalls {
	return &adoptedCalls{newConnGroups(cmp.Or(max(limit, 0), defaultMaxAdoptedCalls), func(call *callState) uint64 { return call.number })}
}

// add adds a call that was named on the given connection, which is open.
func (a *adoptedCalls) add(call *callState, conn ConnID) {
	call.adoptedIn = a.connGroups.add(call, conn, false)
}

// remove removes a call. It has no effect on a call that was not adopted.
func (a *adoptedCalls) remove(call *callState) {
	if call.adoptedIn == nil {
		return
	}
	a.connGroups.remove(call, call.adoptedIn)
	call.adoptedIn = nil
}

// moveTo moves a call to the connection that has named it last. It has no effect on a call that was not adopted.
func (a *adoptedCalls) moveTo(conn ConnID, call *callState) {
	if call.adoptedIn == nil || call.adoptedIn.conn == conn {
		return
	}
	a.remove(call)
	a.add(call, conn)
}

// excessCall returns the call to give up, or nil if the calls are within the limit.
func (a *adoptedCalls) excessCall() *callState {
	if group := a.excess(); group != nil {
		return group.members[len(group.members)-1]
	}
	return nil
}
