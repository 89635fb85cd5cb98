package membership

import (
	"fmt"
	"slices"
	"time"
)

// LeaseGrace is how long the lease of a node continues after the node has ended its subscription. A node that
// restarts within this time stays the same member, and the size of the fleet does not change.
const LeaseGrace = 15 * time.Second

// Registry tracks the nodes that hold a lease. Ranks are always 0 to size-1. A member keeps its rank as long as its
// lease lasts, also if the node or the list server restarts meanwhile. When a lease ends, the member with the highest
// rank takes the free rank.
type Registry struct {
	byName map[string]*member
	ranks  []string // names by rank
}

// member is a node with a lease.
type member struct {
	rank  int
	until time.Duration
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry { return &Registry{byName: map[string]*member{}} }

// Join creates or renews the lease of a node and reports whether the node is a new member.
func (r *Registry) Join(name string, until time.Duration) (isNew bool) {
	if m := r.byName[name]; m != nil {
		m.until = max(m.until, until)
		return false
	}
	r.byName[name] = &member{rank: len(r.ranks), until: until}
	r.ranks = append(r.ranks, name)
	return true
}

// Unsubscribe ends the subscription of a node. Its lease continues for LeaseGrace.
func (r *Registry) Unsubscribe(now time.Duration, name string) {
	if m := r.byName[name]; m != nil {
		m.until = min(m.until, now+LeaseGrace)
	}
}

// Expire removes the leases that have run out and reports whether there were any.
func (r *Registry) Expire(now time.Duration) bool {
	var expired []int
	for rank, name := range r.ranks {
		if r.byName[name].until <= now {
			expired = append(expired, rank)
		}
	}
	for _, rank := range slices.Backward(expired) {
		last := len(r.ranks) - 1
		delete(r.byName, r.ranks[rank])
		if rank != last {
			r.ranks[rank] = r.ranks[last]
			r.byName[r.ranks[rank]].rank = rank
		}
		r.ranks = r.ranks[:last]
	}
	return len(expired) > 0
}

// NextExpiry returns the time at which the next lease runs out; ok is false if there is none.
func (r *Registry) NextExpiry() (at time.Duration, ok bool) {
	for _, m := range r.byName {
		if !ok || m.until < at {
			at, ok = m.until, true
		}
	}
	return at, ok
}

// Size returns the number of members.
func (r *Registry) Size() int { return len(r.ranks) }

// Rank returns the rank of a member; ok is false if the node is none.
func (r *Registry) Rank(name string) (int, bool) {
	if m := r.byName[name]; m != nil {
		return m.rank, true
	}
	return 0, false
}

// Lease is a member as it is persisted over a restart of the list server.
type Lease struct {
	Name      string        `json:"name"`
	Remaining time.Duration `json:"left"`
}

// Leases returns the leases to persist, in the order of rank.
func (r *Registry) Leases(now time.Duration) []Lease {
	leases := make([]Lease, 0, len(r.ranks))
	for _, name := range r.ranks {
		leases = append(leases, Lease{name, max(0, r.byName[name].until-now)})
	}
	return leases
}

// Restore adds persisted leases. Each gets its remaining time and LeaseGrace, because the nodes could not refresh
// while the list server was down. If one is invalid, none is added.
func (r *Registry) Restore(now time.Duration, leases []Lease) error {
	names := map[string]bool{}
	for i, lease := range leases {
		if lease.Name == "" || r.byName[lease.Name] != nil || names[lease.Name] {
			return fmt.Errorf("lease %d of %d: name %q is empty or used twice", i+1, len(leases), lease.Name)
		}
		names[lease.Name] = true
	}
	for _, lease := range leases {
		r.Join(lease.Name, now+max(0, lease.Remaining)+LeaseGrace)
	}
	return nil
}
