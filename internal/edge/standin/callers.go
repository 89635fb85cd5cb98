package standin

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/sip"
)

// Counts are the outcomes of the calls. Unexpected counts answers to no pending call and answers that no call
// server sent.
type Counts struct{ Placed, Stood, Refused, Released, Unexpected int }

// Callers simulates callers, which place calls over a few connections and reopen connections that end.
type Callers struct {
	Node     string
	Deadline time.Duration
	Class    string

	rec      *Recorder
	mu       sync.Mutex
	lastID   uint64
	waiting  map[uint64]time.Time
	standing map[uint64]bool
	counts   Counts
	conns    []*callerConn
}

type callerConn struct {
	conn net.Conn
}

const calledNumber = "7f3a9c21e0b4d655"

// NewCallers returns callers whose call ids begin after first.
func NewCallers(node string, rec *Recorder, first uint64) *Callers {
	return &Callers{Node: node, Deadline: time.Second, Class: "voice", rec: rec, lastID: first, waiting: map[uint64]time.Time{},
		standing: map[uint64]bool{}}
}

// WaitReady waits until the node answers an OPTIONS request.
func (cs *Callers) WaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", cs.Node)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(conn, "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n", formatID(0))
		var reply [64]byte
		n, _ := conn.Read(reply[:])
		conn.Close()
		if n > 11 && string(reply[:11]) == "SIP/2.0 200" {
			return nil
		}
	}
	return errors.New("the node did not answer OPTIONS with 200")
}

// Place places one call; its answer is counted when it arrives. attrs may name a call server at which the call
// already stands.
func (cs *Callers) Place(attrs string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastID++
	id := cs.lastID
	body := formatID(id) + "\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
	text := fmt.Sprintf("INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"+
		"X-Tier: %s\r\nX-Deadline: %d\r\nX-Attrs: %s\r\nContent-Length: %d\r\n\r\n%s",
		calledNumber, formatID(id), cs.Class, cs.Deadline.Milliseconds(), attrs, len(body), body)
	conn, err := cs.connection(int(id % 4))
	if err != nil {
		return
	}
	cs.counts.Placed++
	cs.waiting[id] = time.Now()
	cs.rec.recordMessage("caller", "out", "callers", cs.Node, "INVITE", 0, formatID(id), "", calledNumber)
	_, _ = conn.conn.Write([]byte(text)) // if the connection ends, the call counts as unanswered
}

func (cs *Callers) connection(i int) (*callerConn, error) {
	for len(cs.conns) <= i {
		cs.conns = append(cs.conns, nil)
	}
	if cs.conns[i] == nil {
		conn, err := net.Dial("tcp", cs.Node)
		if err != nil {
			return nil, err
		}
		cs.conns[i] = &callerConn{conn}
		go cs.read(i, cs.conns[i])
	}
	return cs.conns[i], nil
}

func (cs *Callers) read(i int, conn *callerConn) {
	defer conn.conn.Close()
	stream := sip.Stream{Limits: codec.Limits}
	buf := make([]byte, 4096)
	for {
		n, err := conn.conn.Read(buf)
		if err != nil {
			cs.mu.Lock()
			if cs.conns[i] == conn {
				cs.conns[i] = nil
			}
			cs.mu.Unlock()
			return
		}
		stream.Feed(buf[:n])
		for {
			msg, err := stream.Next()
			if msg == nil && err == nil {
				break
			}
			cs.mu.Lock()
			if err != nil {
				cs.counts.Unexpected++
				cs.mu.Unlock()
				return
			}
			cs.handle(conn, msg)
			cs.mu.Unlock()
		}
	}
}

func (cs *Callers) handle(conn *callerConn, msg *sip.Message) {
	id, err := codec.ParseID(msg.Get("Call-ID"))
	_, method, _ := msg.CSeq()
	switch {
	case err != nil:
		cs.counts.Unexpected++
	case msg.Status > 0 && method == sip.INVITE:
		cs.rec.recordMessage("caller", "in", "callers", cs.Node, "INVITE", msg.Status, formatID(id), "", calledNumber)
		_, isWaiting := cs.waiting[id]
		delete(cs.waiting, id)
		switch {
		case !isWaiting:
			cs.counts.Unexpected++
		case msg.Status == 200:
			if string(msg.Body) != Description(id) {
				cs.counts.Unexpected++
			}
			cs.counts.Stood++
			cs.standing[id] = true
			fmt.Fprintf(conn.conn, "ACK sip:%s@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n", calledNumber, formatID(id))
		default:
			cs.counts.Refused++
		}
	case msg.Method == sip.BYE:
		if cs.standing[id] {
			cs.counts.Released++
		}
		delete(cs.standing, id)
		fmt.Fprintf(conn.conn, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", formatID(id))
	}
}

// Outstanding returns the number of calls without an answer past their deadline, and the number of calls that
// stand from the callers' point of view.
func (cs *Callers) Outstanding() (overdue, standing int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, since := range cs.waiting {
		if time.Since(since) > cs.Deadline {
			overdue++
		}
	}
	return overdue, len(cs.standing)
}

// StandingCalls returns the ids of the calls that stand from the callers' point of view, in order.
func (cs *Callers) StandingCalls() []uint64 {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return slices.Sorted(maps.Keys(cs.standing))
}

// Counts returns the outcomes so far.
func (cs *Callers) Counts() Counts {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.counts
}

// Close closes all connections.
func (cs *Callers) Close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, conn := range cs.conns {
		if conn != nil {
			conn.conn.Close()
		}
	}
}
