package node

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"larkrouter"
	"larkrouter/internal/actor"
	"larkrouter/internal/membership"
	"larkrouter/internal/pool"
	"larkrouter/internal/recall"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// Decider is the module as the node uses it; larkrouter.Controller is the one that serves.
type Decider interface {
	Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action
}

// Node is one access node. One goroutine owns it.
type Node struct {
	cfg     *Config // a call keeps the one that it was accepted with
	module  Decider
	id      sip.Ident
	heap    timers.Heap
	layer   *transaction.Layer
	list    *pool.List
	numbers *pool.Numbers
	now     time.Duration
	late    time.Duration // how long the node stood still before this turn

	calls     map[uint64]*call
	legs      map[string]*leg  // by own tag
	merged    map[string]*call // by caller's Call-ID, From tag and CSeq
	nextID    uint64
	fresh     []*call // accepted in this turn, not yet handed to the module
	wakes     map[uint64]*timers.Timer
	sub       subscription
	drain     bool
	out       []actor.Effect
	Stats     Stats
	badLog    limiter
	views     []larkrouter.ServerView
	watched   map[uint32]*watched
	listState ListState
	fleet     *membership.Reckoner
	fleetStep timers.Timer
	earlier   *recall.Kept // until it has been handed on
	begun     time.Duration
	releaseState
	handing []larkrouter.Event // told while the module is being asked
	asking  bool
}

// New makes a node with the project's module.
func New(cfg Config) (*Node, error) {
	return NewFrom(cfg, func(s larkrouter.Settings, seed uint64) (Decider, error) { return larkrouter.New(s, seed) })
}

// NewFrom makes a node around a module that is made from the settings as the node fills them in.
func NewFrom(cfg Config, module func(larkrouter.Settings, uint64) (Decider, error)) (*Node, error) {
	if err := cfg.fill(); err != nil {
		return nil, err
	}
	m, err := module(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return NewWith(cfg, m)
}

// NewWith makes a node around a module given.
func NewWith(cfg Config, module Decider) (*Node, error) {
	if err := cfg.fill(); err != nil {
		return nil, err
	}
	n := &Node{cfg: &cfg, fleet: membership.NewReckoner(cfg.Settings.Instances, cfg.FleetLeast, cfg.FleetMost),
		earlier: cfg.Earlier, module: module, id: sip.Ident{Own: cfg.Addresses, Rand: rand.New(rand.NewPCG(cfg.Seed, 0x736970^cfg.Life))},
		list:    pool.NewList(),
		numbers: pool.NewNumbers(cfg.Routes), calls: map[uint64]*call{}, legs: map[string]*leg{},
		merged: map[string]*call{}, wakes: map[uint64]*timers.Timer{}, watched: map[uint32]*watched{}}
	n.layer = transaction.New(cfg.Times, &n.heap, (*user)(n), (*sender)(n))
	n.Stats.Classes = make([]ClassStats, len(cfg.Classes))
	n.badLog = limiter{every: 5 * time.Second}
	n.sub.n = n
	return n, nil
}

// Start tells the node the time for the first time: it takes the configured servers or subscribes to the list.
func (n *Node) Start(now time.Duration) {
	n.clock(now)
	n.begun = n.now
	if len(n.cfg.Servers) > 0 {
		n.List(now, pool.Document{Version: 1, State: "full", Servers: n.cfg.Servers})
	} else if len(n.cfg.Cached) > 0 {
		n.cached()
	} else {
		n.tell(larkrouter.ServerList{Kind: larkrouter.ListCached})
	}
	n.beginRelease()
}

func (n *Node) clock(now time.Duration) {
	if now > n.now { // a new turn: a timer that is overdue shows how long the node has stood still
		n.late = 0
		if at, ok := n.heap.Next(); ok {
			n.late = max(0, now-at)
		}
	}
	n.now = max(now, n.now)
	n.layer.Clock(n.now)
}

// Receive takes a message, or what could not be read of one.
func (n *Node) Receive(now time.Duration, p sip.Packet) {
	n.clock(now)
	if p.Err != nil {
		n.malformed(p)
		return
	}
	if p.Msg.IsRequest() {
		sip.Received(p.Msg, p.Peer)
	}
	n.layer.Receive(p.Msg, p.Peer)
}

// Lost takes the news that a send failed or a connection is gone; the error wraps sip.ErrRefused or sip.ErrLost.
func (n *Node) Lost(now time.Duration, to sip.Peer, err error) {
	n.clock(now)
	n.Stats.Lost++
	n.layer.Failed(to, err)
}

// List takes a list document from a file or the configuration.
func (n *Node) List(now time.Duration, d pool.Document) {
	n.clock(now)
	n.list.Resync()
	news, err := n.list.Apply(now, d)
	if err != nil {
		n.log(Record{Level: Warn, Event: "list", Cause: err.Error()})
		n.tell(larkrouter.ServerList{Kind: larkrouter.ListFailed})
		return
	}
	n.listNews(news)
}

func (n *Node) listNews(news pool.News) {
	n.listState = ListHeld
	n.out = append(n.out, actor.Effect{Note: &news})
	for _, k := range news.Changed {
		n.log(Record{Level: Info, Event: "server", Server: k.ID, Cause: PhaseName(k.Phase), Peer: k.Peer})
	}
	if news.Fleet != nil {
		n.fleetNews(*news.Fleet)
	}
	if len(news.Changed) > 0 || news.Kind != larkrouter.ListDelta {
		n.tell(news.Module())
		n.remember()
	}
}

// PhaseName is a phase in words.
func PhaseName(p larkrouter.Phase) string {
	switch p {
	case larkrouter.Draining:
		return "draining"
	case larkrouter.Gone:
		return "gone"
	}
	return "ready"
}

// Advance ends a turn: calls accepted in it go to the module, timers due fire.
func (n *Node) Advance(now time.Duration) {
	n.clock(now)
	n.handOver()
	n.heap.Advance(n.now)
	n.handOver()
}

// Next is when the node wants Advance to be called at the latest.
func (n *Node) Next() (time.Duration, bool) { return n.heap.Next() }

// Take hands out what is to be done, in order. The effects hold until the next turn.
func (n *Node) Take(f func(actor.Effect)) {
	for i := range n.out {
		f(n.out[i])
	}
	clear(n.out)
	n.out = n.out[:0]
}

func effectNote(note any) actor.Effect { return actor.Effect{Note: note} }

// Open counts calls that are not answered yet and those that stand.
func (n *Node) Open() (waiting, standing int) {
	for _, k := range n.calls {
		if k.standing {
			standing++
		} else if !k.answered {
			waiting++
		}
	}
	return waiting, standing
}

// Kept is the list as it is kept over a restart; wall is the wall's clock, Unix milliseconds.
func (n *Node) Kept(wall int64) pool.Kept { return n.list.Keep(n.now, wall) }

// Servers are the call servers as the list has them.
func (n *Node) Servers() []pool.Known { return n.list.All() }

// Transactions are the counters of the transaction layer.
func (n *Node) Transactions() transaction.Counters { return n.layer.Count }

// user and sender are the node as the transaction layer sees it; the names stay out of the node's own interface.
type (
	user   Node
	sender Node
)

func (s *sender) Send(to sip.Peer, m *sip.Message) { (*Node)(s).send(to, m) }

func (n *Node) send(to sip.Peer, m *sip.Message) {
	n.Stats.Sent++
	n.out = append(n.out, actor.Effect{Send: m, To: to})
}

// tell gives the module an event and carries out its answer. An event that comes up while it is being carried out
// waits its turn: the module's answer holds until it is asked again.
func (n *Node) tell(ev larkrouter.Event) {
	n.handing = append(n.handing, ev)
	if n.asking {
		return
	}
	n.asking = true
	for i := 0; i < len(n.handing); i++ {
		acts := n.module.Handle(n.now, n.handing[i])
		for j := range acts {
			n.act(acts[j])
		}
	}
	clear(n.handing)
	n.handing, n.asking = n.handing[:0], false
}

func (n *Node) act(a larkrouter.Action) {
	switch a := a.(type) {
	case larkrouter.Attempt:
		n.attempt(a)
	case larkrouter.Cancel:
		if k := n.calls[a.Call]; k != nil && k.try != nil && k.try.n == a.Attempt {
			n.giveUp(k.try, larkrouter.Cancelled, "called off by the module")
		}
	case larkrouter.Refuse:
		if k := n.calls[a.Call]; k != nil {
			n.refuse(k, a.RetryAfter)
		}
	case larkrouter.Abandon:
		if k := n.calls[a.Call]; k != nil {
			n.fail(k)
		}
	case larkrouter.Wake:
		t := n.wakes[a.Cookie]
		if t == nil {
			t = &timers.Timer{}
			n.wakes[a.Cookie] = t
		}
		n.heap.Set(t, n.now+a.After, func() {
			n.tell(larkrouter.Timer{Cookie: a.Cookie})
			n.watch()
		})
	case larkrouter.Subscribe:
		n.sub.want(a.On)
	case larkrouter.FetchList:
		n.sub.fetch()
	case larkrouter.Log:
		n.log(Record{Level: Info, Event: "module", Cause: a.Text})
	default: // Probe, Tell: the settings allow neither here
		n.log(Record{Level: Warn, Event: "module", Cause: fmt.Sprintf("asks for %T, which this node does not do", a)})
	}
}

// retryAfter writes a wait in whole seconds, which is all that the field can say (section 20.33).
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(max(1, (d+time.Second-1)/time.Second)))
}
