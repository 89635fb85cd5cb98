package transport

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// udpSocket is a UDP socket with its number, which received messages carry in Peer.LocalSocket.
type udpSocket struct {
	conn   *net.UDPConn
	batch  *ipv4.PacketConn
	number uint16
	isRead bool
}

// tcpSocket is a TCP listener with its number, which messages on accepted connections carry in Peer.LocalSocket.
type tcpSocket struct {
	listener    *net.TCPListener
	number      uint16
	isAccepting bool
}

// openSockets returns sockets at the given addresses. It uses openUDP and openTCP if they are not nil and opens new sockets
// otherwise. An invalid address gives a nil socket.
func (s *Stack) openSockets(udp, tcp netip.AddrPort, openUDP *net.UDPConn, openTCP *net.TCPListener) (
	u *udpSocket, t *tcpSocket, err error,
) {
	if udp.IsValid() {
		if openUDP == nil {
			if openUDP, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(udp)); err != nil {
				return nil, nil, fmt.Errorf("listening on udp %v: %w", udp, err)
			}
		}
		_ = openUDP.SetReadBuffer(s.conf.Load().ReadBuffer) // the kernel may grant less
		_ = openUDP.SetWriteBuffer(s.conf.Load().ReadBuffer)
		enableErrorQueue(openUDP)
		u = &udpSocket{conn: openUDP, batch: ipv4.NewPacketConn(openUDP), number: s.nextSocketNumber()}
	}
	if tcp.IsValid() {
		if openTCP == nil {
			if openTCP, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(tcp)); err != nil {
				if u != nil {
					u.conn.Close()
				}
				return nil, nil, fmt.Errorf("listening on tcp %v: %w", tcp, err)
			}
		}
		t = &tcpSocket{listener: openTCP, number: s.nextSocketNumber()}
	}
	return u, t, nil
}

// nextSocketNumber returns an unused socket number.
func (s *Stack) nextSocketNumber() uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSocketNumber++
	return s.lastSocketNumber
}

// activate makes the given sockets the active ones; the previous ones are kept for reading.
func (s *Stack) activate(u *udpSocket, t *tcpSocket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u != nil && u != s.udp {
		s.udpSockets = append(s.udpSockets, u)
	}
	if t != nil && t != s.tcp {
		s.tcpSockets = append(s.tcpSockets, t)
	}
	s.udp, s.tcp = u, t
	if !s.readsDeferred {
		s.startReaders()
	}
}

// startReaders starts reading on all sockets that are not yet read. The caller must hold s.mu.
func (s *Stack) startReaders() {
	for _, u := range s.udpSockets {
		if !u.isRead {
			u.isRead = true
			s.wg.Add(1)
			go s.readUDP(u)
		}
	}
	s.startAccepting()
}

// startAccepting accepts connections on all listeners that do not yet. The caller must hold s.mu.
func (s *Stack) startAccepting() {
	for _, t := range s.tcpSockets {
		if !t.isAccepting {
			t.isAccepting = true
			s.wg.Add(1)
			go s.accept(t)
		}
	}
}

// StartReading starts reading after a start with Config.DeferReads, when no other process reads the sockets any longer.
func (s *Stack) StartReading() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsDeferred = false
	if !s.closed {
		s.startReaders()
	}
}

// StartAccepting starts accepting connections while datagrams remain unread.
func (s *Stack) StartAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.startAccepting()
	}
}

// Rebind is a prepared change of the listening addresses that is not active yet.
type Rebind struct {
	stack  *Stack
	udp    *udpSocket
	tcp    *tcpSocket
	config Config
}

// Prepare opens the sockets for a changed configuration, so that an error leaves the stack as it was. Sockets whose
// address is unchanged are kept.
func (s *Stack) PrepareRebind(cfg Config) (*Rebind, error) {
	same := func(a, b netip.AddrPort) bool { return a == b }
	rebind := &Rebind{stack: s, udp: s.udp, tcp: s.tcp, config: cfg.withDefaults()}
	udp, tcp := cfg.UDP, cfg.TCP
	if same(udp, s.conf.Load().UDP) {
		udp = netip.AddrPort{}
	} else {
		rebind.udp = nil
	}
	if same(tcp, s.conf.Load().TCP) {
		tcp = netip.AddrPort{}
	} else {
		rebind.tcp = nil
	}
	u, t, err := s.openSockets(udp, tcp, nil, nil)
	if err != nil {
		return nil, err
	}
	if u != nil {
		rebind.udp = u
	}
	if t != nil {
		rebind.tcp = t
	}
	return rebind, nil
}

// Abort closes the sockets that Prepare opened.
func (r *Rebind) Abort() {
	if r.udp != nil && r.udp != r.stack.udp {
		r.udp.conn.Close()
	}
	if r.tcp != nil && r.tcp != r.stack.tcp {
		r.tcp.listener.Close()
	}
}

// RetiredSockets returns the numbers of the sockets that are retired once the change is active, including those retired
// before.
func (r *Rebind) RetiredSockets() (nums []uint16) {
	r.stack.mu.Lock()
	defer r.stack.mu.Unlock()
	for _, u := range r.stack.udpSockets {
		if u != r.udp {
			nums = append(nums, u.number)
		}
	}
	for _, t := range r.stack.tcpSockets {
		if t != r.tcp {
			nums = append(nums, t.number)
		}
	}
	return nums
}

// Activate activates the change. It must be called from the goroutine that calls Send and Flush. The previous sockets are
// read until CloseRetired.
func (r *Rebind) Activate() {
	s := r.stack
	s.Flush()
	s.activate(r.udp, r.tcp)
	s.conf.Store(&r.config)
}

// CloseRetired closes the sockets that are no longer active and reports whether there were any. Connections accepted on
// them stay open.
func (s *Stack) CloseRetired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.udpSockets) + len(s.tcpSockets)
	var udps []*udpSocket
	var tcps []*tcpSocket
	for _, u := range s.udpSockets {
		if u == s.udp {
			udps = append(udps, u)
		} else {
			u.conn.Close()
		}
	}
	for _, t := range s.tcpSockets {
		if t == s.tcp {
			tcps = append(tcps, t)
		} else {
			t.listener.Close()
		}
	}
	s.udpSockets, s.tcpSockets = udps, tcps
	return len(udps)+len(tcps) < before
}

// CloseListeners stops accepting connections; open connections are not affected.
func (s *Stack) CloseListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tcpSockets {
		t.listener.Close()
	}
}

// udpSocketByNumber returns the socket with a number, or the active one if there is none. It must be called from the
// goroutine that calls Send.
func (s *Stack) udpSocketByNumber(num uint16) *udpSocket {
	if num == 0 || num == s.udp.number {
		return s.udp
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.udpSockets {
		if u.number == num {
			return u
		}
	}
	return s.udp
}

// DuplicateDescriptors returns duplicates of the descriptors of the active sockets, UDP then TCP, to hand over to another
// process. The caller must close them. It does not use os.File, which would set the duplicates, and with them the sockets of
// this stack, to blocking mode.
func (s *Stack) DuplicateDescriptors() (fds []int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []syscall.Conn
	if s.udp != nil {
		all = append(all, s.udp.conn)
	}
	if s.tcp != nil {
		all = append(all, s.tcp.listener)
	}
	for _, c := range all {
		raw, err := c.SyscallConn()
		if err == nil {
			var fd int
			cerr := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 3) })
			if err == nil {
				err = cerr
			}
			if err == nil {
				fds = append(fds, fd)
			}
		}
		if err != nil {
			for _, fd := range fds {
				unix.Close(fd)
			}
			return nil, fmt.Errorf("duplicating a socket: %w", err)
		}
	}
	return fds, nil
}

// Inject emits an event as if it came from a socket.
func (s *Stack) Inject(ev Event) { s.emit([]Event{ev}) }

// UDPAddr returns the address at which the stack receives datagrams, or an invalid one if it does not.
func (s *Stack) UDPAddr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.udp == nil {
		return netip.AddrPort{}
	}
	return s.udp.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// TCPAddr returns the address at which the stack accepts connections, or an invalid one if it does not.
func (s *Stack) TCPAddr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tcp == nil {
		return netip.AddrPort{}
	}
	return s.tcp.listener.Addr().(*net.TCPAddr).AddrPort()
}
