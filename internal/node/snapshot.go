package node

import (
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip/transaction"
)

// ViewProvider is implemented by modules that expose their view of the servers.
type ViewProvider interface {
	View([]larkrouter.ServerView) []larkrouter.ServerView
}

// ListState is the state of the server list.
type ListState uint8

// States of the server list.
const (
	ListUnknown    ListState = iota
	ListKnown                // from its source
	ListSourceLost           // the last one stays in use
	ListPersisted            // only the one that the previous process persisted is in use
)

// ServerSnapshot is the state of one server in a Snapshot.
type ServerSnapshot struct {
	pool.Entry
	View      larkrouter.ServerView
	HasView   bool          // the module has a view of it
	ChangedAt time.Duration // node's clock, of the last change of phase or state
	Stats     ServerStats
}

// Snapshot is a copy of the node's state at one moment.
type Snapshot struct {
	TakenAt                                time.Duration
	WaitingCalls, HeldCalls, StandingCalls int
	ListState                              ListState
	ListVersion                            uint64
	FleetSize, Rank                        int
	ClassNames                             []string
	Stats                                  Stats // without Servers: their counters are in the rows of Snapshot.Servers
	Servers                                []ServerSnapshot
	Transactions                           transaction.Counters
}

// observedState is the last observed state of a server and the time of its last change.
type observedState struct {
	phase     larkrouter.Phase
	state     larkrouter.ServerState
	changedAt time.Duration
}

// observeServers records changes in the module's view of the servers. It runs after each timer of the module.
func (n *Node) observeServers() {
	provider, ok := n.module.(ViewProvider)
	if !ok {
		return
	}
	n.views = provider.View(n.views[:0])
	for _, view := range n.views {
		server, _ := n.list.Get(view.ID)
		state := n.observed[view.ID]
		if state == nil {
			state = &observedState{changedAt: n.now, phase: server.Phase, state: view.State}
			n.observed[view.ID] = state
		}
		if state.phase != server.Phase || state.state != view.State {
			state.phase, state.state, state.changedAt = server.Phase, view.State, n.now
		}
	}
	for id := range n.observed {
		if _, ok := n.list.Get(id); !ok { // removed from the list, and its counters with it
			delete(n.observed, id)
			delete(n.Stats.Servers, id)
		}
	}
}

// Snapshot copies the state for operators. It belongs to a turn, and its cost grows with the number of servers and
// open calls.
func (n *Node) Snapshot(now time.Duration) *Snapshot {
	n.setNow(now)
	n.observeServers()
	snapshot := &Snapshot{TakenAt: n.now, ListVersion: n.list.Version(), FleetSize: int(n.fleet.Estimate() + 0.5), Rank: n.cfg.Settings.Rank,
		Stats: n.Stats, Transactions: n.transactions.Counters, ListState: n.listState}
	snapshot.Stats.Classes = slices.Clone(n.Stats.Classes)
	snapshot.Stats.Servers = nil
	for i := range n.cfg.Settings.Classes {
		snapshot.ClassNames = append(snapshot.ClassNames, n.cfg.Settings.Classes[i].Name)
	}
	for _, call := range n.calls {
		switch {
		case call.standing:
			snapshot.StandingCalls++
		case !call.answered:
			snapshot.WaitingCalls++
			if call.currentAttempt == nil {
				snapshot.HeldCalls++
			}
		}
	}
	for _, server := range n.list.Entries() {
		row := ServerSnapshot{Entry: server, Stats: *n.Stats.server(server.ID)}
		for _, view := range n.views {
			if view.ID == server.ID {
				row.View, row.HasView = view, true
			}
		}
		if state := n.observed[server.ID]; state != nil {
			row.ChangedAt = state.changedAt
		}
		snapshot.Servers = append(snapshot.Servers, row)
	}
	return snapshot
}
