package mib

import (
	"math"
	"slices"
	"time"

	"larkrouter/internal/snmp/ber"
)

// Snapshot is all that the agent serves, taken at one time. Times are since the agent's start.
type Snapshot struct {
	At                       time.Duration
	Version, Started, Config string
	FleetSize, FleetRank     uint64
	Waiting, Held, Standing  uint64
	ListState                int64 // as the MIB numbers it
	ListVersion, Busy        uint64
	Counts                   [10]uint64 // in the order of larkNodeCounts
	Classes                  []Class
	Servers                  []Server
	Levels                   []Level
	Connections              uint64
	Sip                      [15]uint64 // in the order of larkSip
	Agent                    [7]uint64  // in the order of larkAgent
}

// Class is a row of larkClassTable.
type Class struct {
	Name   string
	Counts [9]uint64
}

// Server is a row of larkServerTable.
type Server struct {
	ID      uint32
	Address string
	Number  uint64
	Phase   int64
	State   int64
	Rate    float64 // set-ups a second; infinite: unbounded
	Delay   time.Duration
	Waiting uint64
	Changed time.Duration
	Counts  [8]uint64
}

// Level is a row of larkLevelTable.
type Level struct {
	Name   string
	Active bool
	Since  time.Duration
	Reason string
}

// Ticks writes a time in hundredths of a second, which wrap after 497 days.
func Ticks(d time.Duration) ber.Value {
	return ber.Value{Tag: ber.TimeTicks, Uint: uint64(uint32(d / (10 * time.Millisecond)))}
}

// Str writes a string.
func Str(s string) ber.Value { return ber.Value{Tag: ber.OctetString, Bytes: []byte(s)} }

// Num writes a number by its kind: 32-bit counters wrap, gauges stay at their most (RFC 2578, sections 7.1.6 and 7.1.7).
func Num(tag byte, n uint64) ber.Value {
	switch tag {
	case ber.Counter32:
		n = uint64(uint32(n))
	case ber.Gauge32:
		n = min(n, math.MaxUint32)
	}
	return ber.Value{Tag: tag, Uint: n}
}

// Int writes an Integer.
func Int(n int64) ber.Value { return ber.Value{Tag: ber.Integer, Int: n} }

// Vars makes the sorted bindings of a snapshot. Every object of the table is served, so that a walk and the MIB agree.
func (s *Snapshot) Vars(arc ber.OID) []ber.Var {
	var all []ber.Var
	base := arc.With(module, objects)
	gauge := func(n uint64) ber.Value { return Num(ber.Gauge32, n) }
	both := func(counts []uint64) (v []ber.Value) {
		for _, n := range counts {
			v = append(v, Num(ber.Counter32, n))
		}
		for _, n := range counts {
			v = append(v, Num(ber.Counter64, n))
		}
		return v
	}
	scalars := func(group uint32, values []ber.Value) {
		for i, v := range values {
			all = append(all, ber.Var{Name: base.With(group, uint32(i+1), 0), Value: v})
		}
	}
	row := func(group, index uint32, values []ber.Value) { // values from column 2 on
		for i, v := range values {
			all = append(all, ber.Var{Name: base.With(group, 1, uint32(i+2), index), Value: v})
		}
	}
	scalars(1, []ber.Value{Str(s.Version), Str(s.Started), Ticks(0), Str(s.Config), gauge(s.FleetSize), gauge(s.FleetRank),
		gauge(s.Waiting), gauge(s.Held), gauge(s.Standing), Int(s.ListState), gauge(uint64(uint32(s.ListVersion))), gauge(s.Busy)})
	scalars(2, both(s.Counts[:]))
	for i, c := range s.Classes {
		row(3, uint32(i+1), append([]ber.Value{Str(c.Name)}, both(c.Counts[:])...))
	}
	for _, v := range s.Servers {
		rate := uint64(math.MaxUint32)
		if !math.IsInf(v.Rate, 1) && v.Rate >= 0 {
			rate = min(uint64(v.Rate*1000), math.MaxUint32-1)
		}
		row(4, v.ID, append([]ber.Value{Str(v.Address), gauge(v.Number), Int(v.Phase), Int(v.State), gauge(rate),
			gauge(uint64(max(0, v.Delay.Milliseconds()))), gauge(v.Waiting), Ticks(v.Changed)}, both(v.Counts[:])...))
	}
	for i, l := range s.Levels {
		active := int64(2)
		if l.Active {
			active = 1
		}
		row(5, uint32(i+1), []ber.Value{Str(l.Name), Int(active), Ticks(l.Since), Str(l.Reason)})
	}
	scalars(6, append([]ber.Value{gauge(s.Connections)}, both(s.Sip[:])...))
	scalars(7, both(s.Agent[:]))
	slices.SortFunc(all, func(a, b ber.Var) int { return a.Name.Compare(b.Name) })
	return all
}
