package node

import (
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"larkrouter"
	"larkrouter/internal/actor"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
)

func testConfig() Config {
	at := netip.MustParseAddrPort("127.0.0.1:5060")
	set := larkrouter.Settings{Instances: 1, Tick: 5 * time.Millisecond, ReleaseGuard: 300 * time.Millisecond,
		Retransmit: 500 * time.Millisecond, ColdShare: 0.3, RampTime: 10 * time.Second, TipMultiple: 3,
		OverloadFor: time.Second, MaxAttempts: 4, MayCancel: true, RetryAfter: true, MarksRedials: true,
		MaxRetryAfter: 2 * time.Second, Classes: []larkrouter.Class{
			{Name: "voice", Aim: time.Second, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25}}}
	return Config{Settings: set, Seed: 1, Classes: []Class{{Try: 3 * time.Second}}, Addresses: [2]netip.AddrPort{at, at},
		Servers: []pool.Server{{ID: 1, Number: 0, Address: "127.0.0.1:5081"}, {ID: 2, Number: 1, Address: "127.0.0.1:5082"}}}
}

// BenchmarkCall is a whole call through the core and the codec, both legs, without sockets: INVITE, 100, 200, ACK, BYE.
func BenchmarkCall(b *testing.B) {
	n, err := New(testConfig())
	if err != nil {
		b.Fatal(err)
	}
	now := time.Second
	n.Start(now)
	caller := sip.Peer{Addr: netip.MustParseAddrPort("127.0.0.1:5070")}
	buf := make([]byte, 0, 4096)
	var sent []*sip.Message
	var to []sip.Peer
	turn := func(from sip.Peer, m *sip.Message) {
		if m != nil {
			buf = m.Append(buf[:0])
			p, err := sip.Parse(buf, sip.Limits{})
			n.Receive(now, sip.Packet{Peer: from, Msg: p, Err: err})
		}
		n.Advance(now)
		sent, to = sent[:0], to[:0]
		n.Take(func(e actor.Effect) {
			if e.Send != nil {
				buf = e.Send.Append(buf[:0])
				sent, to = append(sent, e.Send), append(to, e.To)
			}
		})
	}
	find := func(method string, status int) (*sip.Message, sip.Peer) {
		for i, m := range sent {
			if m.Method == method && m.Status == status {
				return m, to[i]
			}
		}
		b.Fatalf("no %s %d among %d messages", method, status, len(sent))
		return nil, sip.Peer{}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now += 4 * time.Millisecond
		id := strconv.Itoa(i)
		m := sip.NewRequest(sip.INVITE, "sip:100@127.0.0.1:5060", "<sip:7"+id+"@127.0.0.1:5070>;tag=f"+id, "<sip:100@127.0.0.1:5060>", "c"+id, 1, 70)
		m.Add("Contact", "<sip:127.0.0.1:5070>")
		m.Push("Via", "SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bK"+id)
		m.Body = []byte("v=0\r\n")
		turn(caller, m)
		out, server := find(sip.INVITE, 0)
		turn(server, sip.NewResponse(out, 100, "", ""))
		ok := sip.NewResponse(out, 200, "", "s"+id)
		ok.Add("Contact", "<sip:"+server.Addr.String()+">")
		turn(server, ok)
		up, _ := find("", 200)
		ack := sip.NewRequest(sip.ACK, "sip:127.0.0.1:5060", m.Get("From"), up.Get("To"), "c"+id, 1, 70)
		ack.Push("Via", "SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bKa"+id)
		turn(caller, ack)
		bye := sip.NewRequest(sip.BYE, "sip:127.0.0.1:5060", m.Get("From"), up.Get("To"), "c"+id, 2, 70)
		bye.Push("Via", "SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bKb"+id)
		turn(caller, bye)
		out, server = find(sip.BYE, 0)
		turn(server, sip.NewResponse(out, 200, "", ""))
	}
}

// BenchmarkStanding tells the memory of a standing call, just set up and once its transactions have ended.
func BenchmarkStanding(b *testing.B) {
	const calls = 10000
	for b.Loop() {
		n, err := New(testConfig())
		if err != nil {
			b.Fatal(err)
		}
		now := time.Second
		n.Start(now)
		caller := sip.Peer{Addr: netip.MustParseAddrPort("127.0.0.1:5070")}
		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		before := heap()
		var sent []actor.Effect
		turn := func(from sip.Peer, m *sip.Message) {
			p, err := sip.Parse(m.Bytes(), sip.Limits{})
			n.Receive(now, sip.Packet{Peer: from, Msg: p, Err: err})
			n.Advance(now)
			sent = sent[:0]
			n.Take(func(e actor.Effect) {
				if e.Send != nil {
					sent = append(sent, e)
				}
			})
		}
		find := func(method string, status int) actor.Effect {
			for _, e := range sent {
				if e.Send.Method == method && e.Send.Status == status {
					return e
				}
			}
			b.Fatalf("no %s %d", method, status)
			return actor.Effect{}
		}
		for i := range calls {
			now += time.Millisecond
			id := strconv.Itoa(i)
			m := sip.NewRequest(sip.INVITE, "sip:100@127.0.0.1:5060", "<sip:7"+id+"@127.0.0.1:5070>;tag=f"+id, "<sip:100@127.0.0.1:5060>", "c"+id, 1, 70)
			m.Add("Contact", "<sip:127.0.0.1:5070>")
			m.Push("Via", "SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bK"+id)
			m.Body = []byte("v=0\r\n")
			turn(caller, m)
			out := find(sip.INVITE, 0)
			ok := sip.NewResponse(out.Send, 200, "", "s"+id)
			ok.Add("Contact", "<sip:"+out.To.Addr.String()+">")
			turn(out.To, ok)
			up := find("", 200)
			ack := sip.NewRequest(sip.ACK, "sip:127.0.0.1:5060", m.Get("From"), up.Send.Get("To"), "c"+id, 1, 70)
			ack.Push("Via", "SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bKa"+id)
			turn(caller, ack)
		}
		fresh := heap()
		for end := now + 40*time.Second; now < end; now += 100 * time.Millisecond {
			n.Advance(now)
			n.Take(func(actor.Effect) {})
		}
		b.ReportMetric(float64(fresh-before)/calls, "B/fresh-call")
		b.ReportMetric(float64(heap()-before)/calls, "B/standing-call")
		runtime.KeepAlive(n)
	}
}
