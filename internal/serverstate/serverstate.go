// Package serverstate holds the server state that a node persists over a restart, and computes the weight to give it
// afterwards. The state consists of the gate rate and the capacity of each server as the decision module learned
// them, with the server's run number, and of the fleet size, because rates and capacities are one node's shares.
// The weight decreases with the time that the node was down: that of a capacity halves every 30 s, a reduced gate
// grows as it would have, and after two minutes everything is discarded. The state of a server that has restarted
// since is discarded too.
package serverstate

import (
	"math"
	"time"

	"larkrouter"
)

// Aging of persisted state.
const (
	CapacityHalfLife    = 30 * time.Second // after this time a capacity has half its weight
	MaxAge              = 2 * time.Minute
	gateGrowthPerSecond = 0.1 // relative growth of a gate rate per second, as in the decision module
)

// Server is the persisted state of one server.
type Server struct {
	ID        uint32  `json:"id"`
	RunNumber uint64  `json:"run"`
	GateRate  float64 `json:"rate,omitempty"` // set-ups per second; 0: no limit
	Capacity  float64 `json:"best"`
}

// State is the persisted state of all servers.
type State struct {
	SavedAtMs  int64    `json:"at_ms"` // wall clock, Unix milliseconds
	FleetNodes float64  `json:"nodes"` // fleet size at that time
	Servers    []Server `json:"servers"`
}

// New returns the state to persist, from the state that the module exports. runNumber returns the run number of a
// server, or false if the server is not known.
func New(wallMs int64, nodes float64, learned []larkrouter.PersistedServer, runNumber func(id uint32) (uint64, bool)) State {
	state := State{SavedAtMs: wallMs, FleetNodes: nodes}
	for _, server := range learned {
		if number, ok := runNumber(server.ID); ok && isFiniteNonNegative(server.BestRate) && isFiniteNonNegative(server.Rate) {
			state.Servers = append(state.Servers, Server{server.ID, number, server.Rate, server.BestRate})
		}
	}
	return state
}

// isFiniteNonNegative guards against corrupt values in persisted state.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// FleetSize returns the persisted fleet size, limited to maxSize (0: no limit), or 0 if it is too old.
func (s State) FleetSize(wallMs int64, maxSize int) int {
	if wallMs < s.SavedAtMs || time.Duration(wallMs-s.SavedAtMs)*time.Millisecond > MaxAge ||
		!isFiniteNonNegative(s.FleetNodes) || s.FleetNodes > 1e6 {
		return 0
	}
	size := int(math.Ceil(s.FleetNodes))
	if maxSize > 0 {
		size = min(size, maxSize)
	}
	return size
}

// RestoredStateAt returns the event for the module at a later wall clock time, in a fleet of the given size. If the wall
// clock went back, the age is unknown and everything is discarded.
func (s State) RestoredStateAt(wallMs int64, nodes float64, runNumber func(id uint32) (uint64, bool)) larkrouter.RestoredState {
	var restored larkrouter.RestoredState
	age := time.Duration(wallMs-s.SavedAtMs) * time.Millisecond
	if wallMs < s.SavedAtMs || age > MaxAge || !isFiniteNonNegative(s.FleetNodes) || s.FleetNodes < 1 || !(nodes >= 1) {
		return restored
	}
	share := s.FleetNodes / nodes // converts a share of s.FleetNodes nodes to one of the current number
	weight := math.Exp2(-age.Seconds() / CapacityHalfLife.Seconds())
	for _, server := range s.Servers {
		if number, ok := runNumber(server.ID); !ok || number != server.RunNumber || !isFiniteNonNegative(server.Capacity) ||
			!isFiniteNonNegative(server.GateRate) {
			continue
		}
		restored.Servers = append(restored.Servers, larkrouter.PersistedServer{ID: server.ID, BestRate: server.Capacity * share * weight,
			Rate: server.GateRate * share * math.Pow(1+gateGrowthPerSecond, age.Seconds())})
	}
	return restored
}
