package node

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
)

// relayedRequest is a request inside a dialog that is relayed from one leg to the other.
type relayedRequest struct {
	serverTx      *transaction.Server
	req           *sip.Message
	source        *dialogLeg
	clientTx      *transaction.Client
	cancelPending bool // cancelled by its sender; CANCEL is sent after the first 1xx (section 9.1)
	answered      bool
}

// onInDialogRequest handles a request with a To tag.
func (n *Node) onInDialogRequest(tx *transaction.Server, req *sip.Message) {
	tag := req.Tag("To")
	if n.sub.matches(tag, req) {
		n.sub.onNotify(tx, req)
		return
	}
	leg := n.legs[tag]
	if leg == nil || leg.callID != req.Get("Call-ID") || leg.remoteTag != req.Tag("From") {
		n.reject(tx, req, 481)
		return
	}
	cseq, _, _ := req.CSeq()
	if leg.ended {
		if req.Method == sip.BYE { // the BYEs of the two parties have crossed
			tx.Respond(sip.NewResponse(req, 200, "", ""))
		} else {
			n.reject(tx, req, 481)
		}
		return
	}
	if cseq <= leg.remoteSeq {
		n.reject(tx, req, 500) // section 12.2.2: out of order
		return
	}
	leg.remoteSeq = cseq
	switch {
	case req.Method == sip.BYE:
		n.onBye(tx, req, leg)
	case req.Method == sip.OPTIONS:
		resp := sip.NewResponse(req, 200, "", "")
		resp.Fields = append(resp.Fields, n.allowField())
		tx.Respond(resp)
	case !slices.Contains(leg.call.cfg.RelayedMethods, req.Method):
		n.reject(tx, req, 405, n.allowField())
	case req.Get("Max-Forwards") == "0":
		n.reject(tx, req, 483)
	default:
		if unknown := n.unsupportedOptions(req); len(unknown) > 0 {
			n.reject(tx, req, 420, sip.Field{Name: "Unsupported", Value: strings.Join(unknown, ", ")})
			return
		}
		n.relayRequest(tx, req, leg)
	}
}

// relayRequest sends a request on to the other leg.
func (n *Node) relayRequest(tx *transaction.Server, req *sip.Message, source *dialogLeg) {
	target := source.other
	if req.Method == sip.INVITE && (target.invitePending || source.invitePending || !source.confirmed || target.ackPending ||
		source.unacked2xx != nil) {
		n.reject(tx, req, 491) // section 14.2
		return
	}
	if req.Method == sip.INVITE || req.Method == sip.UPDATE {
		if req.Has("Contact") {
			source.updateTarget(req, tx.From)
		}
	}
	relayed := &relayedRequest{serverTx: tx, req: req, source: source}
	tx.UserData = relayed
	forwarded := target.newRequest(n, req.Method)
	// RFC 3262, section 7.2: the CSeq in RAck is that of the INVITE, which differs on the other leg.
	if rack := req.Get("RAck"); rack != "" {
		if rseq, _, ok := strings.Cut(rack, " "); ok {
			forwarded.Add("RAck", rseq+" "+formatCSeq(target.inviteSeq)+" "+sip.INVITE)
		}
	}
	copyEndToEnd(forwarded, req)
	if req.Method == sip.INVITE {
		target.invitePending, target.inviteSeq = true, target.localSeq
		tx.Respond(sip.NewResponse(req, 100, "", ""))
	}
	relayed.clientTx = target.sendRequest(n, forwarded, relayed)
}

// onResponse handles a response to a relayed request.
func (r *relayedRequest) onResponse(n *Node, resp *sip.Message) {
	target := r.source.other
	isInvite := r.req.Method == sip.INVITE
	if resp.Status < 200 && r.cancelPending {
		r.cancelPending = false
		n.transactions.Start(transaction.CancelFor(r.clientTx.Request), r.clientTx.To, nil)
	}
	switch {
	case resp.Status == 100:
		return
	case resp.Status < 200:
		forwarded := sip.NewResponse(r.req, resp.Status, resp.Reason, "")
		copyEndToEnd(forwarded, resp)
		r.serverTx.Respond(forwarded)
		return
	case r.answered:
		if isInvite && resp.Status < 300 && target.lastAck != nil {
			n.send(target.nextHop, target.lastAck)
		}
		return
	}
	r.answered = true
	if isInvite {
		target.invitePending = false
	}
	forwarded := sip.NewResponse(r.req, resp.Status, resp.Reason, "")
	copyEndToEnd(forwarded, resp)
	switch {
	case resp.Status < 300 && isInvite:
		target.updateTarget(resp, target.nextHop)
		forwarded.Add("Contact", n.ident.Contact(r.source.nextHop.Transport))
		if len(r.req.Body) == 0 && len(resp.Body) > 0 {
			target.ackPending = true
		} else {
			target.sendAck(n, nil)
		}
		n.noteCallState(r.source.call, StateStanding, r.source.call.outcome) // the target for BYE may have changed
		r.source.send2xx(n, r.serverTx, forwarded)
		return
	case resp.Status < 300 && r.req.Method == sip.UPDATE:
		target.updateTarget(resp, target.nextHop)
		forwarded.Add("Contact", n.ident.Contact(r.source.nextHop.Transport))
	}
	r.serverTx.Respond(forwarded)
	if resp.Status == 481 || resp.Status == 408 { // section 12.2.1.2: that party has lost the session
		n.dropCall(r.source.call, "session lost: answered "+strconv.Itoa(resp.Status), target)
	}
}

// onFailure ends the call, because the other party did not answer a request inside the dialog.
func (r *relayedRequest) onFailure(n *Node, err error) {
	if r.answered {
		return
	}
	r.answered = true
	r.serverTx.Respond(sip.NewResponse(r.req, 408, "", ""))
	n.dropCall(r.source.call, "session lost: "+err.Error(), r.source.other)
}

// onCancel handles the CANCEL of a relayed INVITE.
func (r *relayedRequest) onCancel(n *Node) {
	switch {
	case r.answered:
	case r.clientTx.HasProvisional():
		n.transactions.Start(transaction.CancelFor(r.clientTx.Request), r.clientTx.To, nil)
	default:
		r.cancelPending = true
	}
}

// onBye ends a standing call, or an early dialog that the caller ends with BYE (section 15).
func (n *Node) onBye(tx *transaction.Server, bye *sip.Message, leg *dialogLeg) {
	tx.Respond(sip.NewResponse(bye, 200, "", ""))
	call := leg.call
	if !call.standing {
		if !call.answered && !leg.towardServer {
			n.withdrawCall(call, "abandoned by the caller")
			n.failCallWith(call, n.newFinalResponse(call, 487, ""), "given up", "BYE on an early dialog")
		}
		return
	}
	outcome, cause := larkrouter.Completed, "hang-up by the caller"
	if leg.towardServer {
		cause = "hang-up by the server"
		if reason := bye.Get("Reason"); reason != "" && sip.ParamValue(reason, "cause") != "16" && sip.ParamValue(reason, "cause") != "200" {
			outcome, cause = larkrouter.Reset, "cut by the server: "+reason
		}
	}
	leg.ended = true
	n.endStandingCall(call, outcome, cause, leg, bye)
}

// dropCall ends a standing call because of a fault. lostLeg, if not nil, is the leg whose party has lost the session;
// it gets no BYE.
func (n *Node) dropCall(call *callContext, cause string, lostLeg *dialogLeg) {
	if !call.standing || n.calls[call.id] != call {
		return
	}
	outcome := larkrouter.Completed // the server is at fault only if its own leg is lost
	if lostLeg != nil && lostLeg.towardServer {
		outcome = larkrouter.Reset
	}
	if lostLeg != nil {
		lostLeg.ended = true
	}
	n.endStandingCall(call, outcome, cause, lostLeg, nil)
}

// endStandingCall sends BYE on each leg that has not ended and reports the outcome to the module.
func (n *Node) endStandingCall(call *callContext, outcome larkrouter.Outcome, cause string, endedBy *dialogLeg, bye *sip.Message) {
	serverLeg, callerLeg := call.legs()
	stats := &n.Stats.Classes[call.class]
	if bye != nil && outcome == larkrouter.Completed {
		stats.Completed++
	} else {
		stats.EndedEarly++
	}
	if outcome == larkrouter.Reset {
		n.Stats.server(call.serverID).Reset++
	}
	if call.cfg.LogCalls {
		n.emitRecord(LogRecord{Level: Info, Event: "call", Call: call.id, Session: call.sessionID, Class: n.className(call),
			Server: call.serverID, Attempt: call.attemptCount, Outcome: call.outcome, Status: 200, Cause: cause,
			SetUpTime: call.setUpTime, StandingTime: n.now - call.arrivedAt - call.setUpTime,
			EndedEarly: bye == nil || outcome != larkrouter.Completed})
	}
	n.noteCallState(call, StateEnded, cause)
	delete(n.calls, call.id)
	for _, leg := range [...]*dialogLeg{serverLeg, callerLeg} {
		if leg.unacked2xx != nil {
			n.timers.Stop(&leg.unacked2xx.timer)
			leg.unacked2xx = nil
		}
		if leg.ended {
			delete(n.legs, leg.localTag)
			continue
		}
		leg.ended = true
		if leg.ackPending {
			leg.sendAck(n, nil)
		}
		req := leg.newRequest(n, sip.BYE)
		if bye != nil && bye.Has("Reason") {
			req.Add("Reason", bye.Get("Reason"))
		}
		leg.sendRequest(n, req, leg)
	}
	if endedBy != nil && !endedBy.towardServer && bye != nil && outcome == larkrouter.Completed {
		return // reported once the server has answered the BYE, with the load report of that answer
	}
	var loadReport []float64
	if bye != nil && endedBy.towardServer {
		loadReport = parseLoadReport(bye, serverLeg.attempt.capacity)
	}
	n.reportCallEnd(call, outcome, loadReport)
}

// reportCallEnd reports the end of a standing call to the module, once per call.
func (n *Node) reportCallEnd(call *callContext, outcome larkrouter.Outcome, loadReport []float64) {
	if call.endReported || call.serverLeg == nil {
		return
	}
	call.endReported = true
	serverLeg, _ := call.legs()
	n.notifyModule(larkrouter.AttemptResult{Call: call.id, Attempt: serverLeg.attempt.index, Outcome: outcome, Server: call.serverID,
		Elapsed: n.now - serverLeg.attempt.sentAt, CallEnded: true, Report: loadReport})
}

// onByeDone handles the final response to a BYE that this node sent; resp is nil if none arrived.
func (n *Node) onByeDone(leg *dialogLeg, resp *sip.Message) {
	delete(n.legs, leg.localTag)
	if !leg.towardServer {
		return
	}
	var loadReport []float64
	if resp != nil {
		loadReport = parseLoadReport(resp, leg.attempt.capacity)
	}
	n.reportCallEnd(leg.call, larkrouter.Completed, loadReport)
	// The transactions of the INVITE exist for 32 s more; they do not need the legs.
	call := leg.call
	call.callerTx.UserData, call.serverLeg = nil, nil
	leg.attempt.callerLeg, leg.attempt.serverLeg = nil, nil
}

// legs returns the two legs of a standing call.
func (c *callContext) legs() (server, caller *dialogLeg) { return c.serverLeg, c.serverLeg.other }

// Drain stops accepting calls: new ones are answered 503 with random Retry-After values. Accepted calls continue.
func (n *Node) Drain(now time.Duration) {
	n.setNow(now)
	n.draining = true
}

// EndAllCalls ends all open calls: unanswered ones get a final response, standing ones a BYE on both legs.
func (n *Node) EndAllCalls(now time.Duration) {
	n.setNow(now)
	n.draining = true
	n.submitNewCalls()
	ids := make([]uint64, 0, len(n.calls))
	for id := range n.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		call := n.calls[id]
		switch {
		case call == nil:
		case call.standing:
			n.dropCall(call, "node stops", nil)
		case !call.answered:
			n.answerAtEnd(call)
		}
	}
	n.sub.setActive(false)
}

// answerAtEnd gives an unanswered call its final answer as the node stops. The module decides which one, as only it knows whether the
// call may have run and whether its caller may then try again. One that the module has not been told of is refused.
func (n *Node) answerAtEnd(call *callContext) {
	if call.announced && !call.endReported {
		n.notifyModule(larkrouter.AnswerDue{Call: call.id, Class: call.class, AttemptSent: call.currentAttempt != nil,
			IsAlerting: call.standingReported})
	}
	n.withdrawCall(call, "node stops")
	if call.answered {
		return
	}
	resp := n.newFinalResponse(call, 503, "")
	resp.Add("Retry-After", formatRetryAfter(call.cfg.MaxRetryAfter))
	n.failCallWith(call, resp, "refused", "node stops")
}
