package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transport"
)

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
	if err := channel.expectFrame(framePrepared, prepareTimeout); err != nil {
		return abort(err)
	}
	d.stopAgent()
	if err := d.yieldStore(channel); err != nil {
		return abort(err)
	}
	if err := channel.expectFrame(frameReady, readyTimeout); err != nil {
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
		channel.enqueue(frame{Kind: frameGo})
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
	go func() {
		defer close(readerDone)
		d.executeSends(successor)
	}()
	clean := d.drainCalls(drainForUpgrade)
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
		successor.enqueue(frame{Kind: frameEnd})
	}
	if d.state != nil {
		loop.PostAndWait(func(time.Duration) { d.state.successorDone = true })
	}
	successor.flushAndClose()
	<-readerDone
	return clean
}

// executeSends writes the messages that the successor sends to connections that this process holds, until the channel ends.
func (d *Daemon) executeSends(successor *handover) {
	for {
		request, err := successor.readFrame(0)
		if err != nil {
			return
		}
		if request.Kind != frameSend {
			continue
		}
		d.loop.Post(func(time.Duration) {
			if message, err := sip.Parse(request.Raw, sip.Limits{}); err == nil {
				d.loop.stack.Send(sip.Peer{Transport: sip.TCP, Conn: request.Conn}, message)
			}
		})
	}
}

// forwardForeign forwards an event to the successor if it belongs to none of this process's calls. It returns true if this
// process must not handle the event. A lost connection or refused datagram is reported to both processes.
func (d *Daemon) forwardForeign(now time.Duration, successor *handover, event transport.Event) bool {
	packet := event.Packet
	if event.TransportErr != nil {
		if packet.Peer.Conn != 0 {
			successor.enqueue(frame{Kind: frameLost, TCP: true, Addr: packet.Peer.Addr.String(), Conn: packet.Peer.Conn})
		} else if sendErr := (*sip.SendError)(nil); errors.As(event.TransportErr, &sendErr) {
			// Both processes send on the UDP socket, and its error queue is read here.
			successor.enqueue(frame{Kind: frameRefused, Addr: packet.Peer.Addr.String(), Raw: []byte(sendErr.Branch)})
		}
		return false
	}
	if packet.Msg == nil || d.node.OwnsMessage(now, packet.Msg) {
		return false
	}
	return successor.enqueue(frame{Kind: framePacket, TCP: packet.Peer.Transport == sip.TCP, Addr: packet.Peer.Addr.String(),
		Conn: packet.Peer.Conn, Raw: packet.Msg.Bytes()})
}
