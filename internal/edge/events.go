package edge

import (
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

type eventKind uint8

const (
	callerAccepted eventKind = iota
	callerRead
	trunkRead
	trunkDialed
	listReceived
	writeFinished
)

// loopEvent is a message from a goroutine to the event loop.
type loopEvent struct {
	kind           eventKind
	sock           *socket
	conn           *net.TCPConn  // for callerAccepted and trunkDialed
	id             access.ConnID // for trunkDialed
	receivedAt     time.Duration
	callerMessages []*sip.Message
	trunkMessages  []*trunk.Message
	hasBytes       bool  // bytes have been received, which need not complete a message
	partialBytes   int   // bytes of an incomplete message that have been received
	protocolErr    error // the input cannot be parsed
	connErr        error // the connection has ended, or the dial or write has failed
	list           *feed.List
	listApplied    chan struct{} // closed once the node has applied the list
	eventNumber    uint64        // number of the command channel event with the list
}

// sharedState is shared by all goroutines of the node.
type sharedState struct {
	events      chan loopEvent
	done        chan struct{}
	startedAt   time.Time
	log         *slog.Logger
	socketCount atomic.Int64
	backlogGate backlogGate
}

func (s *sharedState) clock() time.Duration { return clockStart + time.Since(s.startedAt) }

// post sends an event to the loop. It returns false if the loop has ended.
func (s *sharedState) post(event loopEvent) bool {
	select {
	case s.events <- event:
		return true
	case <-s.done:
		return false
	}
}

// startSocket starts reading from a connection. It returns nil if the connection is already broken.
func (el *eventLoop) startSocket(id access.ConnID, conn *net.TCPConn, isTrunk bool) *socket {
	sock, err := newSocket(id, conn, isTrunk)
	if err != nil {
		el.socketCount.Add(-1)
		conn.Close()
		return nil
	}
	el.sockets[id] = sock
	go sock.read(el.sharedState)
	return sock
}

// handle passes an event of a connection to the node. List updates are handled by handleBatch.
func (el *eventLoop) handle(event *loopEvent) {
	switch event.kind {
	case callerAccepted:
		if sock := el.startSocket(el.node.NewConn(), event.conn, false); sock != nil {
			el.node.CallerOpened(el.clock(), sock.id)
		}
	case trunkDialed:
		el.handleDialed(event)
	case writeFinished:
		el.writeDone(event)
	case callerRead, trunkRead:
		el.handleRead(event)
	}
}

// handleDialed handles the result of a dial to a call server.
func (el *eventLoop) handleDialed(event *loopEvent) {
	isWanted := el.wantedDials[event.id]
	delete(el.wantedDials, event.id)
	switch {
	case event.conn == nil:
		if isWanted {
			el.node.TrunkDialFailed(el.clock(), event.id, errors.Is(event.connErr, syscall.ECONNREFUSED))
		}
	case !isWanted:
		el.socketCount.Add(-1)
		event.conn.Close()
	default:
		now := el.clock()
		if sock := el.startSocket(event.id, event.conn, true); sock != nil {
			el.node.TrunkOpened(now, sock.id)
		} else {
			el.node.TrunkDialFailed(now, event.id, false)
		}
	}
}

// handleRead handles what was read from a connection.
func (el *eventLoop) handleRead(event *loopEvent) {
	sock := event.sock
	if el.sockets[sock.id] != sock {
		return
	}
	if sock.isTrunk {
		el.handleTrunkInput(event)
	} else {
		el.handleCallerInput(event)
	}
	if event.connErr != nil {
		sock.isClosed.Store(true)
		delete(el.sockets, sock.id)
	}
	select {
	case sock.eventHandled <- struct{}{}:
	default:
	}
}

// handleTrunkInput passes what a call server has sent to the node.
func (el *eventLoop) handleTrunkInput(event *loopEvent) {
	now, conn := el.clock(), event.sock.id
	if event.hasBytes {
		el.node.TrunkBytesReceived(now, conn)
	}
	for _, msg := range event.trunkMessages {
		el.node.TrunkMessage(el.clock(), conn, msg)
	}
	el.node.TrunkPartialMessage(now, conn, event.partialBytes)
	if event.protocolErr != nil {
		el.node.TrunkProtocolError(now, conn, event.protocolErr)
	}
	if event.connErr != nil {
		el.node.TrunkClosed(now, conn, event.connErr.Error())
	}
}

// handleCallerInput passes what a caller has sent to the node.
func (el *eventLoop) handleCallerInput(event *loopEvent) {
	now, conn := el.clock(), event.sock.id
	for _, msg := range event.callerMessages {
		el.node.CallerMessage(el.clock(), event.receivedAt, conn, msg)
	}
	el.node.CallerPartialMessage(now, conn, event.partialBytes)
	if event.protocolErr != nil {
		el.node.CallerProtocolError(now, conn, event.protocolErr)
	}
	if event.connErr != nil {
		el.node.CallerClosed(now, conn)
	}
}
