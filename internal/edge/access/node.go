// Package access is the access node on the platform: calls, attempts, standing calls and call servers. It is told what comes on
// the sockets and what time it is, feeds the module, and gives out what is to be done. It has no I/O, no clock and no
// goroutines; one loop owns a Node. Where, when and whether at all a call is set up is decided by the module alone.
//
// Three names of a call never stand for one another: the caller's id, which servers get unchanged; the number that the
// module knows it by; and the attempt (call, ordinal, connection).
package access

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/reach"
	"larkrouter/internal/edge/settings"
	"larkrouter/internal/timers"
)

// Conn names a connection. The shell numbers those from callers, the node those that it asks for; none comes again.
type Conn uint64

// Kind says what an Effect is.
type Kind uint8

// The kinds of Effect.
const (
	Write  Kind = iota // Bytes to Conn
	Close              // Conn, once what was written has gone
	Dial               // a connection to Addr, to be known as Conn
	Logged             // Note
)

// Effect is something to be carried out.
type Effect struct {
	Kind  Kind
	Conn  Conn
	Bytes []byte
	Addr  netip.AddrPort
	Note  Note
}

// Note is a line for the log.
type Note struct {
	Event  string
	Server string
	Call   uint64
	Cause  string
	Count  int
}

// Config is what a node is started with.
type Config struct {
	Module  larkrouter.Settings
	Figures settings.Figures
	Seed    uint64
	Wall    int64 // Unix milliseconds at the clock's zero
	Callers int   // connections from callers at the most
	Lines   int   // connections to each call server; at most four get its state
	Trunks  int   // connections to call servers in all, but for one to each and checks; 0: no bound
	Reach   reach.Settings

	// Gone says whether a caller has ended its connection, though that was not told yet: it is asked right before a set-up
	// is written. Nil: never.
	Gone func(Conn) bool
}

// Node is an access node.
type Node struct {
	cfg     Config
	module  *larkrouter.Controller
	classes map[string]int
	now     time.Duration
	effects []Effect
	events  []larkrouter.Event // for the module
	busy    bool
	heap    timers.Heap
	lastNum uint64
	calls   map[uint64]*call // by the caller's id: open and standing
	numbers map[uint64]*call // by the module's number
	open    int
	ended   endedCalls
	callers map[Conn]*caller
	owed    []release // to callers, while there is no connection to say so on
	servers map[string]*server
	byNum   map[uint32]*server
	order   []*server
	lastSrv uint32
	lines   map[Conn]*line
	lastCon Conn
	tendAt  timers.Timer
	until   time.Duration // of a node that is stopping; 0: none
	Totals  Totals
}

// Totals count since the start.
type Totals struct {
	Calls, Malformed, Answered, Refused, Failed, Withdrawn, Overdue uint64
	Adopted, Unknown, Late, Cut, Farewells, Dropped                 uint64
	CallersClosed, CallersFull                                      uint64
}

// tendEvery is how often what no message brings about is looked at.
const tendEvery = 100 * time.Millisecond

// New starts a node.
func New(cfg Config, now time.Duration) (*Node, error) {
	module, err := larkrouter.New(cfg.Module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	cfg.Lines, cfg.Callers, cfg.Trunks = max(cfg.Lines, 1), max(cfg.Callers, 1), cmp.Or(max(cfg.Trunks, 0), math.MaxInt)
	cfg.Reach.Timeout = cfg.Figures.ConnectTimeout
	n := &Node{cfg: cfg, module: module, classes: map[string]int{}, calls: map[uint64]*call{}, numbers: map[uint64]*call{},
		callers: map[Conn]*caller{}, servers: map[string]*server{}, byNum: map[uint32]*server{}, lines: map[Conn]*line{},
		now: now, ended: endedCalls{at: map[uint64]endedCall{}}}
	for i, c := range cfg.Module.Classes {
		n.classes[c.Name] = i
	}
	n.tend()
	return n, nil
}

// NewConn numbers a connection from a caller.
func (n *Node) NewConn() Conn {
	n.lastCon++
	return n.lastCon
}

// Next is when Advance is wanted.
func (n *Node) Next() (time.Duration, bool) { return n.heap.Next() }

// Advance fires what is due.
func (n *Node) Advance(now time.Duration) {
	n.clock(now)
	n.heap.Advance(n.now)
}

func (n *Node) clock(now time.Duration) { n.now = max(n.now, now) }

// Take hands over what is to be done and forgets it.
func (n *Node) Take(do func(Effect)) {
	for i := 0; i < len(n.effects); i++ {
		do(n.effects[i])
		n.effects[i] = Effect{}
	}
	n.effects = n.effects[:0]
	if cap(n.effects) > 4096 {
		n.effects = nil
	}
}

func (n *Node) write(c Conn, b []byte) {
	n.effects = append(n.effects, Effect{Kind: Write, Conn: c, Bytes: b})
}

func (n *Node) note(v Note) { n.effects = append(n.effects, Effect{Kind: Logged, Note: v}) }

// tell gives the module an event and carries out what it wants. What that brings about is told after it, in order.
func (n *Node) tell(ev larkrouter.Event) {
	n.events = append(n.events, ev)
	if n.busy {
		return
	}
	n.busy = true
	for len(n.events) > 0 {
		ev := n.events[0]
		n.events = n.events[1:]
		for _, a := range n.module.Handle(n.now, ev) { // valid until the next Handle, which waits its turn
			n.act(a)
		}
	}
	n.events, n.busy = nil, false
}

func (n *Node) act(a larkrouter.Action) {
	switch a := a.(type) {
	case larkrouter.Attempt:
		n.attempt(a)
	case larkrouter.Cancel:
		if k := n.numbers[a.Call]; k != nil && k.out != nil && k.out.ordinal == a.Attempt {
			n.giveUp(k.out, larkrouter.Cancelled)
		}
	case larkrouter.Refuse:
		n.refuse(n.numbers[a.Call], 503, a.RetryAfter)
	case larkrouter.Abandon:
		n.refuse(n.numbers[a.Call], 500, 0)
	case larkrouter.Wake:
		n.heap.Set(&timers.Timer{}, n.now+a.After, func() { n.tell(larkrouter.Timer{Cookie: a.Cookie}) })
	case larkrouter.Log:
		n.note(Note{Event: "module", Cause: a.Text})
	}
}

// tend looks at what no message brings about.
func (n *Node) tend() {
	n.tendCallers()
	for _, s := range slices.Clone(n.order) {
		n.tendServer(s)
	}
	n.ended.forget(n.now)
	n.heap.Set(&n.tendAt, n.now+tendEvery, n.tend)
}

// Stop lets the node take calls for as long as they may still come, and have its last answers out by a time.
func (n *Node) Stop(now, until time.Duration) {
	n.clock(now)
	n.until = until
	var t timers.Timer
	n.heap.Set(&t, until, func() {
		for _, k := range n.openCalls() {
			n.tell(larkrouter.CallGone{Call: k.number})
			if k.out != nil {
				n.giveUp(k.out, larkrouter.Cancelled)
			}
			n.refuse(k, 503, 0)
		}
	})
}

// Open is how many calls are owed an answer.
func (n *Node) Open() int { return n.open }

// openCalls are those owed an answer, in the order in which they came.
func (n *Node) openCalls() []*call {
	var all []*call
	for _, k := range n.numbers {
		if !k.stands {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, func(a, b *call) int { return int(a.number) - int(b.number) })
	return all
}

// ended calls are remembered for a while: what concerns one may still be on its way.
type endedCalls struct {
	at   map[uint64]endedCall
	line []uint64
}

type endedCall struct {
	when  time.Duration
	cause byte // of a release that nobody here waited for; 0: the call had its end here
}

const (
	endedFor  = 10 * time.Second
	endedMost = 20000
)

func (e *endedCalls) add(id uint64, c endedCall) {
	if _, ok := e.at[id]; !ok {
		e.line = append(e.line, id)
	}
	e.at[id] = c
	if len(e.line) > endedMost {
		delete(e.at, e.line[0])
		e.line = e.line[1:]
	}
}

func (e *endedCalls) forget(now time.Duration) {
	i := 0
	for ; i < len(e.line) && now-e.at[e.line[i]].when > endedFor; i++ {
		delete(e.at, e.line[i])
	}
	if i > 0 {
		e.line = slices.Clone(e.line[i:])
	}
}
