package node

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// serverAttempt is one INVITE sent to a call server.
type serverAttempt struct {
	call                 *callContext
	index                int
	serverID             uint32
	capacity             int
	sentAt               time.Duration
	tx                   *transaction.Client
	hasProvisional       bool
	cancelPending        bool // cancelled before any 1xx arrived; CANCEL is sent after the first 1xx (section 9.1)
	reported             bool // the attempt's only outcome has been reported to the module
	timeout              timers.Timer
	serverLeg, callerLeg *dialogLeg
}

// datagramLimit is the request size in bytes above which a request is sent over TCP (section 18.1.1).
const datagramLimit = 1300

// requestContext is the user data of a client transaction: the object that receives its responses, and the peer to
// retry with if the connection to the first one is refused.
type requestContext struct {
	owner    any      // *serverAttempt, *relayedRequest, *dialogLeg (a BYE), *storedDialogBye or *subscription
	fallback sip.Peer // zero: none
}

// startRequest sends a request over the transport that its size requires.
func (n *Node) startRequest(req *sip.Message, to sip.Peer, owner any) *transaction.Client {
	reqContext := &requestContext{owner: owner}
	if to.Transport == sip.UDP && n.cfg.Addresses[sip.TCP].IsValid() && estimateSize(req) > datagramLimit {
		reqContext.fallback = to
		to.Transport, to.Conn = sip.TCP, 0
	}
	req.Prepend("Via", n.ident.NewVia(to.Transport))
	return n.transactions.Start(req, to, reqContext)
}

// estimateSize estimates the encoded size of a request in bytes, before its Via is added.
func estimateSize(msg *sip.Message) int {
	size := len(msg.Method) + len(msg.URI) + 120 + len(msg.Body) // start line, Via, Content-Length
	for i := range msg.Fields {
		size += len(msg.Fields[i].Name) + len(msg.Fields[i].Value) + 4
	}
	return size
}

// startAttempt sends the INVITE that the module's Attempt action asks for.
func (n *Node) startAttempt(action larkrouter.Attempt) {
	call := n.calls[action.Call]
	if call == nil || call.answered {
		return
	}
	index := call.attemptCount
	call.attemptCount++
	server, known := n.list.Get(action.Server)
	if call.currentAttempt != nil || !known {
		n.Stats.FailedAsserts++
		n.emitRecord(LogRecord{Level: Error, Event: "assert", Call: call.id, Server: action.Server, Attempt: index,
			Cause: "attempt not sent: another one is in progress, or the server is unknown"})
		n.notifyModule(larkrouter.AttemptResult{Call: call.id, Attempt: index, Server: action.Server, Outcome: larkrouter.NotSent})
		return
	}
	attempt := &serverAttempt{call: call, index: index, serverID: action.Server, capacity: server.Capacity, sentAt: n.now}
	call.currentAttempt = attempt
	n.Stats.server(action.Server).Attempts++
	n.noteCallState(call, StateAttempted, "")
	invite := n.newServerInvite(call, server.Peer)
	attempt.tx = n.startRequest(invite, server.Peer, attempt)
	if action.Timeout > 0 {
		n.timers.Set(&attempt.timeout, n.now+action.Timeout, func() {
			n.abandonAttempt(attempt, larkrouter.TimedOut, "no final response before the attempt's timeout")
		})
	}
}

// newServerInvite builds the INVITE for the leg towards a call server. The leg has its own Call-ID, tags and Contact;
// everything else is copied from the caller's INVITE.
func (n *Node) newServerInvite(call *callContext, to sip.Peer) *sip.Message {
	callerInvite := call.invite
	uri, _ := sip.ParseURI(callerInvite.URI)
	if uri.Scheme == "tel" {
		uri.Scheme, uri.Params = "sip", ";user=phone"
	}
	host := to.Addr.Addr().String()
	if to.Addr.Addr().Is6() {
		host = "[" + host + "]"
	}
	uri.Host, uri.Port = host, int(to.Addr.Port())
	maxForwards := 70
	if hops, err := strconv.Atoi(callerInvite.Get("Max-Forwards")); err == nil {
		maxForwards = hops
	}
	from, _ := sip.ParseAddress(callerInvite.Get("From"))
	from.Params = ";tag=" + n.ident.NewToken()
	callee, _ := sip.ParseAddress(callerInvite.Get("To"))
	callee.Params = ""
	invite := sip.NewRequest(sip.INVITE, uri.String(), from.String(), callee.String(), n.ident.NewToken()+n.ident.NewToken(), 1,
		maxForwards-1)
	invite.Add("Contact", n.ident.Contact(to.Transport))
	invite.Add("Session-ID", call.sessionID+";remote=00000000000000000000000000000000")
	copyEndToEnd(invite, callerInvite)
	return invite
}

// copyEndToEnd copies the body and all end-to-end fields. Fields that belong to the dialog, to the hop or to this
// node are left out.
func copyEndToEnd(dst, src *sip.Message) {
	for _, field := range src.Fields {
		switch field.Name {
		case "Via", "From", "To", "Call-ID", "CSeq", "Contact", "Route", "Record-Route", "Max-Forwards", "Session-ID",
			"Content-Length", "Expires", "Proxy-Require", "Timestamp", "Retry-After", "RAck", sip.LatencyHeader:
		default:
			dst.Fields = append(dst.Fields, field)
		}
	}
	dst.Body = src.Body
}

// parseLoadReport reads the load that a server reports: the latency header field, and the Via parameters of RFC 7339
// (loss) or RFC 7415 (rate). The values are in the order of Settings.ReportFields; -1 stands for a value that the
// server does not report.
func parseLoadReport(msg *sip.Message, capacity int) []float64 {
	latencyMs, holdBack, canTake := -1.0, -1.0, -1.0
	if value, err := strconv.ParseFloat(msg.Get(sip.LatencyHeader), 64); err == nil && value >= 0 {
		latencyMs = value
	}
	via := msg.Get("Via")
	if oc := sip.ParamValue(via, "oc"); oc != "" {
		if value, err := strconv.ParseFloat(oc, 64); err == nil && value >= 0 {
			if strings.Contains(sip.ParamValue(via, "oc-algo"), "rate") {
				canTake = value
			} else {
				holdBack = value / 100
			}
		}
	}
	if latencyMs < 0 && holdBack < 0 && canTake < 0 {
		return nil
	}
	return []float64{float64(capacity), float64(capacity), latencyMs, holdBack, canTake}
}

// Response implements transaction.User.
func (u *transactionUser) Response(tx *transaction.Client, resp *sip.Message) {
	n := (*Node)(u)
	reqContext, _ := tx.UserData.(*requestContext)
	if reqContext == nil {
		return
	}
	switch owner := reqContext.owner.(type) {
	case *serverAttempt:
		n.onInviteResponse(owner, tx, resp)
	case *relayedRequest:
		owner.onResponse(n, resp)
	case *dialogLeg:
		if resp.Status >= 200 {
			n.onByeDone(owner, resp)
		}
	case *storedDialogBye:
		if resp.Status >= 200 {
			n.onStoredByeDone(owner)
		}
	case *subscription:
		owner.onResponse(resp)
	}
}

// TimedOut implements transaction.User. It also receives transport errors.
func (u *transactionUser) TimedOut(tx *transaction.Client, err error) {
	n := (*Node)(u)
	reqContext, _ := tx.UserData.(*requestContext)
	if reqContext == nil {
		return
	}
	if reqContext.fallback.Addr.IsValid() && errors.Is(err, sip.ErrRefused) {
		// Section 18.1.1: the connection was refused, so the large request is sent over UDP after all.
		req := tx.Request.Clone()
		req.Set("Via", n.ident.NewVia(reqContext.fallback.Transport))
		retry := n.transactions.Start(req, reqContext.fallback, &requestContext{owner: reqContext.owner})
		if attempt, ok := reqContext.owner.(*serverAttempt); ok {
			attempt.tx = retry
			if attempt.reported {
				retry.StopRetransmitting()
			}
		}
		if relayed, ok := reqContext.owner.(*relayedRequest); ok {
			relayed.clientTx = retry
		}
		return
	}
	switch owner := reqContext.owner.(type) {
	case *serverAttempt:
		n.onAttemptFailure(owner, tx, err)
	case *relayedRequest:
		owner.onFailure(n, err)
	case *dialogLeg:
		n.onByeDone(owner, nil)
	case *storedDialogBye:
		n.onStoredByeDone(owner)
	case *subscription:
		owner.onTransportError(err)
	}
}

// onAttemptFailure maps the end of a transaction without a final response to an outcome.
func (n *Node) onAttemptFailure(attempt *serverAttempt, tx *transaction.Client, err error) {
	switch {
	case errors.Is(err, sip.ErrRefused) && !attempt.hasProvisional && !tx.WasRetransmitted():
		n.reportAttempt(attempt, larkrouter.AttemptResult{Outcome: larkrouter.NoConnection}, err.Error())
	case errors.Is(err, transaction.ErrTimeout):
		n.reportAttempt(attempt, larkrouter.AttemptResult{Outcome: larkrouter.TimedOut}, err.Error())
	default: // the server may have processed this request or an earlier copy of it
		n.reportAttempt(attempt, larkrouter.AttemptResult{Outcome: larkrouter.Reset}, err.Error())
	}
}

// reportAttempt reports the outcome of an attempt to the module, once per attempt.
func (n *Node) reportAttempt(attempt *serverAttempt, ev larkrouter.AttemptResult, cause string) {
	if attempt.reported {
		return
	}
	attempt.reported = true
	n.timers.Stop(&attempt.timeout)
	call := attempt.call
	if call.currentAttempt == attempt {
		call.currentAttempt = nil
	}
	stats := n.Stats.server(attempt.serverID)
	switch ev.Outcome {
	case larkrouter.Failed:
		stats.Failed++
	case larkrouter.Rejected:
		stats.Rejected++
	case larkrouter.TimedOut:
		stats.TimedOut++
	case larkrouter.NoConnection:
		stats.NoConnection++
	case larkrouter.Reset:
		stats.Reset++
	case larkrouter.Cancelled:
		stats.Cancelled++
	}
	call.lastOutcome = ev.Outcome
	if attempt.callerLeg != nil && !call.standing {
		n.removeLegs(attempt)
	}
	if ev.Outcome != larkrouter.Failed || call.endReported {
		n.emitRecord(LogRecord{Level: Debug, Event: "attempt", Call: call.id, Session: call.sessionID, Class: n.className(call),
			Server: attempt.serverID, Attempt: attempt.index, Cause: cause, SetUpTime: n.now - attempt.sentAt})
	}
	ev.Call, ev.Attempt, ev.Server, ev.Elapsed = call.id, attempt.index, attempt.serverID, n.now-attempt.sentAt
	ev.CallEnded = call.answered || call.standingReported
	n.notifyModule(ev)
	// An alerting call counts as set up, so the module makes no further attempt.
	if call.standingReported && !call.answered && !call.endReported {
		if !n.relayLastFailure(call) {
			n.failCallWith(call, n.newFinalResponse(call, 500, ""), "failed", cause)
		}
	}
}

// abandonAttempt ends an attempt before its final response. CANCEL is sent at once if a 1xx has arrived, otherwise
// after the first 1xx.
func (n *Node) abandonAttempt(attempt *serverAttempt, outcome larkrouter.Outcome, cause string) {
	if attempt.reported {
		return
	}
	attempt.tx.StopRetransmitting()
	if attempt.hasProvisional && !attempt.tx.IsDone() {
		n.sendCancel(attempt)
	} else {
		attempt.cancelPending = true
	}
	n.reportAttempt(attempt, larkrouter.AttemptResult{Outcome: outcome}, cause)
}

// sendCancel sends the CANCEL of an attempt's INVITE.
func (n *Node) sendCancel(attempt *serverAttempt) {
	attempt.cancelPending = false
	n.transactions.Start(transaction.CancelFor(attempt.tx.Request), attempt.tx.To, nil)
}

// onInviteResponse handles a response to the INVITE of an attempt.
func (n *Node) onInviteResponse(attempt *serverAttempt, tx *transaction.Client, resp *sip.Message) {
	call := attempt.call
	switch {
	case resp.Status < 200:
		attempt.hasProvisional = true
		if attempt.cancelPending && !tx.IsDone() {
			n.sendCancel(attempt)
		}
		if attempt.reported || resp.Status == 100 || call.answered {
			return
		}
		n.forwardProvisional(attempt, resp)
	case resp.Status < 300 && attempt.serverLeg != nil && attempt.serverLeg.confirmed:
		// The server retransmits its 2xx because the ACK was lost (section 13.2.2.4).
		if attempt.serverLeg.lastAck != nil {
			n.send(attempt.serverLeg.nextHop, attempt.serverLeg.lastAck)
		}
	case resp.Status < 300 && (attempt.reported || call.answered):
		n.releaseLateAnswer(resp, tx.To)
	case resp.Status < 300 && !call.standingReported && n.now >= call.deadline:
		// Rule 1 (one final answer, in time): the 2xx arrived while this node was stalled, and the caller has stopped waiting.
		n.reportAttempt(attempt, larkrouter.AttemptResult{Outcome: larkrouter.TimedOut}, "answered after the try's deadline")
		n.releaseLateAnswer(resp, tx.To)
	case resp.Status < 300:
		n.completeSetUp(attempt, resp)
	default:
		ev := larkrouter.AttemptResult{Outcome: larkrouter.Failed, Report: parseLoadReport(resp, attempt.capacity)}
		retryAfter, _ := sip.ParseDeltaSeconds(resp.Get("Retry-After"))
		if resp.Status == 503 || resp.Status == 500 && retryAfter > 0 || resp.Status == 480 && retryAfter > 0 {
			ev.Outcome, ev.ServerFull, ev.ServerWait = larkrouter.Rejected, true, retryAfter
		}
		if !attempt.reported {
			call.lastFailure = resp
		}
		n.reportAttempt(attempt, ev, "answered "+strconv.Itoa(resp.Status))
	}
}

// forwardProvisional sends a 1xx on to the caller. Each attempt that sends a 1xx with a To tag becomes an early
// dialog of its own.
func (n *Node) forwardProvisional(attempt *serverAttempt, resp *sip.Message) {
	call := attempt.call
	if resp.Tag("To") != "" {
		n.createLegs(attempt, resp)
	}
	if call.cfg.CountAlertingAsSetUp && !call.standingReported && (resp.Status == 180 || resp.Status == 183) {
		call.standingReported = true
		n.timers.Stop(&attempt.timeout)
		n.timers.Stop(&call.guardTimer)
		n.Stats.server(attempt.serverID).CallsSetUp++
		n.notifyModule(larkrouter.Standing{Call: call.id, Server: attempt.serverID, Elapsed: n.now - attempt.sentAt,
			Attempt: attempt.index})
	}
	tag := ""
	if attempt.callerLeg != nil {
		tag = attempt.callerLeg.localTag
	}
	forwarded := sip.NewResponse(call.invite, resp.Status, resp.Reason, tag)
	copyEndToEnd(forwarded, resp)
	if attempt.callerLeg != nil {
		forwarded.Add("Contact", n.ident.Contact(call.callerTx.From.Transport))
	}
	call.callerTx.Respond(forwarded)
}

// completeSetUp forwards the 2xx to the caller and marks the call as standing.
func (n *Node) completeSetUp(attempt *serverAttempt, resp *sip.Message) {
	call := attempt.call
	n.timers.Stop(&attempt.timeout)
	n.createLegs(attempt, resp)
	call.answered, call.standing, call.serverID = true, true, attempt.serverID
	call.currentAttempt, call.serverLeg = nil, attempt.serverLeg
	attempt.reported = true
	attempt.serverLeg.confirmed, attempt.callerLeg.confirmed = true, true
	stats := &n.Stats.Classes[call.class]
	outcome := "in aim"
	if n.now-call.arrivedAt <= call.cfg.Settings.Classes[call.class].Aim {
		stats.InAim++
	} else {
		stats.Late++
		outcome = "late"
	}
	forwarded := sip.NewResponse(call.invite, resp.Status, resp.Reason, attempt.callerLeg.localTag)
	forwarded.Add("Contact", n.ident.Contact(call.callerTx.From.Transport))
	forwarded.Add("Session-ID", call.sessionID)
	copyEndToEnd(forwarded, resp)
	// The caller's ACK will carry the answer to an offer in the 2xx.
	hasDelayedOffer := len(call.invite.Body) == 0 && len(resp.Body) > 0
	attempt.serverLeg.inviteSeq = 1
	if hasDelayedOffer {
		attempt.serverLeg.ackPending = true
	} else {
		attempt.serverLeg.sendAck(n, nil)
	}
	attempt.callerLeg.send2xx(n, call.callerTx, forwarded)
	n.retainMergeKey(call)
	if !call.standingReported {
		call.standingReported = true
		n.Stats.server(attempt.serverID).CallsSetUp++
		n.notifyModule(larkrouter.Standing{Call: call.id, Server: attempt.serverID, Elapsed: n.now - attempt.sentAt,
			Attempt: attempt.index})
	}
	if loadReport := parseLoadReport(resp, attempt.capacity); loadReport != nil {
		n.notifyModule(larkrouter.ProbeResult{Server: attempt.serverID, OK: true, Report: loadReport})
	}
	n.noteCallState(call, StateStanding, outcome)
	call.outcome, call.setUpTime = outcome, n.now-call.arrivedAt
	level := Debug // a call within its aim is logged at Info only when it ends
	if outcome == "late" {
		level = Info
	}
	n.logCallRecord(level, "stands", call, outcome, "", resp.Status)
	call.invite, call.lastFailure = nil, nil
	attempt.tx = nil
}
