package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/coreos/go-systemd/v22/activation"

	"larkrouter/internal/config"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transport"
)

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

// confirmPrepared reports to the predecessor that the configuration is valid, and waits for its "go".
func (h *handover) confirmPrepared() error {
	if err := h.writeFrame(frame{Kind: framePrepared}); err != nil {
		return fmt.Errorf("upgrade: sending \"prepared\": %w", err)
	}
	return h.expectFrame(frameGo, prepareTimeout)
}

// takeOver runs the successor's side of the upgrade: it announces that it serves, receives what the predecessor
// forwards, and reads the sockets itself once the predecessor has ended.
func (d *Daemon) takeOver(ctx context.Context, predecessor *handover) error {
	d.waitForPoolList()
	d.loop.stack.StartAccepting()
	if err := predecessor.writeFrame(frame{Kind: frameReady}); err != nil {
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
		conns, clean := d.receiveFrames(predecessor)
		if ctx.Err() == nil {
			d.predecessorEnded(conns, clean)
		}
	}()
	return nil
}

// waitForPoolList waits for a list of servers, but no longer than poolListWait.
func (d *Daemon) waitForPoolList() {
	for deadline := time.Now().Add(poolListWait); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		isListed := false
		d.loop.PostAndWait(func(time.Duration) { isListed = len(d.node.ListedServers()) > 0 })
		if isListed {
			return
		}
	}
}

// receiveFrames processes the predecessor's frames until the channel ends. It returns the peers of the predecessor's connections that
// have forwarded a message, and whether all its calls have ended.
func (d *Daemon) receiveFrames(predecessor *handover) (conns map[uint64]sip.Peer, clean bool) {
	conns = map[uint64]sip.Peer{}
	for {
		received, err := predecessor.readFrame(0)
		if err != nil {
			if !errors.Is(err, io.EOF) {
				d.log.Warn("upgrade channel to the predecessor failed", "cause", err.Error())
			}
			return conns, clean
		}
		clean = received.Kind == frameEnd
		d.handleFrame(received, conns)
	}
}

// predecessorEnded reads the sockets from now on. The predecessor's connections are lost, and its calls that still stand are released.
func (d *Daemon) predecessorEnded(conns map[uint64]sip.Peer, clean bool) {
	d.predecessorActive.Store(false)
	d.loop.stack.StartReading()
	for _, peer := range conns {
		d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer},
			TransportErr: fmt.Errorf("%v: the process that held the connection has ended: %w", peer, sip.ErrLost)})
	}
	d.log.Info("the predecessor process has ended", "clean", clean)
	if d.state == nil || clean {
		return
	}
	d.loop.PostAndWait(func(now time.Duration) {
		d.state.flush()
		d.node.ReleaseDialogs(now, d.state.interruptedCalls())
	})
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
	case framePacket:
		if f.TCP {
			conns[peer.Conn] = peer
		}
		message, err := sip.Parse(f.Raw, sip.Limits{})
		d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer, Msg: message, Err: err}})
	case frameLost:
		if _, ok := conns[peer.Conn]; ok {
			delete(conns, peer.Conn)
			d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer}, TransportErr: fmt.Errorf("%v: %w", peer, sip.ErrLost)})
		}
	case frameRefused:
		err := fmt.Errorf("udp %s: %w", f.Addr, sip.ErrRefused)
		d.loop.stack.Inject(transport.Event{Packet: sip.Packet{Peer: peer}, TransportErr: &sip.SendError{Branch: string(f.Raw), Err: err}})
	case frameJournal:
		if d.state != nil {
			d.loop.Post(func(time.Duration) { d.state.putEntry(string(f.Key), f.Raw, f.Ended) })
		}
	}
}
