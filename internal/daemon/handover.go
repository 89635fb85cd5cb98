package daemon

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larkrouter/internal/sip/transport"
)

// Upgrade protocol. The running process (the predecessor) starts the installed program (the successor) with its SIP sockets
// as inherited descriptors and a channel (a Unix socket pair) between the two. Both may send on the shared sockets. Only the
// predecessor reads datagrams; it forwards messages that belong to none of its calls. Thus every message reaches the process
// that has its call or transaction, and none is rejected. The frames are:
//
//	successor:   "prepared"  the configuration is valid
//	predecessor: "go"        the predecessor has closed the store and the SNMP agent
//	successor:   "ready"     the successor serves and accepts connections
//	predecessor: "packet", "lost", "refused" and "journal" as they occur
//	successor:   "send"      a message for a connection that the predecessor holds
//	predecessor: "end": all its calls have ended; the successor reads the sockets itself
//
// If the channel closes without "end", the successor also releases the calls that the journal has as standing.
//
// If the successor fails before "ready", the predecessor reopens the store and the agent and continues to serve.

const (
	takeoverEnv    = "LARKROUTER_TAKEOVER"  // set for the successor
	prepareTimeout = 10 * time.Second       // for the successor to load its configuration, and for the predecessor's "go"
	readyTimeout   = 20 * time.Second       // for the successor to serve
	abortWait      = 500 * time.Millisecond // a predecessor that aborts the upgrade kills the successor within this time
	poolListWait   = 3 * time.Second        // wait for a pool list before the successor accepts connections
)

// frameKind says what a frame of the upgrade channel is for.
type frameKind string

// The kinds of frames. The two processes may be of different versions, so the texts must not change.
const (
	framePrepared frameKind = "prepared"
	frameGo       frameKind = "go"
	frameReady    frameKind = "ready"
	framePacket   frameKind = "packet"
	frameLost     frameKind = "lost"
	frameRefused  frameKind = "refused"
	frameJournal  frameKind = "journal"
	frameSend     frameKind = "send"
	frameEnd      frameKind = "end"
)

// frame is a message on the upgrade channel.
type frame struct {
	Kind  frameKind `cbor:"1,keyasint"`
	TCP   bool      `cbor:"2,keyasint,omitempty"`
	Addr  string    `cbor:"3,keyasint,omitempty"`
	Conn  uint64    `cbor:"4,keyasint,omitempty"` // the predecessor's connection; 0: none
	Raw   []byte    `cbor:"5,keyasint,omitempty"` // SIP message, branch of a refused datagram, or journal entry
	Key   []byte    `cbor:"6,keyasint,omitempty"` // of the journal entry
	Ended bool      `cbor:"7,keyasint,omitempty"` // the journal entry's call has ended
}

// handover is one end of the upgrade channel.
type handover struct {
	conn         net.Conn
	mu           sync.Mutex
	buffered     *bufio.Writer
	encoder      *cbor.Encoder
	decoder      *cbor.Decoder
	queue        chan frame    // frames sent by the node's loop, which must not block
	queueWritten chan struct{} // closed when the whole queue has been written
}

// handoverQueue is the maximum number of frames that wait to be written. If the peer falls further behind, the channel is
// closed.
const handoverQueue = 1 << 16

func newHandover(conn net.Conn) *handover {
	h := &handover{conn: conn, buffered: bufio.NewWriterSize(conn, 64<<10), decoder: cbor.NewDecoder(bufio.NewReaderSize(conn, 64<<10))}
	h.encoder = cbor.NewEncoder(h.buffered)
	h.queue, h.queueWritten = make(chan frame, handoverQueue), make(chan struct{})
	go func() {
		defer close(h.queueWritten)
		for f := range h.queue {
			if h.writeFrame(f) != nil {
				conn.Close()
			}
		}
	}()
	return h
}

// enqueue queues a frame without blocking. If the queue is full it closes the channel and returns false.
func (h *handover) enqueue(f frame) bool {
	select {
	case h.queue <- f:
		return true
	default:
		h.conn.Close()
		return false
	}
}

// flushAndClose writes the queued frames and closes the channel.
func (h *handover) flushAndClose() {
	close(h.queue)
	<-h.queueWritten
	h.conn.Close()
}

func (h *handover) writeFrame(f frame) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if err := h.encoder.Encode(f); err != nil {
		return err
	}
	return h.buffered.Flush()
}

// readFrame reads the next frame. A limit of 0 waits without a timeout.
func (h *handover) readFrame(limit time.Duration) (f frame, err error) {
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	_ = h.conn.SetReadDeadline(deadline)
	err = h.decoder.Decode(&f)
	return f, err
}

// expectFrame reads the next frame and returns an error if it is of another kind.
func (h *handover) expectFrame(kind frameKind, limit time.Duration) error {
	f, err := h.readFrame(limit)
	if err != nil {
		return fmt.Errorf("upgrade: waiting for frame %q: %w", kind, err)
	}
	if f.Kind != kind {
		return fmt.Errorf("upgrade: received frame %q, want %q", f.Kind, kind)
	}
	return nil
}

// sendJournal sends a journal entry to the successor, which has the store.
func (h *handover) sendJournal(key string, value []byte, ended bool) {
	h.enqueue(frame{Kind: frameJournal, Key: []byte(key), Raw: value, Ended: ended})
}

// sendOnConn asks the process that holds a connection to write a message to it.
func (h *handover) sendOnConn(conn uint64, raw []byte) {
	h.enqueue(frame{Kind: frameSend, Conn: conn &^ transport.RemoteConnBit, Raw: raw})
}
