package access

import (
	"fmt"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/trunk"
)

// A call stands at a process of a call server, and ends with it. The identity of a process is its server's id and start, never its
// address: the next process may listen there under the same id or another one.
//
// Which of the two processes a call stands at is told by the trunk on which it was answered. A trunk was accepted by one process, and
// the death of that process ends it. Trunks that were open at the same time were accepted by the same process. The start in the list
// cannot tell, because it is a time of another clock and need not be the moment at which the old process died: answers may cross it.

// startTolerance is how far the listed start of a process may lie from the moment at which it accepts connections, both ways.
const startTolerance = 500 * time.Millisecond

// fate is what becomes of a call that stood at a server's process when another process has started in its place.
type fate uint8

const (
	fateEnded     fate = iota // it stood at the old process
	fateContinues             // it stands at the new process
	fateUnclear               // it may stand at either; it is ended at both ends
)

// replacementOf returns a server that has started later at the server's address, or nil.
func (n *Node) replacementOf(srv *server) *server {
	for _, other := range n.serverOrder {
		if other.addr == srv.addr && other.startedUnixMilli > srv.startedUnixMilli {
			return other
		}
	}
	return nil
}

// serverAtAddressOf returns the server in service that has the address of a server that is gone, or nil.
func (n *Node) serverAtAddressOf(gone *server) (found *server) {
	for _, other := range n.serverOrder {
		if other != gone && other.info.Phase != larkrouter.Gone && other.addr == gone.addr &&
			(found == nil || other.startedUnixMilli > found.startedUnixMilli) {
			found = other
		}
	}
	return found
}

// fateOf returns the fate of a call that a server has answered, when another process is listed with the given start. The trunk of the
// call may be another one than that on which it was answered; see reassignTrunk.
func (n *Node) fateOf(call *callState, start time.Duration) fate {
	t := n.trunks[call.trunk]
	isOpen := t != nil && n.canRead(t)
	switch {
	case isOpen && t.isOfProcess(start):
		return fateContinues
	case isOpen || call.trunkOpenedAt < start-startTolerance:
		return fateEnded
	}
	return fateUnclear
}

// isOfProcess reports whether an open trunk was accepted by the process with the given start.
func (t *trunkConn) isOfProcess(start time.Duration) bool {
	return t.liveness.OpenedAt() >= start-startTolerance || t.liveness.LastActive() >= start+startTolerance
}

// reassignTrunk assigns the calls of a trunk that has ended to another one that was accepted by the same process: it was open already
// while bytes arrived on the ended one. The calls then end with that one.
func (n *Node) reassignTrunk(ended *trunkConn) {
	i := slices.IndexFunc(ended.server.trunks, func(t *trunkConn) bool {
		return t.liveness.OpenedAt() < ended.liveness.LastActive() && n.canRead(t)
	})
	for call := range ended.server.standing {
		if call.trunk != ended.id {
			continue
		}
		call.hasTrunkEnded = true
		if i >= 0 {
			call.trunk = ended.server.trunks[i].id
		}
	}
}

// fateOfNamed returns the fate of a call that is known only because its caller has named it, when its server is listed with a new
// start. The call stood before it was named, and it may have ended with any process before that.
func (n *Node) fateOfNamed(call *callState, start time.Duration) fate {
	named := call.standingSince
	t := n.trunks[call.trunk]
	hasTrunkEnded := call.trunk != 0 && (t == nil || !n.canRead(t))
	switch {
	case named < start, hasTrunkEnded && call.trunkOpenedAt < start-startTolerance:
		return fateEnded
	case named < start+startTolerance:
		return fateUnclear
	}
	return fateContinues
}

// endCallsOfReplaced ends the calls of a server that is gone and whose address a successor has. Calls that were set up at the
// successor's process by that address are moved. A call that its caller has named at the server stood at the old process.
func (n *Node) endCallsOfReplaced(srv, successor *server) {
	n.log(LogEntry{Event: "calls of a replaced server", Server: srv.id, Count: len(srv.standing),
		Cause: fmt.Sprintf("%s has its address, started %v ago", successor.id, n.now-successor.info.Started)})
	fateAt := func(call *callState) fate {
		switch {
		case call.adoptedIn != nil:
			return fateEnded
		case successor.info.Started == 0: // not listed
			return fateUnclear
		}
		return n.fateOf(call, successor.info.Started)
	}
	n.endCallsByFate(srv, successor, fateAt)
	n.closeTrunks(srv, "another server has its address")
}

// endCallsOfPreviousProcess ends the calls that stood at a server's process before its last start.
func (n *Node) endCallsOfPreviousProcess(srv *server) {
	start := srv.info.Started
	fateAt := func(call *callState) fate {
		if call.adoptedIn != nil {
			return n.fateOfNamed(call, start)
		}
		return n.fateOf(call, start)
	}
	n.endCallsByFate(srv, srv, fateAt)
	for _, t := range slices.Clone(srv.trunks) {
		if t.isOpen && !t.isOfProcess(start) {
			n.closeTrunk(t)
		}
	}
}

// endCallsByFate ends or moves the standing calls of a server, and the releases that wait for a trunk to it. successor is the server
// whose process has replaced the server's; it may be the same server.
func (n *Node) endCallsByFate(srv, successor *server, fateAt func(*callState) fate) {
	for _, call := range srv.awaitingRelease.inOrder() {
		if fateAt(call) == fateEnded {
			n.dropServerRelease(call)
		} else if successor != srv {
			n.moveServerRelease(call, successor)
		}
	}
	for _, call := range srv.standing.inOrder() {
		switch fateAt(call) {
		case fateEnded:
			n.endCallOfOldProcess(call)
		case fateContinues:
			if successor != srv {
				n.moveCall(call, successor)
			}
		case fateUnclear:
			n.endUnclearCall(call, successor)
		}
	}
}

// endCallOfOldProcess ends a call whose process has been replaced. If the trunk of the call is open all the same, its process may be
// alive in spite of the list, and gets the release too.
func (n *Node) endCallOfOldProcess(call *callState) {
	if t := n.trunks[call.trunk]; t != nil && t.isOpen && call.adoptedIn == nil {
		n.write(t.id, encodeMessage(trunk.TypeRelease, call.id, trunk.CauseNormal))
	}
	n.endLostCall(call)
}

// endUnclearCall ends a call that may stand at either of two processes: the new one gets a release, in case it stands there.
func (n *Node) endUnclearCall(call *callState, successor *server) {
	n.Totals.CallsUnclear++
	n.logFate("call ended at both ends", call, successor)
	if successor != call.server {
		n.reassignCall(call, successor)
	}
	n.releaseAtServer(call, trunk.CauseNormal)
	n.endLostCall(call)
}

// moveCall assigns a standing call to the server at whose process it stands.
func (n *Node) moveCall(call *callState, to *server) {
	n.Totals.CallsMoved++
	n.logFate("call moved", call, to)
	n.reassignCall(call, to)
}

func (n *Node) reassignCall(call *callState, to *server) {
	delete(call.server.standing, call)
	call.server = to
	to.standing[call] = struct{}{}
}

// moveServerRelease hands the release of an ended call over to the server at whose process the call may stand.
func (n *Node) moveServerRelease(call *callState, to *server) {
	delete(call.server.awaitingRelease, call)
	call.server = to
	n.releaseAtServer(call, trunk.CauseNormal)
	if !call.isAwaitingRelease() {
		n.adopted.remove(call)
	}
}

func (n *Node) logFate(event string, call *callState, successor *server) {
	start := successor.info.Started
	n.log(LogEntry{Event: event, Server: successor.id, Call: call.id,
		Cause: fmt.Sprintf("answered %v after the listed start, on a connection opened %v after it",
			call.standingSince-start, call.trunkOpenedAt-start)})
}
