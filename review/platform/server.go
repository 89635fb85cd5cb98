package platform

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Types and causes of the binary messages.
const (
	typeSetUp, typeAnswer, typeRelease, typeReleaseHeard, typeState = 1, 9, 12, 16, 43
	causeNormal                                                     = 16
)

// Server is a call server. It answers each set-up after Work and ends each call after Hold.
type Server struct {
	ID        string
	Cell      int
	Addr      string
	rec       *Record
	ln        net.Listener
	mu        sync.Mutex
	work      time.Duration
	hold      time.Duration
	conns     []*serverConn
	calls     map[uint64]*serverCall // calls that stand
	unheard   []uint64               // releases that go out on the next connection too
	ends      *Ends
	isLost    bool
	others    int        // lines that calls of other access nodes take
	toldAt    time.Time  // when the state was last sent
	dummies   []net.Conn // fill the queue of a lost machine
	toldLines int
}

type serverConn struct {
	net.Conn
	pending map[uint64]bool
	buf     []byte
}

type serverCall struct {
	conn  *serverConn
	timer *time.Timer
}

// NewServer starts a call server at an address; port 0 stands for a free port.
func NewServer(id string, cell int, addr string, rec *Record, ends *Ends) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Cell: cell, Addr: ln.Addr().String(), rec: rec, ln: ln, ends: ends, calls: map[uint64]*serverCall{},
		work: 4 * time.Millisecond, hold: 8 * time.Second}
	go s.accept()
	go s.tellState()
	return s, nil
}

// Member returns the server's entry in the list.
func (s *Server) Member(phase string, upSinceMs int64) Member {
	return Member{ID: s.ID, Addr: s.Addr, Cell: s.Cell, Phase: phase, UpSinceMs: upSinceMs, ZoneOfSite: "bergvik-sentrum"}
}

// Set changes how long a set-up waits for its answer and how long calls last, for set-ups from now on.
func (s *Server) Set(work, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work, s.hold = work, hold
}

// Standing returns how many calls stand.
func (s *Server) Standing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		s.mu.Lock()
		isLost := s.isLost
		if err != nil {
			s.mu.Unlock()
			if !isLost {
				return
			}
			time.Sleep(5 * time.Millisecond) // woken up by Lose
			continue
		}
		if isLost {
			s.dummies = append(s.dummies, conn)
			s.mu.Unlock()
			continue
		}
		c := &serverConn{Conn: conn, pending: map[uint64]bool{}}
		s.conns = append(s.conns, c)
		s.rec.Add(s.ID, "connection %s is open", conn.RemoteAddr())
		s.writeState(c)
		for _, call := range s.unheard {
			s.release(c, call, causeNormal)
		}
		s.unheard = nil
		s.mu.Unlock()
		go s.serve(c)
	}
}

// tellState sends the state on at most four connections, a second after it has changed at the latest.
func (s *Server) tellState() {
	for range time.Tick(time.Second) {
		s.mu.Lock()
		if lines := len(s.calls) + s.others; s.toldLines != lines && !s.isLost {
			s.toldLines, s.toldAt = lines, time.Now()
			for i, c := range s.conns {
				if i < 4 {
					s.writeState(c)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *Server) writeState(c *serverConn) {
	s.write(c, typeState, 0, param{19, fmt.Appendf(nil, "free:%d;size:200", 200-len(s.calls)-s.others)})
}

type param struct {
	code  byte
	value []byte
}

func (s *Server) write(c *serverConn, kind byte, call uint64, params ...param) {
	msg := binary.BigEndian.AppendUint64([]byte{0, 0, kind}, call)
	for _, p := range params {
		msg = append(binary.BigEndian.AppendUint16(append(msg, p.code), uint16(len(p.value))), p.value...)
	}
	binary.BigEndian.PutUint16(msg, uint16(len(msg)-2))
	_, _ = c.Write(msg)
}

func (s *Server) release(c *serverConn, call uint64, cause byte) {
	s.rec.Add(s.ID, "release of %016x, cause %d, on %s", call, cause, c.RemoteAddr())
	s.write(c, typeRelease, call, param{29, []byte{cause}})
}

func (s *Server) serve(c *serverConn) {
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		s.mu.Lock()
		for s.isLost { // a lost machine neither reads nor says anything
			s.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			s.mu.Lock()
		}
		if err != nil || !s.isOpen(c) {
			s.rec.Add(s.ID, "connection %s has ended", c.RemoteAddr())
			s.drop(c)
			s.mu.Unlock()
			return
		}
		c.buf = append(c.buf, buf[:n]...)
		for len(c.buf) >= 11 && len(c.buf) >= 2+int(binary.BigEndian.Uint16(c.buf)) {
			length := 2 + int(binary.BigEndian.Uint16(c.buf))
			s.handle(c, c.buf[2], binary.BigEndian.Uint64(c.buf[3:]))
			c.buf = c.buf[length:]
		}
		s.mu.Unlock()
	}
}

func (s *Server) isOpen(c *serverConn) bool {
	for _, other := range s.conns {
		if other == c {
			return true
		}
	}
	return false
}

func (s *Server) drop(c *serverConn) {
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
	clear(c.pending) // the set-ups open on it are given up
	c.Close()
}

// handle handles a message; the lock is held.
func (s *Server) handle(c *serverConn, kind byte, call uint64) {
	switch kind {
	case typeSetUp:
		s.rec.Add(s.ID, "set-up of %016x on %s", call, c.RemoteAddr())
		c.pending[call] = true
		hold := s.hold
		time.AfterFunc(s.work, func() { s.answer(c, call, hold) })
	case typeRelease:
		s.rec.Add(s.ID, "released by the node: %016x on %s", call, c.RemoteAddr())
		delete(c.pending, call)
		if standing := s.calls[call]; standing != nil {
			standing.timer.Stop()
			delete(s.calls, call)
		}
		s.write(c, typeReleaseHeard, call)
	}
}

func (s *Server) answer(c *serverConn, call uint64, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isLost || !c.pending[call] || !s.isOpen(c) {
		return // given up in the meantime
	}
	delete(c.pending, call)
	s.rec.Add(s.ID, "answer to %016x on %s", call, c.RemoteAddr())
	s.write(c, typeAnswer, call, param{31, []byte(Description(call))})
	standing := &serverCall{conn: c}
	standing.timer = time.AfterFunc(hold, func() { s.end(call, standing) })
	s.calls[call] = standing
}

// end ends a call: its release goes out on the connection of its set-up, otherwise on any open one, and also on the
// next one that is opened.
func (s *Server) end(call uint64, standing *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[call] != standing {
		return
	}
	delete(s.calls, call)
	c := standing.conn
	if !s.isOpen(c) {
		c = nil
		if len(s.conns) > 0 {
			c = s.conns[0]
		}
	}
	s.ends.add(End{Call: call, Server: s.ID, At: s.rec.Now(), Released: c != nil})
	if c != nil {
		s.release(c, call, causeNormal)
	}
	s.unheard = append(s.unheard, call)
}

// SetOthers changes how many lines calls of other access nodes take.
func (s *Server) SetOthers(lines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = lines
}

// ToldAt returns when the server last sent its state unasked.
func (s *Server) ToldAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.toldAt
}

// Lose takes the machine away: open connections stay open and silent, and new ones never come up. Its calls are over.
func (s *Server) Lose() error {
	raw, err := s.ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.isLost, s.unheard = true, nil
	s.rec.Add(s.ID, "the machine is lost with %d calls that stood", len(s.calls))
	s.cutAll()
	s.mu.Unlock()
	_ = s.ln.(*net.TCPListener).SetDeadline(time.Now())
	time.Sleep(10 * time.Millisecond)
	if err := raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 8 { // a full queue: the kernel ignores further connections
		conn, err := net.DialTimeout("tcp", s.Addr, 50*time.Millisecond)
		if err != nil {
			return nil
		}
		s.mu.Lock()
		s.dummies = append(s.dummies, conn)
		s.mu.Unlock()
	}
	return fmt.Errorf("%s: connections still come up", s.ID)
}

// Return starts the machine again, cold, under the same id and address: its old connections are reset.
func (s *Server) Return() error {
	listener := s.ln.(*net.TCPListener)
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.dummies {
		conn.Close()
	}
	for _, c := range s.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.dummies, s.conns, s.isLost = nil, nil, false
	s.rec.Add(s.ID, "the machine is back, started anew")
	if err := raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), unix.SOMAXCONN) }); err != nil {
		return err
	}
	return listener.SetDeadline(time.Time{})
}

// Die ends the process: its port refuses, its connections are reset, and its calls are cut.
func (s *Server) Die() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.Add(s.ID, "the process dies with %d calls that stood", len(s.calls))
	for _, c := range s.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns = nil
	s.cutAll()
}

// cutAll ends all calls without a word; the lock is held.
func (s *Server) cutAll() {
	for call, standing := range s.calls {
		standing.timer.Stop()
		delete(s.calls, call)
		s.rec.Add(s.ID, "over, without a word: %016x", call)
		s.ends.add(End{Call: call, Server: s.ID, At: s.rec.Now()})
	}
}

// Close ends the server.
func (s *Server) Close() { s.ln.Close() }

// Description is the description with which a call is answered.
func Description(call uint64) string { return fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.9\r\n", ^call) }
