package node

// ClassStats counts the calls of a class by outcome. Offered equals InAim + Late + Refused + Failed + Abandoned plus
// the calls that wait for an answer.
type ClassStats struct {
	Offered    uint64
	Redials    uint64 // part of Offered
	InAim      uint64 // set up within the aim
	Late       uint64 // set up after the aim
	Refused    uint64
	Failed     uint64
	Abandoned  uint64 // abandoned by the caller before an answer
	EndedEarly uint64 // part of InAim and Late: ended otherwise than by a hang-up
	Completed  uint64 // part of InAim and Late: ended by a hang-up
}

// ServerStats counts the attempts at a server by outcome.
type ServerStats struct {
	Attempts, CallsSetUp, Failed, Rejected, TimedOut, NoConnection, Reset, Cancelled uint64
}

// Stats holds the counters of a node. They only grow.
type Stats struct {
	Classes                                    []ClassStats
	Servers                                    map[uint32]*ServerStats
	OverLimit                                  uint64 // INVITEs answered 503 without the module: MaxCalls, drain, retired socket, releases
	Unmatched                                  uint64 // INVITEs that match no class
	Malformed                                  uint64
	Rejected                                   uint64 // requests rejected without a call: unsupported methods, options, too many hops
	TransportFailures                          uint64 // closed connections and failed sends
	MergedRequests                             uint64
	LateAnswers                                uint64 // 2xx responses that arrived after their attempt was abandoned
	FailedAsserts                              uint64 // failed internal assertions
	MessagesSent                               uint64
	StoredDialogsReleased                      uint64 // BYEs for dialogs that a previous process left standing
	ListUpdates, ListVersionGaps, ListFailures uint64
}

// server returns the counters of a server, creating them if necessary.
func (s *Stats) server(id uint32) *ServerStats {
	if s.Servers == nil {
		s.Servers = map[uint32]*ServerStats{}
	}
	stats := s.Servers[id]
	if stats == nil {
		stats = &ServerStats{}
		s.Servers[id] = stats
	}
	return stats
}
