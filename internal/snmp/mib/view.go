package mib

import (
	"math"
	"slices"
	"time"

	"larkrouter/internal/snmp/ber"
)

// Snapshot holds the values of all objects of the MIB at one moment. UpTime, Server.LastChange and Level.Since count from
// the start of the agent.
type Snapshot struct {
	UpTime                                 time.Duration
	Version, Started, Config               string
	FleetSize, FleetRank                   uint64
	CallsWaiting, CallsHeld, CallsStanding uint64
	ListState                              int64 // enum value of larkNodeListState
	ListVersion, BusyPercent               uint64
	NodeCounters                           [10]uint64 // in the order of the group larkNodeCounts
	Classes                                []Class
	Servers                                []Server
	Levels                                 []Level
	Connections                            uint64
	SIPCounters                            [15]uint64 // in the order of the counters in the group larkSip
	AgentCounters                          [7]uint64  // in the order of the group larkAgent
}

// Class is a row of larkClassTable.
type Class struct {
	Name     string
	Counters [9]uint64 // in the order of the counters in the table
}

// Server is a row of larkServerTable.
type Server struct {
	ID         uint32
	Address    string
	Number     uint64
	Phase      int64   // enum value of larkServerPhase
	State      int64   // enum value of larkServerState
	GateRate   float64 // set-ups per second; +Inf means unlimited
	Delay      time.Duration
	Unanswered uint64
	LastChange time.Duration
	Counters   [8]uint64 // in the order of the counters in the table
}

// Level is a row of larkLevelTable.
type Level struct {
	Name   string
	Active bool
	Since  time.Duration
	Reason string
}

// TimeTicksValue returns a TimeTicks value in hundredths of a second, which wraps after 497 days.
func TimeTicksValue(d time.Duration) ber.Value {
	return ber.Value{Tag: ber.TimeTicks, Uint: uint64(uint32(d / (10 * time.Millisecond)))}
}

// StringValue returns an OctetString value.
func StringValue(s string) ber.Value { return ber.Value{Tag: ber.OctetString, Bytes: []byte(s)} }

// UintValue returns an unsigned value with the given tag. Numbers that exceed 32 bits wrap in a Counter32 and are limited to
// the max value in a Gauge32 (RFC 2578, sections 7.1.6 and 7.1.7).
func UintValue(tag byte, n uint64) ber.Value {
	switch tag {
	case ber.Counter32:
		n = uint64(uint32(n))
	case ber.Gauge32:
		n = min(n, math.MaxUint32)
	}
	return ber.Value{Tag: tag, Uint: n}
}

// IntegerValue returns an Integer value.
func IntegerValue(n int64) ber.Value { return ber.Value{Tag: ber.Integer, Int: n} }

// VarBinds returns the variable bindings of the snapshot, sorted by OID. It includes every accessible object of the MIB, so
// that a walk agrees with the MIB module.
func (s *Snapshot) VarBinds(arc ber.OID) []ber.VarBind {
	var varBinds []ber.VarBind
	base := arc.Append(moduleArc, objectsArc)
	gauge := func(n uint64) ber.Value { return UintValue(ber.Gauge32, n) }
	counters := func(counts []uint64) (values []ber.Value) {
		for _, n := range counts {
			values = append(values, UintValue(ber.Counter32, n))
		}
		for _, n := range counts {
			values = append(values, UintValue(ber.Counter64, n))
		}
		return values
	}
	scalars := func(group uint32, values []ber.Value) {
		for i, value := range values {
			varBinds = append(varBinds, ber.VarBind{Name: base.Append(group, uint32(i+1), 0), Value: value})
		}
	}
	row := func(group, index uint32, values []ber.Value) { // column 1 is the index, values start at column 2
		for i, value := range values {
			varBinds = append(varBinds, ber.VarBind{Name: base.Append(group, 1, uint32(i+2), index), Value: value})
		}
	}
	scalars(1, []ber.Value{StringValue(s.Version), StringValue(s.Started), TimeTicksValue(0), StringValue(s.Config), gauge(s.FleetSize),
		gauge(s.FleetRank), gauge(s.CallsWaiting), gauge(s.CallsHeld), gauge(s.CallsStanding), IntegerValue(s.ListState),
		gauge(uint64(uint32(s.ListVersion))), gauge(s.BusyPercent)})
	scalars(2, counters(s.NodeCounters[:]))
	for i, class := range s.Classes {
		row(3, uint32(i+1), append([]ber.Value{StringValue(class.Name)}, counters(class.Counters[:])...))
	}
	for _, server := range s.Servers {
		rate := uint64(math.MaxUint32)
		if !math.IsInf(server.GateRate, 1) && server.GateRate >= 0 {
			rate = min(uint64(server.GateRate*1000), math.MaxUint32-1)
		}
		row(4, server.ID, append([]ber.Value{StringValue(server.Address), gauge(server.Number), IntegerValue(server.Phase),
			IntegerValue(server.State), gauge(rate), gauge(uint64(max(0, server.Delay.Milliseconds()))),
			gauge(server.Unanswered), TimeTicksValue(server.LastChange)}, counters(server.Counters[:])...))
	}
	for i, level := range s.Levels {
		active := int64(2)
		if level.Active {
			active = 1
		}
		row(5, uint32(i+1), []ber.Value{StringValue(level.Name), IntegerValue(active), TimeTicksValue(level.Since), StringValue(level.Reason)})
	}
	scalars(6, append([]ber.Value{gauge(s.Connections)}, counters(s.SIPCounters[:])...))
	scalars(7, counters(s.AgentCounters[:]))
	slices.SortFunc(varBinds, func(a, b ber.VarBind) int { return a.Name.Compare(b.Name) })
	return varBinds
}
