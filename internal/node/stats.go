package node

// ClassStats count the calls of a class by outcome. Offered is the sum of the others and of the calls still open.
type ClassStats struct {
	Offered   uint64
	Redials   uint64 // of the offered
	InAim     uint64 // stood within the aim
	Late      uint64 // stood after it
	Refused   uint64
	Failed    uint64
	GivenUp   uint64 // by the caller, before an answer
	Cut       uint64 // of those that stood: ended before their time
	Completed uint64 // of those that stood: ended by a hang-up
}

// ServerStats count the attempts at a server by outcome.
type ServerStats struct {
	Attempts, Stood, Failed, TurnedAway, TimedOut, NoConnection, Reset, Cancelled uint64
}

// Stats are the node's counters; they only grow.
type Stats struct {
	Classes                       []ClassStats
	Servers                       map[uint32]*ServerStats
	OverLimit                     uint64 // refused for Config.MaxCalls, or in a drain; not offered to the module
	Unmatched                     uint64 // INVITEs of no class
	Malformed                     uint64
	Rejected                      uint64 // requests answered by rule: unknown methods, options, hops
	Lost                          uint64 // connections lost and sends failed
	Merged                        uint64
	LateAnswers                   uint64 // 2xx that came after their attempt was given up
	Asserts                       uint64 // guards of the core that had to act
	Sent                          uint64
	Released                      uint64 // BYEs for calls that an earlier life left standing
	ListNews, ListGaps, ListFails uint64
}

func (s *Stats) server(id uint32) *ServerStats {
	if s.Servers == nil {
		s.Servers = map[uint32]*ServerStats{}
	}
	st := s.Servers[id]
	if st == nil {
		st = &ServerStats{}
		s.Servers[id] = st
	}
	return st
}
