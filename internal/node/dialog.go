package node

import (
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// leg is one side of a call as a dialog (RFC 3261, section 12).
type leg struct {
	call                *call
	try                 *attempt
	peer                *leg // the other side
	server              bool // towards a call server
	callID              string
	localTag, remoteTag string
	local, remote       string // From and To of our requests
	target              string
	routes              []string
	to                  sip.Peer
	alt                 sip.Peer // where to go when the connection of to is gone
	localSeq, remoteSeq uint32
	inviteSeq           uint32 // of the last INVITE that we sent
	confirmed, over     bool
	busy                bool // an INVITE of ours is out on it (section 14.1)
	ack                 *sip.Message
	ackOwed             bool // a 2xx came whose ACK waits for the other side's
	ok                  *pending2xx
}

// pending2xx is a 2xx of ours that is repeated until its ACK comes (section 13.3.1.4).
type pending2xx struct {
	resp  *sip.Message
	tx    *transaction.Server
	seq   uint32
	gap   time.Duration
	until time.Duration
	timer timers.Timer
}

// dialogs makes the two legs of an attempt from the first response that has a To tag.
func (n *Node) dialogs(a *attempt, m *sip.Message) {
	k := a.call
	tag := m.Tag("To")
	if a.down == nil {
		in := k.invite
		a.down = &leg{call: k, try: a, server: true, callID: a.tx.Request.Get("Call-ID"),
			localTag: a.tx.Request.Tag("From"), local: a.tx.Request.Get("From"), localSeq: 1, inviteSeq: 1, to: a.tx.To}
		seq, _, _ := in.CSeq()
		// Copies: a field is part of its whole message's text, which a standing call need not hold.
		a.up = &leg{call: k, try: a, callID: strings.Clone(in.Get("Call-ID")), localTag: n.id.Token(),
			remote: strings.Clone(in.Get("From")), remoteSeq: seq, to: k.tx.From, routes: cloneAll(in.Values("Record-Route"))}
		a.up.remoteTag = sip.Param(a.up.remote, "tag")
		a.up.local = in.Get("To") + ";tag=" + a.up.localTag
		a.up.retarget(in, k.tx.From)
		a.down.peer, a.up.peer = a.up, a.down
		n.legs[a.down.localTag], n.legs[a.up.localTag] = a.down, a.up
	}
	if tag != "" && (a.down.remoteTag == "" || m.Status >= 200) {
		a.down.remote = strings.Clone(m.Get("To"))
		a.down.remoteTag = sip.Param(a.down.remote, "tag")
		rr := m.Values("Record-Route")
		for i, j := 0, len(rr)-1; i < j; i, j = i+1, j-1 {
			rr[i], rr[j] = rr[j], rr[i]
		}
		a.down.routes = cloneAll(rr)
		a.down.retarget(m, a.tx.To)
	}
}

func cloneAll(s []string) []string {
	for i := range s {
		s[i] = strings.Clone(s[i])
	}
	return s
}

// retarget takes the remote target from a message's Contact; from is where the message came from or went to.
func (l *leg) retarget(m *sip.Message, from sip.Peer) {
	c, err := sip.ParseAddress(m.Get("Contact"))
	if err != nil {
		if l.target == "" {
			l.target = "sip:" + sip.HostPort(from.Addr)
		}
		return
	}
	l.target = c.URI.String()
	next := c.URI
	if len(l.routes) > 0 {
		if r, err := sip.ParseAddress(l.routes[0]); err == nil {
			next = r.URI
		}
	}
	p, ok := next.Peer()
	switch {
	case !ok: // a name: this node asks no DNS, the way it came is the way back
		l.to = from
	case from.Transport == sip.TCP && p.Transport == sip.TCP && p.Addr.Addr() == from.Addr.Addr():
		l.to, l.alt = from, p // by the same connection as long as it lasts
	default:
		l.to = p
	}
}

func (n *Node) forget(a *attempt) {
	for _, l := range [...]*leg{a.up, a.down} {
		if l != nil {
			delete(n.legs, l.localTag)
			l.over = true
		}
	}
}

// request makes a request inside the dialog (section 12.2.1.1).
func (l *leg) request(n *Node, method string) *sip.Message {
	l.localSeq++
	m := sip.NewRequest(method, l.target, l.local, l.remote, l.callID, l.localSeq, 70)
	for _, r := range l.routes {
		m.Add("Route", r)
	}
	if method == sip.INVITE || method == sip.UPDATE {
		m.Add("Contact", n.id.Contact(l.to.Transport))
	}
	m.Add("Session-ID", l.call.session)
	return m
}

// start sends a request of the dialog.
func (l *leg) start(n *Node, m *sip.Message, who any) *transaction.Client {
	c := n.start(m, l.to, who)
	if r := c.User.(*request); !r.alt.Addr.IsValid() {
		r.alt = l.alt
	}
	return c
}

// sendAck acknowledges the 2xx to our last INVITE; other is the other side's ACK, whose body goes along.
func (l *leg) sendAck(n *Node, other *sip.Message) {
	m := sip.NewRequest(sip.ACK, l.target, l.local, l.remote, l.callID, l.inviteSeq, 70)
	for _, r := range l.routes {
		m.Add("Route", r)
	}
	m.Add("Session-ID", l.call.session)
	if other != nil {
		copyEnd(m, other)
	}
	m.Push("Via", n.id.Via(l.to.Transport))
	l.ack, l.ackOwed = m, false
	n.send(l.to, m)
}

// offer2xx sends a 2xx to an INVITE and repeats it until it is acknowledged.
func (l *leg) offer2xx(n *Node, tx *transaction.Server, r *sip.Message) {
	seq, _, _ := r.CSeq()
	p := &pending2xx{resp: r, tx: tx, seq: seq, gap: n.layer.Times.T1, until: n.now + 64*n.layer.Times.T1}
	l.ok = p
	tx.Respond(r)
	n.heap.Set(&p.timer, n.now+p.gap, func() { l.repeat2xx(n, p) })
}

func (l *leg) repeat2xx(n *Node, p *pending2xx) {
	if l.ok != p {
		return
	}
	if n.now >= p.until {
		l.ok = nil
		if l.server {
			n.cut(l.call, "the server never acknowledged", nil)
		} else {
			n.cut(l.call, "the caller never acknowledged", nil)
		}
		return
	}
	p.gap = min(2*p.gap, n.layer.Times.T2)
	p.tx.Respond(p.resp)
	n.heap.Set(&p.timer, n.now+p.gap, func() { l.repeat2xx(n, p) })
}

// onAck takes the ACK to a 2xx (section 13.3.1.4).
func (n *Node) onAck(m *sip.Message) {
	l := n.legs[m.Tag("To")]
	if l == nil || l.callID != m.Get("Call-ID") || l.ok == nil {
		return
	}
	if seq, _, _ := m.CSeq(); seq != l.ok.seq {
		return
	}
	n.heap.Stop(&l.ok.timer)
	l.ok.tx.Acked()
	l.ok = nil
	if l.peer != nil && l.peer.ackOwed {
		l.peer.sendAck(n, m)
	}
}

// release acknowledges a 2xx that nobody waits for any more, and ends its dialog at once (section 13.2.2.4).
func (n *Node) release(m *sip.Message, to sip.Peer) {
	seq, _, _ := m.CSeq()
	target := "sip:" + sip.HostPort(to.Addr)
	if c, err := sip.ParseAddress(m.Get("Contact")); err == nil {
		target = c.URI.String()
		if p, ok := c.URI.Peer(); ok && to.Transport != sip.TCP {
			to = p
		}
	}
	routes := m.Values("Record-Route")
	for _, method := range [...]string{sip.ACK, sip.BYE} {
		num := seq
		if method == sip.BYE {
			num = seq + 1
		}
		r := sip.NewRequest(method, target, m.Get("From"), m.Get("To"), m.Get("Call-ID"), num, 70)
		for i := len(routes) - 1; i >= 0; i-- {
			r.Add("Route", routes[i])
		}
		r.Push("Via", n.id.Via(to.Transport))
		if method == sip.ACK {
			n.send(to, r)
		} else {
			n.layer.Start(r, to, nil)
		}
	}
	n.Stats.LateAnswers++
}

// Stray takes a response without a transaction: a 2xx that comes after its transaction has ended.
func (u *user) Stray(m *sip.Message, from sip.Peer) {
	n := (*Node)(u)
	if _, method, _ := m.CSeq(); method != sip.INVITE || m.Status < 200 || m.Status >= 300 {
		return
	}
	v, err := sip.ParseVia(m.Get("Via"))
	if err != nil || !n.own(v) || len(m.Values("Via")) != 1 {
		return // not ours (section 18.1.2)
	}
	if l := n.legs[m.Tag("From")]; l != nil && l.callID == m.Get("Call-ID") && l.remoteTag == m.Tag("To") {
		if l.ack != nil {
			n.send(l.to, l.ack)
		}
		return
	}
	n.release(m, from)
}

func seqString(seq uint32) string { return strconv.FormatUint(uint64(seq), 10) }
