package node

import (
	"fmt"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/serverstate"
)

// applyFleetUpdate takes the fleet size and this node's rank from the list server. membership.SizeEstimator decides
// how fast the size in use follows the reported one.
func (n *Node) applyFleetUpdate(update pool.Fleet) {
	previous := n.fleet.ReportedSize()
	isChanged := n.fleet.Report(n.now, update.Size)
	if isChanged || update.Rank != n.cfg.Settings.Rank {
		n.cfg.Settings.Rank = update.Rank
		n.notifyFleetSize()
	}
	if n.fleet.ReportedSize() != previous {
		n.emitRecord(LogRecord{Level: Info, Event: "fleet", Cause: fmt.Sprintf("reported %d nodes, rank %d; using %.1f", update.Size,
			update.Rank, n.fleet.Estimate())})
	}
	n.scheduleFleetStep()
}

// scheduleFleetStep sets the timer for the next step of the size estimate.
func (n *Node) scheduleFleetStep() {
	at, ok := n.fleet.NextStep()
	if !ok {
		n.timers.Stop(&n.fleetTimer)
		return
	}
	n.timers.Set(&n.fleetTimer, max(at, n.now), func() {
		if n.fleet.Advance(n.now) {
			n.notifyFleetSize()
		}
		n.scheduleFleetStep()
	})
}

// notifyFleetSize reports the estimated fleet size and this node's rank to the module.
func (n *Node) notifyFleetSize() {
	n.notifyModule(larkrouter.FleetSize{Nodes: n.fleet.Estimate(), Rank: n.cfg.Settings.Rank})
}

// FleetSize returns the fleet size that was last reported (0: never) and the estimate that is in use.
func (n *Node) FleetSize() (reported int, estimate float64) {
	return n.fleet.ReportedSize(), n.fleet.Estimate()
}

// PersistedStateProvider is implemented by modules that can export what they have learned about the servers.
type PersistedStateProvider interface {
	PersistedState([]larkrouter.PersistedServer) []larkrouter.PersistedServer
}

// PersistedState returns the server state to persist over a restart. wall is the wall clock in Unix milliseconds.
func (n *Node) PersistedState(wallMs int64) serverstate.State {
	provider, ok := n.module.(PersistedStateProvider)
	if !ok {
		return serverstate.State{SavedAtMs: wallMs}
	}
	return serverstate.New(wallMs, n.fleet.Estimate(), provider.PersistedState(nil), n.serverRunNumber)
}

// serverRunNumber returns the run number of a server, and whether the server is ready.
func (n *Node) serverRunNumber(id uint32) (uint64, bool) {
	server, ok := n.list.Get(id)
	return server.RunNumber, ok && server.Phase == larkrouter.Ready
}

// restoreServerState passes the state of the previous process to the module, once the list of servers is known.
func (n *Node) restoreServerState() {
	if n.previousState == nil {
		return
	}
	state := n.previousState
	n.previousState = nil
	if restored := state.RestoredStateAt(n.cfg.WallClockMs+(n.now-n.startedAt).Milliseconds(), n.fleet.Estimate(),
		n.serverRunNumber); len(restored.Servers) > 0 {
		n.notifyModule(restored)
		n.emitRecord(LogRecord{Level: Info, Event: "recall", Cause: fmt.Sprintf("restored the state of %d servers, saved %v ago",
			len(restored.Servers), time.Duration(n.cfg.WallClockMs-state.SavedAtMs)*time.Millisecond)})
	}
}
