package edge

import (
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
	discarded    int     // bytes read since this side closed the connection
	backlog      backlog // of its input
}

// read reads from a connection until it ends.
func (s *socket) read(state *sharedState) {
	defer state.socketCount.Add(-1)
	defer s.conn.Close()
	r := &reader{socket: s, state: state, callerStream: sip.Stream{Limits: caller.Limits}}
	var buf [readSize]byte
	for {
		n, err := s.conn.Read(buf[:])
		if s.isClosed.Load() {
			if r.discarded += n; err != nil || r.discarded > maxLingerBytes {
				return
			}
			continue
		}
		r.feed(buf[:n])
		if !r.deliver(n > 0, err) {
			return
		}
		if s.isClosed.Load() {
			continue
		}
		r.backlog.observe(s.isReadable())
		if r.backlog.isPersistent() && !state.backlogGate.wait(state.done) {
			return
		}
	}
}

// feed adds bytes that were read to the stream of messages.
func (r *reader) feed(data []byte) {
	switch {
	case len(data) == 0:
	case r.isTrunk:
		r.trunkStream.Feed(data)
	default:
		r.hasUnhandledInput.Store(true)
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
		event.isPartial = !r.isTrunk && r.callerStream.IsMidMessage()
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
