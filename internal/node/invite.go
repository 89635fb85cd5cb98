package node

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// callContext is the state of one call: the caller's INVITE, then successive attempts, then the two legs of the
// standing call.
type callContext struct {
	id               uint64
	cfg              *Config // configuration that the call was accepted with
	class            int
	sessionID        string
	callerTx         *transaction.Server // transaction of the caller's INVITE
	invite           *sip.Message        // nil once the call stands or has ended
	mergeKey         string
	number           string
	pairKey          uint64
	arrivedAt        time.Duration
	redialCount      int
	deadline         time.Duration
	guardTimer       timers.Timer // answers the call if the module does not; after the answer, expiry of mergeKey
	answered         bool         // the final response has been sent
	standing         bool
	announced        bool // Call has been reported to the module
	standingReported bool // Standing has been reported to the module, so that an AttemptResult ends the call
	endReported      bool // the end of the call has been reported to the module
	currentAttempt   *serverAttempt
	attemptCount     int
	lastFailure      *sip.Message // final response of the last failed attempt
	lastOutcome      larkrouter.Outcome
	serverID         uint32 // server of the standing call
	outcome          string // of a standing call: "in aim" or "late"
	setUpTime        time.Duration
	serverLeg        *dialogLeg // of a standing call
}

func (n *Node) className(call *callContext) string { return call.cfg.Settings.Classes[call.class].Name }

// Request implements transaction.User.
func (u *transactionUser) Request(tx *transaction.Server, req *sip.Message, from sip.Peer) {
	n := (*Node)(u)
	switch {
	case req.Method == sip.ACK:
		n.onAck(req)
	case req.Method == sip.CANCEL:
		n.onCancel(tx, req)
	case req.Tag("To") != "":
		n.onInDialogRequest(tx, req)
	case req.Method == sip.INVITE:
		n.onInvite(tx, req)
	case req.Method == sip.OPTIONS:
		resp := sip.NewResponse(req, 200, "", n.ident.NewToken())
		resp.Fields = append(resp.Fields, n.allowField())
		resp.Add("Accept", "application/sdp")
		tx.Respond(resp)
	default:
		switch {
		case slices.Contains([]string{sip.BYE, sip.UPDATE, sip.INFO, sip.PRACK}, req.Method):
			n.reject(tx, req, 481) // valid inside a dialog only
		case slices.Contains([]string{"REGISTER", "SUBSCRIBE", "NOTIFY", "PUBLISH", "MESSAGE", "REFER"}, req.Method):
			n.reject(tx, req, 405, n.allowField())
		default:
			n.reject(tx, req, 501) // section 8.2.1: method not recognised
		}
	}
}

// allowField returns the Allow field with the methods that this node supports (section 20.5).
func (n *Node) allowField() sip.Field {
	methods := []string{sip.INVITE, sip.ACK, sip.CANCEL, sip.BYE, sip.OPTIONS}
	for _, method := range n.cfg.RelayedMethods {
		if !slices.Contains(methods, method) {
			methods = append(methods, method)
		}
	}
	return sip.Field{Name: "Allow", Value: strings.Join(methods, ", ")}
}

// reject answers a request with a failure and counts it.
func (n *Node) reject(tx *transaction.Server, req *sip.Message, status int, fields ...sip.Field) {
	n.Stats.Rejected++
	resp := sip.NewResponse(req, status, "", n.ident.NewToken())
	resp.Fields = append(resp.Fields, fields...)
	tx.Respond(resp)
}

// onInvite accepts a new call or rejects the request (section 8.2).
func (n *Node) onInvite(tx *transaction.Server, req *sip.Message) {
	uri, err := sip.ParseURI(req.URI)
	if err != nil {
		n.reject(tx, req, 400)
		return
	}
	if uri.Scheme != "sip" && uri.Scheme != "tel" {
		n.reject(tx, req, 416)
		return
	}
	if hops := req.Get("Max-Forwards"); hops != "" {
		if v, err := strconv.Atoi(hops); err != nil || v < 0 {
			n.reject(tx, req, 400)
			return
		} else if v == 0 {
			n.reject(tx, req, 483)
			return
		}
	}
	if vias := req.Values("Via"); len(vias) > 1 {
		for _, v := range vias[1:] {
			if hop, err := sip.ParseVia(v); err == nil && n.isOwnVia(hop) {
				n.reject(tx, req, 482) // loop: the request has passed this node before (section 16.3)
				return
			}
		}
	}
	if unknown := n.unsupportedOptions(req); len(unknown) > 0 {
		n.reject(tx, req, 420, sip.Field{Name: "Unsupported", Value: strings.Join(unknown, ", ")})
		return
	}
	mergeKey := mergeKey(req)
	if call := n.callsByMergeKey[mergeKey]; call != nil {
		n.onDuplicateInvite(call, tx, req)
		return
	}
	caller, _ := sip.ParseAddress(req.Get("From"))
	number := uri.Number()
	class := n.cfg.classify(req, number)
	if class < 0 {
		n.Stats.Unmatched++
		n.reject(tx, req, 404)
		return
	}
	if n.draining || slices.Contains(n.cfg.RetiredSockets, tx.From.LocalSocket) || n.isHoldingNewCalls() || n.cfg.MaxCalls > 0 &&
		len(n.calls) >= n.cfg.MaxCalls {
		n.Stats.OverLimit++
		retryAfter := time.Duration((0.25 + 0.75*n.ident.Rand.Float64()) * float64(n.cfg.MaxRetryAfter))
		resp := sip.NewResponse(req, 503, "", n.ident.NewToken())
		resp.Add("Retry-After", formatRetryAfter(retryAfter))
		tx.Respond(resp)
		return
	}
	n.nextID++
	call := &callContext{id: n.nextID, cfg: n.cfg, class: class, sessionID: strings.Clone(sessionID(req)),
		callerTx: tx, invite: req, mergeKey: mergeKey, number: strings.Clone(number),
		pairKey: pool.PairKey(caller.URI.Number(), number), arrivedAt: n.now}
	if call.sessionID == "" {
		call.sessionID = n.ident.NewToken() + n.ident.NewToken()
	}
	call.redialCount, _ = strconv.Atoi(req.Get(sip.RedialHeader))
	tx.UserData = call
	n.calls[call.id], n.callsByMergeKey[mergeKey] = call, call
	stats := &n.Stats.Classes[class]
	stats.Offered++
	if call.redialCount > 0 {
		stats.Redials++
	}
	tx.Respond(sip.NewResponse(req, 100, "", ""))
	n.newCalls = append(n.newCalls, call)
}

// mergeKey returns the key that all copies of an INVITE share, whatever path they take (section 8.2.2.2).
func mergeKey(req *sip.Message) string {
	cseq, _, _ := req.CSeq()
	return req.Get("Call-ID") + "\x00" + req.Tag("From") + "\x00" + strconv.FormatUint(uint64(cseq), 10)
}

// isOwnVia reports whether a Via names this node.
func (n *Node) isOwnVia(via sip.Via) bool {
	for _, addr := range n.cfg.Addresses {
		if addr.IsValid() && strings.Trim(via.Host, "[]") == addr.Addr().String() && via.Port == int(addr.Port()) {
			return true
		}
	}
	return false
}

// unsupportedOptions returns the option tags that the request requires and this node does not relay.
func (n *Node) unsupportedOptions(req *sip.Message) []string {
	var unknown []string
	for _, name := range [...]string{"Require", "Proxy-Require"} {
		for _, tag := range req.Values(name) {
			if !slices.Contains(n.cfg.RelayedOptions, tag) && tag != "" {
				unknown = append(unknown, tag)
			}
		}
	}
	return unknown
}

// sessionID returns the caller's half of Session-ID (RFC 7989, section 5).
func sessionID(req *sip.Message) string {
	id, _, _ := strings.Cut(req.Get("Session-ID"), ";")
	return strings.TrimSpace(id)
}

// onDuplicateInvite handles a copy of a call's INVITE that arrived in another transaction (section 8.2.2.2). A copy
// from another client is a fork and gets 482. A copy from the same client is a fall-back to the other transport: over
// TCP it takes over the call's answer, over UDP it is a delayed copy and is dropped. The caller thus gets one answer.
func (n *Node) onDuplicateInvite(call *callContext, tx *transaction.Server, req *sip.Message) {
	n.Stats.MergedRequests++
	isSameClient := tx.From.Addr.Addr() == call.callerTx.From.Addr.Addr()
	if isSameClient && call.answered { // a delayed copy of an INVITE that has been answered
		tx.Remove()
		return
	}
	if !isSameClient || tx.From.Transport == call.callerTx.From.Transport {
		n.reject(tx, req, 482)
		return
	}
	if tx.From.Transport != sip.TCP {
		tx.Remove()
		return
	}
	oldTx := call.callerTx
	call.callerTx, tx.UserData = tx, call
	if call.invite != nil {
		call.invite = req
	}
	oldTx.Remove()
	tx.Respond(sip.NewResponse(req, 100, "", ""))
}

// submitNewCalls reports the calls accepted in this turn to the module. The retransmissions that arrived with an
// INVITE show how long it was waiting to be read, since the interval between them starts at T1 and doubles.
func (n *Node) submitNewCalls() {
	for i := 0; i < len(n.newCalls); i++ {
		call := n.newCalls[i]
		if call.answered {
			continue
		}
		timeLeft := call.cfg.Classes[call.class].TryTimeout
		if expires, ok := sip.ParseDeltaSeconds(call.invite.Get("Expires")); ok && expires > 0 {
			timeLeft = min(timeLeft, expires)
		}
		unread := n.unreadTime(call)
		call.arrivedAt -= unread
		timeLeft -= unread
		call.deadline = n.now + timeLeft
		tick := max(call.cfg.Settings.Tick, time.Millisecond)
		if timeLeft <= 8*tick { // too little time left to decide: the caller is about to abandon the try
			n.failCallWith(call, n.newFinalResponse(call, 504, ""), "failed", "too little time left when the INVITE was read")
			continue
		}
		n.timers.Set(&call.guardTimer, call.deadline-2*tick, func() { n.onGuardTimer(call) })
		call.announced = true
		n.noteCallState(call, StateAccepted, "")
		n.notifyModule(larkrouter.Call{ID: call.id, Class: call.class, CalledNumber: call.pairKey, TimeLeft: timeLeft,
			Destination: n.numberRouter.Destination(call.number, n.list), Circuits: 1, RouteHint: -1, IsRedial: call.redialCount > 0})
	}
	clear(n.newCalls)
	n.newCalls = n.newCalls[:0]
}

// unreadTime estimates how long a call was waiting to be read. Over UDP the number of retransmissions gives a lower
// and an upper bound. Over TCP there is no such sign, so the whole stall of the node is assumed; otherwise the call
// could be answered after its caller has abandoned it.
func (n *Node) unreadTime(call *callContext) time.Duration {
	if call.callerTx.From.Transport.IsReliable() {
		return n.stall
	}
	t1, repeats := n.transactions.Times.T1, min(call.callerTx.RetransmitsReceived, 6)
	minWait, maxWait := t1*(1<<repeats-1), t1*(1<<(repeats+1)-1)
	return max(minWait, min(n.stall, maxWait))
}

// onGuardTimer enforces rule 1 (one final answer, in time) if the module fails to decide in time. The module normally
// decides earlier, so this counts as a failed assertion.
func (n *Node) onGuardTimer(call *callContext) {
	if call.answered {
		return
	}
	n.Stats.FailedAsserts++
	n.emitRecord(LogRecord{Level: Error, Event: "assert", Call: call.id, Session: call.sessionID, Class: n.className(call),
		Cause: "the module made no decision before the try's deadline"})
	n.withdrawCall(call, "no decision in time")
	n.failCallWith(call, n.newFinalResponse(call, 504, ""), "failed", "no decision in time")
}

// withdrawCall reports to the module that a call ended for a reason that the module does not know, and cancels its
// attempt.
func (n *Node) withdrawCall(call *callContext, cause string) {
	if call.announced && !call.endReported {
		call.endReported = true
		n.notifyModule(larkrouter.CallCancelled{Call: call.id})
	}
	if call.currentAttempt != nil {
		n.abandonAttempt(call.currentAttempt, larkrouter.Cancelled, cause)
	}
}

// newFinalResponse builds a final response to the caller.
func (n *Node) newFinalResponse(call *callContext, status int, reason string) *sip.Message {
	resp := sip.NewResponse(call.invite, status, reason, n.ident.NewToken())
	resp.Add("Session-ID", call.sessionID)
	return resp
}

// failCallWith sends the final response of a call that is not set up, and ends the call.
func (n *Node) failCallWith(call *callContext, resp *sip.Message, outcome, cause string) {
	if call.answered {
		n.Stats.FailedAsserts++
		n.emitRecord(LogRecord{Level: Error, Event: "assert", Call: call.id, Cause: "second final response suppressed: " + outcome})
		return
	}
	call.answered = true
	call.callerTx.Respond(resp)
	stats := &n.Stats.Classes[call.class]
	switch outcome {
	case "refused":
		stats.Refused++
	case "given up":
		stats.Abandoned++
	default:
		stats.Failed++
	}
	n.logCallRecord(Info, "call", call, outcome, cause, resp.Status)
	if call.announced {
		n.noteCallState(call, StateEnded, outcome)
	}
	n.retainMergeKey(call)
	n.removeCall(call)
}

// logCallRecord emits a record about a call if Config.LogCalls is set.
func (n *Node) logCallRecord(level Level, event string, call *callContext, outcome, cause string, status int) {
	if call.cfg.LogCalls {
		n.emitRecord(LogRecord{Level: level, Event: event, Call: call.id, Session: call.sessionID, Class: n.className(call),
			Server: call.serverID, Attempt: call.attemptCount, Outcome: outcome, Cause: cause, Status: status,
			SetUpTime: n.now - call.arrivedAt})
	}
}

// removeCall removes a call. Its transactions and the responses that an attempt still waits for are handled without
// it.
func (n *Node) removeCall(call *callContext) {
	delete(n.calls, call.id)
	call.lastFailure, call.invite = nil, nil
}

// retainMergeKey keeps the call's merge key for as long as copies of its INVITE may arrive by another path (64 T1).
func (n *Node) retainMergeKey(call *callContext) {
	n.timers.Set(&call.guardTimer, n.now+64*n.transactions.Times.T1, func() {
		if n.callsByMergeKey[call.mergeKey] == call {
			delete(n.callsByMergeKey, call.mergeKey)
		}
		call.mergeKey = ""
		if call.serverLeg != nil { // the server does not retransmit its 2xx any more either
			call.serverLeg.lastAck = nil
		}
	})
}

// refuseCall carries out the module's Refuse. If the called number itself has sent a final response, the caller gets
// that one.
func (n *Node) refuseCall(call *callContext, retryAfter time.Duration) {
	if n.relayLastFailure(call) {
		return
	}
	resp := n.newFinalResponse(call, call.cfg.RefusalStatus, "")
	if retryAfter > 0 {
		resp.Add("Retry-After", formatRetryAfter(retryAfter))
	}
	n.failCallWith(call, resp, "refused", "refused by the module")
}

// abandonCall carries out the module's Abandon.
func (n *Node) abandonCall(call *callContext) {
	if n.relayLastFailure(call) {
		return
	}
	status, cause := 500, "attempts failed"
	if call.lastOutcome == larkrouter.TimedOut {
		status, cause = 504, "attempts timed out"
	}
	n.failCallWith(call, n.newFinalResponse(call, status, ""), "failed", cause)
}

// relayLastFailure gives the caller the final response of the last attempt if it came from the called number: 486
// stays 486.
func (n *Node) relayLastFailure(call *callContext) bool {
	if call.lastFailure == nil || call.lastOutcome != larkrouter.Failed || call.answered {
		return false
	}
	resp := n.newFinalResponse(call, call.lastFailure.Status, call.lastFailure.Reason)
	copyEndToEnd(resp, call.lastFailure)
	n.failCallWith(call, resp, "failed", "server answered "+strconv.Itoa(call.lastFailure.Status)+", response relayed")
	return true
}

// onCancel ends a call that its caller cancels (section 9.2). After a final response it has no effect.
func (n *Node) onCancel(tx *transaction.Server, cancel *sip.Message) {
	inviteTx := n.transactions.MatchCancel(cancel)
	if inviteTx == nil {
		n.reject(tx, cancel, 481)
		return
	}
	tx.Respond(sip.NewResponse(cancel, 200, "", n.ident.NewToken()))
	switch owner := inviteTx.UserData.(type) {
	case *callContext:
		if !owner.answered && owner.callerTx == inviteTx {
			n.withdrawCall(owner, "cancelled by the caller")
			n.failCallWith(owner, n.newFinalResponse(owner, 487, ""), "given up", "cancelled by the caller")
		}
	case *relayedRequest:
		owner.onCancel(n)
	}
}

// Unacked implements transaction.User. A failure response that the caller never acknowledged needs no clean-up.
func (u *transactionUser) Unacked(*transaction.Server, error) {}
