package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Message is a message that a caller has received.
type Message struct {
	Status int    // of an answer, else 0
	Method string // of a request, or the method in CSeq of an answer
	Call   string
	Reason string
	Body   string
}

// Callers are the callers of one access node. They note what they receive on all of their connections.
type Callers struct {
	Node string
	rec  *Record
	mu   sync.Mutex
	got  map[string][]Received
	used []*CallerConn // all connections so far
}

// Received is a message and when it came.
type Received struct {
	Message
	At time.Duration
}

// CallerConn is one connection of the callers.
type CallerConn struct {
	conn   net.Conn
	owner  *Callers
	name   string
	opened time.Duration
	ended  time.Duration // 0: still open
	Closed chan struct{} // closed once the connection has ended
	Err    error
}

// NewCallers returns callers of the node at the address.
func NewCallers(node string, rec *Record) *Callers {
	return &Callers{Node: node, rec: rec, got: map[string][]Received{}}
}

// Open opens a connection and reads from it until it ends.
func (cs *Callers) Open() (*CallerConn, error) {
	conn, err := net.Dial("tcp", cs.Node)
	if err != nil {
		return nil, err
	}
	c := &CallerConn{conn: conn, owner: cs, name: conn.LocalAddr().String(), opened: cs.rec.Now(), Closed: make(chan struct{})}
	cs.mu.Lock()
	cs.used = append(cs.used, c)
	cs.mu.Unlock()
	cs.rec.Add("caller", "connection %s is open", c.name)
	go c.read()
	return c, nil
}

// Close closes the connection from the callers' side.
func (c *CallerConn) Close() {
	c.owner.mu.Lock()
	c.ended = c.owner.rec.Now()
	c.owner.mu.Unlock()
	c.owner.rec.Add("caller", "closes connection %s", c.name)
	c.conn.Close()
}

// ReachableBy returns the time by which something that the node has had to tell since a given time must have been told
// within a limit: the limit counts from when a connection was open, and only connections that stayed open so long count.
// It returns false if there was none.
func (cs *Callers) ReachableBy(since, limit time.Duration) (time.Duration, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var earliest time.Duration
	for _, c := range cs.used {
		by := max(since, c.opened) + limit
		if end := c.ended; (end > by || end == 0 && cs.rec.Now() >= by) && (earliest == 0 || by < earliest) {
			earliest = by
		}
	}
	return earliest, earliest > 0
}

// Send writes text to the connection.
func (c *CallerConn) Send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// Invite sends a set-up.
func (c *CallerConn) Invite(call uint64, class string, deadline time.Duration, attrs string) error {
	id := fmt.Sprintf("%016x", call)
	c.owner.rec.Add("caller", "INVITE %s, %s, %d ms, %s, on %s", id, class, deadline.Milliseconds(), attrs, c.name)
	body := id + "\r\nc=IN IP4 127.0.0.7\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
	return c.Send(fmt.Sprintf("INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"+
		"X-Tier: %s\r\nX-Deadline: %d\r\nX-Attrs: %s\r\nContent-Length: %d\r\n\r\n%s", id, class, deadline.Milliseconds(), attrs,
		len(body), body))
}

func (c *CallerConn) read() {
	in := textproto.NewReader(bufio.NewReader(c.conn))
	for {
		msg, err := readMessage(in)
		if err != nil {
			c.Err = err
			c.owner.mu.Lock()
			if c.ended == 0 {
				c.ended = c.owner.rec.Now()
			}
			c.owner.mu.Unlock()
			c.owner.rec.Add("caller", "connection %s has ended: %v", c.name, err)
			close(c.Closed)
			c.conn.Close()
			return
		}
		c.owner.rec.Add("caller", "%s %d %s %s on %s", msg.Method, msg.Status, msg.Call, msg.Reason, c.name)
		c.owner.mu.Lock()
		c.owner.got[msg.Call] = append(c.owner.got[msg.Call], Received{*msg, c.owner.rec.Now()})
		c.owner.mu.Unlock()
		switch {
		case msg.Method == "INVITE" && msg.Status >= 200:
			_ = c.Send(fmt.Sprintf("ACK sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\n"+
				"Content-Length: 0\r\n\r\n", msg.Call))
		case msg.Method == "BYE" && msg.Status == 0:
			_ = c.Send(fmt.Sprintf("SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP node\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n",
				msg.Call))
		}
	}
}

func readMessage(in *textproto.Reader) (*Message, error) {
	start, err := in.ReadLine()
	if err != nil {
		return nil, err
	}
	head, err := in.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	length, err := strconv.Atoi(head.Get("Content-Length"))
	if err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in.R, body); err != nil {
		return nil, err
	}
	msg := &Message{Call: head.Get("Call-Id"), Reason: head.Get("Reason"), Body: string(body)}
	if rest, ok := strings.CutPrefix(start, "SIP/2.0 "); ok {
		msg.Status, err = strconv.Atoi(rest[:min(3, len(rest))])
		_, msg.Method, _ = strings.Cut(head.Get("Cseq"), " ")
		return msg, err
	}
	msg.Method, _, _ = strings.Cut(start, " ")
	return msg, nil
}

// Find returns when a message of a call came: an answer with its status, or a request with status 0.
func (cs *Callers) Find(call uint64, method string, isWanted func(status int) bool) (time.Duration, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, msg := range cs.got[fmt.Sprintf("%016x", call)] {
		if msg.Method == method && isWanted(msg.Status) {
			return msg.At, true
		}
	}
	return 0, false
}

// Stands returns when the call was answered with 200.
func (cs *Callers) Stands(call uint64) (time.Duration, bool) {
	return cs.Find(call, "INVITE", func(status int) bool { return status == 200 })
}

// IsFinal returns when the call got any final answer.
func (cs *Callers) IsFinal(call uint64) (time.Duration, bool) {
	return cs.Find(call, "INVITE", func(status int) bool { return status >= 200 })
}

// Released returns when the callers were told that the call is over.
func (cs *Callers) Released(call uint64) (time.Duration, bool) {
	return cs.Find(call, "BYE", func(status int) bool { return status == 0 })
}
