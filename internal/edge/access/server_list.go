package access

import (
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/reachability"
)

// UpdateServers applies an update of the server list. isCached marks a list that was known before the node
// started and may be outdated.
func (n *Node) UpdateServers(now time.Duration, list *feed.List, isCached bool) {
	n.advanceClock(now)
	update := larkrouter.ServerList{Kind: listKind(list, isCached), Version: list.Revision}
	var restarted []*server
	listed := map[*server]bool{}
	for i := range list.Members {
		srv, hasStarted := n.applyMember(&list.Members[i])
		if listed[srv] = true; hasStarted {
			restarted = append(restarted, srv)
		}
	}
	for _, srv := range n.serverOrder {
		if list.Complete && !listed[srv] {
			srv.info.Phase = larkrouter.Gone
		}
	}
	for _, srv := range n.serverOrder {
		if n.checkReplaced(srv) || listed[srv] {
			update.Servers = append(update.Servers, srv.currentInfo())
		}
		n.setPhase(srv, srv.currentInfo().Phase)
	}
	for _, srv := range restarted {
		n.endCallsBeforeStart(srv)
	}
	n.notifyModule(update)
	for _, srv := range slices.Clone(n.serverOrder) {
		if srv.phase != larkrouter.Ready {
			n.dropWaitingSetUps(srv)
		}
		n.maintainServer(srv)
	}
}

// dropWaitingSetUps reports the set-ups that wait for a trunk to a server as not sent.
func (n *Node) dropWaitingSetUps(srv *server) {
	for _, att := range slices.Clone(srv.queue) {
		n.endAttempt(att, larkrouter.AttemptResult{Outcome: larkrouter.NotSent})
	}
}

func listKind(list *feed.List, isCached bool) larkrouter.ListKind {
	switch {
	case isCached:
		return larkrouter.ListCached
	case list.Complete:
		return larkrouter.ListFull
	}
	return larkrouter.ListDelta
}

// applyMember applies one entry of the server list. It reports whether the entry has a new start.
func (n *Node) applyMember(member *feed.Server) (srv *server, hasStarted bool) {
	if srv = n.servers[member.ID]; srv == nil {
		n.lastServerNumber++
		srv = &server{id: member.ID, number: n.lastServerNumber, phase: larkrouter.Ready, addr: member.AddrPort,
			reachability: reachability.New(n.cfg.Reachability, n.now), standing: map[*callState]struct{}{}}
		n.servers[member.ID], n.serversByNumber[srv.number] = srv, srv
		n.serverOrder = append(n.serverOrder, srv)
	}
	started := n.startTime(srv, member.StartedUnixMilli)
	if hasStarted = member.StartedUnixMilli > srv.startedUnixMilli; hasStarted {
		srv.startedUnixMilli, srv.started, srv.isReplaced = member.StartedUnixMilli, started, false
	}
	if member.AddrPort.IsValid() && member.AddrPort != srv.addr {
		srv.addr, srv.isReplaced = member.AddrPort, false
		n.closeTrunks(srv, "the address has changed")
	}
	srv.info = larkrouter.ServerInfo{ID: srv.number, Zone: slices.Index(n.cfg.Edge.Zones, member.Zone),
		Kind: slices.Index(n.cfg.Edge.ServerKinds, member.Kind), Number: member.Cell, Phase: listedPhase(member.Phase),
		Weight: member.Size, Started: started}
	return srv, hasStarted
}

func listedPhase(phase string) larkrouter.Phase {
	switch phase {
	case feed.PhaseDraining:
		return larkrouter.Draining
	case feed.PhaseRemoved:
		return larkrouter.Gone
	}
	return larkrouter.Ready
}

// startTime returns a start that the list reports for a server, by the node's clock: 0 if it reports none, and no later
// than the time of its first report.
func (n *Node) startTime(srv *server, unixMilli int64) time.Duration {
	switch {
	case unixMilli <= 0:
		return 0
	case unixMilli == srv.startedUnixMilli:
		return srv.started
	}
	return min(n.now, max(1, time.Duration(unixMilli-n.cfg.ClockZeroUnixMilli)*time.Millisecond))
}

// currentInfo returns what the list says of the server, except that a replaced server is gone whatever the list says: the
// list reports the end of a process late.
func (s *server) currentInfo() larkrouter.ServerInfo {
	info := s.info
	if s.isReplaced {
		info.Phase = larkrouter.Gone
	}
	return info
}

// setPhase applies the phase that the list reports for a server.
func (n *Node) setPhase(srv *server, phase larkrouter.Phase) {
	if phase == srv.phase {
		return
	}
	n.log(LogEntry{Event: "server " + phaseTexts[phase], Server: srv.id, Count: len(srv.standing)})
	if srv.phase = phase; phase == larkrouter.Ready {
		return
	}
	srv.withdrawnAt = n.now
}

var phaseTexts = map[larkrouter.Phase]string{larkrouter.Draining: "drains", larkrouter.Ready: "is up", larkrouter.Gone: "is gone"}

// checkReplaced records that another server has taken the server's address: it is listed there and has started later. It
// reports whether that is new. The identity of a process is its server's id and start, never its address.
func (n *Node) checkReplaced(srv *server) (isNew bool) {
	if srv.isReplaced {
		return false
	}
	for _, other := range n.serverOrder {
		if other.addr == srv.addr && other.info.Phase != larkrouter.Gone && other.startedUnixMilli > srv.startedUnixMilli {
			n.log(LogEntry{Event: "server replaced", Server: srv.id, Cause: "address taken by " + other.id, Count: len(srv.standing)})
			srv.isReplaced = true
			return true
		}
	}
	return false
}

// serverAtAddressOf returns the server in service that has the address of a server that is gone, or nil.
func (n *Node) serverAtAddressOf(gone *server) (found *server) {
	for _, other := range n.serverOrder {
		if other != gone && other.phase != larkrouter.Gone && other.addr == gone.addr &&
			(found == nil || other.startedUnixMilli > found.startedUnixMilli) {
			found = other
		}
	}
	return found
}

// endCallsOfReplaced ends the calls of a server that is gone and whose address a successor has. Calls set up there after the
// successor's start stand at the successor. A call that its caller has named there stood at the old process.
func (n *Node) endCallsOfReplaced(srv, successor *server) {
	for _, call := range srv.standingCalls() {
		if call.adoptedIn == nil && successor.started > 0 && call.standingSince >= successor.started {
			delete(srv.standing, call)
			call.server = successor
			successor.standing[call] = struct{}{}
		}
	}
	n.closeTrunks(srv, "another server has its address")
	n.endLostCalls(srv, "another server has its address", false)
}

// endCallsBeforeStart ends the calls that stood before the server's last start: they ended with its previous process.
func (n *Node) endCallsBeforeStart(srv *server) {
	srv.pendingReleases = slices.DeleteFunc(srv.pendingReleases, func(release serverRelease) bool {
		return release.standingSince < srv.started
	})
	for _, call := range srv.standingCalls() {
		if call.standingSince < srv.started {
			n.endLostCall(call, "the server has restarted")
		}
	}
}
