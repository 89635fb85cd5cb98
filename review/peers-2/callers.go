package peers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a call as its caller sees it.
type call struct {
	id       uint64
	number   string // number called
	sentAt   time.Duration
	status   int // of the final answer; 0: none
	statusAt time.Duration
	answers  int
	byeAt    time.Duration // when the release came; 0: never
	byeCause string
}

// caller is a client of the platform. It has one connection at a time.
type caller struct {
	w    *world
	name string
	node string

	mu      sync.Mutex
	conn    net.Conn
	endedAt time.Duration // when the connection ended; 0: it is open
	calls   map[uint64]*call

	reconnects bool // opens a new connection when the node has closed the last one
}

var (
	lastID   uint64 = 0x3a0f000000000000
	lastIDMu sync.Mutex
)

func newID() uint64 {
	lastIDMu.Lock()
	defer lastIDMu.Unlock()
	lastID += 0x10001
	return lastID
}

func (w *world) newCaller(name, node string) *caller {
	c := &caller{w: w, name: name, node: node, calls: map[uint64]*call{}}
	c.connect()
	return c
}

// connect opens a new connection.
func (c *caller) connect() {
	conn, err := net.Dial("tcp", c.node)
	if err != nil {
		c.w.logf("%s: cannot connect: %v", c.name, err)
		return
	}
	c.mu.Lock()
	c.conn, c.endedAt = conn, 0
	c.mu.Unlock()
	c.w.logf("%s: connected", c.name)
	go c.read(conn)
}

// place sends a set-up on the caller's connection.
func (c *caller) place(class, number string, deadline time.Duration, fields string) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := &call{id: newID(), number: number, sentAt: c.w.now()}
	c.calls[cl.id] = cl
	body := fmt.Sprintf("%016x\r\nc=IN IP4 127.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", cl.id^0x5555)
	c.w.logf("%s: set-up %016x of class %s, number %s, waits %v %s", c.name, cl.id, class, number, deadline, strings.TrimSpace(fields))
	fmt.Fprintf(c.conn, "INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Tier: %s\r\n"+
		"X-Deadline: %d\r\n%sX-Attrs: dest:0;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s",
		number, cl.id, class, deadline.Milliseconds(), fields, len(body), body)
	return cl
}

func (c *caller) read(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		first, fields, body, err := readSIP(in)
		if err != nil {
			c.mu.Lock()
			if c.conn == conn {
				c.endedAt = c.w.now()
			}
			c.mu.Unlock()
			c.w.logf("%s: connection has ended: %v", c.name, err)
			conn.Close()
			c.mu.Lock()
			reconnects := c.reconnects
			c.mu.Unlock()
			if reconnects {
				c.connect()
			}
			return
		}
		c.handle(conn, first, fields, body)
	}
}

func readSIP(in *bufio.Reader) (first string, fields map[string]string, body []byte, err error) {
	fields = map[string]string{}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", nil, nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && first == "":
		case line == "":
			length, err := strconv.Atoi(fields["content-length"])
			if err != nil {
				return "", nil, nil, err
			}
			body = make([]byte, length)
			_, err = io.ReadFull(in, body)
			return first, fields, body, err
		case first == "":
			first = line
		default:
			name, value, _ := strings.Cut(line, ":")
			fields[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
		}
	}
}

func (c *caller) handle(conn net.Conn, first string, fields map[string]string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, _ := strconv.ParseUint(fields["call-id"], 16, 64)
	cl := c.calls[id]
	c.w.logf("%s: got %q for %016x %s", c.name, first, id, fields["reason"])
	if cl == nil {
		return
	}
	switch {
	case strings.HasPrefix(first, "BYE "):
		if cl.byeAt == 0 {
			cl.byeAt, cl.byeCause = c.w.now(), fields["reason"]
		}
		fmt.Fprintf(conn, "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP node\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id)
	case strings.HasPrefix(first, "SIP/2.0 ") && strings.HasSuffix(fields["cseq"], "INVITE"):
		status, _ := strconv.Atoi(strings.Fields(first)[1])
		if status < 200 {
			return
		}
		cl.answers++
		if cl.status == 0 {
			cl.status, cl.statusAt = status, c.w.now()
		}
		if status == 200 && string(body) != description(id) {
			c.w.breakf("call %016x was answered with a description that no call server gave", id)
		}
		fmt.Fprintf(conn, "ACK sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n",
			cl.number, id)
	}
}

// state returns a copy of a call.
func (c *caller) state(cl *call) call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *cl
}

func callerName(i int) string { return fmt.Sprintf("caller-%d", i+1) }

// ended returns when the caller's connection ended, or 0 if it is open.
func (c *caller) ended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedAt
}

func (c *caller) isOpen() bool { return c.ended() == 0 }
