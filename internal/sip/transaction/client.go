package transaction

import (
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Client is a client transaction (sections 17.1.1 and 17.1.2; RFC 6026, section 8.4).
type Client struct {
	Request         *sip.Message
	To              sip.Peer
	UserData        any // for use by the layer's User
	layer           *Layer
	key             key
	seq             uint64
	state           state
	isInvite        bool
	isResent        bool
	interval        time.Duration // interval until the next retransmission
	retransmitTimer timers.Timer  // timer A or E
	limitTimer      timers.Timer  // timer B or F, then D, K or M
	ack             *sip.Message  // ACK to a final response other than 2xx
}

// Start sends a request in a new client transaction. The topmost Via of the message must have a unique branch. The value
// user is stored in Client.UserData.
func (l *Layer) Start(m *sip.Message, to sip.Peer, user any) *Client {
	c := &Client{Request: m, To: to, UserData: user, layer: l, isInvite: m.Method == sip.INVITE,
		key: key{m.Branch(), "", m.Method}}
	l.Counters.ClientTransactions++
	c.seq = l.Counters.ClientTransactions
	l.clients[c.key] = c
	l.heap.Set(&c.limitTimer, l.now+64*l.Times.T1, c.expire) // B, F
	if !to.Transport.IsReliable() {
		c.interval = l.Times.T1
		l.heap.Set(&c.retransmitTimer, l.now+c.interval, c.retransmit) // A, E
	}
	l.sender.Send(to, m)
	return c
}

// retransmit sends the request again when timer A or E fires, and sets the timer anew.
func (c *Client) retransmit() {
	l := c.layer
	l.Counters.Retransmitted++
	c.isResent = true
	switch {
	case c.isInvite: // timer A doubles without limit
		c.interval *= 2
	case c.state == stateProceeding:
		c.interval = l.Times.T2
	default: // timer E doubles up to T2
		c.interval = min(2*c.interval, l.Times.T2)
	}
	l.heap.Set(&c.retransmitTimer, l.now+c.interval, c.retransmit)
	l.sender.Send(c.To, c.Request)
}

// StopRetransmitting stops the retransmission of a request that has been abandoned; the transaction still waits for
// responses. A retransmission would cause work at a server for a caller that no longer waits.
func (c *Client) StopRetransmitting() { c.layer.heap.Stop(&c.retransmitTimer) }

// IsDone reports whether a final response has arrived or the transaction has ended.
func (c *Client) IsDone() bool { return c.state >= stateCompleted }

// WasRetransmitted reports whether the request has been sent more than once, so that an earlier copy may have arrived.
func (c *Client) WasRetransmitted() bool { return c.isResent }

// HasProvisional reports whether a 1xx has arrived and no final response.
func (c *Client) HasProvisional() bool { return c.state == stateProceeding }

// expire ends the transaction when its limit timer fires and reports a timeout if no final response has arrived.
func (c *Client) expire() {
	l := c.layer
	waiting := c.state == stateCalling || c.state == stateProceeding
	c.end()
	if waiting {
		l.Counters.TimedOut++
		l.user.TimedOut(c, ErrTimeout)
	}
}

// end removes the transaction and stops its timers.
func (c *Client) end() {
	c.state = stateTerminated
	c.layer.heap.Stop(&c.retransmitTimer)
	c.layer.heap.Stop(&c.limitTimer)
	delete(c.layer.clients, c.key)
}

// limitLinger returns d, limited to Times.Linger if that is set.
func (l *Layer) limitLinger(d time.Duration) time.Duration {
	if l.Times.Linger > 0 {
		return min(d, l.Times.Linger)
	}
	return d
}

// receive processes a response to the request.
func (c *Client) receive(m *sip.Message) {
	l := c.layer
	switch {
	case c.state == stateAccepted:
		if m.Status >= 200 && m.Status < 300 {
			l.user.Response(c, m) // the dialog acknowledges each 2xx
		}
		return
	case c.state == stateCompleted:
		l.Counters.Absorbed++
		if c.ack != nil && m.Status >= 300 {
			l.sender.Send(c.To, c.ack)
		}
		return
	case m.Status < 200:
		if c.state == stateCalling {
			c.state = stateProceeding
			if c.isInvite {
				l.heap.Stop(&c.retransmitTimer)
				// Timer B stops (section 17.1.1.2). A proceeding INVITE lasts until its user ends it, but not without limit.
				l.heap.Set(&c.limitTimer, l.now+max(64*l.Times.T1, 3*time.Minute), c.expire)
			}
		}
		l.user.Response(c, m)
		return
	}
	l.heap.Stop(&c.retransmitTimer)
	switch {
	case c.isInvite && m.Status < 300:
		c.state = stateAccepted
		l.heap.Set(&c.limitTimer, l.now+l.limitLinger(64*l.Times.T1), c.end) // M
	case c.isInvite:
		c.state = stateCompleted
		c.ack = ackFor(c.Request, m)
		l.sender.Send(c.To, c.ack)
		c.linger(l.limitLinger(max(32*time.Second, 64*l.Times.T1))) // D
	default:
		c.state = stateCompleted
		c.linger(l.limitLinger(l.Times.T4)) // K
	}
	l.user.Response(c, m)
	if c.state == stateAccepted || c.state == stateTerminated {
		c.Request = nil // it is not sent again; free it while the transaction lingers
	}
}

// linger keeps a completed transaction for d to absorb retransmitted responses. On a reliable transport there are none and
// the transaction is removed at once.
func (c *Client) linger(d time.Duration) {
	if c.To.Transport.IsReliable() {
		c.layer.heap.Stop(&c.limitTimer)
		delete(c.layer.clients, c.key)
		return
	}
	c.layer.heap.Set(&c.limitTimer, c.layer.now+d, c.end)
}

// ackFor returns the ACK to a final response other than 2xx (section 17.1.1.3).
func ackFor(req, resp *sip.Message) *sip.Message {
	return hopByHopRequest(req, sip.ACK, resp.Get("To"))
}

// CancelFor returns the CANCEL for an INVITE that has been sent (section 9.1).
func CancelFor(req *sip.Message) *sip.Message { return hopByHopRequest(req, sip.CANCEL, req.Get("To")) }

// hopByHopRequest returns an ACK or CANCEL for an INVITE, with the INVITE's route and branch.
func hopByHopRequest(req *sip.Message, method, to string) *sip.Message {
	n, _, _ := req.CSeq()
	m := &sip.Message{Method: method, URI: req.URI, Fields: make([]sip.Field, 0, 8)}
	m.Add("Via", req.Get("Via"))
	for _, f := range req.Fields {
		if f.Name == "Route" {
			m.Fields = append(m.Fields, f)
		}
	}
	m.Add("Max-Forwards", "70")
	m.Add("From", req.Get("From"))
	m.Add("To", to)
	m.Add("Call-ID", req.Get("Call-ID"))
	m.Add("CSeq", itoa(int(n))+" "+method)
	return m
}
