package node

import (
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// dialogLeg is one side of a call as a dialog (RFC 3261, section 12).
type dialogLeg struct {
	call                *callContext
	attempt             *serverAttempt
	other               *dialogLeg // leg to the other party of the call
	towardServer        bool       // the remote party is a call server
	callID              string
	localTag, remoteTag string
	local, remote       string // From and To of the requests sent on this leg
	target              string
	routes              []string
	nextHop             sip.Peer
	fallbackHop         sip.Peer // used if the connection of nextHop is closed
	localSeq, remoteSeq uint32
	inviteSeq           uint32 // of the last INVITE sent on this leg
	confirmed, ended    bool
	invitePending       bool         // an INVITE sent on this leg is unanswered (section 14.1)
	lastAck             *sip.Message // nil once the 2xx is no longer retransmitted
	ackTimer            timers.Timer
	ackPending          bool // the ACK to a 2xx waits for the ACK on the other leg
	unacked2xx          *pending2xx
}

// pending2xx is a 2xx that is retransmitted until its ACK arrives (section 13.3.1.4).
type pending2xx struct {
	resp     *sip.Message
	tx       *transaction.Server
	cseq     uint32
	interval time.Duration
	deadline time.Duration
	timer    timers.Timer
}

// createLegs creates the two legs of an attempt from the first response that has a To tag.
func (n *Node) createLegs(attempt *serverAttempt, resp *sip.Message) {
	call := attempt.call
	tag := resp.Tag("To")
	if attempt.serverLeg == nil {
		callerInvite := call.invite
		attempt.serverLeg = &dialogLeg{call: call, attempt: attempt, towardServer: true,
			callID: attempt.tx.Request.Get("Call-ID"), localTag: attempt.tx.Request.Tag("From"),
			local: attempt.tx.Request.Get("From"), localSeq: 1, inviteSeq: 1, nextHop: attempt.tx.To}
		seq, _, _ := callerInvite.CSeq()
		// The strings are copied because a field shares memory with the text of its whole message, which would be
		// retained for as long as the call stands.
		attempt.callerLeg = &dialogLeg{call: call, attempt: attempt, callID: strings.Clone(callerInvite.Get("Call-ID")),
			localTag: n.ident.NewToken(), remote: strings.Clone(callerInvite.Get("From")), remoteSeq: seq,
			nextHop: call.callerTx.From, routes: cloneStrings(callerInvite.Values("Record-Route"))}
		attempt.callerLeg.remoteTag = sip.ParamValue(attempt.callerLeg.remote, "tag")
		attempt.callerLeg.local = callerInvite.Get("To") + ";tag=" + attempt.callerLeg.localTag
		attempt.callerLeg.updateTarget(callerInvite, call.callerTx.From)
		attempt.serverLeg.other, attempt.callerLeg.other = attempt.callerLeg, attempt.serverLeg
		n.legs[attempt.serverLeg.localTag], n.legs[attempt.callerLeg.localTag] = attempt.serverLeg, attempt.callerLeg
	}
	if tag != "" && (attempt.serverLeg.remoteTag == "" || resp.Status >= 200) {
		attempt.serverLeg.remote = strings.Clone(resp.Get("To"))
		attempt.serverLeg.remoteTag = sip.ParamValue(attempt.serverLeg.remote, "tag")
		routes := resp.Values("Record-Route")
		for i, j := 0, len(routes)-1; i < j; i, j = i+1, j-1 {
			routes[i], routes[j] = routes[j], routes[i]
		}
		attempt.serverLeg.routes = cloneStrings(routes)
		attempt.serverLeg.updateTarget(resp, attempt.tx.To)
	}
}

// cloneStrings replaces each string by a copy with memory of its own.
func cloneStrings(s []string) []string {
	for i := range s {
		s[i] = strings.Clone(s[i])
	}
	return s
}

// updateTarget sets the remote target and the next hop from the Contact of a message. from is the peer that sent the
// message, or that it was sent to.
func (l *dialogLeg) updateTarget(msg *sip.Message, from sip.Peer) {
	contact, err := sip.ParseAddress(msg.Get("Contact"))
	if err != nil {
		if l.target == "" {
			l.target = "sip:" + sip.HostPort(from.Addr)
		}
		return
	}
	l.target = contact.URI.String()
	next := contact.URI
	if len(l.routes) > 0 {
		if route, err := sip.ParseAddress(l.routes[0]); err == nil {
			next = route.URI
		}
	}
	peer, ok := next.Peer()
	switch {
	case !ok: // a host name: the node does not use DNS and replies to the sender
		l.nextHop = from
	case from.Transport == sip.TCP && peer.Transport == sip.TCP && peer.Addr.Addr() == from.Addr.Addr():
		l.nextHop, l.fallbackHop = from, peer // reuse the connection while it is open
	default:
		l.nextHop = peer
	}
}

// removeLegs discards the early dialogs of an attempt that has ended.
func (n *Node) removeLegs(attempt *serverAttempt) {
	for _, leg := range [...]*dialogLeg{attempt.callerLeg, attempt.serverLeg} {
		if leg != nil {
			delete(n.legs, leg.localTag)
			leg.ended = true
		}
	}
}

// newRequest builds a request inside the dialog (section 12.2.1.1).
func (l *dialogLeg) newRequest(n *Node, method string) *sip.Message {
	l.localSeq++
	req := sip.NewRequest(method, l.target, l.local, l.remote, l.callID, l.localSeq, 70)
	for _, route := range l.routes {
		req.Add("Route", route)
	}
	if method == sip.INVITE || method == sip.UPDATE {
		req.Add("Contact", n.ident.Contact(l.nextHop.Transport))
	}
	req.Add("Session-ID", l.call.sessionID)
	return req
}

// sendRequest sends a request of the dialog.
func (l *dialogLeg) sendRequest(n *Node, req *sip.Message, owner any) *transaction.Client {
	tx := n.startRequest(req, l.nextHop, owner)
	if reqContext := tx.UserData.(*requestContext); !reqContext.fallback.Addr.IsValid() {
		reqContext.fallback = l.fallbackHop
	}
	return tx
}

// sendAck acknowledges the 2xx to the last INVITE sent on this leg. source, if not nil, is the ACK received on the
// other leg, whose fields and body are copied. They keep the text of that whole message in memory, so that the ACK is discarded
// when the 2xx is no longer retransmitted (64 T1).
func (l *dialogLeg) sendAck(n *Node, source *sip.Message) {
	n.timers.Stop(&l.ackTimer)
	ack := sip.NewRequest(sip.ACK, l.target, l.local, l.remote, l.callID, l.inviteSeq, 70)
	for _, route := range l.routes {
		ack.Add("Route", route)
	}
	ack.Add("Session-ID", l.call.sessionID)
	if source != nil {
		copyEndToEnd(ack, source)
		n.timers.Set(&l.ackTimer, n.now+64*n.transactions.Times.T1, func() { l.lastAck = nil })
	}
	ack.Prepend("Via", n.ident.NewVia(l.nextHop.Transport))
	l.lastAck, l.ackPending = ack, false
	n.send(l.nextHop, ack)
}

// send2xx answers an INVITE with a 2xx and retransmits it until it is acknowledged.
func (l *dialogLeg) send2xx(n *Node, tx *transaction.Server, resp *sip.Message) {
	cseq, _, _ := resp.CSeq()
	pending := &pending2xx{resp: resp, tx: tx, cseq: cseq, interval: n.transactions.Times.T1,
		deadline: n.now + 64*n.transactions.Times.T1}
	l.unacked2xx = pending
	tx.Respond(resp)
	n.timers.Set(&pending.timer, n.now+pending.interval, func() { l.retransmit2xx(n, pending) })
}

// retransmit2xx sends a 2xx again, or ends the call once the deadline for its ACK has passed.
func (l *dialogLeg) retransmit2xx(n *Node, pending *pending2xx) {
	if l.unacked2xx != pending {
		return
	}
	if n.now >= pending.deadline {
		l.unacked2xx = nil
		if l.towardServer {
			n.dropCall(l.call, "the server never acknowledged", nil)
		} else {
			n.dropCall(l.call, "the caller never acknowledged", nil)
		}
		return
	}
	pending.interval = min(2*pending.interval, n.transactions.Times.T2)
	pending.tx.Respond(pending.resp)
	n.timers.Set(&pending.timer, n.now+pending.interval, func() { l.retransmit2xx(n, pending) })
}

// onAck handles the ACK to a 2xx (section 13.3.1.4).
func (n *Node) onAck(ack *sip.Message) {
	leg := n.legs[ack.Tag("To")]
	if leg == nil || leg.callID != ack.Get("Call-ID") || leg.unacked2xx == nil {
		return
	}
	if cseq, _, _ := ack.CSeq(); cseq != leg.unacked2xx.cseq {
		return
	}
	n.timers.Stop(&leg.unacked2xx.timer)
	leg.unacked2xx.tx.AckReceived()
	leg.unacked2xx = nil
	if leg.other != nil && leg.other.ackPending {
		leg.other.sendAck(n, ack)
	}
}

// releaseLateAnswer acknowledges a 2xx that no call waits for any more, and ends its dialog at once with a BYE
// (section 13.2.2.4).
func (n *Node) releaseLateAnswer(resp *sip.Message, to sip.Peer) {
	cseq, _, _ := resp.CSeq()
	target := "sip:" + sip.HostPort(to.Addr)
	if contact, err := sip.ParseAddress(resp.Get("Contact")); err == nil {
		target = contact.URI.String()
		if peer, ok := contact.URI.Peer(); ok && to.Transport != sip.TCP {
			to = peer
		}
	}
	routes := resp.Values("Record-Route")
	for _, method := range [...]string{sip.ACK, sip.BYE} {
		requestCSeq := cseq
		if method == sip.BYE {
			requestCSeq = cseq + 1
		}
		req := sip.NewRequest(method, target, resp.Get("From"), resp.Get("To"), resp.Get("Call-ID"), requestCSeq, 70)
		for i := len(routes) - 1; i >= 0; i-- {
			req.Add("Route", routes[i])
		}
		req.Prepend("Via", n.ident.NewVia(to.Transport))
		if method == sip.ACK {
			n.send(to, req)
		} else {
			n.transactions.Start(req, to, nil)
		}
	}
	n.Stats.LateAnswers++
}

// Stray implements transaction.User. It handles a 2xx that arrives after its transaction has ended.
func (u *transactionUser) Stray(resp *sip.Message, from sip.Peer) {
	n := (*Node)(u)
	if _, method, _ := resp.CSeq(); method != sip.INVITE || resp.Status < 200 || resp.Status >= 300 {
		return
	}
	via, err := sip.ParseVia(resp.Get("Via"))
	if err != nil || !n.isOwnVia(via) || len(resp.Values("Via")) != 1 {
		return // not for this node (section 18.1.2)
	}
	if leg := n.legs[resp.Tag("From")]; leg != nil && leg.callID == resp.Get("Call-ID") && leg.remoteTag == resp.Tag("To") {
		if leg.lastAck != nil {
			n.send(leg.nextHop, leg.lastAck)
		}
		return
	}
	n.releaseLateAnswer(resp, from)
}

func formatCSeq(seq uint32) string { return strconv.FormatUint(uint64(seq), 10) }
