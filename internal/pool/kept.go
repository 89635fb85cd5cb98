package pool

import (
	"time"

	"larkrouter"
)

// Kept is the list as it is kept over a restart. Ages are those at the time At, and go on from there.
type Kept struct {
	At      int64    `json:"at_ms"` // wall clock, Unix milliseconds
	Servers []Server `json:"servers"`
}

// Keep makes what is to be kept, now by the node's clock and wall by the wall's. Servers that are gone are left out.
func (l *List) Keep(now time.Duration, wall int64) Kept {
	k := Kept{At: wall}
	for _, s := range l.All() {
		if s.Phase == larkrouter.Gone {
			continue
		}
		if s.AgeMs = 0; s.Started > 0 {
			s.AgeMs = max(1, (now - s.Started).Milliseconds())
		}
		k.Servers = append(k.Servers, s.Server)
	}
	return k
}

// Aged are the servers as they are at another time of the wall's clock; one that went back counts as standing still.
func (k Kept) Aged(wall int64) []Server {
	all := make([]Server, len(k.Servers))
	for i, s := range k.Servers {
		if s.AgeMs > 0 {
			s.AgeMs += max(0, wall-k.At)
		}
		all[i] = s
	}
	return all
}
