package edge

import (
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"larkrouter/internal/edge/admission"
	"larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

const (
	readSize            = 4096
	maxMessagesPerEvent = 64 // messages per event, so that one connection does not delay the others
)

// reader reads the messages of one connection and passes them to the event loop. It waits until the loop has handled each event, so
// that no connection gets ahead of the others.
type reader struct {
	*socket
	state        *sharedState
	callerStream sip.Stream
	trunkStream  trunk.Stream
	backlog      admission.Backlog // of its input
}

// read reads from a connection until it ends.
func (s *socket) read(state *sharedState) {
	defer state.socketCount.Add(-1)
	defer s.conn.Close()
	r := &reader{socket: s, state: state, callerStream: sip.Stream{Limits: caller.Limits}}
	for !s.isClosed.Load() {
		n, err := s.receive(r.feed)
		if s.isClosed.Load() {
			break
		}
		if !r.deliver(n > 0, err) {
			return
		}
		if s.isClosed.Load() {
			break
		}
		r.backlog.Observe(s.isReadable())
		if r.backlog.IsPersistent() && !state.backlogGate.wait(state.done) {
			return
		}
	}
	s.linger()
}

// readBuffers holds the buffers of readSize bytes that connections are read into. A connection has one only while bytes are read, so that
// silent ones take little memory.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// receive waits for bytes and passes them to use, which must not keep them.
func (s *socket) receive(use func([]byte)) (n int, err error) {
	var readErr error
	err = s.raw.Read(func(fd uintptr) bool {
		buf := readBuffers.Get().(*[readSize]byte)
		defer readBuffers.Put(buf)
		for {
			n, readErr = syscall.Read(int(fd), buf[:])
			if readErr != syscall.EINTR {
				break
			}
		}
		n = max(n, 0)
		use(buf[:n])
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return n, err
	case readErr != nil:
		return n, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// linger discards input for a short time after this side has closed the connection, so that the peer can still read what was written.
func (s *socket) linger() {
	<-s.closed
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for discarded := 0; discarded <= maxLingerBytes; {
		n, err := s.receive(func([]byte) {})
		if err != nil {
			return
		}
		discarded += n
	}
}

// feed adds bytes that were read to the stream of messages.
func (r *reader) feed(data []byte) {
	if len(data) == 0 {
		return
	}
	r.hasUnhandledInput.Store(true)
	if r.isTrunk {
		r.trunkStream.Feed(data)
	} else {
		r.callerStream.Feed(data)
	}
}

// deliver passes the complete messages to the loop, and the error that has ended the connection, if any. It returns false if there is
// nothing more to read.
func (r *reader) deliver(hasBytes bool, readErr error) (isOpen bool) {
	event := loopEvent{kind: callerRead, sock: r.socket, receivedAt: r.state.clock(), hasBytes: hasBytes}
	if r.isTrunk {
		event.kind = trunkRead
	}
	for more := true; more; {
		more = r.parse(&event)
		event.partialBytes = r.incompleteBytes()
		if !more {
			event.connErr = readErr
		}
		if !r.state.post(event) || event.connErr != nil {
			return false
		}
		<-r.eventHandled
		r.hasUnhandledInput.Store(more)
		if r.isClosed.Load() {
			break
		}
	}
	return true
}

// incompleteBytes returns the number of bytes that have been read and not yet been passed on as a message.
func (r *reader) incompleteBytes() int {
	if r.isTrunk {
		return r.trunkStream.Buffered()
	}
	return r.callerStream.Held()
}

// parse sets the next messages of an event. It returns true if there may be more.
func (r *reader) parse(event *loopEvent) (more bool) {
	event.callerMessages, event.trunkMessages = nil, nil
	for range maxMessagesPerEvent {
		var isComplete bool
		if r.isTrunk {
			var msg *trunk.Message
			if msg, event.protocolErr = r.trunkStream.Next(); msg != nil {
				event.trunkMessages = append(event.trunkMessages, msg)
				isComplete = true
			}
		} else {
			var msg *sip.Message
			if msg, event.protocolErr = r.callerStream.Next(); msg != nil {
				event.callerMessages = append(event.callerMessages, msg)
				isComplete = true
			}
		}
		if event.protocolErr != nil || !isComplete {
			return false
		}
	}
	return true
}
