package pool

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"larkrouter"
)

// Route sends numbers with a prefix to a server of first choice.
type Route struct {
	Prefix string `toml:"prefix" validate:"required"`
	Server int    `toml:"server" validate:"gte=0"` // its number
}

// Numbers finds the server of first choice for a number: by the longest prefix in the table, else spread evenly by
// rendezvous hashing over the servers that the list knows, so that a server that comes or goes moves only its share.
type Numbers struct{ table []Route }

// NewNumbers takes the table; the order does not matter.
func NewNumbers(table []Route) *Numbers {
	t := slices.Clone(table)
	slices.SortStableFunc(t, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	return &Numbers{t}
}

// Destination is the number of the server of first choice; -1 where no server is known.
func (n *Numbers) Destination(number string, l *List) int {
	for _, r := range n.table {
		if strings.HasPrefix(number, r.Prefix) {
			return r.Server
		}
	}
	best, most, id := -1, uint64(0), uint32(0)
	h := xxhash.Sum64String(number)
	for _, k := range l.byID {
		if k.Phase == larkrouter.Gone {
			continue
		}
		score := mix(h ^ uint64(k.ID)*0x9e3779b97f4a7c15)
		if best < 0 || score > most || score == most && k.ID < id {
			best, most, id = k.Number, score, k.ID
		}
	}
	return best
}

func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// Key numbers a pair of caller and called, by which a redial is known.
func Key(caller, called string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(caller)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(called)
	return d.Sum64() | 1 // 0 would mean none
}
