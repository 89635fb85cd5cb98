package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/rules"
)

// Faults are the shares of set-ups that fail, each from 0 to 1.
type Faults struct {
	Full, Error  float64 // refused with CauseFull, or with CauseFault
	Silent       float64 // never answered
	Garbled      float64 // answered with bytes that cannot be parsed
	Reset        float64 // the connection is reset before the answer
	Duplicate    float64 // answered twice
	UnknownFirst float64 // preceded by an answer with an unknown call id
}

// Server is a simulated call server.
type Server struct {
	Node string        // node's address, for the capture
	Work time.Duration // time from a set-up to its answer
	Hold time.Duration // how long a call stands

	rec      *Recorder
	listener net.Listener
	mu       sync.Mutex
	rng      *rand.Rand
	faults   Faults
	conns    map[net.Conn]bool
	calls    map[uint64]*standingCall
	legCount int
}

type standingCall struct {
	conn       net.Conn
	leg        string
	isReleased bool
}

// NewServer starts a call server on an address.
func NewServer(addr, node string, rec *Recorder, seed uint64) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("starting the simulated call server: %w", err)
	}
	server := &Server{Node: node, Work: 5 * time.Millisecond, Hold: 500 * time.Millisecond, rec: rec, listener: listener,
		rng: rand.New(rand.NewPCG(seed, 1)), conns: map[net.Conn]bool{}, calls: map[uint64]*standingCall{}}
	go server.accept()
	return server, nil
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// SetWork sets the time from a set-up to its answer.
func (s *Server) SetWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Work = work
}

// SetHold sets how long calls that are answered from now on stand.
func (s *Server) SetHold(hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Hold = hold
}

// SetFaults replaces the server's faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// StandingCalls returns the number of calls that stand at the server.
func (s *Server) StandingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// Kill stops the server as if its process were killed: its port refuses connections, its connections are reset,
// and its calls are lost.
func (s *Server) Kill() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	clear(s.calls)
	s.rec.add(rules.Record{Kind: "down", Owner: s.Addr()})
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.write(conn, &trunk.Message{Type: trunk.TypeState, Params: []trunk.Param{{Code: trunk.ParamReport,
			Value: []byte("free:100;size:100;lat_ms:1")}}})
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// write sends a message. The caller holds the lock.
func (s *Server) write(conn net.Conn, msg *trunk.Message) {
	if data, err := msg.Append(nil); err == nil {
		_, _ = conn.Write(data) // ignored if the node has closed the connection
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	pending := map[uint64]string{} // legs of the set-ups pending on this connection, by call id
	var stream trunk.Stream
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		stream.Feed(buf[:n])
		for {
			msg, err := stream.Next()
			if err != nil {
				return // call servers close the connection on input that they cannot parse
			}
			if msg == nil {
				break
			}
			s.mu.Lock()
			keepOpen := s.handle(conn, pending, msg)
			s.mu.Unlock()
			if !keepOpen {
				return
			}
		}
	}
}

// handle handles a message. It returns false if the connection is to end. The caller holds the lock.
func (s *Server) handle(conn net.Conn, pending map[uint64]string, msg *trunk.Message) bool {
	id, number := formatID(msg.Call), string(msg.Value(trunk.ParamNumber))
	switch msg.Type {
	case trunk.TypeSetUp:
		s.legCount++
		leg := fmt.Sprintf("-%s-%d", s.Addr(), s.legCount)
		s.rec.recordMessage("server", "in", s.Addr(), s.Node, "INVITE", 0, id, leg, number)
		s.rec.recordMessage("server", "out", s.Addr(), s.Node, "INVITE", 100, id, leg, number)
		pending[msg.Call] = leg
		draw := s.rng.Float64()
		occurs := func(share float64) bool {
			draw -= share
			return draw < 0 && draw >= -share
		}
		faults := s.faults
		switch {
		case occurs(faults.Full):
			s.refuse(conn, pending, msg, trunk.CauseFull, "overload")
		case occurs(faults.Error):
			s.refuse(conn, pending, msg, trunk.CauseFault, "")
		case occurs(faults.Silent):
		case occurs(faults.Reset):
			s.rec.add(rules.Record{Kind: "reset", Owner: s.Addr()})
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		case occurs(faults.Garbled):
			s.rec.add(rules.Record{Kind: "reset", Owner: s.Addr()}) // the node cannot use the connection any more
			_, _ = conn.Write([]byte("\xff\xff\xff noise"))
		default:
			duplicate, unknownFirst := s.rng.Float64() < faults.Duplicate, s.rng.Float64() < faults.UnknownFirst
			time.AfterFunc(s.Work, func() { s.answer(conn, pending, msg, leg, duplicate, unknownFirst) })
		}
	case trunk.TypeRelease:
		if leg, isPending := pending[msg.Call]; isPending {
			delete(pending, msg.Call)
			s.rec.recordMessage("server", "in", s.Addr(), s.Node, "CANCEL", 0, id, leg, number)
		} else if call := s.calls[msg.Call]; call != nil {
			delete(s.calls, msg.Call)
			call.isReleased = true
			s.rec.recordMessage("server", "in", s.Addr(), s.Node, "BYE", 0, id, call.leg, number)
		}
	}
	return true
}

func (s *Server) refuse(conn net.Conn, pending map[uint64]string, msg *trunk.Message, cause byte, note string) {
	leg := pending[msg.Call]
	delete(pending, msg.Call)
	s.rec.recordMessage("server", "out", s.Addr(), s.Node, "INVITE", 503, formatID(msg.Call), leg, "")
	params := []trunk.Param{{Code: trunk.ParamCause, Value: []byte{cause}}}
	if note != "" {
		params = append(params, trunk.Param{Code: trunk.ParamNote, Value: []byte(note)})
	}
	s.write(conn, &trunk.Message{Type: trunk.TypeRelease, Call: msg.Call, Params: params})
}

func (s *Server) answer(conn net.Conn, pending map[uint64]string, msg *trunk.Message, leg string, duplicate, unknownFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending[msg.Call] != leg || !s.conns[conn] {
		return // abandoned in the meantime
	}
	delete(pending, msg.Call)
	reply := &trunk.Message{Type: trunk.TypeAnswer, Call: msg.Call, Params: []trunk.Param{{Code: trunk.ParamDescription,
		Value: []byte(Description(msg.Call))}}}
	if unknownFirst {
		s.write(conn, &trunk.Message{Type: trunk.TypeAnswer, Call: msg.Call ^ 1<<63, Params: reply.Params})
	}
	s.rec.recordMessage("server", "out", s.Addr(), s.Node, "INVITE", 200, formatID(msg.Call), leg, "")
	s.write(conn, reply)
	if duplicate {
		s.write(conn, reply)
	}
	call := &standingCall{conn: conn, leg: leg}
	s.calls[msg.Call] = call
	time.AfterFunc(s.Hold, func() { s.hangUp(msg.Call, call) })
}

// hangUp ends a call when its hold time is over: on the connection that carried its set-up, otherwise on any
// open one.
func (s *Server) hangUp(id uint64, call *standingCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.isReleased || s.calls[id] != call {
		return
	}
	delete(s.calls, id)
	conn := call.conn
	if !s.conns[conn] {
		for conn = range s.conns {
			break
		}
	}
	if s.conns[conn] {
		cause := trunk.Param{Code: trunk.ParamCause, Value: []byte{trunk.CauseNormal}}
		s.write(conn, &trunk.Message{Type: trunk.TypeRelease, Call: id, Params: []trunk.Param{cause}})
	}
}

// Description returns the description with which a server answers a call.
func Description(call uint64) string { return formatID(^call) + "\r\nc=IN IP4 10.9.9.9\r\n" }
