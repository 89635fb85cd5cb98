package access

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/reachability"
	"larkrouter/internal/edge/trunk"
)

// server is a call server, identified by its text id. Its number is unique in one run of the node.
type server struct {
	id               string
	number           uint32
	addr             netip.AddrPort
	info             larkrouter.ServerInfo // as the module knows it; Started is no later than it was first listed
	listedPhase      larkrouter.Phase      // as listed; a replaced server is gone before the list says so
	withdrawnAt      time.Duration         // when it was last reported as draining or gone
	startedUnixMilli int64                 // latest start that the list has reported; 0: none
	reachability     *reachability.State
	demand           reachability.Demand
	trunks           []*trunkConn // open or being dialed
	queue            []*attempt   // attempts that wait for a trunk
	standing         callSet
	awaitingRelease  callSet // ended calls whose release waits for an open trunk
	counts           AttemptCounts
}

// goneRetention is how long a server that is gone is remembered.
const goneRetention = 60 * time.Second

// callSet is a set of calls.
type callSet map[*callState]struct{}

// inOrder returns the calls in order of arrival.
func (s callSet) inOrder() []*callState {
	calls := make([]*callState, 0, len(s))
	for call := range s {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b *callState) int { return cmp.Compare(a.number, b.number) })
	return calls
}

// keepRelease keeps the release of a call that is about to be removed until a trunk to its server opens. Calls that the server has
// answered are as many as it could hold. An adopted one still counts towards the limit on adopted calls, because it may not exist.
func (s *server) keepRelease(call *callState) { s.awaitingRelease[call] = struct{}{} }

// dropServerRelease drops the release of a call that waits for a trunk.
func (n *Node) dropServerRelease(call *callState) {
	delete(call.server.awaitingRelease, call)
	n.adopted.remove(call)
}

// isAwaitingRelease reports whether the release of the call waits for a trunk to its server.
func (call *callState) isAwaitingRelease() bool {
	if call.server == nil {
		return false
	}
	_, isAwaiting := call.server.awaitingRelease[call]
	return isAwaiting
}

// maintainServer opens and closes trunks to a server as needed and ends its calls once the server is known to
// be dead.
func (n *Node) maintainServer(srv *server) {
	if srv.info.Phase == larkrouter.Gone && len(srv.standing)+len(srv.awaitingRelease) > 0 {
		if successor := n.serverAtAddressOf(srv); successor != nil {
			n.endCallsOfReplaced(srv, successor)
			return
		}
	}
	if srv.info.Phase == larkrouter.Gone && len(srv.standing) == 0 {
		if len(srv.trunks) > 0 && n.now-srv.withdrawnAt > time.Second {
			n.closeTrunks(srv, "the server is gone")
		}
		if n.now-srv.withdrawnAt > goneRetention {
			for _, call := range srv.awaitingRelease.inOrder() {
				n.dropServerRelease(call)
			}
			delete(n.servers, srv.id)
			delete(n.serversByNumber, srv.number)
			n.serverOrder = slices.DeleteFunc(n.serverOrder, func(other *server) bool { return other == srv })
		}
		return
	}
	if cause, isDead := srv.reachability.IsDead(n.now, srv.info.Phase == larkrouter.Gone); isDead && len(srv.standing) > 0 {
		n.endLostCalls(srv, cause, srv.reachability.IsSilent())
	}
	if srv.reachability.IsUnresponsive(n.now) && slices.ContainsFunc(srv.trunks, func(t *trunkConn) bool { return t.isOpen }) {
		srv.reachability.ConnsAbandoned()
		n.closeTrunks(srv, "silent, and new connections fail")
	}
	srv.demand.Observe(n.now, srv.pendingSetUps())
	wanted := srv.demand.Connections(n.cfg.MaxTrunksPerServer)
	if srv.info.Phase == larkrouter.Gone {
		wanted = 1
	}
	// Leave descriptors for callers and the command channel.
	wanted = max(1, min(wanted, len(srv.trunks)+max(0, n.cfg.MaxTrunks-len(n.trunks))))
	n.closeSpareTrunks(srv, wanted)
	// No open trunk can take the waiting set-ups, or a probe is due: dial one more unless a dial is in progress.
	if (len(srv.queue) > 0 || srv.reachability.NeedsProbe(n.now)) &&
		!slices.ContainsFunc(srv.trunks, func(t *trunkConn) bool { return !t.isOpen }) {
		wanted = len(srv.trunks) + 1
	}
	if n.now < srv.reachability.NextDial() {
		return
	}
	for len(srv.trunks) < wanted {
		n.lastConn++
		t := &trunkConn{id: n.lastConn, server: srv, pending: map[uint64]*attempt{}, abandoned: map[uint64]struct{}{}}
		srv.trunks = append(srv.trunks, t)
		n.trunks[t.id] = t
		n.effects = append(n.effects, Effect{Kind: EffectDial, Conn: t.id, Addr: srv.addr})
	}
}

// pendingSetUps returns the number of set-ups that await an answer or wait for a trunk.
func (s *server) pendingSetUps() int {
	count := len(s.queue)
	for _, t := range s.trunks {
		count += len(t.pending)
	}
	return count
}

// closeSpareTrunks closes trunks that the server may be about to close as idle, and one trunk beyond the wanted
// number, newest first, because servers send the messages of a call on the trunk that carried its set-up. A
// trunk with a pending set-up stays open, and so does one used within the last second, as more messages may be
// on their way.
func (n *Node) closeSpareTrunks(srv *server, wanted int) {
	for _, t := range slices.Clone(srv.trunks) {
		if t.isOpen && len(t.pending) == 0 && n.isStale(t) {
			n.closeTrunk(t)
		}
	}
	if len(srv.trunks) <= wanted || len(srv.queue) > 0 {
		return
	}
	for _, t := range slices.Backward(srv.trunks) {
		if t.isOpen && len(t.pending) == 0 {
			if reachability.CanCloseSpare(n.now - t.lastUsed) {
				n.closeTrunk(t)
			}
			return
		}
	}
}

func (n *Node) isStale(t *trunkConn) bool {
	return reachability.IsStale(n.now-t.lastUsed, n.cfg.Edge.ConnIdleTimeout)
}

// endLostCalls ends the calls that stood at a server whose process has died or whose machine has vanished. If
// only the network path may be interrupted, the calls still stand there, and keepReleases keeps their releases
// until a trunk opens.
func (n *Node) endLostCalls(srv *server, cause string, keepReleases bool) {
	n.log(LogEntry{Event: "calls cut", Server: srv.id, Cause: cause, Count: len(srv.standing)})
	for _, call := range srv.standing.inOrder() {
		if keepReleases {
			srv.keepRelease(call)
		}
		n.endLostCall(call)
	}
}

// endLostCall ends a standing call that its server ended without a release.
func (n *Node) endLostCall(call *callState) {
	n.Totals.CallsLost++
	n.removeCall(call)
	n.releaseAtCaller(call, trunk.CauseReset)
	n.notifyModule(larkrouter.AttemptResult{Call: call.number, Attempt: call.standingAttempt, Outcome: larkrouter.Reset,
		Elapsed: n.now - call.standingSince, Server: call.server.number, CallEnded: true})
}

// ServerReport is the node's state of a server, together with the module's view of it.
type ServerReport struct {
	Server          string
	Phase           string
	Trunks          int
	PendingSetUps   int
	WaitingForTrunk int // set-ups that wait for a trunk
	StandingCalls   int
	SilentFor       time.Duration // longest silence of a trunk on which something is due
	IncompleteBytes int           // of messages that the server has begun to send
	Counts          AttemptCounts
	View            larkrouter.ServerView
}

// ServerReports returns the reports of all servers in order of their first listing.
func (n *Node) ServerReports() []ServerReport {
	views := map[uint32]larkrouter.ServerView{}
	for _, view := range n.module.View(nil) {
		views[view.ID] = view
	}
	var reports []ServerReport
	for _, srv := range n.serverOrder {
		report := ServerReport{Server: srv.id, Phase: phaseTexts[srv.info.Phase], WaitingForTrunk: len(srv.queue),
			StandingCalls: len(srv.standing), Counts: srv.counts, View: views[srv.number]}
		for _, t := range srv.trunks {
			if t.isOpen {
				report.Trunks++
			}
			report.PendingSetUps += len(t.pending)
			report.SilentFor = max(report.SilentFor, t.liveness.SilentFor(n.now))
			report.IncompleteBytes += t.liveness.IncompleteBytes()
		}
		reports = append(reports, report)
	}
	return reports
}

// CallerConns returns the number of open connections from callers.
func (n *Node) CallerConns() int { return len(n.callerConns) }
