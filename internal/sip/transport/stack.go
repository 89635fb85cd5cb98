package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"larkrouter/internal/sip"
)

// Config holds the listening addresses and the limits of a stack. Zero values of the limits stand for the defaults.
type Config struct {
	UDP, TCP       netip.AddrPort // invalid: do not listen; port 0: any free port
	Limits         sip.Limits
	MaxConns       int           // open connections; default 4,096
	ConnectTimeout time.Duration // default 2 s
	IdleTimeout    time.Duration // a connection is closed after this time without input; default 10 min
	WriteBuffer    int           // bytes that may wait for a slow peer before its connection is closed; default 1 MiB
	ReadBuffer     int           // bytes requested from the kernel for the buffers of UDP sockets; default 4 MiB
	// Sockets handed over by another process, used instead of opening new ones at UDP and TCP; nil: none.
	OpenUDP *net.UDPConn
	OpenTCP *net.TCPListener
	// DeferReads leaves datagrams and connections unread until StartReading, because another process still reads the sockets.
	DeferReads bool
}

// withDefaults returns c with the limits that are zero replaced by the defaults.
func (c Config) withDefaults() Config {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	def(&c.MaxConns, 4096)
	def(&c.WriteBuffer, 1<<20)
	def(&c.ReadBuffer, 4<<20)
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 2 * time.Second
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 10 * time.Minute
	}
	return c
}

// Event is a received message or parse error in Packet, or, if TransportErr is set, the loss of the peer in Packet.
type Event struct {
	Packet       sip.Packet
	TransportErr error
}

// Counters count the events of a stack. DatagramsIn and DatagramsOut count datagrams, StreamsIn and StreamsOut messages on
// connections, Unreadable malformed messages, Refused refused sends and connections, Opened and Closed connections, and
// OverLimit connections rejected or not opened at the limit.
type Counters struct {
	DatagramsIn, DatagramsOut, StreamsIn, StreamsOut, Unreadable, Refused, Opened, Closed, OverLimit atomic.Uint64
}

// Stack is a set of sockets. Send and Flush must be called from one goroutine; all other methods are safe for concurrent
// use unless they say otherwise.
type Stack struct {
	Counters Counters
	conf     atomic.Pointer[Config] // replaced as a whole
	events   chan<- []Event
	udp      *udpSocket // active; used by Send and Flush
	tcp      *tcpSocket // active
	wg       sync.WaitGroup
	done     chan struct{}
	// SendRemote, if set, is called with messages for connections that another process holds.
	SendRemote func(conn uint64, raw []byte)

	mu               sync.Mutex // guards the fields from conns to readsDeferred
	conns            map[uint64]*conn
	dialed           map[netip.AddrPort]*conn
	lastConnID       uint64
	lastSocketNumber uint16
	udpSockets       []*udpSocket // active and retired
	tcpSockets       []*tcpSocket
	closed           bool
	readsDeferred    bool

	// Used by Send and Flush only.
	arena        []byte         // datagrams that wait for Flush, one after another
	outgoing     []ipv4.Message // reused by writeUDP
	spans        []span         // datagrams in arena
	retiredSpans []span         // datagrams in arena that are sent from retired sockets
	dirtyConns   []*conn        // connections with bytes to write
}

// span is a datagram in Stack.arena.
type span struct {
	start, end int
	addr       netip.AddrPort
	socket     *udpSocket
}

// RemoteConnBit is set in the numbers of connections that another process holds.
const RemoteConnBit = 1 << 63

// Listen opens the sockets. Events are sent on the channel until Close; the caller must receive from it until then.
func Listen(cfg Config, events chan<- []Event) (*Stack, error) {
	cfg = cfg.withDefaults()
	s := &Stack{readsDeferred: cfg.DeferReads, events: events, conns: map[uint64]*conn{}, dialed: map[netip.AddrPort]*conn{},
		done: make(chan struct{})}
	s.conf.Store(&cfg)
	udp, tcp, err := s.openSockets(cfg.UDP, cfg.TCP, cfg.OpenUDP, cfg.OpenTCP)
	if err != nil {
		return nil, err
	}
	s.activate(udp, tcp)
	return s, nil
}

// Close closes all sockets and waits for the goroutines of the stack.
func (s *Stack) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.done)
	var all []*conn
	for _, c := range s.conns {
		all = append(all, c)
	}
	udps, tcps := s.udpSockets, s.tcpSockets
	s.mu.Unlock()
	for _, u := range udps {
		u.conn.Close()
	}
	for _, t := range tcps {
		t.listener.Close()
	}
	for _, c := range all {
		c.close(net.ErrClosed)
	}
	s.wg.Wait()
}

// emit sends events to the receiver unless the stack is being closed.
func (s *Stack) emit(ev []Event) {
	select {
	case s.events <- ev:
	case <-s.done:
	}
}

// failedSend is a datagram that could not be delivered.
type failedSend struct {
	addr   netip.AddrPort
	branch string // "" if the ICMP error did not quote enough of the datagram
}

// reportRefused emits an event with TransportErr for each undelivered datagram.
func (s *Stack) reportRefused(failed []failedSend) {
	for _, f := range failed {
		var err error = &sip.SendError{Branch: f.branch, Err: fmt.Errorf("udp %v: %w", f.addr, sip.ErrRefused)}
		if f.branch == "" { // the request is unknown, so none may be reported as never processed
			err = fmt.Errorf("udp %v: refused: %w", f.addr, sip.ErrLost)
		}
		s.emitTransportErr(sip.Peer{Addr: f.addr}, err)
	}
}

// emitTransportErr emits an event with TransportErr for a peer.
func (s *Stack) emitTransportErr(peer sip.Peer, err error) {
	if errors.Is(err, sip.ErrRefused) {
		s.Counters.Refused.Add(1)
	}
	s.emit([]Event{{Packet: sip.Packet{Peer: peer}, TransportErr: err}})
}

// readBatch is the maximum number of datagrams read by one system call. Each costs preparation even if it stays unused.
const readBatch = 16

// readUDP receives datagrams until the socket is closed.
func (s *Stack) readUDP(u *udpSocket) {
	defer s.wg.Done()
	msgs := make([]ipv4.Message, readBatch)
	for i := range msgs {
		msgs[i].Buffers = [][]byte{make([]byte, 65536)}
	}
	for {
		n, err := u.batch.ReadBatch(msgs, 0)
		if err != nil {
			select {
			case <-s.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			failed := readErrorQueue(u.conn)
			if len(failed) == 0 {
				time.Sleep(time.Millisecond) // the error queue does not explain the error: avoid a busy loop
			}
			s.reportRefused(failed)
			continue
		}
		evs := make([]Event, 0, n)
		for _, m := range msgs[:n] {
			b := m.Buffers[0][:m.N]
			if m.N <= 4 { // keep-alive (RFC 5626, section 3.5.1)
				continue
			}
			addr := m.Addr.(*net.UDPAddr).AddrPort()
			addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
			p := sip.Packet{Peer: sip.Peer{Addr: addr, LocalSocket: u.number}}
			if p.Msg, p.Err = sip.Parse(b, s.conf.Load().Limits); p.Err != nil {
				s.Counters.Unreadable.Add(1)
			}
			evs = append(evs, Event{Packet: p})
		}
		s.Counters.DatagramsIn.Add(uint64(n))
		if len(evs) > 0 {
			s.emit(evs)
		}
	}
}

// Send queues a message. It is written by the next Flush at the latest.
func (s *Stack) Send(to sip.Peer, m *sip.Message) {
	if to.Transport == sip.UDP {
		if s.udp == nil {
			go s.emitTransportErr(to, fmt.Errorf("%v: UDP is not configured: %w", to, sip.ErrRefused))
			return
		}
		from := len(s.arena)
		s.arena = m.Append(s.arena)
		if socket := s.udpSocketByNumber(to.LocalSocket); socket != s.udp {
			s.retiredSpans = append(s.retiredSpans, span{from, len(s.arena), to.Addr, socket})
		} else {
			s.spans = append(s.spans, span{from, len(s.arena), to.Addr, socket})
		}
		return
	}
	if to.Conn&RemoteConnBit != 0 && s.SendRemote != nil {
		s.SendRemote(to.Conn, m.Append(nil))
		return
	}
	c, err := s.connection(to)
	if err != nil {
		go s.emitTransportErr(to, err)
		return
	}
	if !c.isQueued {
		c.isQueued = true
		s.dirtyConns = append(s.dirtyConns, c)
	}
	c.mu.Lock()
	c.outgoing = m.Append(c.outgoing)
	over := len(c.outgoing) > s.conf.Load().WriteBuffer
	c.mu.Unlock()
	s.Counters.StreamsOut.Add(1)
	if over {
		go c.close(fmt.Errorf("%v: write buffer limit exceeded: %w", to, sip.ErrLost))
	}
}

// Flush writes the messages that Send has queued.
func (s *Stack) Flush() {
	for _, c := range s.dirtyConns {
		c.isQueued = false
		select {
		case c.writeReady <- struct{}{}:
		default:
		}
	}
	clear(s.dirtyConns)
	s.dirtyConns = s.dirtyConns[:0]
	s.writeUDP(s.spans)
	for i := range s.retiredSpans { // few, and only during a change of addresses
		s.writeUDP(s.retiredSpans[i : i+1])
	}
	s.spans, s.retiredSpans = s.spans[:0], s.retiredSpans[:0]
	if cap(s.arena) > 4<<20 {
		s.arena = nil
	}
	s.arena = s.arena[:0]
}

// writeUDP writes datagrams that are all sent from one socket.
func (s *Stack) writeUDP(spans []span) {
	if len(spans) == 0 {
		return
	}
	socket := spans[0].socket
	for len(s.outgoing) < len(spans) {
		s.outgoing = append(s.outgoing, ipv4.Message{Buffers: make([][]byte, 1), Addr: &net.UDPAddr{}})
	}
	for i, sp := range spans {
		s.outgoing[i].Buffers[0] = s.arena[sp.start:sp.end]
		a := s.outgoing[i].Addr.(*net.UDPAddr)
		ip := sp.addr.Addr().As16()
		a.IP = append(a.IP[:0], ip[:]...)
		a.Port, a.Zone = int(sp.addr.Port()), sp.addr.Addr().Zone()
	}
	rest := s.outgoing[:len(spans)]
	for tries := 0; len(rest) > 0; {
		n, err := socket.batch.WriteBatch(rest, 0)
		if n > 0 {
			rest, tries = rest[n:], 0
			s.Counters.DatagramsOut.Add(uint64(n))
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				break
			}
			if failed := readErrorQueue(socket.conn); len(failed) > 0 { // the error was that of an earlier datagram and has now been cleared
				go s.reportRefused(failed)
				continue
			}
			if tries++; tries > 3 { // the error concerns this datagram
				sp := spans[len(spans)-len(rest)]
				go s.emitTransportErr(sip.Peer{Addr: sp.addr}, &sip.SendError{Branch: sip.FindBranch(s.arena[sp.start:sp.end]),
					Err: fmt.Errorf("udp %v: %v: %w", sp.addr, err, sip.ErrRefused)})
				rest, tries = rest[1:], 0
			}
		}
	}
}
