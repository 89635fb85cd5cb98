package access

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/admit"
	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Releases that callers are owed.
const (
	byesMost  = 500
	owedFor   = 30 * time.Second
	byeUnread = time.Second // a release written to one that ends within this is sent on another too
)

// caller is a connection from callers.
type caller struct {
	admit.Conn
	conn Conn
	byes []release // written to it lately: should it end, nobody may have read them
}

// call is a set-up owed an answer, or one that stands.
type call struct {
	number   uint64 // the module's
	id       uint64
	text     string // the id as it came
	called   string // the number called, as it came
	conn     Conn   // it came on
	req      *sip.Message
	deadline time.Duration
	timer    timers.Timer
	attempts int
	out      *attempt
	stands   bool
	since    time.Duration // it stands
	server   *server
	line     Conn // its set-up came on
	ordinal  int
	setUp    *codec.SetUp
}

// release is one that a caller is owed, or was sent.
type release struct {
	id    uint64
	bytes []byte
	since time.Duration
}

// CallerOpen tells of a new connection from callers.
func (n *Node) CallerOpen(now time.Duration, c Conn) {
	n.clock(now)
	if len(n.callers) >= n.cfg.Callers {
		if old := n.idlest(); old != nil {
			n.Totals.CallersFull++
			n.closeCaller(old)
		} else {
			n.Totals.CallersFull++
			n.effects = append(n.effects, Effect{Kind: Close, Conn: c})
			return
		}
	}
	n.callers[c] = &caller{conn: c, Conn: admit.Conn{Opened: n.now, Used: n.now}}
}

// idlest is the connection that gives way: none with a set-up open; first those that never brought a call that stood.
func (n *Node) idlest() *caller {
	var best *caller
	for _, c := range n.callers {
		if c.Open == 0 && (best == nil || c.YieldsTo(&best.Conn) || !best.YieldsTo(&c.Conn) && c.conn < best.conn) {
			best = c
		}
	}
	return best
}

func (n *Node) closeCaller(c *caller) {
	n.Totals.CallersClosed++
	delete(n.callers, c.conn)
	n.effects = append(n.effects, Effect{Kind: Close, Conn: c.conn})
}

// CallerClosed tells that a connection from callers has ended. What it asked for can't be answered any more.
func (n *Node) CallerClosed(now time.Duration, conn Conn) {
	n.clock(now)
	c := n.callers[conn]
	if c == nil {
		return
	}
	delete(n.callers, conn)
	for _, r := range c.byes { // it may have ended before they were read
		if n.now-r.since < byeUnread {
			n.sayBye(r, nil)
		}
	}
	if c.Open == 0 {
		return
	}
	for _, k := range n.openCalls() {
		if k.conn == conn {
			n.Totals.Dropped++
			n.withdraw(k)
		}
	}
}

// CallerPart tells whether a message has begun on a connection that is not whole yet.
func (n *Node) CallerPart(now time.Duration, conn Conn, part bool) {
	n.clock(now)
	if c := n.callers[conn]; c == nil {
		return
	} else if !part {
		c.Part = 0
	} else if c.Part == 0 {
		c.Part = n.now
	}
}

// CallerFault tells that what came can't be read, so that nothing behind it can be either.
func (n *Node) CallerFault(now time.Duration, conn Conn, err error) {
	n.clock(now)
	c := n.callers[conn]
	if c == nil {
		return
	}
	n.Totals.Malformed++
	if p, ok := sip.IsParse(err); ok && p.Status > 0 && p.Partial != nil && p.Partial.Method != sip.ACK {
		n.write(conn, codec.Answer(p.Partial, p.Status, 0, nil))
	}
	for _, k := range n.openCalls() {
		if k.conn == conn {
			n.tell(larkrouter.CallGone{Call: k.number})
			if k.out != nil {
				n.giveUp(k.out, larkrouter.Cancelled)
			}
			n.refuse(k, 503, 0)
		}
	}
	n.closeCaller(c)
}

// CallerMessage takes a message. arrived is when its last byte came.
func (n *Node) CallerMessage(now, arrived time.Duration, conn Conn, m *sip.Message) {
	n.clock(now)
	c := n.callers[conn]
	if c == nil { // closed by the node: what crosses that was not taken
		return
	}
	c.Used = n.now
	id, err := codec.ID(m.Get("Call-ID"))
	switch {
	case !m.IsRequest():
		c.byes = slices.DeleteFunc(c.byes, func(r release) bool { return r.id == id })
	case m.Method == sip.ACK:
	case m.Method == sip.OPTIONS:
		n.write(conn, codec.Answer(m, 200, 0, nil))
	case m.Method == sip.INVITE:
		n.invite(c, arrived, m)
	case err != nil:
		n.malformed(c, m)
	case m.Method == sip.CANCEL:
		switch k := n.calls[id]; {
		case k != nil && !k.stands && k.conn == conn:
			n.Totals.Withdrawn++
			n.withdraw(k)
		case k != nil && k.stands && k.conn == conn: // crossed the answer: the caller has left a call that stands
			n.hangUp(k, codec.Cause(m.Get("Reason")))
			n.farewell(k, 16)
		}
	case m.Method == sip.BYE:
		switch k := n.calls[id]; {
		case k != nil && k.stands:
			n.hangUp(k, codec.Cause(m.Get("Reason")))
			n.write(conn, codec.Answer(m, 200, 0, nil))
		case k != nil && k.conn == conn:
			n.Totals.Withdrawn++
			n.withdraw(k)
			n.write(conn, codec.Answer(m, 200, 0, nil))
		case n.ended.at[id].when > 0:
			n.write(conn, codec.Answer(m, 200, 0, nil))
		default:
			n.Totals.Unknown++
			n.write(conn, codec.Answer(m, 481, 0, nil))
		}
	default:
		n.Totals.Malformed++
		n.write(conn, codec.Answer(m, 405, 0, nil))
	}
}

// malformed refuses what no honest caller sends. Nothing of it goes further.
func (n *Node) malformed(c *caller, m *sip.Message) {
	n.Totals.Malformed++
	n.write(c.conn, codec.Answer(m, 400, 0, nil))
}

func (n *Node) invite(c *caller, arrived time.Duration, m *sip.Message) {
	s, err := codec.ReadSetUp(m)
	if err != nil {
		n.malformed(c, m)
		return
	}
	class, known := n.classes[s.Class]
	if !known || s.At == "" && (s.Left > n.cfg.Module.Classes[class].Deadline ||
		class < len(n.cfg.Figures.Widths) && s.Circuits != n.cfg.Figures.Widths[class]) {
		n.malformed(c, m)
		return
	}
	old, dup := n.calls[s.ID]
	if s.At != "" {
		n.adopt(c, s, m, old)
		return
	}
	if dup || n.ended.at[s.ID].when > 0 || !c.Takes() || n.cfg.Figures.OpenCap > 0 && n.open >= n.cfg.Figures.OpenCap {
		status := 503
		if dup || n.ended.at[s.ID].when > 0 { // each set-up has an id of its own
			status = 482
		}
		n.Totals.Malformed++
		n.write(c.conn, codec.Answer(m, status, n.cfg.Figures.LongestWait, nil))
		return
	}
	n.Totals.Calls++
	n.lastNum++
	k := &call{number: n.lastNum, id: s.ID, text: m.Get("Call-ID"), called: s.Number, conn: c.conn, req: m,
		deadline: arrived + s.Left, setUp: s}
	if n.until > 0 {
		k.deadline = max(n.now, min(k.deadline, n.until))
	}
	n.calls[k.id], n.numbers[k.number] = k, k
	n.open++
	c.Open++
	n.heap.Set(&k.timer, k.deadline, func() { n.overdue(k) })
	n.tell(larkrouter.Call{ID: k.number, Class: class, Key: s.Key, Left: k.deadline - n.now, Destination: s.Destination,
		Circuits: s.Circuits, Via: s.Via, DialedAgain: s.Resent, Returning: s.Again})
}

// overdue ends a call whose time is up. The module gives a call up a little before that; where the node comes to it late
// the caller, which has not taken the set-up back, still gets its one final answer.
func (n *Node) overdue(k *call) {
	if k.stands || n.calls[k.id] != k {
		return
	}
	n.Totals.Overdue++
	n.note(Note{Event: "overdue", Call: k.id, Cause: fmt.Sprintf("%v after its deadline", n.now-k.deadline), Count: k.attempts})
	n.tell(larkrouter.CallGone{Call: k.number})
	n.refuse(k, 504, 0)
}

// withdraw ends a call that is owed no answer any more.
func (n *Node) withdraw(k *call) {
	n.end(k)
	n.tell(larkrouter.CallGone{Call: k.number})
	if k.out != nil {
		n.giveUp(k.out, larkrouter.Cancelled)
	}
}

// refuse gives a final answer other than that the call stands.
func (n *Node) refuse(k *call, status int, cooldown time.Duration) {
	if k == nil || k.stands || n.calls[k.id] != k {
		return
	}
	if status == 503 {
		n.Totals.Refused++
	} else {
		n.Totals.Failed++
	}
	n.write(k.conn, codec.Answer(k.req, status, min(cooldown, n.cfg.Figures.LongestWait), nil))
	n.end(k)
	if k.out != nil {
		n.giveUp(k.out, larkrouter.Cancelled)
	}
}

// answered passes a call server's answer on: the call stands.
func (n *Node) answered(k *call, description []byte) {
	n.Totals.Answered++
	n.write(k.conn, codec.Answer(k.req, 200, 0, description))
	n.open--
	if c := n.callers[k.conn]; c != nil {
		c.Open--
		c.Used = n.now
		n.prove(c)
	}
	n.heap.Stop(&k.timer)
	k.stands, k.since, k.req, k.setUp = true, n.now, nil, nil
}

// end forgets a call.
func (n *Node) end(k *call) {
	if n.calls[k.id] != k {
		return
	}
	if !k.stands {
		n.open--
		if c := n.callers[k.conn]; c != nil {
			c.Open--
			c.Used = n.now
		}
	}
	if k.server != nil {
		delete(k.server.standing, k)
	}
	n.heap.Stop(&k.timer)
	delete(n.calls, k.id)
	delete(n.numbers, k.number)
	n.ended.add(k.id, endedCall{when: n.now})
}

// farewell tells a caller that its call is over: on the connection it came on, else on one known to be a caller's.
func (n *Node) farewell(k *call, cause int) {
	n.Totals.Farewells++
	n.sayBye(release{id: k.id, bytes: codec.Release(k.text, k.called, cause)}, n.callers[k.conn])
}

// sayBye sends a release on a connection, else on the one that was last of use to a caller; with none, on the next.
func (n *Node) sayBye(r release, to *caller) {
	if to == nil {
		for _, c := range n.callers {
			if c.Proven && (to == nil || c.Used > to.Used || c.Used == to.Used && c.conn > to.conn) {
				to = c
			}
		}
	}
	if to == nil {
		if r.since = n.now; len(n.owed) < endedMost {
			n.owed = append(n.owed, r)
		}
		return
	}
	r.since = n.now
	if len(to.byes) > 0 && n.now-to.byes[0].since >= byeUnread || len(to.byes) >= byesMost {
		to.byes = slices.Clone(to.byes[1:])
	}
	to.byes = append(to.byes, r)
	n.write(to.conn, r.bytes)
}

// prove marks a connection as a caller's, and sends what callers are owed.
func (n *Node) prove(c *caller) {
	c.Proven = true
	owed := n.owed
	n.owed = nil
	for _, r := range owed {
		n.sayBye(r, c)
	}
}

// adopt takes a call that stands at a call server already, as the caller says. It wants no answer.
func (n *Node) adopt(c *caller, s *codec.SetUp, m *sip.Message, old *call) {
	if old != nil {
		if old.stands {
			old.conn = c.conn
		}
		return
	}
	n.lastNum++
	k := &call{number: n.lastNum, id: s.ID, text: m.Get("Call-ID"), called: s.Number, conn: c.conn, stands: true,
		since: n.now}
	srv := n.servers[s.At]
	if over, ok := n.ended.at[s.ID]; ok {
		n.farewell(k, int(cmp.Or(over.cause, 41)))
		return
	}
	if srv == nil {
		n.Totals.Unknown++
		n.farewell(k, 41)
		return
	}
	n.Totals.Adopted++
	n.prove(c)
	k.server = srv
	n.calls[k.id], n.numbers[k.number] = k, k
	srv.standing[k] = struct{}{}
}

// hangUp ends a standing call from the caller's side.
func (n *Node) hangUp(k *call, cause byte) {
	n.releaseAt(k, cause)
	n.end(k)
	n.tell(larkrouter.AttemptOver{Call: k.number, Attempt: k.ordinal, Outcome: larkrouter.Cancelled, Elapsed: n.now - k.since,
		Server: k.server.num, Ended: true})
}

func (n *Node) tendCallers() {
	if len(n.owed) > 0 && n.now-n.owed[0].since > owedFor { // nobody has come to whom it could be said
		n.owed = slices.Clone(n.owed[1:])
	}
	var gone []*caller
	for _, c := range n.callers {
		if c.Over(n.now) {
			gone = append(gone, c)
		}
	}
	slices.SortFunc(gone, func(a, b *caller) int { return cmp.Compare(a.conn, b.conn) })
	for _, c := range gone {
		n.closeCaller(c)
	}
}
