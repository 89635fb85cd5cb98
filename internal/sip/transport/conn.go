package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"larkrouter/internal/sip"
)

// conn is a TCP connection, accepted or opened by this stack.
type conn struct {
	stack      *Stack
	id         uint64
	addr       netip.AddrPort
	mu         sync.Mutex
	outgoing   []byte       // bytes to write
	tcp        *net.TCPConn // nil while the connection is being opened
	writeReady chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
	isQueued   bool   // whether it is in Stack.dirtyConns; used by Send and Flush only
	listener   uint16 // number of the listener that accepted it; 0 if opened by this stack
}

func (c *conn) peer() sip.Peer {
	return sip.Peer{Transport: sip.TCP, Addr: c.addr, Conn: c.id, LocalSocket: c.listener}
}

// connection returns the connection to write to. If there is none, it starts to open one.
func (s *Stack) connection(to sip.Peer) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, fmt.Errorf("%v: %w", to, sip.ErrRefused)
	}
	if to.Conn != 0 {
		if c := s.conns[to.Conn]; c != nil {
			return c, nil
		}
		return nil, fmt.Errorf("%v: the connection has been closed: %w", to, sip.ErrRefused)
	}
	if c := s.dialed[to.Addr]; c != nil {
		return c, nil
	}
	if len(s.conns) >= s.conf.Load().MaxConns {
		s.Counters.OverLimit.Add(1)
		return nil, fmt.Errorf("%v: limit of %d open connections reached: %w", to, len(s.conns), sip.ErrRefused)
	}
	c := s.addConn(to.Addr)
	s.dialed[to.Addr] = c
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		dialer := net.Dialer{Timeout: s.conf.Load().ConnectTimeout}
		nc, err := dialer.Dial("tcp", to.Addr.String())
		if err != nil {
			c.close(fmt.Errorf("connecting to %v: %v: %w", to, err, sip.ErrRefused))
			return
		}
		c.serve(nc.(*net.TCPConn))
	}()
	return c, nil
}

// addConn registers a new connection. The caller must hold s.mu.
func (s *Stack) addConn(addr netip.AddrPort) *conn {
	s.lastConnID++
	c := &conn{stack: s, id: s.lastConnID, addr: addr, writeReady: make(chan struct{}, 1), closed: make(chan struct{})}
	s.conns[c.id] = c
	s.Counters.Opened.Add(1)
	return c
}

// accept accepts connections until the listener is closed.
func (s *Stack) accept(t *tcpSocket) {
	defer s.wg.Done()
	for {
		nc, err := t.listener.AcceptTCP()
		if err != nil {
			select {
			case <-s.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of file descriptors: retry until some have been closed
			continue
		}
		s.mu.Lock()
		if s.closed || len(s.conns) >= s.conf.Load().MaxConns {
			s.mu.Unlock()
			s.Counters.OverLimit.Add(1)
			nc.Close()
			continue
		}
		addr := nc.RemoteAddr().(*net.TCPAddr).AddrPort()
		c := s.addConn(netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()))
		c.listener = t.number
		s.mu.Unlock()
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			c.serve(nc)
		}()
	}
}

// serve reads from the connection until it ends and starts a goroutine that writes to it.
func (c *conn) serve(nc *net.TCPConn) {
	s := c.stack
	c.mu.Lock()
	c.tcp = nc
	c.mu.Unlock()
	select {
	case <-c.closed:
		nc.Close()
		return
	default:
	}
	s.wg.Add(1)
	go c.write(nc)
	in := sip.Stream{Limits: s.conf.Load().Limits}
	buf := make([]byte, 16384)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(s.conf.Load().IdleTimeout))
		n, err := nc.Read(buf)
		if n > 0 {
			in.Feed(buf[:n])
			if !c.deliver(&in) {
				return
			}
		}
		if err != nil {
			what := "connection lost"
			if in.IsMidMessage() {
				what = "connection lost in mid-message"
			}
			c.close(fmt.Errorf("tcp %v: %s: %v: %w", c.addr, what, err, sip.ErrLost))
			return
		}
	}
}

// deliver emits the complete messages of the stream. It returns false if the stream can't be parsed any further.
func (c *conn) deliver(in *sip.Stream) bool {
	s := c.stack
	var evs []Event
	for {
		m, err := in.Next()
		if err != nil {
			s.Counters.Unreadable.Add(1)
			evs = append(evs, Event{Packet: sip.Packet{Peer: c.peer(), Err: err}})
			s.emit(evs)
			time.AfterFunc(200*time.Millisecond, func() { // leave time for an error response to be written
				c.close(fmt.Errorf("tcp %v: %v: %w", c.addr, err, sip.ErrLost))
			})
			return false
		}
		if m == nil {
			break
		}
		s.Counters.StreamsIn.Add(1)
		evs = append(evs, Event{Packet: sip.Packet{Peer: c.peer(), Msg: m}})
	}
	if n := in.TakePings(); n > 0 {
		c.mu.Lock()
		c.outgoing = append(c.outgoing, "\r\n"...)
		c.mu.Unlock()
		select {
		case c.writeReady <- struct{}{}:
		default:
		}
	}
	if len(evs) > 0 {
		s.emit(evs)
	}
	return true
}

// write writes buffered bytes until the connection ends.
func (c *conn) write(nc *net.TCPConn) {
	defer c.stack.wg.Done()
	var out []byte
	for {
		c.mu.Lock()
		out, c.outgoing = c.outgoing, out[:0]
		c.mu.Unlock()
		if len(out) == 0 {
			select {
			case <-c.writeReady:
				continue
			case <-c.closed:
				return
			}
		}
		_ = nc.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := nc.Write(out); err != nil {
			c.close(fmt.Errorf("tcp %v: writing: %v: %w", c.addr, err, sip.ErrLost))
			return
		}
		if cap(out) > 1<<18 {
			out = nil
		}
	}
}

// close ends the connection once and reports the reason as an event with TransportErr.
func (c *conn) close(why error) {
	c.closeOnce.Do(func() {
		s := c.stack
		s.mu.Lock()
		delete(s.conns, c.id)
		if s.dialed[c.addr] == c {
			delete(s.dialed, c.addr)
		}
		closed := s.closed
		s.mu.Unlock()
		close(c.closed)
		c.mu.Lock()
		if c.tcp != nil {
			c.tcp.Close()
		}
		c.mu.Unlock()
		s.Counters.Closed.Add(1)
		if !closed {
			s.emitTransportErr(c.peer(), why)
		}
	})
}

// OpenConns returns the number of open connections.
func (s *Stack) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConns closes all connections and continues to listen. It injects a fault in tests.
func (s *Stack) CloseConns() {
	s.mu.Lock()
	var all []*conn
	for _, c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.close(fmt.Errorf("tcp %v: closed: %w", c.addr, sip.ErrLost))
	}
}
