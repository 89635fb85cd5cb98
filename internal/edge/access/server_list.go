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
			srv.listedPhase = larkrouter.Gone
		}
	}
	for _, srv := range n.serverOrder {
		if hasChanged := n.updatePhase(srv); hasChanged || listed[srv] {
			update.Servers = append(update.Servers, srv.info)
		}
	}
	for _, srv := range restarted {
		n.endCallsOfPreviousProcess(srv)
	}
	n.notifyModule(update)
	for _, srv := range slices.Clone(n.serverOrder) {
		if srv.info.Phase != larkrouter.Ready {
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
		srv = &server{id: member.ID, number: n.lastServerNumber, addr: member.AddrPort, info: larkrouter.ServerInfo{Phase: larkrouter.Ready},
			reachability: reachability.New(n.cfg.Reachability, n.now), standing: callSet{}, awaitingRelease: callSet{}}
		n.servers[member.ID], n.serversByNumber[srv.number] = srv, srv
		n.serverOrder = append(n.serverOrder, srv)
	}
	if hasStarted = member.StartedUnixMilli > srv.startedUnixMilli; hasStarted {
		srv.startedUnixMilli = member.StartedUnixMilli
		srv.info.Started = min(n.now, max(1, time.Duration(member.StartedUnixMilli-n.cfg.ClockZeroUnixMilli)*time.Millisecond))
	}
	if member.AddrPort.IsValid() && member.AddrPort != srv.addr {
		srv.addr = member.AddrPort
		n.closeTrunks(srv, "the address has changed")
	}
	srv.listedPhase = parsePhase(member.Phase)
	srv.info = larkrouter.ServerInfo{ID: srv.number, Zone: slices.Index(n.cfg.Edge.Zones, member.Zone),
		Kind: slices.Index(n.cfg.Edge.ServerKinds, member.Kind), Number: member.Cell, Phase: srv.info.Phase,
		Weight: member.Size, Started: srv.info.Started}
	return srv, hasStarted
}

func parsePhase(phase string) larkrouter.Phase {
	switch phase {
	case feed.PhaseDraining:
		return larkrouter.Draining
	case feed.PhaseRemoved:
		return larkrouter.Gone
	}
	return larkrouter.Ready
}

// updatePhase applies the phase that the list reports for a server, and reports whether it has changed. A replaced server is gone
// whatever the list says: the list reports the end of a process late.
func (n *Node) updatePhase(srv *server) (hasChanged bool) {
	phase, cause := srv.listedPhase, ""
	if other := n.replacementOf(srv); other != nil {
		phase, cause = larkrouter.Gone, "address taken by "+other.id
	}
	if phase == srv.info.Phase {
		return false
	}
	n.log(LogEntry{Event: "server " + phaseTexts[phase], Server: srv.id, Cause: cause, Count: len(srv.standing)})
	srv.info.Phase = phase
	if phase != larkrouter.Ready {
		srv.withdrawnAt = n.now
	}
	return true
}

var phaseTexts = map[larkrouter.Phase]string{larkrouter.Draining: "drains", larkrouter.Ready: "is up", larkrouter.Gone: "is gone"}
