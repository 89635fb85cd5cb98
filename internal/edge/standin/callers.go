package standin

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/sip"
)

// Counts are what became of the calls. Wrong are answers that nobody asked for, or that no call server made.
type Counts struct{ Placed, Stood, Refused, Ended, Wrong int }

// Callers place calls over a few connections, which they open anew when they end.
type Callers struct {
	Node     string
	Deadline time.Duration
	Class    string

	rec    *Recorder
	mu     sync.Mutex
	next   uint64
	open   map[uint64]time.Time
	stand  map[uint64]bool
	counts Counts
	conns  []*callerConn
}

type callerConn struct {
	c net.Conn
}

const number = "7f3a9c21e0b4d655"

// NewCallers begins with calls numbered from a first id.
func NewCallers(node string, rec *Recorder, first uint64) *Callers {
	return &Callers{Node: node, Deadline: time.Second, Class: "voice", rec: rec, next: first, open: map[uint64]time.Time{},
		stand: map[uint64]bool{}}
}

// Ready waits until the node passes a test.
func (k *Callers) Ready(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", k.Node)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n", hex(0))
		var b [64]byte
		n, _ := c.Read(b[:])
		c.Close()
		if n > 11 && string(b[:11]) == "SIP/2.0 200" {
			return nil
		}
	}
	return errors.New("the node did not pass a test")
}

// Place places one call; its answer is counted when it comes. at names a call server at which it stands already.
func (k *Callers) Place(attrs string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next++
	id := k.next
	body := hex(id) + "\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
	text := fmt.Sprintf("INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"+
		"X-Tier: %s\r\nX-Deadline: %d\r\nX-Attrs: %s\r\nContent-Length: %d\r\n\r\n%s",
		number, hex(id), k.Class, k.Deadline.Milliseconds(), attrs, len(body), body)
	c, err := k.conn(int(id % 4))
	if err != nil {
		return
	}
	k.counts.Placed++
	k.open[id] = time.Now()
	k.rec.message("caller", "out", "callers", k.Node, "INVITE", 0, hex(id), "", number)
	_, _ = c.c.Write([]byte(text)) // a connection that ends counts as unanswered
}

func (k *Callers) conn(i int) (*callerConn, error) {
	for len(k.conns) <= i {
		k.conns = append(k.conns, nil)
	}
	if k.conns[i] == nil {
		c, err := net.Dial("tcp", k.Node)
		if err != nil {
			return nil, err
		}
		k.conns[i] = &callerConn{c}
		go k.read(i, k.conns[i])
	}
	return k.conns[i], nil
}

func (k *Callers) read(i int, c *callerConn) {
	defer c.c.Close()
	stream := sip.Stream{Limits: codec.Limits}
	buf := make([]byte, 4096)
	for {
		n, err := c.c.Read(buf)
		if err != nil {
			k.mu.Lock()
			if k.conns[i] == c {
				k.conns[i] = nil
			}
			k.mu.Unlock()
			return
		}
		stream.Feed(buf[:n])
		for {
			m, err := stream.Next()
			if m == nil && err == nil {
				break
			}
			k.mu.Lock()
			if err != nil {
				k.counts.Wrong++
				k.mu.Unlock()
				return
			}
			k.take(c, m)
			k.mu.Unlock()
		}
	}
}

func (k *Callers) take(c *callerConn, m *sip.Message) {
	id, err := codec.ID(m.Get("Call-ID"))
	_, method, _ := m.CSeq()
	switch {
	case err != nil:
		k.counts.Wrong++
	case m.Status > 0 && method == sip.INVITE:
		k.rec.message("caller", "in", "callers", k.Node, "INVITE", m.Status, hex(id), "", number)
		_, open := k.open[id]
		delete(k.open, id)
		switch {
		case !open:
			k.counts.Wrong++
		case m.Status == 200:
			if string(m.Body) != Description(id) {
				k.counts.Wrong++
			}
			k.counts.Stood++
			k.stand[id] = true
			fmt.Fprintf(c.c, "ACK sip:%s@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", number, hex(id))
		default:
			k.counts.Refused++
		}
	case m.Method == sip.BYE:
		if k.stand[id] {
			k.counts.Ended++
		}
		delete(k.stand, id)
		fmt.Fprintf(c.c, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", hex(id))
	}
}

// Left are the calls that are owed an answer past their deadline, and those that stand in the callers' view.
func (k *Callers) Left() (overdue, standing int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, since := range k.open {
		if time.Since(since) > k.Deadline {
			overdue++
		}
	}
	return overdue, len(k.stand)
}

// Counts are those so far.
func (k *Callers) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Close ends all connections.
func (k *Callers) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.conns {
		if c != nil {
			c.c.Close()
		}
	}
}
