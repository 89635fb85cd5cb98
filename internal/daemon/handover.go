package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/sip"
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

// frame is a message on the upgrade channel.
type frame struct {
	Kind  string `cbor:"1,keyasint"`
	TCP   bool   `cbor:"2,keyasint,omitempty"`
	Addr  string `cbor:"3,keyasint,omitempty"`
	Conn  uint64 `cbor:"4,keyasint,omitempty"` // the predecessor's connection; 0: none
	Raw   []byte `cbor:"5,keyasint,omitempty"` // SIP message, branch of a refused datagram, or journal entry
	Key   []byte `cbor:"6,keyasint,omitempty"` // of the journal entry
	Ended bool   `cbor:"7,keyasint,omitempty"` // the journal entry's call has ended
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
func (h *handover) expectFrame(kind string, limit time.Duration) error {
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
	h.enqueue(frame{Kind: "journal", Key: []byte(key), Raw: value, Ended: ended})
}

// sendOnConn asks the process that holds a connection to write a message to it.
func (h *handover) sendOnConn(conn uint64, raw []byte) {
	h.enqueue(frame{Kind: "send", Conn: conn &^ transport.RemoteConnBit, Raw: raw})
}

// confirmPrepared reports to the predecessor that the configuration is valid, and waits for its "go".
func (h *handover) confirmPrepared() error {
	if err := h.writeFrame(frame{Kind: "prepared"}); err != nil {
		return fmt.Errorf("upgrade: sending \"prepared\": %w", err)
	}
	return h.expectFrame("go", prepareTimeout)
}

// inherited holds the sockets opened by the service manager or by the predecessor in an upgrade.
type inherited struct {
	udp         *net.UDPConn
	tcp         *net.TCPListener
	predecessor *handover // channel to the predecessor; nil without an upgrade
}

// adoptInherited takes over the descriptors passed by the convention of sd_listen_fds(3). Sockets whose address the
// configuration does not listen on are closed.
func adoptInherited(cfg *config.File, log *slog.Logger) (sockets inherited, err error) {
	if os.Getenv(takeoverEnv) != "" { // the predecessor could not know this process's id in advance
		os.Setenv("LISTEN_PID", strconv.Itoa(os.Getpid()))
		os.Unsetenv(takeoverEnv)
	}
	for _, file := range activation.Files(true) {
		if file.Name() == "takeover" {
			conn, err := net.FileConn(file)
			file.Close()
			if err != nil {
				return sockets, fmt.Errorf("upgrade: opening the inherited channel: %w", err)
			}
			sockets.predecessor = newHandover(conn)
			continue
		}
		used := false
		if listener, err := net.FileListener(file); err == nil {
			if tcpListener, ok := listener.(*net.TCPListener); ok && sockets.tcp == nil && sameAddr(tcpListener.Addr(), cfg.TransportConfig().TCP) {
				sockets.tcp, used = tcpListener, true
			} else {
				listener.Close()
			}
		} else if conn, err := net.FilePacketConn(file); err == nil {
			if udpConn, ok := conn.(*net.UDPConn); ok && sockets.udp == nil && sameAddr(udpConn.LocalAddr(), cfg.TransportConfig().UDP) {
				sockets.udp, used = udpConn, true
			} else {
				conn.Close()
			}
		}
		if !used {
			log.Warn("closing an inherited socket: the configuration does not listen on its address", "name", file.Name())
		}
		file.Close()
	}
	return sockets, nil
}

// sameAddr reports whether two addresses are equal, an IPv4 address mapped to IPv6 included.
func sameAddr(a net.Addr, want netip.AddrPort) bool {
	got, err := netip.ParseAddrPort(a.String())
	return err == nil && netip.AddrPortFrom(got.Addr().Unmap(), got.Port()) == want
}

// upgrade starts the installed program and hands the sockets to it. On error this process continues to serve.
func (d *Daemon) upgrade(ctx context.Context) (*handover, error) {
	h, err := d.startSuccessor(ctx)
	if err != nil {
		d.log.Error("upgrade failed, this process continues to serve", "cause", err.Error())
		return nil, err
	}
	return h, nil
}

// startSuccessor runs the predecessor's side of the upgrade until the successor is ready. If that fails it kills the
// successor and reopens what it had closed.
func (d *Daemon) startSuccessor(ctx context.Context) (_ *handover, err error) {
	if d.predecessorActive.Load() {
		return nil, errors.New("upgrade: the predecessor has not ended its calls yet; try again later")
	}
	if d.path == "" {
		return nil, errors.New("upgrade: this process was started without a configuration file that a successor could read")
	}
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("opening a channel: %w", err)
	}
	localFile := os.NewFile(uintptr(fds[0]), "handover")
	conn, err := net.FileConn(localFile)
	localFile.Close()
	if err != nil {
		unix.Close(fds[1])
		return nil, fmt.Errorf("opening a channel: %w", err)
	}
	channel := newHandover(conn)
	pid, err := d.startProcess(fds[1])
	if err != nil {
		channel.flushAndClose()
		return nil, err
	}
	child, _ := os.FindProcess(pid) // never fails on Unix
	abort := func(err error) (*handover, error) {
		_ = child.Kill()
		_, _ = child.Wait()
		conn.Close()
		d.reopenAfterFailure(ctx)
		close(channel.queue) // no sender is left: the state store that used it has been replaced
		return nil, err
	}
	if err := channel.expectFrame("prepared", prepareTimeout); err != nil {
		return abort(err)
	}
	d.stopAgent()
	if err := d.yieldStore(channel); err != nil {
		return abort(err)
	}
	if err := channel.expectFrame("ready", readyTimeout); err != nil {
		return abort(err)
	}
	if d.state != nil {
		d.loop.PostAndWait(func(time.Duration) { d.state.successorReady() })
	}
	d.log.Info("handed over: the successor serves, this process finishes its calls", "process", pid)
	notifyManager("MAINPID=" + strconv.Itoa(pid))
	go func() { _, _ = child.Wait() }()
	return channel, nil
}

// yieldStore closes the store, sends "go", and makes the channel receive the journal from then on. All of this happens in
// one turn of the loop and "go" takes its place in the queue of frames, so that no journal entry can come before it.
func (d *Daemon) yieldStore(channel *handover) error {
	hasRun := d.loop.PostAndWait(func(time.Duration) {
		if d.state != nil {
			d.state.yieldTo(channel)
			return
		}
		channel.enqueue(frame{Kind: "go"})
	})
	if !hasRun {
		return errors.New("upgrade: this process is ending")
	}
	return nil
}

// startProcess starts the program as it is installed now, with the channel and the sockets as descriptors 3 and up.
func (d *Daemon) startProcess(channel int) (pid int, err error) {
	fds, err := d.loop.stack.DuplicateDescriptors()
	fds = append([]int{channel}, fds...)
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	if err != nil {
		return 0, err
	}
	names := "takeover" + strings.Repeat(":sip", len(fds)-1)
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	files := []uintptr{0, 1, 2}
	for _, fd := range fds {
		files = append(files, uintptr(fd))
	}
	env := append(os.Environ(), takeoverEnv+"=1", "LISTEN_FDS="+strconv.Itoa(len(fds)), "LISTEN_FDNAMES="+names)
	if pid, err = syscall.ForkExec(strings.TrimSuffix(self, " (deleted)"), os.Args, &syscall.ProcAttr{Env: env, Files: files}); err != nil {
		return 0, fmt.Errorf("starting %s: %w", self, err)
	}
	return pid, nil
}

// reopenAfterFailure reopens the store and the SNMP agent after an upgrade whose successor failed.
func (d *Daemon) reopenAfterFailure(ctx context.Context) {
	if d.state != nil && d.state.successor != nil {
		reopened, err := openStateStore(d.file.Load().Store, d.log)
		if err != nil || reopened == nil {
			d.log.Error("reopening the store failed: calls continue, nothing survives a restart", "cause", fmt.Sprint(err))
			d.loop.PostAndWait(func(time.Duration) { d.state = nil })
		} else {
			d.loop.PostAndWait(func(time.Duration) {
				reopened.run = d.state.run // this process run's calls keep their run number
				reopened.poolList, reopened.serverState, reopened.journal, reopened.batch = d.state.poolList, d.state.serverState, d.state.journal,
					d.state.batch
				d.state = reopened
			})
		}
	}
	if d.cancelAgent != nil {
		return
	}
	if err := d.startAgent(ctx, d.file.Load()); err != nil {
		d.log.Error("restarting the snmp agent failed", "cause", err.Error())
	}
}

// drainForSuccessor finishes this process's calls while the successor serves, and forwards messages that belong to none
// of them. It reports whether all calls ended by themselves.
func (d *Daemon) drainForSuccessor(successor *handover) bool {
	loop := d.loop
	loop.stack.CloseListeners()
	loop.PostAndWait(func(now time.Duration) {
		d.node.HandOver(now)
		loop.Intercept = func(now time.Duration, ev transport.Event) bool { return d.forwardForeign(now, successor, ev) }
	})
	readerDone := make(chan struct{})
	go func() { // executes the successor's writes to connections that this process holds
		defer close(readerDone)
		for {
			request, err := successor.readFrame(0)
			if err != nil {
				return
			}
			if request.Kind == "send" {
				loop.Post(func(time.Duration) {
					if message, err := sip.Parse(request.Raw, sip.Limits{}); err == nil {
						loop.stack.Send(sip.Peer{Transport: sip.TCP, Conn: request.Conn}, message)
					}
				})
			}
		}
	}()
	clean := drainCalls(loop, d.node, time.Duration(d.file.Load().Calls.MaxStopWait), d.log, d.signals)
	select { // time for peers to retransmit requests whose answers were lost
	case <-time.After(time.Second):
	case <-readerDone:
	}
	loop.PostAndWait(func(time.Duration) {
		if d.state != nil {
			d.state.flush()
		}
	})
	loop.PostAndWait(func(time.Duration) { loop.Intercept = nil }) // no frame is queued by the loop after this
	if clean {
		successor.enqueue(frame{Kind: "end"})
	}
	if d.state != nil {
		loop.PostAndWait(func(time.Duration) { d.state.successorDone = true })
	}
	successor.flushAndClose()
	<-readerDone
	return clean
}

// forwardForeign forwards an event to the successor if it belongs to none of this process's calls. It returns true if this
// process must not handle the event. A lost connection or refused datagram is reported to both processes.
func (d *Daemon) forwardForeign(now time.Duration, successor *handover, event transport.Event) bool {
	packet := event.Packet
	if event.TransportErr != nil {
		if packet.Peer.Conn != 0 {
			successor.enqueue(frame{Kind: "lost", TCP: true, Addr: packet.Peer.Addr.String(), Conn: packet.Peer.Conn})
		} else if sendErr := (*sip.SendError)(nil); errors.As(event.TransportErr, &sendErr) {
			// Both processes send on the UDP socket, and its error queue is read here.
			successor.enqueue(frame{Kind: "refused", Addr: packet.Peer.Addr.String(), Raw: []byte(sendErr.Branch)})
		}
		return false
	}
	if packet.Msg == nil || d.node.OwnsMessage(now, packet.Msg) {
		return false
	}
	return successor.enqueue(frame{Kind: "packet", TCP: packet.Peer.Transport == sip.TCP, Addr: packet.Peer.Addr.String(),
		Conn: packet.Peer.Conn, Raw: packet.Msg.Bytes()})
}

// takeOver runs the successor's side of the upgrade: it announces that it serves, receives what the predecessor
// forwards, and reads the sockets itself once the predecessor has ended.
func (d *Daemon) takeOver(ctx context.Context, predecessor *handover) error {
	loop := d.loop
	for deadline := time.Now().Add(poolListWait); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		listLoaded := false
		loop.PostAndWait(func(now time.Duration) { listLoaded = len(d.node.ListedServers()) > 0 })
		if listLoaded {
			break
		}
	}
	loop.stack.StartAccepting()
	if err := predecessor.writeFrame(frame{Kind: "ready"}); err != nil {
		// The store is already this process's: it serves alone, unless the predecessor lives and ends it.
		d.log.Warn("upgrade: sending \"ready\" failed, the predecessor may have ended", "cause", err.Error())
		select {
		case <-time.After(abortWait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.predecessorActive.Store(true)
	d.wg.Add(2)
	go func() {
		defer d.wg.Done()
		<-ctx.Done()
		predecessor.conn.Close()
	}()
	go func() {
		defer d.wg.Done()
		conns := map[uint64]sip.Peer{}
		clean := false
		for {
			received, err := predecessor.readFrame(0)
			if err != nil {
				if !errors.Is(err, io.EOF) {
					d.log.Warn("upgrade channel to the predecessor failed", "cause", err.Error())
				}
				break
			}
			clean = received.Kind == "end"
			d.handleFrame(received, conns)
		}
		if ctx.Err() != nil {
			return
		}
		d.predecessorActive.Store(false)
		loop.stack.StartReading()
		for _, peer := range conns {
			loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer},
				TransportErr: fmt.Errorf("%v: the process that held the connection has ended: %w", peer, sip.ErrLost)})
		}
		d.log.Info("the predecessor process has ended", "clean", clean)
		if d.state != nil && !clean {
			var dialogs []node.StoredDialog
			loop.PostAndWait(func(now time.Duration) {
				d.state.flush()
				dialogs = d.state.interruptedCalls()
				d.node.ReleaseDialogs(now, dialogs)
			})
		}
	}()
	return nil
}

// handleFrame processes a frame from the predecessor. conns holds the peers of the predecessor's connections that have
// forwarded a message.
func (d *Daemon) handleFrame(f frame, conns map[uint64]sip.Peer) {
	peer := sip.Peer{}
	peer.Addr, _ = netip.ParseAddrPort(f.Addr)
	if f.TCP {
		peer.Transport, peer.Conn = sip.TCP, f.Conn|transport.RemoteConnBit
	}
	switch f.Kind {
	case "packet":
		if f.TCP {
			conns[peer.Conn] = peer
		}
		message, err := sip.Parse(f.Raw, sip.Limits{})
		d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer, Msg: message, Err: err}})
	case "lost":
		if _, ok := conns[peer.Conn]; ok {
			delete(conns, peer.Conn)
			d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer}, TransportErr: fmt.Errorf("%v: %w", peer, sip.ErrLost)})
		}
	case "refused":
		err := fmt.Errorf("udp %s: %w", f.Addr, sip.ErrRefused)
		d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer}, TransportErr: &sip.SendError{Branch: string(f.Raw), Err: err}})
	case "journal":
		if d.state != nil {
			d.loop.Post(func(time.Duration) { d.state.putEntry(string(f.Key), f.Raw, f.Ended) })
		}
	}
}
