package scenario

import (
	"fmt"
	"slices"
	"time"

	"larkrouter/internal/edge/access"
	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
)

const (
	calledNumber     = "7f3a9c21e0b4d655"
	callDeadline     = 3 * time.Second
	answerTolerance  = 100 * time.Millisecond // after the deadline
	callerIdleTime   = 4 * time.Second        // after which callers close a connection without a call on it
	maxCrossingTime  = 50 * time.Millisecond  // between a set-up and the node's close of its connection
	connPollInterval = 100 * time.Millisecond
)

// callState is the state of a call at its caller.
type callState uint8

const (
	callWaiting callState = iota
	callStanding
	callOver
)

// call is a call of an honest caller.
type call struct {
	id        uint64
	sentAt    time.Duration
	namedAt   time.Duration // when it was named to a node that had started again; 0: never
	conn      *callerConn
	server    string // that has answered it
	state     callState
	overSince time.Duration // when the caller ended it
}

// callerConn is a connection of honest callers.
type callerConn struct {
	link
	callers  *callers
	stream   sip.Stream
	lastUsed time.Duration
}

// callers are the honest callers. They share their connections.
type callers struct {
	w            *world
	conns        []*callerConn
	calls        map[uint64]*call
	lastID       uint64
	placeEvery   time.Duration // mean time between two calls; 0: none are placed
	meanHoldTime time.Duration
	idleTime     time.Duration // after which an unused connection is closed, also one whose calls stand
	isPaused     bool          // while the node is down
	placed       int
}

func (cs *callers) holdTime() time.Duration {
	return cs.w.between(cs.meanHoldTime/2, cs.meanHoldTime*3/2)
}

// placeCalls places calls from now on.
func (cs *callers) placeCalls() {
	if cs.placeEvery > 0 && !cs.isPaused {
		cs.place()
	}
	cs.w.after(cs.w.between(cs.placeEvery/2, cs.placeEvery*3/2+time.Millisecond), cs.placeCalls)
}

// place places a call on a connection that is open, or on a new one.
func (cs *callers) place() {
	cs.lastID++
	cs.placed++
	placed := &call{id: cs.lastID, conn: cs.pickConn(), sentAt: cs.w.now}
	cs.calls[placed.id] = placed
	cs.record("out", 0, placed.id)
	cs.sendInvite(placed, "dest:0;width:1;via:-1")
	cs.w.after(callDeadline+answerTolerance, func() {
		if placed.state == callWaiting {
			placed.state = callOver
			cs.w.faults.add(cs.w.now, "call %016x: no answer", placed.id)
		}
	})
	if cs.w.oneIn(4) {
		cs.w.after(cs.holdTime()/2, func() { cs.hangUp(placed) })
	}
}

func (cs *callers) sendInvite(c *call, attrs string) {
	cs.send(c.conn, fmt.Sprintf("INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Tier: voice\r\n"+
		"X-Deadline: %d\r\nX-Attrs: %s\r\nContent-Length: 18\r\n\r\n9d41c07a5be2f318\r\n", calledNumber, c.id,
		callDeadline.Milliseconds(), attrs))
}

// hangUp ends a standing call. While the node is down, the caller waits.
func (cs *callers) hangUp(c *call) {
	if c.state != callStanding {
		return
	}
	if cs.isPaused {
		cs.w.after(time.Second, func() { cs.hangUp(c) })
		return
	}
	c.state, c.overSince = callOver, cs.w.now
	cs.w.standing.ReleasedByCaller(c.id)
	cs.send(cs.pickConn(), formatBye(c.id))
}

// pickConn returns an open connection or, in one of three cases, a new one.
func (cs *callers) pickConn() *callerConn {
	if len(cs.conns) > 0 && !cs.w.oneIn(3) {
		return cs.conns[cs.w.rng.IntN(len(cs.conns))]
	}
	conn := &callerConn{callers: cs, stream: sip.Stream{Limits: codec.Limits}}
	conn.link = link{id: cs.w.node.NewConn(), peer: conn, isOpen: true}
	cs.conns = append(cs.conns, conn)
	cs.countConns()
	cs.w.links[conn.id] = &conn.link
	cs.w.atNode(&conn.link, func(node *access.Node) { node.CallerOpened(cs.w.now, conn.id) })
	return conn
}

func (cs *callers) countConns() { cs.w.standing.SetCallerConns(cs.w.now, len(cs.conns)) }

// send sends messages to the node.
func (cs *callers) send(conn *callerConn, text string) {
	conn.lastUsed = cs.w.now
	cs.w.sendText(&conn.link, text)
}

// sendText passes the messages in a text to the node.
func (w *world) sendText(l *link, text string) {
	w.atNode(l, func(node *access.Node) {
		stream := sip.Stream{Limits: codec.Limits}
		stream.Feed([]byte(text))
		for msg, err := stream.Next(); msg != nil && err == nil; msg, err = stream.Next() {
			node.CallerMessage(w.now, w.now, l.id, msg)
		}
	})
}

// receive implements peer.
func (conn *callerConn) receive(_ *link, data []byte) {
	conn.stream.Feed(data)
	for msg, err := conn.stream.Next(); msg != nil; msg, err = conn.stream.Next() {
		if err != nil {
			conn.callers.w.faults.add(conn.callers.w.now, "the node wrote an invalid message: %v", err)
			return
		}
		conn.callers.handle(conn, msg)
	}
}

func (cs *callers) handle(conn *callerConn, msg *sip.Message) {
	conn.lastUsed = cs.w.now
	id, _ := codec.ParseID(msg.Get("Call-ID"))
	c := cs.calls[id]
	_, method, _ := msg.CSeq()
	switch {
	case msg.Method == sip.BYE:
		cs.send(conn, fmt.Sprintf("SIP/2.0 200 OK\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id))
		cs.w.standing.ReleasedAtCaller(cs.w.now, id)
		if c != nil {
			c.state = callOver
		}
	case method != sip.INVITE || c == nil:
	case c.state != callWaiting:
		cs.record("in", msg.Status, id)
	case msg.Status == 200:
		cs.record("in", msg.Status, id)
		c.state = callStanding
		cs.w.standing.Stands(cs.w.now, id)
	default:
		cs.record("in", msg.Status, id)
		c.state = callOver
	}
}

// answeredBy records which server has answered a call.
func (cs *callers) answeredBy(id uint64, server string) {
	if c := cs.calls[id]; c != nil {
		c.server = server
	}
}

// linkClosed implements peer. A set-up that crosses the close is sent once more, and a call that was named again; others on the
// connection are lost.
func (conn *callerConn) linkClosed(_ *link) {
	cs := conn.callers
	cs.forgetConn(conn)
	if cs.w.node == nil {
		return
	}
	for _, id := range sortedKeys(cs.calls) {
		c := cs.calls[id]
		switch {
		case c.conn != conn:
		case c.state == callWaiting && cs.w.now-c.sentAt <= maxCrossingTime && !cs.isPaused:
			cs.place()
			c.state = callOver
		case c.state == callStanding && c.namedAt > 0 && cs.w.now-c.namedAt <= maxCrossingTime:
			cs.name(c)
		}
	}
}

func (cs *callers) forgetConn(conn *callerConn) {
	cs.conns = slices.DeleteFunc(cs.conns, func(other *callerConn) bool { return other == conn })
	cs.countConns()
}

// closeIdleConns closes connections without a waiting call that have not been used for a while, from now on.
func (cs *callers) closeIdleConns() {
	for _, conn := range slices.Clone(cs.conns) {
		if cs.w.now-conn.lastUsed >= cs.idleTime && !cs.hasWaitingCall(conn) {
			cs.close(conn)
		}
	}
	cs.w.after(connPollInterval, cs.closeIdleConns)
}

func (cs *callers) close(conn *callerConn) {
	conn.isOpen = false
	cs.forgetConn(conn)
	cs.w.atNode(&conn.link, func(node *access.Node) {
		delete(cs.w.links, conn.id)
		node.CallerClosed(cs.w.now, conn.id)
	})
}

func (cs *callers) hasWaitingCall(conn *callerConn) bool {
	for _, c := range cs.calls {
		if c.conn == conn && c.state == callWaiting {
			return true
		}
	}
	return false
}

// nameCalls names the standing calls to a node that has just started, within the given time.
func (cs *callers) nameCalls(within time.Duration) {
	for _, id := range sortedKeys(cs.calls) {
		c := cs.calls[id]
		if c.state == callWaiting {
			c.state = callOver // lost with the old process, which the pages allow
		}
		if c.state != callStanding {
			continue
		}
		cs.w.after(cs.w.between(0, within), func() {
			if c.state == callStanding {
				cs.name(c)
			}
		})
	}
}

// name names a standing call.
func (cs *callers) name(c *call) {
	c.conn, c.namedAt = cs.pickConn(), cs.w.now
	cs.sendInvite(c, "at:"+c.server)
	cs.w.standing.Stands(cs.w.now, c.id)
}

// record adds a message at the callers' socket to the capture.
func (cs *callers) record(direction string, status int, id uint64) {
	record := rules.Message("caller", direction, "callers", nodeName, "INVITE", status, formatID(id), "", calledNumber)
	record.Time = cs.w.now
	cs.w.rules.Add(record)
}

func formatBye(id uint64) string {
	return fmt.Sprintf("BYE sip:%s@net SIP/2.0\r\nCall-ID: %016x\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", calledNumber, id)
}

func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }
