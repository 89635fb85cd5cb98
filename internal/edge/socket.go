package edge

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

// Bounds of what a connection may hold.
const (
	pendingMost  = 256 << 10 // bytes that a caller has not read yet
	lingerFor    = 300 * time.Millisecond
	lingerMost   = 64 << 10 // bytes read and thrown away while a connection is closed
	readSize     = 4096
	messagesEach = 64 // messages handed over at a time, so that one connection does not hold up the others
)

// socket is one connection. The loop writes, a goroutine of its own reads.
type socket struct {
	id      access.Conn
	conn    *net.TCPConn
	raw     syscall.RawConn
	trunk   bool
	out     []byte        // written at the end of the turn
	stuck   bool          // a goroutine writes what the kernel did not take
	closing bool          // once what is to be written has gone
	taken   chan struct{} // the loop has taken what was read last
	ended   atomic.Bool   // nothing of it goes to the loop any more
	dirty   bool
}

func newSocket(id access.Conn, c *net.TCPConn, isTrunk bool) (*socket, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{id: id, conn: c, raw: raw, trunk: isTrunk, taken: make(chan struct{}, 1)}, nil
}

// write hands bytes to the kernel without waiting. What it does not take is left in s.out.
func (s *socket) write() error {
	var err error
	var n int
	werr := s.raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), s.out)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if werr != nil {
		return werr
	}
	if n > 0 {
		s.out = s.out[n:]
	}
	if len(s.out) == 0 {
		s.out = nil
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

// gone says whether the other side has ended the connection, in order or with a reset, however many bytes of it are unread.
func (s *socket) gone() bool {
	var ended bool
	err := s.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		ended = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && ended // where it is closed here, the node has been told
}

// shut ends a connection so that the other side can still read what was written: an end of file goes out, what still
// comes is thrown away for a moment by the reading goroutine, which closes it.
func (s *socket) shut(atOnce bool) {
	s.ended.Store(true)
	if atOnce {
		s.conn.Close()
	} else {
		_ = s.conn.CloseWrite()
		_ = s.conn.SetReadDeadline(time.Now().Add(lingerFor))
	}
	select {
	case s.taken <- struct{}{}:
	default:
	}
}

// read reads until the connection ends.
func (s *socket) read(h *hub) {
	defer h.sockets.Add(-1)
	defer s.conn.Close()
	var buf [readSize]byte
	var calls sip.Stream
	var lines trunk.Stream
	calls.Limits = caller.Limits
	thrown := 0
	for {
		n, err := s.conn.Read(buf[:])
		if s.ended.Load() {
			if thrown += n; err != nil || thrown > lingerMost {
				return
			}
			continue
		}
		ev := event{kind: fromCaller, sock: s, at: h.clock()}
		if s.trunk {
			ev.kind = fromTrunk
		}
		if n > 0 {
			if s.trunk {
				lines.Feed(buf[:n])
			} else {
				calls.Feed(buf[:n])
			}
		}
		for more := true; more; {
			ev.calls, ev.lines, more = nil, nil, false
			for len(ev.calls)+len(ev.lines) < messagesEach && ev.fault == nil {
				if s.trunk {
					m, fault := lines.Next()
					if ev.fault = fault; m == nil {
						break
					}
					ev.lines = append(ev.lines, m)
				} else {
					m, fault := calls.Next()
					if ev.fault = fault; m == nil {
						break
					}
					ev.calls = append(ev.calls, m)
				}
			}
			more = len(ev.calls)+len(ev.lines) == messagesEach && ev.fault == nil
			ev.part = !s.trunk && calls.Mid()
			if err != nil && !more {
				ev.lost = err
			}
			if !h.post(ev) || ev.lost != nil {
				return
			}
			<-s.taken
			if s.ended.Load() {
				break
			}
		}
	}
}
