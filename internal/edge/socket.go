package edge

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"larkrouter/internal/edge/access"
)

// Limits of a connection.
const (
	maxUnsentBytes = 256 << 10 // bytes that a caller has not read yet
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 64 << 10 // bytes read and discarded while a connection is closed
)

// socket is one connection. The event loop writes to it, and a goroutine of its own reads from it.
type socket struct {
	id              access.ConnID
	conn            *net.TCPConn
	raw             syscall.RawConn
	isTrunk         bool
	unsent          []byte        // written at the end of the loop's current turn
	isWriteBlocked  bool          // a goroutine is writing what the kernel did not accept
	closeAfterFlush bool          // close once the unsent bytes are written
	eventHandled    chan struct{} // signals that the loop has handled the last event of the reader
	isClosed        atomic.Bool   // the reader sends no more events to the loop
	closed          chan struct{} // closed once this side has closed the connection
	isUnflushed     bool

	hasUnhandledInput atomic.Bool // the reader has read bytes that the loop has not handled
}

func newSocket(id access.ConnID, conn *net.TCPConn, isTrunk bool) (*socket, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{id: id, conn: conn, raw: raw, isTrunk: isTrunk, eventHandled: make(chan struct{}, 1),
		closed: make(chan struct{})}, nil
}

// write writes the unsent bytes without blocking. Bytes that the kernel does not accept stay in s.unsent.
func (s *socket) write() error {
	var err error
	var n int
	rawErr := s.raw.Write(func(fd uintptr) bool {
		for {
			n, err = syscall.Write(int(fd), s.unsent)
			if err != syscall.EINTR {
				return true
			}
		}
	})
	if rawErr != nil {
		return rawErr
	}
	if n > 0 {
		s.unsent = s.unsent[n:]
	}
	if len(s.unsent) == 0 {
		s.unsent = nil
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

// hasPeerClosed reports whether the peer has closed the connection, with a FIN or a reset, even if unread bytes
// are buffered. The event loop, which has not closed the connection, asks.
func (s *socket) hasPeerClosed() bool {
	var isClosed bool
	err := s.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		isClosed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return isClosed || err != nil // an error: the reader has closed it at its end, and its event is on the way
}

// hasUnreadInput reports whether bytes have arrived that the loop has not handled.
func (s *socket) hasUnreadInput() bool {
	return s.hasUnhandledInput.Load() || s.isReadable()
}

// isReadable reports whether bytes wait to be read.
func (s *socket) isReadable() bool {
	var isReadable bool
	err := s.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		isReadable = err == nil && n > 0 && fds[0].Revents == unix.POLLIN
	})
	return err == nil && isReadable
}

// closeConn closes a connection. Unless immediately is set, it sends a FIN so that the peer can still read what was
// written, and the reading goroutine discards input for a short time before it closes the socket.
func (s *socket) closeConn(immediately bool) {
	s.isClosed.Store(true)
	if immediately {
		s.conn.Close()
	} else {
		_ = s.conn.CloseWrite()
		_ = s.conn.SetReadDeadline(time.Now()) // the reader frees what it holds, and lingers
	}
	close(s.closed)
	select {
	case s.eventHandled <- struct{}{}:
	default:
	}
}
