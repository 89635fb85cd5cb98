package transaction

import (
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Client is a client transaction (sections 17.1.1 and 17.1.2; RFC 6026, section 8.4).
type Client struct {
	Request *sip.Message
	To      sip.Peer
	User    any // the user's own
	layer   *Layer
	key     key
	seq     uint64
	state   state
	invite  bool
	resent  bool
	gap     time.Duration
	repeat  timers.Timer // A, E
	limit   timers.Timer // B, F, then D, K or M
	ack     *sip.Message
}

// Start sends a request in a new client transaction. The message has its topmost Via with a branch of its own.
func (l *Layer) Start(m *sip.Message, to sip.Peer, user any) *Client {
	c := &Client{Request: m, To: to, User: user, layer: l, invite: m.Method == sip.INVITE,
		key: key{m.Branch(), "", m.Method}}
	l.Count.ClientNew++
	c.seq = l.Count.ClientNew
	l.clients[c.key] = c
	l.heap.Set(&c.limit, l.now+64*l.Times.T1, c.expire) // B, F
	if !to.Transport.Reliable() {
		c.gap = l.Times.T1
		l.heap.Set(&c.repeat, l.now+c.gap, c.again) // A, E
	}
	l.send.Send(to, m)
	return c
}

func (c *Client) again() {
	l := c.layer
	l.Count.Retransmitted++
	c.resent = true
	switch {
	case c.invite: // A doubles without bound
		c.gap *= 2
	case c.state == proceeding:
		c.gap = l.Times.T2
	default: // E doubles up to T2
		c.gap = min(2*c.gap, l.Times.T2)
	}
	l.heap.Set(&c.repeat, l.now+c.gap, c.again)
	l.send.Send(c.To, c.Request)
}

// Quiet ends the retransmission of a request that has been given up, while the transaction goes on waiting for
// responses: a repeat would put work on a server that nobody waits for.
func (c *Client) Quiet() { c.layer.heap.Stop(&c.repeat) }

// Done says whether a final response has come or the transaction has ended.
func (c *Client) Done() bool { return c.state >= completed }

// Resent says whether the request has been sent more than once: an earlier copy may have arrived.
func (c *Client) Resent() bool { return c.resent }

// Provisional says whether a 1xx has come.
func (c *Client) Provisional() bool { return c.state == proceeding }

func (c *Client) expire() {
	l := c.layer
	waiting := c.state == calling || c.state == proceeding
	c.end()
	if waiting {
		l.Count.TimedOut++
		l.user.TimedOut(c, ErrTimeout)
	}
}

func (c *Client) end() {
	c.state = terminated
	c.layer.heap.Stop(&c.repeat)
	c.layer.heap.Stop(&c.limit)
	delete(c.layer.clients, c.key)
}

func (l *Layer) linger(d time.Duration) time.Duration {
	if l.Times.Linger > 0 {
		return min(d, l.Times.Linger)
	}
	return d
}

func (c *Client) response(m *sip.Message) {
	l := c.layer
	switch {
	case c.state == accepted:
		if m.Status >= 200 && m.Status < 300 {
			l.user.Response(c, m) // each one is ACKed by the dialog
		}
		return
	case c.state == completed:
		l.Count.Absorbed++
		if c.ack != nil && m.Status >= 300 {
			l.send.Send(c.To, c.ack)
		}
		return
	case m.Status < 200:
		if c.state == calling {
			c.state = proceeding
			if c.invite {
				l.heap.Stop(&c.repeat)
				// B ends here (17.1.1.2); a proceeding INVITE lasts as long as its user wants, but not for ever.
				l.heap.Set(&c.limit, l.now+max(64*l.Times.T1, 3*time.Minute), c.expire)
			}
		}
		l.user.Response(c, m)
		return
	}
	l.heap.Stop(&c.repeat)
	switch {
	case c.invite && m.Status < 300:
		c.state = accepted
		l.heap.Set(&c.limit, l.now+l.linger(64*l.Times.T1), c.end) // M
	case c.invite:
		c.state = completed
		c.ack = ackFor(c.Request, m)
		l.send.Send(c.To, c.ack)
		c.last(l.linger(max(32*time.Second, 64*l.Times.T1))) // D
	default:
		c.state = completed
		c.last(l.linger(l.Times.T4)) // K
	}
	l.user.Response(c, m)
	if c.state == accepted || c.state == terminated {
		c.Request = nil // it will not be sent again, and the transaction lingers
	}
}

// last keeps the transaction for a while where repeats may still come.
func (c *Client) last(d time.Duration) {
	if c.To.Transport.Reliable() {
		c.layer.heap.Stop(&c.limit)
		delete(c.layer.clients, c.key)
		return
	}
	c.layer.heap.Set(&c.limit, c.layer.now+d, c.end)
}

// ackFor makes the ACK to a final response other than 2xx (section 17.1.1.3).
func ackFor(req, resp *sip.Message) *sip.Message { return after(req, sip.ACK, resp.Get("To")) }

// CancelFor makes the CANCEL of an INVITE that has been sent (section 9.1).
func CancelFor(req *sip.Message) *sip.Message { return after(req, sip.CANCEL, req.Get("To")) }

// after makes a request that follows an INVITE hop by hop, on its way and with its branch.
func after(req *sip.Message, method, to string) *sip.Message {
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
