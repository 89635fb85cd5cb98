package access

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/timers"
)

// AttemptCounts count the attempts at a server since the node started.
type AttemptCounts struct{ Sent, Answered, Refused, Failed, TimedOut, Reset, NoConnection, Cancelled uint64 }

// maxAbandonedSetUps is the limit on the abandoned set-ups that are remembered for one trunk.
const maxAbandonedSetUps = 4096

// attempt is one set-up of a call at a call server.
type attempt struct {
	call      *callState
	ordinal   int // number of the attempt within its call, from 0
	server    *server
	trunk     *trunkConn // nil while it waits for a trunk
	startedAt time.Duration
	expires   time.Duration
	timer     timers.Timer
}

// startAttempt starts an attempt that the module asked for. An attempt that can no longer be sent is reported
// back as not sent.
func (n *Node) startAttempt(action larkrouter.Attempt) {
	call, srv := n.callsByNumber[action.Call], n.serversByNumber[action.Server]
	if call == nil || call.isStanding {
		return // the call stands or has ended, which the module knows
	}
	if srv == nil { // the server has been removed
		call.attempts++
		n.notifyModule(larkrouter.AttemptResult{Call: call.number, Attempt: call.attempts - 1, Outcome: larkrouter.NotSent,
			Server: action.Server})
		return
	}
	att := &attempt{call: call, ordinal: call.attempts, server: srv, startedAt: n.now, expires: call.deadline}
	call.attempts++
	if action.Timeout > 0 {
		att.expires = min(call.deadline, n.now+action.Timeout)
	}
	hasDrained := srv.info.Phase != larkrouter.Ready && n.now-srv.withdrawnAt > n.cfg.Edge.DrainGrace
	if call.current != nil || n.now >= att.expires || hasDrained ||
		n.cfg.Module.MaxAttempts > 0 && call.attempts > n.cfg.Module.MaxAttempts {
		n.log(LogEntry{Event: "attempt kept back", Server: srv.id, Call: call.id})
		n.notifyModule(larkrouter.AttemptResult{Call: call.number, Attempt: att.ordinal, Outcome: larkrouter.NotSent, Server: srv.number})
		return
	}
	call.current = att
	if t := n.pickTrunk(srv, call); t != nil {
		n.sendSetUp(att, t)
		n.maintainServer(srv)
		return
	}
	srv.queue = append(srv.queue, att)
	n.timerHeap.Set(&att.timer, min(att.expires, n.now+n.cfg.Edge.ConnectTimeout), func() {
		n.endAttempt(att, larkrouter.AttemptResult{Outcome: larkrouter.NoConnection})
	})
	n.maintainServer(srv)
}

// canCarry reports whether a set-up of a call may be sent on the trunk. It may not if an earlier set-up of the
// same call was sent on it, because an answer names the call and not the attempt.
func (t *trunkConn) canCarry(call *callState) bool {
	_, wasAbandoned := t.abandoned[call.id]
	return t.isOpen && !wasAbandoned && t.pending[call.id] == nil
}

// pickTrunk returns the usable trunk with the fewest pending set-ups, or nil. One that may no longer work is the last choice.
func (n *Node) pickTrunk(srv *server, call *callState) (best *trunkConn) {
	isBestSuspect := false
	for _, t := range srv.trunks {
		if !t.canCarry(call) || n.isStale(t) {
			continue
		}
		isSuspect := n.isSuspect(t)
		if best == nil || isBestSuspect && !isSuspect || isBestSuspect == isSuspect && len(t.pending) < len(best.pending) {
			best, isBestSuspect = t, isSuspect
		}
	}
	return best
}

// sendSetUp sends the set-up of an attempt on a trunk, unless the caller has closed its connection.
func (n *Node) sendSetUp(att *attempt, t *trunkConn) {
	call, srv := att.call, att.server
	// The end of the caller's connection may not be processed yet: it waits behind unread bytes or a busy loop.
	if n.hasPeerClosed(call.conn) {
		n.Totals.CallerHungUp++
		n.cancelCall(call)
		return
	}
	srv.queue = slices.DeleteFunc(srv.queue, func(other *attempt) bool { return other == att })
	msg := trunk.Message{Type: trunk.TypeSetUp, Call: call.id, Params: []trunk.Param{
		{Code: trunk.ParamClass, Value: []byte(call.setUp.Class)},
		{Code: trunk.ParamTimeLeft, Value: strconv.AppendInt(nil, max(1, (att.expires-n.now).Milliseconds()), 10)},
		{Code: trunk.ParamNumber, Value: call.calledNumber[:]},
		{Code: trunk.ParamDescription, Value: call.setUp.Description}}}
	data, err := msg.Append(nil)
	if err != nil { // longer than servers accept
		n.endAttempt(att, larkrouter.AttemptResult{Outcome: larkrouter.NotSent})
		return
	}
	srv.counts.Sent++
	if att.ordinal > 0 {
		n.Totals.SentAgain++
	}
	t.liveness.SetUpSent(n.now, len(t.pending))
	att.trunk, t.pending[call.id], t.lastUsed = t, att, n.now
	n.timerHeap.Set(&att.timer, att.expires, func() { n.abandonAttempt(att, larkrouter.TimedOut) })
	n.write(t.id, data)
}

// abandonAttempt ends an attempt from this side. Its release is written before the module may send another
// set-up.
func (n *Node) abandonAttempt(att *attempt, outcome larkrouter.Outcome) {
	if t := att.trunk; t != nil {
		t.abandoned[att.call.id] = struct{}{}
		t.liveness.SetUpAbandoned()
		n.write(t.id, encodeMessage(trunk.TypeRelease, att.call.id, trunk.CauseNormal))
		if len(t.abandoned) > maxAbandonedSetUps {
			defer n.forgetAbandoned(t)
		}
	}
	n.endAttempt(att, larkrouter.AttemptResult{Outcome: outcome})
}

// forgetAbandoned forgets the abandoned set-ups of calls that have ended: no other set-up of them follows on the trunk, and late answers
// find no call. If most calls are still open, the trunk is closed instead, as the set must not grow without bound.
func (n *Node) forgetAbandoned(t *trunkConn) {
	maps.DeleteFunc(t.abandoned, func(id uint64, _ struct{}) bool { return n.callsByID[id] == nil })
	if len(t.abandoned) > maxAbandonedSetUps/2 && n.trunks[t.id] == t {
		clear(t.abandoned)
		n.closeTrunk(t)
	}
}

// detachAttempt removes an attempt from its timer, trunk or queue, and call.
func (n *Node) detachAttempt(att *attempt) {
	n.timerHeap.Stop(&att.timer)
	if att.trunk != nil {
		delete(att.trunk.pending, att.call.id)
	} else {
		att.server.queue = slices.DeleteFunc(att.server.queue, func(other *attempt) bool { return other == att })
	}
	if att.call.current == att {
		att.call.current = nil
	}
}

// endAttempt ends an attempt that did not lead to a standing call and notifies the module.
func (n *Node) endAttempt(att *attempt, event larkrouter.AttemptResult) {
	n.detachAttempt(att)
	att.server.counts.record(event.Outcome)
	event.Call, event.Attempt, event.Server = att.call.number, att.ordinal, att.server.number
	event.Elapsed, event.CallEnded = n.now-att.startedAt, n.callsByID[att.call.id] != att.call
	n.notifyModule(event)
}

// record counts the outcome of an attempt that did not lead to a standing call.
func (c *AttemptCounts) record(outcome larkrouter.Outcome) {
	switch outcome {
	case larkrouter.Rejected:
		c.Refused++
	case larkrouter.Failed:
		c.Failed++
	case larkrouter.TimedOut:
		c.TimedOut++
	case larkrouter.Reset:
		c.Reset++
	case larkrouter.NoConnection, larkrouter.NotSent:
		c.NoConnection++
	case larkrouter.Cancelled:
		c.Cancelled++
	}
}
