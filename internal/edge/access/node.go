// Package access is the core of the access node on the platform: calls, attempts, standing calls and call
// servers. It receives what arrives on the sockets and the current time, passes events to the decision module,
// and returns the effects to carry out. It has no I/O, no clock and no goroutines; a single event loop owns a
// Node. Where, when and whether a call is set up is decided by the module alone.
//
// A trunk is a TCP connection to a call server. A caller connection is a TCP connection from the platform's
// callers.
//
// Three identifiers of a call must not be confused: the caller's id, which is passed to the servers unchanged;
// the number by which the module knows the call; and the attempt (call, ordinal, connection).
package access

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/admission"
	"larkrouter/internal/edge/reachability"
	"larkrouter/internal/edge/settings"
	"larkrouter/internal/timers"
)

// ConnID identifies a connection. NewConn numbers the connections from callers; the node itself numbers the
// trunks that it dials. An id is never reused.
type ConnID uint64

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Kinds of Effect.
const (
	EffectWrite EffectKind = iota // write Bytes to Conn
	EffectClose                   // close Conn after everything written has been sent
	EffectDial                    // open a connection to Addr and identify it as Conn
	EffectLog                     // write Entry to the log
)

// Effect is an action for the event loop to carry out.
type Effect struct {
	Kind  EffectKind
	Conn  ConnID
	Bytes []byte
	Addr  netip.AddrPort
	Entry LogEntry
}

// LogEntry is a record for the log.
type LogEntry struct {
	Event  string
	Server string
	Call   uint64
	Cause  string
	Count  int
}

// Config is the configuration of a Node.
type Config struct {
	Module             larkrouter.Settings
	Edge               settings.EdgeSettings
	Seed               uint64
	ClockZeroUnixMilli int64 // Unix time at the node's clock zero, in milliseconds
	MaxCallerConns     int   // limit on connections from callers
	MaxTrunksPerServer int   // limit on trunks to one call server, which sends its state on at most four of them
	MaxTrunks          int   // limit on all trunks, not counting the first to each server and probes; 0: no limit
	MaxAdoptedCalls    int   // limit on standing calls known only from their callers; 0: default
	MaxPartialBytes    int   // limit on the bytes of incomplete messages from callers; 0: default
	MaxOpenBytes       int   // limit on the bytes of set-ups that await an answer; 0: default
	Reachability       reachability.Settings

	// HasPeerClosed reports whether the peer of a connection has closed it although the node has not been told yet. It is
	// called for a caller's connection right before a set-up is written, and for a trunk when its process has been replaced.
	// Nil means never.
	HasPeerClosed func(ConnID) bool

	// HasUnreadInput reports whether bytes have arrived on a connection that have not been passed to the node. It is
	// called before a caller's connection is evicted, and before a trunk is closed as spare or as one that has stopped. Nil
	// means never.
	HasUnreadInput func(ConnID) bool
}

// Node is the state of an access node.
type Node struct {
	cfg              Config
	module           *larkrouter.Controller
	classIndex       map[string]int
	now              time.Duration
	effects          []Effect
	events           []larkrouter.Event // not yet handled by the module
	isHandling       bool               // notifyModule is running
	timerHeap        timers.Heap
	lastCallNumber   uint64
	callsByID        map[uint64]*callState // by the caller's id; open and standing calls
	callsByNumber    map[uint64]*callState // by the module's number; open and standing calls
	openCallCount    int
	openBytes        int // of the messages of open calls
	partialBytes     int // of incomplete messages from callers
	adopted          *adoptedCalls
	endedIDs         endedIDs        // of calls that ended at this node
	unknownReleases  unknownReleases // of calls that the node did not know
	callerConns      map[ConnID]*callerConn
	pendingReleases  releaseQueue // releases for callers, while no suitable caller connection is open
	servers          map[string]*server
	serversByNumber  map[uint32]*server
	serverOrder      []*server
	lastServerNumber uint32
	trunks           map[ConnID]*trunkConn
	lastConn         ConnID
	maintenanceTimer timers.Timer
	stopDeadline     time.Duration // when the stopping node answers all calls that are still open; 0: not stopping
	Totals           Totals
}

// maintenanceInterval is how often the work that no message triggers is done.
const maintenanceInterval = 100 * time.Millisecond

// New returns a Node at the given time.
func New(cfg Config, now time.Duration) (*Node, error) {
	module, err := larkrouter.New(cfg.Module, cfg.Seed)
	if err != nil {
		return nil, err
	}
	cfg.MaxTrunksPerServer, cfg.MaxCallerConns, cfg.MaxTrunks = max(cfg.MaxTrunksPerServer, 1),
		max(cfg.MaxCallerConns, 1), cmp.Or(max(cfg.MaxTrunks, 0), math.MaxInt)
	cfg.MaxPartialBytes = cmp.Or(cfg.MaxPartialBytes, admission.MaxPartialBytes(0))
	cfg.MaxOpenBytes = cmp.Or(cfg.MaxOpenBytes, admission.MaxOpenBytes(0))
	cfg.Reachability.ConnectTimeout = cfg.Edge.ConnectTimeout
	n := &Node{cfg: cfg, module: module, classIndex: map[string]int{}, callsByID: map[uint64]*callState{},
		callsByNumber: map[uint64]*callState{}, callerConns: map[ConnID]*callerConn{}, servers: map[string]*server{},
		serversByNumber: map[uint32]*server{}, trunks: map[ConnID]*trunkConn{}, now: now,
		adopted: newAdoptedCalls(cfg.MaxAdoptedCalls), endedIDs: newEndedIDs(), unknownReleases: newUnknownReleases(),
		pendingReleases: newReleaseQueue()}
	for i, class := range cfg.Module.Classes {
		n.classIndex[class.Name] = i
	}
	n.maintain()
	return n, nil
}

// NewConn returns the id for a new connection from a caller.
func (n *Node) NewConn() ConnID {
	n.lastConn++
	return n.lastConn
}

// NextTimer returns when Advance is next due.
func (n *Node) NextTimer() (time.Duration, bool) { return n.timerHeap.Next() }

// Advance moves the clock forward and runs the timers that are due.
func (n *Node) Advance(now time.Duration) {
	n.advanceClock(now)
	n.timerHeap.Advance(n.now)
}

func (n *Node) advanceClock(now time.Duration) { n.now = max(n.now, now) }

// TakeEffects passes the pending effects to execute, in order, and removes them.
func (n *Node) TakeEffects(execute func(Effect)) {
	for i := 0; i < len(n.effects); i++ {
		execute(n.effects[i])
		n.effects[i] = Effect{}
	}
	n.effects = n.effects[:0]
	if cap(n.effects) > 4096 {
		n.effects = nil
	}
}

func (n *Node) write(conn ConnID, data []byte) {
	n.effects = append(n.effects, Effect{Kind: EffectWrite, Conn: conn, Bytes: data})
}

func (n *Node) log(entry LogEntry) {
	n.effects = append(n.effects, Effect{Kind: EffectLog, Entry: entry})
}

// notifyModule passes an event to the module and executes the resulting actions. Events that these actions
// produce are queued and handled afterwards, in order.
func (n *Node) notifyModule(event larkrouter.Event) {
	n.events = append(n.events, event)
	if n.isHandling {
		return
	}
	n.isHandling = true
	for len(n.events) > 0 {
		event := n.events[0]
		n.events = n.events[1:]
		// The actions are valid until the next call of Handle, which follows only after this loop.
		for _, action := range n.module.Handle(n.now, event) {
			n.execute(action)
		}
	}
	n.events, n.isHandling = nil, false
}

// execute carries out an action of the module.
func (n *Node) execute(action larkrouter.Action) {
	switch action := action.(type) {
	case larkrouter.Attempt:
		n.startAttempt(action)
	case larkrouter.Cancel:
		if call := n.callsByNumber[action.Call]; call != nil && call.current != nil && call.current.ordinal == action.Attempt {
			n.abandonAttempt(call.current, larkrouter.Cancelled)
		}
	case larkrouter.Refuse:
		n.refuseCall(n.callsByNumber[action.Call], 503, action.RetryAfter)
	case larkrouter.Abandon:
		n.refuseCall(n.callsByNumber[action.Call], 500, 0)
	case larkrouter.Wake:
		n.timerHeap.Set(&timers.Timer{}, n.now+action.After, func() { n.notifyModule(larkrouter.Timer{Cookie: action.Cookie}) })
	case larkrouter.Log:
		n.log(LogEntry{Event: "module", Cause: action.Text})
	}
}

// maintain does the periodic work that no message triggers.
func (n *Node) maintain() {
	n.maintainCallers()
	for _, srv := range slices.Clone(n.serverOrder) {
		n.maintainServer(srv)
	}
	n.endedIDs.removeExpired(n.now)
	n.unknownReleases.removeExpired(n.now)
	n.timerHeap.Set(&n.maintenanceTimer, n.now+maintenanceInterval, n.maintain)
}

// Stop notifies the node that it is stopping. It still accepts calls, but no call's deadline exceeds the given
// one, and calls still open at that time get their final answer.
func (n *Node) Stop(now, deadline time.Duration) {
	n.advanceClock(now)
	n.stopDeadline = deadline
	var timer timers.Timer
	n.timerHeap.Set(&timer, deadline, func() {
		open := n.callsAwaitingAnswer()
		n.log(LogEntry{Event: "answers due as the node stops", Count: len(open)})
		for _, call := range open {
			n.demandAnswer(call)
		}
	})
}

// OpenCalls returns the number of calls that await an answer.
func (n *Node) OpenCalls() int { return n.openCallCount }

// AdoptedCalls returns the number of calls that are known only from their callers: those that stand, and those whose release for
// their call server waits for a trunk.
func (n *Node) AdoptedCalls() int { return n.adopted.count }

// callsAwaitingAnswer returns the open calls in order of arrival.
func (n *Node) callsAwaitingAnswer() []*callState {
	var open []*callState
	for _, call := range n.callsByNumber {
		if !call.isStanding {
			open = append(open, call)
		}
	}
	slices.SortFunc(open, func(a, b *callState) int { return cmp.Compare(a.number, b.number) })
	return open
}
