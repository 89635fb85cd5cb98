package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/sip"
)

var any = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t *testing.T, cfg Config) (*Stack, chan []Event) {
	t.Helper()
	ch := make(chan []Event, 256)
	s, err := Listen(cfg, ch)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, ch
}

// next waits for an event, far longer than it should take.
func next(t *testing.T, ch chan []Event, rest *[]Event) Event {
	t.Helper()
	if len(*rest) == 0 {
		select {
		case *rest = <-ch:
		case <-time.After(20 * time.Second):
			t.Fatal("no event within 20 s")
		}
	}
	ev := (*rest)[0]
	*rest = (*rest)[1:]
	return ev
}

func message(id string, body int) *sip.Message {
	m := sip.NewRequest("MESSAGE", "sip:a@127.0.0.1", "<sip:a@h>;tag=1", "<sip:b@h>", id, 1, 70)
	m.Push("Via", "SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK"+id)
	m.Body = []byte(strings.Repeat("x", body))
	return m
}

func TestDatagrams(t *testing.T) {
	a, _ := listen(t, Config{UDP: any})
	b, ch := listen(t, Config{UDP: any})
	const n = 200
	for i := range n {
		a.Send(sip.Peer{Addr: b.UDPAddr()}, message(fmt.Sprint(i), 10))
	}
	a.Flush()
	var rest []Event
	for i := range n {
		ev := next(t, ch, &rest)
		if ev.Packet.Err != nil || ev.Packet.Msg.Get("Call-ID") != fmt.Sprint(i) || ev.Packet.Peer.Addr != a.UDPAddr() {
			t.Fatalf("datagram %d: %+v", i, ev)
		}
	}
}

// ICMP tells that nobody listens: the address is told, and others are served as before.
func TestDatagramRefused(t *testing.T) {
	a, ch := listen(t, Config{UDP: any})
	b, got := listen(t, Config{UDP: any})
	gone, _ := listen(t, Config{UDP: any})
	dead := gone.UDPAddr()
	gone.Close()
	a.Send(sip.Peer{Addr: dead}, message("dead", 0))
	a.Flush()
	a.Send(sip.Peer{Addr: b.UDPAddr()}, message("alive", 0))
	a.Flush()
	var rest, other []Event
	if ev := next(t, got, &other); ev.Packet.Msg.Get("Call-ID") != "alive" {
		t.Errorf("%+v", ev)
	}
	ev := next(t, ch, &rest)
	var one *sip.SendError
	if !errors.Is(ev.Lost, sip.ErrRefused) || ev.Packet.Peer.Addr != dead || !errors.As(ev.Lost, &one) || one.Branch != "z9hG4bKdead" {
		t.Errorf("lost %v, peer %v, want %v and its branch", ev.Lost, ev.Packet.Peer, dead)
	}
}

// A refusal that does not say whose it was proves of no message that it never ran.
func TestRefusalWithoutBranch(t *testing.T) {
	ch := make(chan []Event, 2)
	s := &Stack{events: ch, done: make(chan struct{})}
	s.refused([]failedSend{{any, ""}, {any, "z9hG4bKa"}})
	unknown, known := (<-ch)[0].Lost, (<-ch)[0].Lost
	if errors.Is(unknown, sip.ErrRefused) || !errors.Is(unknown, sip.ErrLost) || !errors.Is(known, sip.ErrRefused) {
		t.Errorf("%v, %v", unknown, known)
	}
}

// One connection serves both ways; what is sent on it comes in order.
func TestConnectionReuse(t *testing.T) {
	a, back := listen(t, Config{TCP: any})
	b, ch := listen(t, Config{TCP: any})
	to := sip.Peer{Transport: sip.TCP, Addr: b.TCPAddr()}
	for i := range 50 {
		a.Send(to, message(fmt.Sprint(i), 2000))
		if i%7 == 0 {
			a.Flush()
		}
	}
	a.Flush()
	var rest, other []Event
	var from sip.Peer
	for i := range 50 {
		ev := next(t, ch, &rest)
		if ev.Packet.Msg == nil || ev.Packet.Msg.Get("Call-ID") != fmt.Sprint(i) || len(ev.Packet.Msg.Body) != 2000 {
			t.Fatalf("message %d: %+v", i, ev)
		}
		from = ev.Packet.Peer
	}
	b.Send(from, message("answer", 0))
	b.Flush()
	if ev := next(t, back, &other); ev.Packet.Msg.Get("Call-ID") != "answer" {
		t.Errorf("%+v", ev)
	}
	if a.Conns() != 1 || b.Conns() != 1 {
		t.Errorf("%d and %d connections", a.Conns(), b.Conns())
	}
}

func TestConnectRefused(t *testing.T) {
	gone, _ := listen(t, Config{TCP: any})
	dead := gone.TCPAddr()
	gone.Close()
	a, ch := listen(t, Config{TCP: any})
	a.Send(sip.Peer{Transport: sip.TCP, Addr: dead}, message("x", 0))
	a.Flush()
	var rest []Event
	if ev := next(t, ch, &rest); !errors.Is(ev.Lost, sip.ErrRefused) || ev.Packet.Peer.Addr != dead {
		t.Errorf("%+v", ev)
	}
	a.Send(sip.Peer{Transport: sip.TCP, Addr: dead, Conn: 999}, message("x", 0))
	if ev := next(t, ch, &rest); !errors.Is(ev.Lost, sip.ErrRefused) {
		t.Errorf("a connection that never was: %+v", ev)
	}
}

// A byte at a time, two messages in one segment, a keep-alive, a break in mid-message.
func TestOddSegments(t *testing.T) {
	s, ch := listen(t, Config{TCP: any})
	c, err := net.Dial("tcp", s.TCPAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetNoDelay(true)
	for _, b := range message("slow", 3).Bytes() {
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	both := append(message("one", 0).Bytes(), message("two", 5).Bytes()...)
	if _, err := c.Write(append(both, "\r\n\r\n"...)); err != nil {
		t.Fatal(err)
	}
	var rest []Event
	for _, id := range []string{"slow", "one", "two"} {
		if ev := next(t, ch, &rest); ev.Packet.Msg == nil || ev.Packet.Msg.Get("Call-ID") != id {
			t.Fatalf("%s: %+v", id, ev)
		}
	}
	pong := make([]byte, 2)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(pong); err != nil || string(pong) != "\r\n" {
		t.Errorf("keep-alive answered %q, %v", pong, err)
	}
	half := message("half", 50).Bytes()
	if _, err := c.Write(half[:len(half)-20]); err != nil {
		t.Fatal(err)
	}
	c.Close()
	ev := next(t, ch, &rest)
	if !errors.Is(ev.Lost, sip.ErrLost) || !strings.Contains(ev.Lost.Error(), "mid-message") || ev.Packet.Peer.Conn == 0 {
		t.Errorf("%+v", ev)
	}
}

// What can't be framed ends its connection, and no other.
func TestUnreadableConnection(t *testing.T) {
	s, ch := listen(t, Config{TCP: any})
	good, err := net.Dial("tcp", s.TCPAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer good.Close()
	evil, err := net.Dial("tcp", s.TCPAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer evil.Close()
	if _, err := evil.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	var rest []Event
	if ev := next(t, ch, &rest); ev.Packet.Err == nil {
		t.Errorf("%+v", ev)
	}
	if ev := next(t, ch, &rest); !errors.Is(ev.Lost, sip.ErrLost) {
		t.Errorf("%+v", ev)
	}
	if _, err := good.Write(message("fine", 0).Bytes()); err != nil {
		t.Fatal(err)
	}
	if ev := next(t, ch, &rest); ev.Packet.Msg == nil || ev.Packet.Msg.Get("Call-ID") != "fine" {
		t.Errorf("%+v", ev)
	}
}

// A peer that reads nothing is cut off when its bytes pile up, and nobody waits for it.
func TestStuckReader(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, ch := listen(t, Config{TCP: any, WriteBuffer: 64 << 10})
	to := sip.Peer{Transport: sip.TCP, Addr: l.Addr().(*net.TCPAddr).AddrPort()}
	for range 4000 { // more than any kernel buffers on loopback
		a.Send(to, message("x", 8000))
		a.Flush()
	}
	var rest []Event
	if ev := next(t, ch, &rest); !errors.Is(ev.Lost, sip.ErrLost) || !strings.Contains(ev.Lost.Error(), "takes nothing more") {
		t.Errorf("%+v", ev) // by the bound on what waits, not by the time of a write
	}
}

func TestConnectionLimit(t *testing.T) {
	s, _ := listen(t, Config{TCP: any, MaxConns: 2})
	for range 5 {
		c, err := net.Dial("tcp", s.TCPAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for deadline := time.Now().Add(20 * time.Second); s.Count.TooMany.Load() < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d turned away, %d open", s.Count.TooMany.Load(), s.Conns())
		}
	}
	if s.Conns() != 2 {
		t.Errorf("%d open", s.Conns())
	}
}
