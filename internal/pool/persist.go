package pool

import (
	"time"

	"larkrouter"
)

// PersistedList is the list as it is persisted over a restart. Ages are relative to SavedAtMs.
type PersistedList struct {
	SavedAtMs int64    `json:"at_ms"` // wall clock, Unix milliseconds
	Servers   []Server `json:"servers"`
}

// Persisted returns the list to persist. now is the node's clock, wall the wall clock in Unix milliseconds. Servers that
// are gone are left out.
func (l *List) Persisted(now time.Duration, wall int64) PersistedList {
	persisted := PersistedList{SavedAtMs: wall}
	for _, entry := range l.Entries() {
		if entry.Phase == larkrouter.Gone {
			continue
		}
		if entry.AgeMs = 0; entry.Started > 0 {
			entry.AgeMs = max(1, (now - entry.Started).Milliseconds())
		}
		persisted.Servers = append(persisted.Servers, entry.Server)
	}
	return persisted
}

// ServersAt returns the servers with their ages at a later wall clock time. If the wall clock went back, the ages stay as
// they were.
func (l PersistedList) ServersAt(wall int64) []Server {
	servers := make([]Server, len(l.Servers))
	for i, s := range l.Servers {
		if s.AgeMs > 0 {
			s.AgeMs += max(0, wall-l.SavedAtMs)
		}
		servers[i] = s
	}
	return servers
}
