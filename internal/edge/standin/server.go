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

// Faults are the parts of a call server's set-ups that go wrong, each from 0 to 1.
type Faults struct {
	Full, Error float64 // refused
	Silent      float64 // never answered
	Spoilt      float64 // the answer is noise
	Reset       float64 // the connection is reset under the set-up
	Twice       float64 // the answer comes twice
	Ahead       float64 // an answer under an unknown id comes first
}

// Server is a call server.
type Server struct {
	Node string        // address of the node, for the capture
	Work time.Duration // from a set-up to its answer
	Hold time.Duration // a call stands for so long

	rec    *Recorder
	l      net.Listener
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	conns  map[net.Conn]bool
	calls  map[uint64]*standing
	legs   int
}

type standing struct {
	conn net.Conn
	leg  string
	over bool
}

// NewServer listens on an address.
func NewServer(addr, node string, rec *Recorder, seed uint64) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in call server: %w", err)
	}
	s := &Server{Node: node, Work: 5 * time.Millisecond, Hold: 500 * time.Millisecond, rec: rec, l: l, rng: rand.New(rand.NewPCG(seed, 1)),
		conns: map[net.Conn]bool{}, calls: map[uint64]*standing{}}
	go s.accept()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.l.Addr().String() }

// Set changes its faults.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Standing is how many calls stand there.
func (s *Server) Standing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// Die ends it as a killed process does: its port refuses, its connections are reset, its calls are cut.
func (s *Server) Die() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(s.calls)
	s.rec.add(rules.Record{Kind: "down", Self: s.Addr()})
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.write(c, &trunk.Message{Type: trunk.State, Params: []trunk.Param{{Code: trunk.Report, Value: []byte("free:100;size:100;lat_ms:1")}}})
		s.mu.Unlock()
		go s.serve(c)
	}
}

// write is called with the lock held.
func (s *Server) write(c net.Conn, m *trunk.Message) {
	if b, err := m.Append(nil); err == nil {
		_, _ = c.Write(b) // a node that has closed it hears nothing
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
	}()
	out := map[uint64]string{} // set-ups open here, by leg
	var stream trunk.Stream
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		stream.Feed(buf[:n])
		for {
			m, err := stream.Next()
			if err != nil {
				return // as call servers close on what they can't read
			}
			if m == nil {
				break
			}
			s.mu.Lock()
			ok := s.take(c, out, m)
			s.mu.Unlock()
			if !ok {
				return
			}
		}
	}
}

// take handles a message; false when the connection is to end. The lock is held.
func (s *Server) take(c net.Conn, out map[uint64]string, m *trunk.Message) bool {
	id, number := hex(m.Call), string(m.Get(trunk.Number))
	switch m.Type {
	case trunk.SetUp:
		s.legs++
		leg := fmt.Sprintf("-%s-%d", s.Addr(), s.legs)
		s.rec.message("server", "in", s.Addr(), s.Node, "INVITE", 0, id, leg, number)
		s.rec.message("server", "out", s.Addr(), s.Node, "INVITE", 100, id, leg, number)
		out[m.Call] = leg
		draw := s.rng.Float64()
		hit := func(part float64) bool {
			draw -= part
			return draw < 0 && draw >= -part
		}
		f := s.faults
		switch {
		case hit(f.Full):
			s.refuse(c, out, m, trunk.CauseFull, "overload")
		case hit(f.Error):
			s.refuse(c, out, m, trunk.CauseFault, "")
		case hit(f.Silent):
		case hit(f.Reset):
			s.rec.add(rules.Record{Kind: "reset", Self: s.Addr()})
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		case hit(f.Spoilt):
			s.rec.add(rules.Record{Kind: "reset", Self: s.Addr()}) // of no further use
			_, _ = c.Write([]byte("\xff\xff\xff noise"))
		default:
			twice, ahead := s.rng.Float64() < f.Twice, s.rng.Float64() < f.Ahead
			time.AfterFunc(s.Work, func() { s.answer(c, out, m, leg, twice, ahead) })
		}
	case trunk.Release:
		if leg, open := out[m.Call]; open {
			delete(out, m.Call)
			s.rec.message("server", "in", s.Addr(), s.Node, "CANCEL", 0, id, leg, number)
		} else if k := s.calls[m.Call]; k != nil {
			delete(s.calls, m.Call)
			k.over = true
			s.rec.message("server", "in", s.Addr(), s.Node, "BYE", 0, id, k.leg, number)
		}
	}
	return true
}

func (s *Server) refuse(c net.Conn, out map[uint64]string, m *trunk.Message, cause byte, note string) {
	leg := out[m.Call]
	delete(out, m.Call)
	s.rec.message("server", "out", s.Addr(), s.Node, "INVITE", 503, hex(m.Call), leg, "")
	params := []trunk.Param{{Code: trunk.CauseOf, Value: []byte{cause}}}
	if note != "" {
		params = append(params, trunk.Param{Code: trunk.Note, Value: []byte(note)})
	}
	s.write(c, &trunk.Message{Type: trunk.Release, Call: m.Call, Params: params})
}

func (s *Server) answer(c net.Conn, out map[uint64]string, m *trunk.Message, leg string, twice, ahead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out[m.Call] != leg || !s.conns[c] {
		return // given up meanwhile
	}
	delete(out, m.Call)
	good := &trunk.Message{Type: trunk.Answer, Call: m.Call, Params: []trunk.Param{{Code: trunk.Description,
		Value: []byte(Description(m.Call))}}}
	if ahead {
		s.write(c, &trunk.Message{Type: trunk.Answer, Call: m.Call ^ 1<<63, Params: good.Params})
	}
	s.rec.message("server", "out", s.Addr(), s.Node, "INVITE", 200, hex(m.Call), leg, "")
	s.write(c, good)
	if twice {
		s.write(c, good)
	}
	k := &standing{conn: c, leg: leg}
	s.calls[m.Call] = k
	time.AfterFunc(s.Hold, func() { s.hangUp(m.Call, k) })
}

// hangUp ends a call at its time: on the connection its set-up came on, else on any.
func (s *Server) hangUp(id uint64, k *standing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.over || s.calls[id] != k {
		return
	}
	delete(s.calls, id)
	c := k.conn
	if !s.conns[c] {
		for c = range s.conns {
			break
		}
	}
	if s.conns[c] {
		cause := trunk.Param{Code: trunk.CauseOf, Value: []byte{trunk.CauseNormal}}
		s.write(c, &trunk.Message{Type: trunk.Release, Call: id, Params: []trunk.Param{cause}})
	}
}

// Description is the one that a server gives for a call.
func Description(call uint64) string { return hex(^call) + "\r\nc=IN IP4 10.9.9.9\r\n" }
