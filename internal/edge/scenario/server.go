package scenario

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/rules"
)

const (
	stateInterval  = time.Second
	maxStateLinks  = 4
	initialDelay   = 5 * time.Millisecond // from a set-up to its answer
	serverCapacity = 100
)

// processState is the state of a call server's process.
type processState uint8

const (
	processUp     processState = iota
	processCutOff              // its machine is lost: nothing arrives and nothing is said
	processDead
)

// callServer is one process of a call server.
type callServer struct {
	w           *world
	id          string
	addr        netip.AddrPort
	startedAt   time.Duration
	listedAhead time.Duration // how far the start in the list is after startedAt; may be negative
	state       processState
	answerDelay time.Duration
	links       []*link
	streams     map[*link]*trunk.Stream
	pending     map[uint64]pendingSetUp
	calls       map[uint64]*link  // standing calls and the links that carried their set-ups
	repeats     []uint64          // released calls whose release goes also on the next connection that opens
	legs        map[uint64]string // of all calls that it has answered
	legCount    int
	lastStateAt time.Duration
	spoilNext   spoiltAnswer // the next answer

	isAnswerLost map[uint64]bool // the last answer for a call never arrives whole
}

// pendingSetUp is a set-up that is not answered yet.
type pendingSetUp struct {
	l   *link
	leg string
}

// startServer starts the process of a call server. It is not listed by that.
func (w *world) startServer(id string, addr netip.AddrPort) *callServer {
	server := &callServer{w: w, id: id, addr: addr, startedAt: w.now, answerDelay: initialDelay, streams: map[*link]*trunk.Stream{},
		pending: map[uint64]pendingSetUp{}, calls: map[uint64]*link{}, legs: map[uint64]string{},
		isAnswerLost: map[uint64]bool{}}
	w.processes[addr] = server
	w.servers = append(w.servers, server)
	w.after(w.between(0, stateInterval), server.reportState)
	return server
}

// reportState sends the state of the server now and from then on each second.
func (s *callServer) reportState() {
	if s.state != processUp || s.w.statesOnlyOnOpen {
		return
	}
	s.lastStateAt = s.w.now
	for _, l := range s.links[:min(len(s.links), maxStateLinks)] {
		s.sendState(l)
	}
	s.w.after(stateInterval, s.reportState)
}

func (s *callServer) sendState(l *link) {
	report := fmt.Appendf(nil, "free:%d;size:%d;lat_ms:1", serverCapacity-len(s.calls), serverCapacity)
	s.send(l, trunk.TypeState, 0, trunk.Param{Code: trunk.ParamReport, Value: report})
}

// send sends a message to the node. On a connection that has stopped it never arrives.
func (s *callServer) send(l *link, typ byte, call uint64, params ...trunk.Param) {
	if l.hasStopped {
		return
	}
	msg := &trunk.Message{Type: typ, Call: call, Params: params}
	s.w.atNode(l, func(node *access.Node) {
		node.TrunkBytesReceived(s.w.now, l.id)
		node.TrunkMessage(s.w.now, l.id, msg)
	})
}

// accept takes a new connection. The releases since the last one are sent also on it.
func (s *callServer) accept(l *link) {
	s.links = append(s.links, l)
	s.streams[l] = &trunk.Stream{}
	s.sendState(l)
	for _, call := range s.repeats {
		s.sendRelease(l, call)
	}
	s.repeats = nil
}

// linkClosed implements peer. The set-ups that are open on a closed connection are given up.
func (s *callServer) linkClosed(l *link) {
	s.links = slices.DeleteFunc(s.links, func(other *link) bool { return other == l })
	delete(s.streams, l)
	for _, call := range sortedKeys(s.pending) {
		if setUp := s.pending[call]; setUp.l == l {
			delete(s.pending, call)
			s.record("in", "CANCEL", 0, call, setUp.leg)
		}
	}
}

// receive implements peer. A machine whose process has died answers with a reset.
func (s *callServer) receive(l *link, data []byte) {
	switch s.state {
	case processCutOff:
		return
	case processDead:
		s.reset(l)
		return
	}
	stream := s.streams[l]
	stream.Feed(data)
	for {
		msg, err := stream.Next()
		if err != nil {
			s.w.faults.add(s.w.now, "the node wrote an invalid message: %v", err)
		}
		if msg == nil {
			return
		}
		if l.isDeaf {
			s.noteGivenUp(msg)
			continue
		}
		s.handle(l, msg)
	}
}

func (s *callServer) handle(l *link, msg *trunk.Message) {
	switch msg.Type {
	case trunk.TypeSetUp:
		s.legCount++
		leg := fmt.Sprintf("-%s-%d-%d", s.id, s.startedAt, s.legCount)
		s.pending[msg.Call] = pendingSetUp{l, leg}
		s.record("in", "INVITE", 0, msg.Call, leg)
		s.record("out", "INVITE", 100, msg.Call, leg)
		s.w.after(s.answerDelay, func() { s.answer(msg.Call, leg) })
	case trunk.TypeRelease:
		if setUp, isPending := s.pending[msg.Call]; isPending {
			delete(s.pending, msg.Call)
			s.record("in", "CANCEL", 0, msg.Call, setUp.leg)
		}
		if _, isStanding := s.calls[msg.Call]; isStanding {
			delete(s.calls, msg.Call)
			s.w.standing.ReleasedByNode(s.w.now, msg.Call)
			s.record("in", "BYE", 0, msg.Call, s.legs[msg.Call])
		}
	}
}

// answer answers a set-up that is still pending: the call stands.
func (s *callServer) answer(call uint64, leg string) {
	setUp, isPending := s.pending[call]
	if !isPending || setUp.leg != leg || s.state != processUp {
		return
	}
	delete(s.pending, call)
	s.calls[call], s.legs[call] = setUp.l, leg
	description := trunk.Param{Code: trunk.ParamDescription, Value: fmt.Appendf(nil, "%016x\r\nc=IN IP4 10.9.9.9\r\n", ^call)}
	s.record("out", "INVITE", 200, call, leg)
	s.noteAnswer(setUp.l, call)
	if s.spoilNext != answerSound {
		s.spoilAnswer(setUp.l, call, description)
	} else {
		s.send(setUp.l, trunk.TypeAnswer, call, description)
	}
	s.w.callers.answeredBy(call, s.id)
	s.w.after(s.w.callers.holdTime(), func() { s.hangUp(call, leg) })
}

// hangUp ends a call: on the connection that carried its set-up, otherwise on any open one, otherwise on the next.
func (s *callServer) hangUp(call uint64, leg string) {
	l, isStanding := s.calls[call]
	if !isStanding || s.legs[call] != leg || s.state != processUp {
		return
	}
	delete(s.calls, call)
	s.repeats = append(s.repeats, call)
	if !l.isOpen && len(s.links) > 0 {
		l = s.links[0]
	}
	if l.isOpen {
		s.sendRelease(l, call)
	}
}

func (s *callServer) sendRelease(l *link, call uint64) {
	switch {
	case s.isAnswerLost[call]: // its caller has not heard that it stood
	case l.hasStopped:
		s.w.standing.EndedSilently(s.w.now, call)
	default:
		s.w.standing.ReleasedByServer(s.w.now, call)
	}
	s.send(l, trunk.TypeRelease, call, trunk.Param{Code: trunk.ParamCause, Value: []byte{trunk.CauseNormal}})
}

// end ends the process or its machine. All its calls end with it, and nobody says so.
func (s *callServer) end(state processState) {
	if s.state == processUp {
		s.w.rules.Add(rules.Record{Time: s.w.now, Kind: "down", Owner: s.addr.String()})
		for _, call := range sortedKeys(s.calls) {
			s.w.standing.EndedSilently(s.w.now, call)
		}
		for _, call := range s.repeats { // those whose release was never sent have ended without a word
			s.w.standing.EndedSilently(s.w.now, call)
		}
		clear(s.calls)
		s.repeats = nil
	}
	s.state = state
	if state == processDead {
		for _, l := range slices.Clone(s.links) {
			s.reset(l)
		}
	}
}

// reset resets a connection.
func (s *callServer) reset(l *link) {
	if !l.isOpen {
		return
	}
	l.isOpen = false
	s.linkClosed(l)
	s.w.atNode(l, func(node *access.Node) {
		delete(s.w.links, l.id)
		node.TrunkClosed(s.w.now, l.id, "reset")
	})
}

// record adds a message at the server's socket to the capture.
func (s *callServer) record(direction, method string, status int, call uint64, leg string) {
	record := rules.Message("server", direction, s.addr.String(), nodeName, method, status, formatID(call), leg, calledNumber)
	record.Time = s.w.now
	s.w.rules.Add(record)
}
