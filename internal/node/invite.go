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

// call is one call: the caller's INVITE, then one attempt after another, then two legs that stand.
type call struct {
	id         uint64
	cfg        *Config // in force when it was accepted
	class      int
	session    string
	tx         *transaction.Server // the caller's INVITE
	invite     *sip.Message        // until the call stands or ends
	mergeKey   string
	number     string
	key        uint64
	arrived    time.Duration
	redial     int
	deadline   time.Duration
	guard      timers.Timer // the core's own hold on the deadline; once answered, on mergeKey
	answered   bool         // the one final answer has gone out
	standing   bool
	told       bool // the module knows it
	owed       bool // the module has been told Standing: an AttemptOver ends it
	gone       bool // the module has been told CallGone
	try        *attempt
	tries      int
	last       *sip.Message // last failure's answer
	lastErr    larkrouter.Outcome
	server     uint32 // of the standing leg
	outcome    string // how it stood: "in aim" or "late", and after what time
	stoodAfter time.Duration
	down       *leg // of the standing call, towards the server
}

func (n *Node) className(k *call) string { return k.cfg.Settings.Classes[k.class].Name }

// Request is told by the transaction layer.
func (u *user) Request(t *transaction.Server, m *sip.Message, from sip.Peer) {
	n := (*Node)(u)
	switch {
	case m.Method == sip.ACK:
		n.onAck(m)
	case m.Method == sip.CANCEL:
		n.onCancel(t, m)
	case m.Tag("To") != "":
		n.inDialog(t, m)
	case m.Method == sip.INVITE:
		n.onInvite(t, m)
	case m.Method == sip.OPTIONS:
		r := sip.NewResponse(m, 200, "", n.id.Token())
		r.Fields = append(r.Fields, n.allow())
		r.Add("Accept", "application/sdp")
		t.Respond(r)
	default:
		switch {
		case slices.Contains([]string{sip.BYE, sip.UPDATE, sip.INFO, sip.PRACK}, m.Method):
			n.reject(t, m, 481) // they live in dialogs
		case slices.Contains([]string{"REGISTER", "SUBSCRIBE", "NOTIFY", "PUBLISH", "MESSAGE", "REFER"}, m.Method):
			n.reject(t, m, 405, n.allow())
		default:
			n.reject(t, m, 501) // section 8.2.1: not recognised at all
		}
	}
}

// allow is what this node takes (section 20.5).
func (n *Node) allow() sip.Field {
	all := []string{sip.INVITE, sip.ACK, sip.CANCEL, sip.BYE, sip.OPTIONS}
	for _, m := range n.cfg.Pass {
		if !slices.Contains(all, m) {
			all = append(all, m)
		}
	}
	return sip.Field{Name: "Allow", Value: strings.Join(all, ", ")}
}

func (n *Node) reject(t *transaction.Server, m *sip.Message, status int, fields ...sip.Field) {
	n.Stats.Rejected++
	r := sip.NewResponse(m, status, "", n.id.Token())
	r.Fields = append(r.Fields, fields...)
	t.Respond(r)
}

// onInvite accepts a call, or answers by rule (section 8.2).
func (n *Node) onInvite(t *transaction.Server, m *sip.Message) {
	uri, err := sip.ParseURI(m.URI)
	if err != nil {
		n.reject(t, m, 400)
		return
	}
	if uri.Scheme != "sip" && uri.Scheme != "tel" {
		n.reject(t, m, 416)
		return
	}
	if hops := m.Get("Max-Forwards"); hops != "" {
		if v, err := strconv.Atoi(hops); err != nil || v < 0 {
			n.reject(t, m, 400)
			return
		} else if v == 0 {
			n.reject(t, m, 483)
			return
		}
	}
	if vias := m.Values("Via"); len(vias) > 1 {
		for _, v := range vias[1:] {
			if hop, err := sip.ParseVia(v); err == nil && n.own(hop) {
				n.reject(t, m, 482) // it has been here (section 16.3)
				return
			}
		}
	}
	if unknown := n.unsupported(m); len(unknown) > 0 {
		n.reject(t, m, 420, sip.Field{Name: "Unsupported", Value: strings.Join(unknown, ", ")})
		return
	}
	key := mergeKey(m)
	if k := n.merged[key]; k != nil {
		n.merge(k, t, m)
		return
	}
	caller, _ := sip.ParseAddress(m.Get("From"))
	number := uri.Number()
	class := n.cfg.classify(m, number)
	if class < 0 {
		n.Stats.Unmatched++
		n.reject(t, m, 404)
		return
	}
	if n.drain || slices.Contains(n.cfg.Retired, t.From.Local) || n.holdsCalls() || n.cfg.MaxCalls > 0 &&
		len(n.calls) >= n.cfg.MaxCalls {
		n.Stats.OverLimit++
		wait := time.Duration((0.25 + 0.75*n.id.Rand.Float64()) * float64(n.cfg.RetryAfter))
		r := sip.NewResponse(m, 503, "", n.id.Token())
		r.Add("Retry-After", retryAfter(wait))
		t.Respond(r)
		return
	}
	n.nextID++
	k := &call{id: n.nextID, cfg: n.cfg, class: class, session: strings.Clone(sessionID(m)), tx: t, invite: m, mergeKey: key,
		number: strings.Clone(number),
		key:    pool.Key(caller.URI.Number(), number), arrived: n.now}
	if k.session == "" {
		k.session = n.id.Token() + n.id.Token()
	}
	k.redial, _ = strconv.Atoi(m.Get(sip.RedialHeader))
	t.User = k
	n.calls[k.id], n.merged[key] = k, k
	st := &n.Stats.Classes[class]
	st.Offered++
	if k.redial > 0 {
		st.Redials++
	}
	t.Respond(sip.NewResponse(m, 100, "", ""))
	n.fresh = append(n.fresh, k)
}

// mergeKey is what copies of an INVITE have in common, by whatever way they come (section 8.2.2.2).
func mergeKey(m *sip.Message) string {
	num, _, _ := m.CSeq()
	return m.Get("Call-ID") + "\x00" + m.Tag("From") + "\x00" + strconv.FormatUint(uint64(num), 10)
}

// own says whether a hop is this node.
func (n *Node) own(v sip.Via) bool {
	for _, a := range n.cfg.Addresses {
		if a.IsValid() && strings.Trim(v.Host, "[]") == a.Addr().String() && v.Port == int(a.Port()) {
			return true
		}
	}
	return false
}

func (n *Node) unsupported(m *sip.Message) []string {
	var unknown []string
	for _, name := range [...]string{"Require", "Proxy-Require"} {
		for _, tag := range m.Values(name) {
			if !slices.Contains(n.cfg.Options, tag) && tag != "" {
				unknown = append(unknown, tag)
			}
		}
	}
	return unknown
}

// sessionID is the caller's half of Session-ID (RFC 7989, section 5).
func sessionID(m *sip.Message) string {
	id, _, _ := strings.Cut(m.Get("Session-ID"), ";")
	return strings.TrimSpace(id)
}

// merge takes a second copy of a call's INVITE that came in another transaction (section 8.2.2.2). From another
// client it is a fork, and gets 482. From the same client it is a fall-back to the other transport: a connection
// takes the call's answer over, a datagram is late and is dropped. So the caller hears one answer.
func (n *Node) merge(k *call, t *transaction.Server, m *sip.Message) {
	n.Stats.Merged++
	same := t.From.Addr.Addr() == k.tx.From.Addr.Addr()
	if same && k.answered { // a copy that outlived its transaction, or came by the other way: it has its answer
		t.Drop()
		return
	}
	if !same || t.From.Transport == k.tx.From.Transport {
		n.reject(t, m, 482)
		return
	}
	if t.From.Transport != sip.TCP {
		t.Drop()
		return
	}
	old := k.tx
	k.tx, t.User = t, k
	if k.invite != nil {
		k.invite = m
	}
	old.Drop()
	t.Respond(sip.NewResponse(m, 100, "", ""))
}

// handOver gives the module the calls accepted in this turn. Retransmissions that came with an INVITE show how long
// it has waited to be read: each was sent after a doubled T1.
func (n *Node) handOver() {
	for i := 0; i < len(n.fresh); i++ {
		k := n.fresh[i]
		if k.answered {
			continue
		}
		left := k.cfg.Classes[k.class].Try
		if expires, ok := sip.Seconds(k.invite.Get("Expires")); ok && expires > 0 {
			left = min(left, expires)
		}
		waited := n.waited(k)
		k.arrived -= waited
		left -= waited
		k.deadline = n.now + left
		tick := max(k.cfg.Settings.Tick, time.Millisecond)
		if left <= 8*tick { // no time to decide anything: its caller is about to leave
			n.answer(k, n.final(k, 504, ""), "failed", "too old when it was read")
			continue
		}
		n.heap.Set(&k.guard, k.deadline-2*tick, func() { n.overdue(k) })
		k.told = true
		n.journal(k, Accepted, "")
		n.tell(larkrouter.Call{ID: k.id, Class: k.class, Key: k.key, Left: left,
			Destination: n.numbers.Destination(k.number, n.list), Circuits: 1, Via: -1, DialedAgain: k.redial > 0})
	}
	clear(n.fresh)
	n.fresh = n.fresh[:0]
}

// waited is how long a call may have waited to be read. Copies of a datagram show it within bounds: as many came as
// doubled T1s have passed. A connection shows nothing; there it is all the time that the node stood still, lest the
// call be answered after its caller has gone.
func (n *Node) waited(k *call) time.Duration {
	if k.tx.From.Transport.Reliable() {
		return n.late
	}
	t1, r := n.layer.Times.T1, min(k.tx.Repeats, 6)
	least, most := t1*(1<<r-1), t1*(1<<(r+1)-1)
	return max(least, min(n.late, most))
}

// overdue is the core's guard of rule 1: the module answers earlier, and this is an assertion with a remedy.
func (n *Node) overdue(k *call) {
	if k.answered {
		return
	}
	n.Stats.Asserts++
	n.log(Record{Level: Error, Event: "assert", Call: k.id, Session: k.session, Class: n.className(k),
		Cause: "no decision came before the try's deadline"})
	n.leave(k, "no answer in time")
	n.answer(k, n.final(k, 504, ""), "failed", "no answer in time")
}

// leave tells the module that a call is over for another reason than its own, and calls the attempt off.
func (n *Node) leave(k *call, why string) {
	if k.told && !k.gone {
		k.gone = true
		n.tell(larkrouter.CallGone{Call: k.id})
	}
	if k.try != nil {
		n.giveUp(k.try, larkrouter.Cancelled, why)
	}
}

// final makes a final response for the caller.
func (n *Node) final(k *call, status int, reason string) *sip.Message {
	r := sip.NewResponse(k.invite, status, reason, n.id.Token())
	r.Add("Session-ID", k.session)
	return r
}

// answer gives the call its one final answer other than 2xx.
func (n *Node) answer(k *call, r *sip.Message, outcome, cause string) {
	if k.answered {
		n.Stats.Asserts++
		n.log(Record{Level: Error, Event: "assert", Call: k.id, Cause: "a second final answer was kept back: " + outcome})
		return
	}
	k.answered = true
	k.tx.Respond(r)
	st := &n.Stats.Classes[k.class]
	switch outcome {
	case "refused":
		st.Refused++
	case "given up":
		st.GivenUp++
	default:
		st.Failed++
	}
	n.logCall(Info, "call", k, outcome, cause, r.Status)
	if k.told {
		n.journal(k, Ended, outcome)
	}
	n.keepMerged(k)
	n.end(k)
}

func (n *Node) logCall(level Level, event string, k *call, outcome, cause string, status int) {
	if k.cfg.LogCalls {
		n.log(Record{Level: level, Event: event, Call: k.id, Session: k.session, Class: n.className(k), Server: k.server,
			Attempt: k.tries, Outcome: outcome, Cause: cause, Status: status, Wait: n.now - k.arrived})
	}
}

// end forgets a call. Its transactions and what an attempt still waits for live on without it.
func (n *Node) end(k *call) {
	delete(n.calls, k.id)
	k.last, k.invite = nil, nil
}

// keepMerged holds the call's identity for as long as copies of its INVITE may come by another path (64 T1).
func (n *Node) keepMerged(k *call) {
	n.heap.Set(&k.guard, n.now+64*n.layer.Times.T1, func() {
		if n.merged[k.mergeKey] == k {
			delete(n.merged, k.mergeKey)
		}
		k.mergeKey = ""
		if k.down != nil { // nor will the server repeat its 2xx any more
			k.down.ack = nil
		}
	})
}

// refuse carries out the module's refusal. Where the called number itself has answered finally, the caller gets that.
func (n *Node) refuse(k *call, wait time.Duration) {
	if n.passFailure(k) {
		return
	}
	r := n.final(k, k.cfg.RefuseWith, "")
	if wait > 0 {
		r.Add("Retry-After", retryAfter(wait))
	}
	n.answer(k, r, "refused", "by the module")
}

// fail carries out the module's Abandon.
func (n *Node) fail(k *call) {
	if n.passFailure(k) {
		return
	}
	status, cause := 500, "attempts failed"
	if k.lastErr == larkrouter.TimedOut {
		status, cause = 504, "attempts timed out"
	}
	n.answer(k, n.final(k, status, ""), "failed", cause)
}

// passFailure gives the caller the last failure's own answer where it spoke for the number: 486 stays 486.
func (n *Node) passFailure(k *call) bool {
	if k.last == nil || k.lastErr != larkrouter.Failed || k.answered {
		return false
	}
	r := n.final(k, k.last.Status, k.last.Reason)
	copyEnd(r, k.last)
	n.answer(k, r, "failed", "answered "+strconv.Itoa(k.last.Status)+" by the server")
	return true
}

// onCancel ends a call that its caller no longer wants (section 9.2). After a final answer it changes nothing.
func (n *Node) onCancel(t *transaction.Server, m *sip.Message) {
	s := n.layer.Matching(m)
	if s == nil {
		n.reject(t, m, 481)
		return
	}
	t.Respond(sip.NewResponse(m, 200, "", n.id.Token()))
	switch k := s.User.(type) {
	case *call:
		if !k.answered && k.tx == s {
			n.leave(k, "given up by the caller")
			n.answer(k, n.final(k, 487, ""), "given up", "given up by the caller")
		}
	case *relay:
		k.cancel(n)
	}
}

// Unacked is told by the transaction layer: the caller never acknowledged a failure. There is nothing left to end.
func (u *user) Unacked(*transaction.Server, error) {}
