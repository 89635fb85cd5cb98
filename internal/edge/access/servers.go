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
	trunks           []*trunkConn  // open or being dialed
	releasesLostAt   time.Duration // when a trunk ended that may have carried releases, and none has been dialed since; 0: never
	queue            []*attempt    // attempts that wait for a trunk
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
		n.maintainGoneServer(srv)
		return
	}
	if cause, isDead := srv.reachability.IsDead(n.now, srv.info.Phase == larkrouter.Gone); isDead && len(srv.standing) > 0 {
		n.endLostCalls(srv, cause, srv.reachability.IsSilent())
	}
	n.maintainTrunks(srv)
}

// maintainGoneServer closes the trunks to a server that is gone and has no standing calls, and forgets it after a while.
func (n *Node) maintainGoneServer(srv *server) {
	if len(srv.trunks) > 0 && n.now-srv.withdrawnAt > time.Second {
		n.closeTrunks(srv, "the server is gone")
	}
	if n.now-srv.withdrawnAt <= goneRetention {
		return
	}
	for _, call := range srv.awaitingRelease.inOrder() {
		n.dropServerRelease(call)
	}
	delete(n.servers, srv.id)
	delete(n.serversByNumber, srv.number)
	n.serverOrder = slices.DeleteFunc(n.serverOrder, func(other *server) bool { return other == srv })
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
			report.SilentFor = max(report.SilentFor, n.silence(t))
			report.IncompleteBytes += t.liveness.IncompleteBytes()
		}
		reports = append(reports, report)
	}
	return reports
}

// CallerConns returns the number of open connections from callers.
func (n *Node) CallerConns() int { return len(n.callerConns) }
