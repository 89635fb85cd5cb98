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
	"larkrouter/internal/serverstate"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// DecisionModule is the decision module as the node uses it. In production it is a larkrouter.Controller.
type DecisionModule interface {
	Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action
}

// Node is one access node. It must be used by one goroutine at a time.
type Node struct {
	cfg          *Config // a call keeps the configuration that it was accepted with
	module       DecisionModule
	ident        sip.Ident
	timers       timers.Heap
	transactions *transaction.Layer
	list         *pool.List
	numberRouter *pool.NumberRouter
	now          time.Duration
	stall        time.Duration // how long the node was stalled before this turn

	calls           map[uint64]*callContext
	legs            map[string]*dialogLeg   // by local tag
	callsByMergeKey map[string]*callContext // by the caller's Call-ID, From tag and CSeq
	nextID          uint64
	newCalls        []*callContext // accepted in this turn, not yet reported to the module
	moduleTimers    map[uint64]*timers.Timer
	sub             subscription
	draining        bool
	effects         []actor.Effect
	Stats           Stats
	malformedLog    logLimiter
	views           []larkrouter.ServerView
	observed        map[uint32]*observedState
	listState       ListState
	fleet           *membership.SizeEstimator
	fleetTimer      timers.Timer
	previousState   *serverstate.State // nil once passed to the module
	startedAt       time.Duration
	releaseState
	pendingEvents   []larkrouter.Event // raised while the module's actions are carried out
	isHandlingEvent bool
}

// New returns a node that uses a larkrouter.Controller.
func New(cfg Config) (*Node, error) {
	return NewWithModuleFactory(cfg, func(s larkrouter.Settings, seed uint64) (DecisionModule, error) { return larkrouter.New(s, seed) })
}

// NewWithModuleFactory returns a node whose module is created by a function, from the settings with their defaults filled in.
func NewWithModuleFactory(cfg Config, module func(larkrouter.Settings, uint64) (DecisionModule, error)) (*Node, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	m, err := module(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return NewWithModule(cfg, m)
}

// NewWithModule returns a node that uses the given module.
func NewWithModule(cfg Config, module DecisionModule) (*Node, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	node := &Node{cfg: &cfg, fleet: membership.NewSizeEstimator(cfg.Settings.FleetSize, cfg.MinFleetSize, cfg.MaxFleetSize),
		previousState: cfg.PersistedState, module: module,
		ident: sip.Ident{Addrs: cfg.Addresses, Rand: rand.New(rand.NewPCG(cfg.Seed, 0x736970^cfg.ProcessNonce))},
		list:  pool.NewList(), numberRouter: pool.NewNumberRouter(cfg.Routes), calls: map[uint64]*callContext{},
		legs: map[string]*dialogLeg{}, callsByMergeKey: map[string]*callContext{},
		moduleTimers: map[uint64]*timers.Timer{}, observed: map[uint32]*observedState{}}
	node.transactions = transaction.New(cfg.TransactionTimes, &node.timers, (*transactionUser)(node), (*transactionSender)(node))
	node.Stats.Classes = make([]ClassStats, len(cfg.Classes))
	node.malformedLog = logLimiter{interval: 5 * time.Second}
	node.sub.node = node
	return node, nil
}

// Start begins operation at the given time: the node takes the configured servers, or lets the module subscribe to
// the list.
func (n *Node) Start(now time.Duration) {
	n.setNow(now)
	n.startedAt = n.now
	if len(n.cfg.Servers) > 0 {
		n.ApplyList(now, pool.Document{Version: 1, State: "full", Servers: n.cfg.Servers})
	} else if len(n.cfg.PersistedServers) > 0 {
		n.applyCachedList()
	} else {
		n.notifyModule(larkrouter.ServerList{Kind: larkrouter.ListCached})
	}
	n.releaseStoredDialogs()
}

// setNow sets the time of the turn. Time never goes back.
func (n *Node) setNow(now time.Duration) {
	if now > n.now { // a new turn: an overdue timer shows how long the node was stalled
		n.stall = 0
		if at, ok := n.timers.Next(); ok {
			n.stall = max(0, now-at)
		}
	}
	n.now = max(now, n.now)
	n.transactions.SetNow(n.now)
}

// Receive takes a message, or the error of one that could not be parsed.
func (n *Node) Receive(now time.Duration, packet sip.Packet) {
	n.setNow(now)
	if packet.Err != nil {
		n.onMalformed(packet)
		return
	}
	if packet.Msg.IsRequest() {
		sip.StampReceived(packet.Msg, packet.Peer)
	}
	n.transactions.Receive(packet.Msg, packet.Peer)
}

// TransportFailed reports that a send failed or a connection was closed; err wraps sip.ErrRefused or sip.ErrLost.
func (n *Node) TransportFailed(now time.Duration, to sip.Peer, err error) {
	n.setNow(now)
	n.Stats.TransportFailures++
	n.transactions.TransportFailed(to, err)
}

// ApplyList takes a server list from a file or from the configuration.
func (n *Node) ApplyList(now time.Duration, document pool.Document) {
	n.setNow(now)
	n.list.ResetVersion()
	update, err := n.list.Apply(now, document)
	if err != nil {
		n.emitRecord(LogRecord{Level: Warn, Event: "list", Cause: err.Error()})
		n.notifyModule(larkrouter.ServerList{Kind: larkrouter.ListFailed})
		return
	}
	n.applyListUpdate(update)
}

// applyCachedList passes the persisted list of the previous process to the module.
func (n *Node) applyCachedList() {
	list := pool.NewList()
	update, err := list.Apply(n.now, pool.Document{Version: 1, State: "full", Servers: n.cfg.PersistedServers})
	if err != nil {
		n.emitRecord(LogRecord{Level: Warn, Event: "list", Cause: "the persisted server list is invalid: " + err.Error()})
		n.notifyModule(larkrouter.ServerList{Kind: larkrouter.ListCached})
		return
	}
	n.list = list
	n.list.ResetVersion()
	update.Kind = larkrouter.ListCached
	n.applyListUpdate(update)
	n.listState = ListPersisted
}

// applyListUpdate passes a change of the server list to the driver, the log and the module.
func (n *Node) applyListUpdate(update pool.Update) {
	n.listState = ListKnown
	n.effects = append(n.effects, actor.Effect{Note: &update})
	for _, server := range update.Changed {
		n.emitRecord(LogRecord{Level: Info, Event: "server", Server: server.ID, Cause: PhaseName(server.Phase), Peer: server.Peer})
	}
	if update.Fleet != nil {
		n.applyFleetUpdate(*update.Fleet)
	}
	if len(update.Changed) > 0 || update.Kind != larkrouter.ListDelta {
		n.notifyModule(update.ModuleEvent())
		n.restoreServerState()
	}
}

// PhaseName returns the name of a phase.
func PhaseName(p larkrouter.Phase) string {
	switch p {
	case larkrouter.Draining:
		return "draining"
	case larkrouter.Gone:
		return "gone"
	}
	return "ready"
}

// Advance ends a turn: it passes new calls to the module and fires the timers that are due.
func (n *Node) Advance(now time.Duration) {
	n.setNow(now)
	n.submitNewCalls()
	n.timers.Advance(n.now)
	n.submitNewCalls()
}

// NextDeadline returns the time by which Advance must be called.
func (n *Node) NextDeadline() (time.Duration, bool) { return n.timers.Next() }

// TakeEffects passes the pending effects to f, in order. They are valid until the next turn.
func (n *Node) TakeEffects(f func(actor.Effect)) {
	for i := range n.effects {
		f(n.effects[i])
	}
	clear(n.effects)
	n.effects = n.effects[:0]
}

// noteEffect returns an effect that carries a note for the driver.
func noteEffect(note any) actor.Effect { return actor.Effect{Note: note} }

// OpenCalls returns the number of calls that are not answered yet and of those that stand.
func (n *Node) OpenCalls() (waiting, standing int) {
	for _, call := range n.calls {
		if call.standing {
			standing++
		} else if !call.answered {
			waiting++
		}
	}
	return waiting, standing
}

// PersistedList returns the server list to persist over a restart. wall is the wall clock in Unix milliseconds.
func (n *Node) PersistedList(wallMs int64) pool.PersistedList { return n.list.Persisted(n.now, wallMs) }

// ListedServers returns the call servers in the list.
func (n *Node) ListedServers() []pool.Entry { return n.list.Entries() }

// TransactionCounters returns the counters of the transaction layer.
func (n *Node) TransactionCounters() transaction.Counters { return n.transactions.Counters }

// transactionUser and transactionSender implement the interfaces of the transaction layer, so that their methods are
// not part of Node's own method set.
type (
	transactionUser   Node
	transactionSender Node
)

func (s *transactionSender) Send(to sip.Peer, m *sip.Message) { (*Node)(s).send(to, m) }

// send adds a message to the effects of the turn.
func (n *Node) send(to sip.Peer, m *sip.Message) {
	n.Stats.MessagesSent++
	n.effects = append(n.effects, actor.Effect{Send: m, To: to})
}

// notifyModule passes an event to the module and carries out its actions. An event raised by one of these actions is
// queued, because the returned actions are valid only until the next call of Handle.
func (n *Node) notifyModule(event larkrouter.Event) {
	n.pendingEvents = append(n.pendingEvents, event)
	if n.isHandlingEvent {
		return
	}
	n.isHandlingEvent = true
	for i := 0; i < len(n.pendingEvents); i++ {
		actions := n.module.Handle(n.now, n.pendingEvents[i])
		for j := range actions {
			n.performAction(actions[j])
		}
	}
	clear(n.pendingEvents)
	n.pendingEvents, n.isHandlingEvent = n.pendingEvents[:0], false
}

// performAction carries out one action of the module.
func (n *Node) performAction(action larkrouter.Action) {
	switch action := action.(type) {
	case larkrouter.Attempt:
		n.startAttempt(action)
	case larkrouter.Cancel:
		if call := n.calls[action.Call]; call != nil && call.currentAttempt != nil && call.currentAttempt.index == action.Attempt {
			n.abandonAttempt(call.currentAttempt, larkrouter.Cancelled, "cancelled by the module")
		}
	case larkrouter.Refuse:
		if call := n.calls[action.Call]; call != nil {
			n.refuseCall(call, action.RetryAfter)
		}
	case larkrouter.Abandon:
		if call := n.calls[action.Call]; call != nil {
			n.abandonCall(call)
		}
	case larkrouter.Wake:
		timer := n.moduleTimers[action.Cookie]
		if timer == nil {
			timer = &timers.Timer{}
			n.moduleTimers[action.Cookie] = timer
		}
		n.timers.Set(timer, n.now+action.After, func() {
			n.notifyModule(larkrouter.Timer{Cookie: action.Cookie})
			n.observeServers()
		})
	case larkrouter.Subscribe:
		n.sub.setActive(action.On)
	case larkrouter.FetchList:
		n.sub.fetchFullList()
	case larkrouter.Log:
		n.emitRecord(LogRecord{Level: Info, Event: "module", Cause: action.Text})
	default: // Probe, SendToPeer: the node's settings enable neither
		n.emitRecord(LogRecord{Level: Warn, Event: "module", Cause: fmt.Sprintf("unsupported action %T", action)})
	}
}

// formatRetryAfter rounds a duration up to whole seconds, the resolution of Retry-After (section 20.33).
func formatRetryAfter(d time.Duration) string {
	return strconv.Itoa(int(max(1, (d+time.Second-1)/time.Second)))
}
