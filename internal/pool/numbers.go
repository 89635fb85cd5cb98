package pool

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"larkrouter"
)

// Route assigns numbers with a prefix to a preferred server.
type Route struct {
	Prefix       string `toml:"prefix" validate:"required"`
	ServerNumber int    `toml:"server" validate:"gte=0"` // Number of the server
}

// NumberRouter maps a called number to its preferred server: by the longest prefix in the table, otherwise by rendezvous
// hashing over the servers in the list, so that a server that is added or removed changes the mapping of its own
// share only.
type NumberRouter struct{ table []Route }

// NewNumberRouter returns a NumberRouter with the given routes; their order does not matter.
func NewNumberRouter(table []Route) *NumberRouter {
	routes := slices.Clone(table)
	slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	return &NumberRouter{routes}
}

// Destination returns the Number of the preferred server, or -1 if no server is known.
func (n *NumberRouter) Destination(number string, list *List) int {
	for _, route := range n.table {
		if strings.HasPrefix(number, route.Prefix) {
			return route.ServerNumber
		}
	}
	best, bestScore, bestID := -1, uint64(0), uint32(0)
	hash := xxhash.Sum64String(number)
	for _, entry := range list.byID {
		if entry.Phase == larkrouter.Gone {
			continue
		}
		score := mixHash(hash ^ uint64(entry.ID)*0x9e3779b97f4a7c15)
		if best < 0 || score > bestScore || score == bestScore && entry.ID < bestID {
			best, bestScore, bestID = entry.Number, score, entry.ID
		}
	}
	return best
}

// mixHash mixes the bits of a 64-bit value by shifts and multiplications.
func mixHash(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// PairKey returns a hash of the calling and called numbers. It identifies redials.
func PairKey(caller, called string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(caller)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(called)
	return digest.Sum64() | 1 // 0 would mean that there is no key
}
