package access

import (
	"fmt"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/reachability"
)

// maintainTrunks opens and closes trunks to a server as needed.
func (n *Node) maintainTrunks(srv *server) {
	if srv.reachability.IsUnresponsive(n.now) && slices.ContainsFunc(srv.trunks, func(t *trunkConn) bool { return t.isOpen }) {
		srv.reachability.ConnsAbandoned()
		n.closeTrunks(srv, "silent, and new connections fail")
	}
	stopped := n.leaveStoppedTrunks(srv)
	srv.demand.Observe(n.now, srv.pendingSetUps())
	wanted := srv.demand.Connections(n.cfg.MaxTrunksPerServer)
	if srv.info.Phase == larkrouter.Gone {
		wanted = 1
	}
	wanted += stopped
	// Leave descriptors for callers and the command channel.
	wanted = max(1, min(wanted, len(srv.trunks)+max(0, n.cfg.MaxTrunks-len(n.trunks))))
	n.closeSpareTrunks(srv, wanted)
	if n.needsAnotherTrunk(srv) && !slices.ContainsFunc(srv.trunks, func(t *trunkConn) bool { return !t.isOpen }) {
		wanted = len(srv.trunks) + 1
	}
	if n.now < srv.reachability.NextDial() {
		return
	}
	for len(srv.trunks) < wanted {
		n.dialTrunk(srv)
	}
}

func (n *Node) dialTrunk(srv *server) {
	n.lastConn++
	t := &trunkConn{id: n.lastConn, server: srv, dialedAt: n.now, pending: map[uint64]*attempt{}, abandoned: map[uint64]struct{}{}}
	srv.trunks = append(srv.trunks, t)
	n.trunks[t.id] = t
	n.effects = append(n.effects, Effect{Kind: EffectDial, Conn: t.id, Addr: srv.addr})
}

// needsAnotherTrunk reports whether one more trunk is needed, whatever the demand: no open one can take the waiting set-ups, a
// probe is due, or the server may have to repeat releases, which it does on a new connection only.
func (n *Node) needsAnotherTrunk(srv *server) bool {
	if len(srv.queue) > 0 || srv.reachability.NeedsProbe(n.now) || srv.releasesLostAt > 0 && len(srv.standing) > 0 {
		return true
	}
	return slices.ContainsFunc(srv.trunks, func(t *trunkConn) bool {
		return t.isOpen && (srv.reachability.NeedsProbeBeside(n.now, n.silence(t)) ||
			srv.reachability.NeedsProbeForCalls(n.now, t.liveness.LastActive()) && t.mayCarryReleases())
	})
}

// pendingSetUps returns the number of set-ups that await an answer or wait for a trunk.
func (s *server) pendingSetUps() int {
	count := len(s.queue)
	for _, t := range s.trunks {
		count += len(t.pending)
	}
	return count
}

// mayCarryReleases reports whether calls stand whose release the server may send on the trunk: those that were set up on it, and those
// whose own trunk has ended, for which the server may choose any.
func (t *trunkConn) mayCarryReleases() bool {
	for call := range t.server.standing {
		if call.trunk == t.id || call.hasTrunkEnded && !t.isSpentProbe {
			return true
		}
	}
	return false
}

// silence returns for how long nothing has arrived on a trunk while something was due.
func (n *Node) silence(t *trunkConn) time.Duration {
	return t.liveness.SilentFor(n.now, len(t.pending))
}

// isSuspect reports whether a trunk may no longer work.
func (n *Node) isSuspect(t *trunkConn) bool { return t.server.reachability.IsSuspect(n.silence(t)) }

// hasStopped reports whether an open trunk no longer works although its server does.
func (n *Node) hasStopped(t *trunkConn) bool {
	if !t.isOpen || !n.isSuspect(t) || n.hasUnreadInput(t.id) {
		return false
	}
	receivedElsewhere := time.Duration(0)
	for _, other := range t.server.trunks {
		if other != t {
			receivedElsewhere = max(receivedElsewhere, other.liveness.LastReceived())
		}
	}
	return receivedElsewhere > 0 && t.server.reachability.HasStopped(n.silence(t), n.now-receivedElsewhere)
}

// leaveStoppedTrunks closes the trunks that no longer work, and returns the number of those that stay: one with pending set-ups
// does until they have ended by their own timers, as they may only be slow.
func (n *Node) leaveStoppedTrunks(srv *server) (remaining int) {
	if !slices.ContainsFunc(srv.trunks, n.hasStopped) {
		return 0
	}
	for _, t := range slices.Clone(srv.trunks) {
		switch {
		case !n.hasStopped(t):
		case !t.liveness.MayDropSetUps(len(t.pending)):
			remaining++
		default:
			n.Totals.TrunksStopped++
			n.log(LogEntry{Event: "connection to a call server has stopped", Server: srv.id, Count: len(t.pending),
				Cause: fmt.Sprintf("silent for %v, %d bytes of an incomplete message", n.silence(t), t.liveness.IncompleteBytes())})
			n.closeTrunk(t)
		}
	}
	return remaining
}

// expectRepeatedReleases has a new trunk opened after the end of one on which the server may have sent releases that never arrived.
// It repeats them on the next connection that opens, whatever others are open.
func (n *Node) expectRepeatedReleases(ended *trunkConn) {
	if ended.mayCarryReleases() {
		ended.server.releasesLostAt = n.now
	}
}

// closeSpareTrunks closes trunks that the server may be about to close as idle, and one trunk beyond the wanted
// number, newest first, because servers send the messages of a call on the trunk that carried its set-up. A
// trunk with a pending set-up stays open, and so does one used within the last second, as more messages may be
// on their way.
func (n *Node) closeSpareTrunks(srv *server, wanted int) {
	for _, t := range slices.Clone(srv.trunks) {
		if t.isOpen && len(t.pending) == 0 && n.isStale(t) {
			n.closeSpareTrunk(t)
		}
	}
	if len(srv.trunks) <= wanted || len(srv.queue) > 0 {
		return
	}
	for _, t := range slices.Backward(srv.trunks) {
		if t.isOpen && len(t.pending) == 0 {
			if reachability.CanCloseSpare(n.now - t.lastUsed) {
				n.closeSpareTrunk(t)
			}
			return
		}
	}
}

// closeSpareTrunk closes a trunk that is not needed, unless input waits to be read.
func (n *Node) closeSpareTrunk(t *trunkConn) {
	if n.hasUnreadInput(t.id) {
		return
	}
	t.isSpentProbe = reachability.IsProbe(n.now - t.liveness.OpenedAt())
	n.closeTrunk(t)
}

func (n *Node) isStale(t *trunkConn) bool {
	return reachability.IsStale(n.now-t.lastUsed, n.cfg.Edge.ConnIdleTimeout)
}
