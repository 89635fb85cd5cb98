package access

import (
	"cmp"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/reachability"
	"larkrouter/internal/edge/trunk"
)

// trunkConn is a connection to a call server.
type trunkConn struct {
	id       ConnID
	server   *server
	isOpen   bool
	dialedAt time.Duration
	lastUsed time.Duration // when it opened, or when a message was last read or written

	liveness reachability.Conn
	releases []serverRelease // written to it, and perhaps not read

	isSpentProbe bool // it is closed soon after it opened, as spare: none is opened for what it may have carried of other trunks' calls

	pending   map[uint64]*attempt // set-ups that await an answer, by the caller's id of the call
	abandoned map[uint64]struct{} // set-ups abandoned on it, by the caller's id: answers that still arrive for them are late
}

// hasPeerClosed reports whether the peer has closed a connection, also if the node has not been told yet.
func (n *Node) hasPeerClosed(conn ConnID) bool {
	return n.cfg.HasPeerClosed != nil && n.cfg.HasPeerClosed(conn)
}

// hasUnreadInput reports whether bytes have arrived on a connection that the node has not been passed.
func (n *Node) hasUnreadInput(conn ConnID) bool {
	return n.cfg.HasUnreadInput != nil && n.cfg.HasUnreadInput(conn)
}

// closeTrunks closes all trunks to a server.
func (n *Node) closeTrunks(srv *server, cause string) {
	n.log(LogEntry{Event: "connections left", Server: srv.id, Cause: cause, Count: len(srv.trunks)})
	for _, t := range slices.Clone(srv.trunks) {
		n.closeTrunk(t)
	}
}

// closeTrunk closes a trunk and abandons the set-ups pending on it. They are released first, because an answer may be on its way.
func (n *Node) closeTrunk(t *trunkConn) {
	for _, att := range attemptsInCallOrder(t.pending) {
		n.write(t.id, encodeMessage(trunk.TypeRelease, att.call.id, trunk.CauseNormal))
	}
	n.effects = append(n.effects, Effect{Kind: EffectClose, Conn: t.id})
	n.removeTrunk(t)
}

// removeTrunk removes a trunk that has ended. The set-ups pending on it are reported as reset: the server may
// have executed them.
func (n *Node) removeTrunk(t *trunkConn) {
	srv := t.server
	delete(n.trunks, t.id)
	srv.trunks = slices.DeleteFunc(srv.trunks, func(other *trunkConn) bool { return other == t })
	if t.isOpen {
		n.expectRepeatedReleases(t)
		srv.reachability.ConnClosed(n.now)
		n.reassignTrunk(t)
	}
	for _, att := range attemptsInCallOrder(t.pending) {
		n.endAttempt(att, larkrouter.AttemptResult{Outcome: larkrouter.Reset})
	}
	n.resendServerReleases(t)
}

func attemptsInCallOrder(pending map[uint64]*attempt) []*attempt {
	all := make([]*attempt, 0, len(pending))
	for _, att := range pending {
		all = append(all, att)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.call.number, b.call.number) })
	return all
}

// TrunkOpened handles a trunk that has opened.
func (n *Node) TrunkOpened(now time.Duration, conn ConnID) {
	n.advanceClock(now)
	t := n.trunks[conn]
	if t == nil {
		return
	}
	t.isOpen, t.lastUsed = true, n.now
	t.liveness.Opened(n.now)
	srv := t.server
	srv.reachability.ConnOpened(n.now)
	if t.dialedAt > srv.releasesLostAt {
		srv.releasesLostAt = 0
	}
	for _, call := range srv.awaitingRelease.inOrder() {
		n.write(t.id, encodeMessage(trunk.TypeRelease, call.id, trunk.CauseNormal))
		n.dropServerRelease(call)
	}
	for _, att := range slices.Clone(srv.queue) {
		if att.trunk == nil && t.canCarry(att.call) {
			n.sendSetUp(att, t)
		}
	}
}

// TrunkDialFailed handles a dial that failed: refused, or not answered within the connect timeout.
func (n *Node) TrunkDialFailed(now time.Duration, conn ConnID, refused bool) {
	n.advanceClock(now)
	t := n.trunks[conn]
	if t == nil {
		return
	}
	srv := t.server
	n.removeTrunk(t)
	cause := map[bool]string{true: "refused", false: "no answer"}[refused]
	n.log(LogEntry{Event: "connection to a call server did not come up", Server: srv.id, Cause: cause})
	srv.reachability.DialFailed(n.now, refused)
	if !refused || slices.ContainsFunc(srv.trunks, func(t *trunkConn) bool { return t.isOpen }) {
		return // waiting set-ups have their own timers
	}
	for _, att := range slices.Clone(srv.queue) {
		n.endAttempt(att, larkrouter.AttemptResult{Outcome: larkrouter.NoConnection})
	}
}

// TrunkClosed handles the end of a trunk.
func (n *Node) TrunkClosed(now time.Duration, conn ConnID, cause string) {
	n.advanceClock(now)
	if t := n.trunks[conn]; t != nil {
		n.log(LogEntry{Event: "connection to a call server ended", Server: t.server.id, Cause: cause, Count: len(t.pending)})
		n.removeTrunk(t)
		n.maintainServer(t.server)
	}
}

// TrunkProtocolError handles input that cannot be parsed: the trunk is closed.
func (n *Node) TrunkProtocolError(now time.Duration, conn ConnID, err error) {
	n.advanceClock(now)
	if t := n.trunks[conn]; t != nil {
		n.log(LogEntry{Event: "unreadable from a call server", Server: t.server.id, Cause: err.Error(), Count: len(t.pending)})
		n.closeTrunk(t)
		n.maintainServer(t.server)
	}
}

// TrunkBytesReceived records that bytes arrived on a trunk, whether or not they complete a message.
func (n *Node) TrunkBytesReceived(now time.Duration, conn ConnID) {
	n.advanceClock(now)
	if t := n.trunks[conn]; t != nil {
		t.lastUsed = n.now
		t.liveness.Received(n.now)
		t.server.reachability.BytesReceived(n.now)
	}
}

// TrunkPartialMessage records how many bytes of an incomplete message have been received on a trunk.
func (n *Node) TrunkPartialMessage(now time.Duration, conn ConnID, size int) {
	n.advanceClock(now)
	if t := n.trunks[conn]; t != nil {
		t.liveness.Incomplete(size)
	}
}

// TrunkMessage handles a message from a call server.
func (n *Node) TrunkMessage(now time.Duration, conn ConnID, msg *trunk.Message) {
	n.advanceClock(now)
	t := n.trunks[conn]
	if t == nil {
		return
	}
	srv := t.server
	report := trunk.ParseReport(msg.Value(trunk.ParamReport), n.cfg.Module.ReportFields)
	switch msg.Type {
	case trunk.TypeState:
		if report != nil {
			n.notifyModule(larkrouter.ProbeResult{Server: srv.number, OK: true, Report: report})
		}
	case trunk.TypeAnswer:
		n.handleAnswer(t, msg)
	case trunk.TypeRelease:
		n.handleRelease(t, msg, report)
	case trunk.TypeProbe:
		reply, _ := (&trunk.Message{Type: trunk.TypeProbeReply, Call: msg.Call,
			Params: []trunk.Param{{Code: trunk.ParamCause, Value: []byte{1}}}}).Append(nil)
		n.write(conn, reply)
	}
}

// handleAnswer handles the answer to a set-up: the call stands, and its caller is answered.
func (n *Node) handleAnswer(t *trunkConn, msg *trunk.Message) {
	att := t.pending[msg.Call]
	if att == nil { // the set-up was abandoned and its release is on the way, or it is unknown
		n.Totals.LateReplies++
		return
	}
	call := att.call
	if n.now >= call.deadline {
		n.expireCall(call)
		return
	}
	description := msg.Value(trunk.ParamDescription)
	if description == nil { // without a description the caller cannot use the answer
		n.log(LogEntry{Event: "answer without a description", Server: t.server.id, Call: msg.Call})
		n.closeTrunk(t)
		return
	}
	n.detachAttempt(att)
	t.server.counts.Answered++
	call.server, call.trunk, call.trunkOpenedAt, call.standingAttempt = t.server, t.id, t.liveness.OpenedAt(), att.ordinal
	t.server.standing[call] = struct{}{}
	n.answerCall(call, description)
	n.notifyModule(larkrouter.Standing{Call: call.number, Server: t.server.number, Elapsed: n.now - att.startedAt, Attempt: att.ordinal})
}

// handleRelease handles a release: a refused set-up, a late reply to an abandoned one, or the end of a standing call.
func (n *Node) handleRelease(t *trunkConn, msg *trunk.Message, report []float64) {
	srv, cause := t.server, msg.Cause()
	if att := t.pending[msg.Call]; att != nil {
		event := larkrouter.AttemptResult{Report: report, Outcome: larkrouter.Reset}
		switch cause {
		case trunk.CauseFull:
			event.Outcome, event.ServerFull = larkrouter.Rejected, string(msg.Value(trunk.ParamNote)) == "overload"
		case trunk.CauseBusy, trunk.CauseFault:
			event.Outcome = larkrouter.Failed
		case trunk.CauseNotSent:
			event.Outcome = larkrouter.NotSent
		case trunk.CauseNormal: // the call stood and has ended; its answer is still on the way and no longer useful
			event.Outcome = larkrouter.Completed
			t.abandoned[msg.Call] = struct{}{}
		}
		n.endAttempt(att, event)
		return
	}
	// A refusal of an abandoned set-up says nothing about the call.
	if _, wasAbandoned := t.abandoned[msg.Call]; wasAbandoned && isSetUpRefusal(cause) {
		delete(t.abandoned, msg.Call)
		n.Totals.LateReplies++
		return
	}
	n.write(t.id, encodeMessage(trunk.TypeReleaseAck, msg.Call, 0))
	call := n.callsByID[msg.Call]
	switch {
	case call != nil && call.isStanding && call.server == srv:
		event := larkrouter.AttemptResult{Call: call.number, Attempt: call.standingAttempt, Outcome: larkrouter.Reset,
			Report: report, Elapsed: n.now - call.standingSince, Server: srv.number, CallEnded: true}
		if cause == trunk.CauseNormal {
			event.Outcome = larkrouter.Completed
		}
		n.removeCall(call)
		n.forwardRelease(call, cmp.Or(cause, trunk.CauseReset))
		n.notifyModule(event)
	case call == nil && !n.hasEnded(msg.Call): // of a previous run of the node; its caller may still name it
		n.Totals.UnknownCalls++
		n.unknownReleases.add(msg.Call, unknownRelease{n.now, cmp.Or(cause, trunk.CauseReset)})
	}
}

// isSetUpRefusal reports whether a cause refuses a set-up. Standing calls end with other causes.
func isSetUpRefusal(cause byte) bool {
	return cause == trunk.CauseFull || cause == trunk.CauseBusy || cause == trunk.CauseFault || cause == trunk.CauseNotSent
}

// encodeMessage returns an encoded message without parameters except a nonzero cause.
func encodeMessage(typ byte, call uint64, cause byte) []byte {
	msg := trunk.Message{Type: typ, Call: call}
	if cause != 0 {
		msg.Params = []trunk.Param{{Code: trunk.ParamCause, Value: []byte{cause}}}
	}
	data, _ := msg.Append(nil)
	return data
}

// canRead reports whether the server at the other end of a trunk can read what is written now.
func (n *Node) canRead(t *trunkConn) bool { return t.isOpen && !n.hasPeerClosed(t.id) }

// openTrunk returns an open trunk to a server, or nil. One that may no longer work is the last choice.
func (n *Node) openTrunk(srv *server) (found *trunkConn) {
	for _, t := range srv.trunks {
		switch {
		case !n.canRead(t):
		case !n.isSuspect(t):
			return t
		case found == nil:
			found = t
		}
	}
	return found
}
