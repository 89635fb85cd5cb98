package peers

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Types of the binary messages, and causes of a release.
const (
	typeSetUp   = 1
	typeAnswer  = 9
	typeRelease = 12
	typeState   = 43
	causeNormal = 16
)

// setUp is a set-up that has reached a call server whole.
type setUp struct {
	call        uint64
	number      string // number called
	at          time.Duration
	isAnswered  bool
	givenUpAt   time.Duration // when the node's release of the open set-up was read; 0: never
	endedAt     time.Duration // when the call that stood was over; 0: it stands
	endedByNode bool
}

// callServer is a call server of the platform.
type callServer struct {
	w    *world
	id   string
	addr string
	cell int
	work time.Duration // from a set-up to its answer
	hold time.Duration // how long a call stands

	mu            sync.Mutex
	listener      net.Listener
	conns         map[net.Conn]bool
	isDead        map[net.Conn]bool // an answer on it has stopped short: nothing more arrives from it
	willStopShort bool              // with the next answer
	setUps        []*setUp
	releases      [][]byte // of calls that have ended: sent on the next connection too
	isHung        bool
	resumed       chan struct{} // closed when the server no longer hangs
}

func (w *world) newCallServer(id string, cell int, hold time.Duration) *callServer {
	s := &callServer{w: w, id: id, addr: "127.0.0.1:0", cell: cell, work: 10 * time.Millisecond, hold: hold,
		conns: map[net.Conn]bool{}, isDead: map[net.Conn]bool{}}
	s.listen()
	s.addr = s.listener.Addr().String()
	return s
}

func (s *callServer) listen() {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.w.fail("call server %s: %v", s.id, err)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
}

// setHung makes the server neither read nor write, or go on.
func (s *callServer) setHung(isHung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.logf("%s hangs: %v", s.id, isHung)
	if s.isHung == isHung {
		return
	}
	if s.isHung = isHung; isHung {
		s.resumed = make(chan struct{})
	} else {
		close(s.resumed)
	}
}

// waitWhileHung returns once the server does not hang.
func (s *callServer) waitWhileHung() {
	s.mu.Lock()
	isHung, resumed := s.isHung, s.resumed
	s.mu.Unlock()
	if isHung {
		<-resumed
	}
}

func binaryMessage(typ byte, call uint64, params ...[]byte) []byte {
	length := 9
	for _, p := range params {
		length += len(p)
	}
	b := binary.BigEndian.AppendUint16(nil, uint16(length))
	b = binary.BigEndian.AppendUint64(append(b, typ), call)
	for _, p := range params {
		b = append(b, p...)
	}
	return b
}

func param(code byte, value []byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte{code}, uint16(len(value))), value...)
}

// values returns the parameters of a message by their codes.
func values(payload []byte) map[byte][]byte {
	all := map[byte][]byte{}
	for len(payload) >= 3 {
		length := int(binary.BigEndian.Uint16(payload[1:]))
		if length+3 > len(payload) {
			break
		}
		all[payload[0]] = payload[3 : 3+length]
		payload = payload[3+length:]
	}
	return all
}

func (s *callServer) serve(conn net.Conn) {
	s.waitWhileHung()
	s.mu.Lock()
	s.conns[conn] = true
	report := fmt.Appendf(nil, "free:100;size:100;lat_ms:1")
	_, _ = conn.Write(binaryMessage(typeState, 0, param(19, report)))
	for _, release := range s.releases { // of calls that have ended: also on the next connection
		_, _ = conn.Write(release)
	}
	s.releases = nil
	s.mu.Unlock()
	s.w.logf("%s: connection from %s", s.id, conn.RemoteAddr())
	pending := map[uint64]*setUp{}
	for {
		payload, err := readMessage(conn)
		s.waitWhileHung()
		if err != nil {
			break
		}
		s.handle(conn, pending, payload)
	}
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.w.logf("%s: connection from %s has ended", s.id, conn.RemoteAddr())
	for _, p := range pending { // the set-ups open on it are given up
		p.givenUpAt = s.w.now()
	}
}

func readMessage(conn net.Conn) ([]byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return nil, err
	}
	payload := make([]byte, binary.BigEndian.Uint16(head[:]))
	if len(payload) < 9 {
		return nil, io.ErrUnexpectedEOF
	}
	_, err := io.ReadFull(conn, payload)
	return payload, err
}

func (s *callServer) handle(conn net.Conn, pending map[uint64]*setUp, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call, params := binary.BigEndian.Uint64(payload[1:]), values(payload[9:])
	switch payload[0] {
	case typeSetUp:
		su := &setUp{call: call, number: string(params[9]), at: s.w.now()}
		s.setUps = append(s.setUps, su)
		pending[call] = su
		s.w.logf("%s: set-up of %016x, number %s, class %s, waits %s ms", s.id, call, su.number, params[1], params[3])
		time.AfterFunc(s.work, func() { s.answer(conn, pending, su) })
	case typeRelease:
		s.w.logf("%s: release of %016x, cause %v", s.id, call, params[29])
		if su := pending[call]; su != nil {
			su.givenUpAt = s.w.now()
			delete(pending, call)
			return
		}
		for _, su := range s.setUps {
			if su.call == call && su.isAnswered && su.endedAt == 0 {
				su.endedAt, su.endedByNode = s.w.now(), true
			}
		}
	}
}

func (s *callServer) answer(conn net.Conn, pending map[uint64]*setUp, su *setUp) {
	s.waitWhileHung()
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending[su.call] != su || !s.conns[conn] {
		return
	}
	delete(pending, su.call)
	su.isAnswered = true
	s.w.logf("%s: answer of %016x, the call stands", s.id, su.call)
	answer := binaryMessage(typeAnswer, su.call, param(31, []byte(description(su.call))))
	if s.willStopShort {
		s.w.logf("%s: this answer stops short, and nothing more arrives on the connection to %s", s.id, conn.RemoteAddr())
		_, _ = conn.Write(answer[:len(answer)/2])
		s.willStopShort, s.isDead[conn] = false, true
	}
	s.write(conn, answer)
	time.AfterFunc(s.hold, func() { s.endCall(conn, su) })
}

// endCall ends a call that stands: its release goes on the connection of its set-up, otherwise on any open one.
func (s *callServer) endCall(conn net.Conn, su *setUp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if su.endedAt > 0 {
		return
	}
	su.endedAt = s.w.now()
	if !s.conns[conn] {
		for conn = range s.conns {
			break
		}
	}
	s.w.logf("%s: call %016x has come to its end", s.id, su.call)
	release := binaryMessage(typeRelease, su.call, param(29, []byte{causeNormal}))
	if s.conns[conn] {
		s.write(conn, release)
	}
	s.releases = append(s.releases, release)
}

// write writes a message, unless nothing arrives from the connection any more. The caller holds the lock.
func (s *callServer) write(conn net.Conn, message []byte) {
	if !s.isDead[conn] {
		_, _ = conn.Write(message)
	}
}

// stopShort makes the next answer stop short.
func (s *callServer) stopShort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.willStopShort = true
}

// seen returns copies of the set-ups that have reached the server.
func (s *callServer) seen() (all []setUp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, su := range s.setUps {
		all = append(all, *su)
	}
	return all
}

// description is what a call server answers for a call.
func description(call uint64) string { return fmt.Sprintf("%016x\r\nc=IN IP4 127.9.9.9\r\n", ^call) }

// member is the server's entry in a list event.
func (s *callServer) member(phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"zone-1","flavor":"standard-1core","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		s.id, s.addr, s.cell, phase)
}
