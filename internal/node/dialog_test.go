package node

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
)

func addrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func fullList(s ...pool.Server) pool.Document {
	return pool.Document{Version: 9, State: "full", Servers: s}
}

// TestReinviteIsRelayed checks that a re-INVITE is relayed, that a second one meanwhile gets 491, that the 2xx is
// retransmitted until its ACK, and that later requests go to the caller's new Contact.
func TestReinviteIsRelayed(t *testing.T) {
	s := newScript(t, nil)
	callerInvite, callerAnswer, _, _, server := s.setUpCall("a")
	reinvite := callerRequest(sip.INVITE, callerInvite, callerAnswer, 2)
	reinvite.Add("Contact", "<sip:127.0.0.1:5071>") // the caller's address changes
	reinvite.Body = []byte("v=0 hold\r\n")
	s.receive(callerPeer, reinvite)
	s.want("100")
	serverInvite := s.want(sip.INVITE)
	if serverInvite.To != server || string(serverInvite.Send.Body) != "v=0 hold\r\n" || serverInvite.Send.Get("CSeq") != "2 INVITE" {
		t.Errorf("re-INVITE sent to %v: CSeq %s, body %q; want the server, 2 INVITE and the body unchanged",
			serverInvite.To, serverInvite.Send.Get("CSeq"), serverInvite.Send.Body)
	}
	glare := callerRequest(sip.INVITE, callerInvite, callerAnswer, 3)
	s.receive(callerPeer, glare)
	s.want("491")
	s.receive(server, reply(serverInvite.Send, 200))
	answer := s.want("200")
	s.want(sip.ACK)
	s.advance(600 * time.Millisecond)
	s.want("200") // retransmitted until the ACK arrives
	s.receive(callerPeer, callerRequest(sip.ACK, callerInvite, answer.Send, 2))
	s.advance(5 * time.Second)
	s.wantNone("200")
	s.receive(server, serverRequest(sip.BYE, serverInvite.Send, reply(serverInvite.Send, 200), 1))
	if bye := s.want(sip.BYE); bye.To.Addr != addrPort("127.0.0.1:5071") {
		t.Errorf("BYE sent to %v, want the new address with port 5071", bye.To)
	}
}

// TestAckWithOtherCSeq checks that an ACK whose CSeq differs from that of the unacknowledged 2xx is ignored.
func TestAckWithOtherCSeq(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 200))
	callerAnswer := s.want("200").Send
	s.receive(callerPeer, callerRequest(sip.ACK, callerInvite, callerAnswer, 7))
	s.advance(600 * time.Millisecond)
	s.want("200")
	s.receive(callerPeer, callerRequest(sip.ACK, callerInvite, callerAnswer, 1))
	s.advance(5 * time.Second)
	s.wantNone("200")
}

// TestAnswerToForeignInvite checks that a 2xx to an INVITE that this node never sent is ignored, not released
// (section 18.1.2).
func TestAnswerToForeignInvite(t *testing.T) {
	s := newScript(t, nil)
	foreignInvite := invite("elsewhere")
	s.receive(callerPeer, reply(foreignInvite, 200))
	s.wantNone(sip.ACK)
	s.wantNone(sip.BYE)
	foreignInvite.Set("Via", "SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bKlong-gone")
	s.receive(callerPeer, reply(foreignInvite, 200))
	s.want(sip.BYE)
}

// TestCancelOfReinvite checks that the CANCEL of a re-INVITE waits for the other endpoint's 1xx.
func TestCancelOfReinvite(t *testing.T) {
	s := newScript(t, nil)
	callerInvite, callerAnswer, _, _, server := s.setUpCall("a")
	reinvite := callerRequest(sip.INVITE, callerInvite, callerAnswer, 2)
	reinvite.Body = []byte("v=0 hold\r\n")
	s.receive(callerPeer, reinvite)
	serverInvite := s.want(sip.INVITE)
	c := sip.NewRequest(sip.CANCEL, reinvite.URI, reinvite.Get("From"), reinvite.Get("To"), reinvite.Get("Call-ID"), 2, 70)
	c.Prepend("Via", reinvite.Get("Via"))
	s.receive(callerPeer, c)
	s.want("200")
	s.wantNone(sip.CANCEL)
	s.receive(server, reply(serverInvite.Send, 100))
	cancel := s.want(sip.CANCEL)
	s.receive(server, reply(cancel.Send, 200), reply(serverInvite.Send, 487))
	s.want("487")
	if _, standing := s.node.OpenCalls(); standing != 1 {
		t.Error("the cancelled re-INVITE ended the call")
	}
}

// TestDelayedOffer checks that if the 2xx carries the offer, the caller's ACK carries the answer and is relayed.
func TestDelayedOffer(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	callerInvite.Body = nil
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 200))
	callerAnswer := s.want("200")
	s.wantNone(sip.ACK)
	ack := callerRequest(sip.ACK, callerInvite, callerAnswer.Send, 1)
	ack.Body = []byte("answer\r\n")
	s.receive(callerPeer, ack)
	if e := s.want(sip.ACK); string(e.Send.Body) != "answer\r\n" {
		t.Errorf("ACK with %q, want the body of the caller", e.Send.Body)
	}
}

// TestEarlyDialogWithPrack checks that a reliable 183 and its PRACK are relayed in an early dialog.
func TestEarlyDialogWithPrack(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	callerInvite.Add("Require", "100rel")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	if serverInvite.Send.Get("Require") != "100rel" {
		t.Error("Require was not copied")
	}
	r := reply(serverInvite.Send, 183)
	r.Add("RSeq", "17")
	r.Add("Require", "100rel")
	s.receive(serverInvite.To, r)
	early := s.want("183")
	prack := callerRequest(sip.PRACK, callerInvite, early.Send, 2)
	prack.Add("RAck", "17 1 INVITE")
	s.receive(callerPeer, prack)
	p := s.want(sip.PRACK)
	if p.Send.Get("RAck") != "17 1 INVITE" || p.To != serverInvite.To {
		t.Errorf("PRACK with RAck %q sent to %v; want 17 1 INVITE, to the server", p.Send.Get("RAck"), p.To)
	}
	s.receive(serverInvite.To, reply(p.Send, 200))
	s.want("200")
	s.receive(serverInvite.To, reply(serverInvite.Send, 200))
	s.want("200")
}

// TestRelayedMethods checks that INFO and UPDATE are relayed in a dialog, and that other methods, old requests,
// requests without hops left and those with an unknown tag are rejected.
func TestRelayedMethods(t *testing.T) {
	s := newScript(t, nil)
	callerInvite, callerAnswer, serverInvite, serverAnswer, server := s.setUpCall("a")
	info := callerRequest(sip.INFO, callerInvite, callerAnswer, 2)
	info.Add("Content-Type", "application/dtmf-relay")
	info.Body = []byte("Signal=5\r\n")
	s.receive(callerPeer, info)
	e := s.want(sip.INFO)
	if string(e.Send.Body) != "Signal=5\r\n" || e.Send.Get("Content-Type") != "application/dtmf-relay" {
		t.Errorf("INFO was relayed as %q, want its body and Content-Type unchanged", e.Send.Bytes())
	}
	s.receive(server, reply(e.Send, 200))
	s.want("200")
	s.receive(server, serverRequest(sip.UPDATE, serverInvite, serverAnswer, 1))
	if e := s.want(sip.UPDATE); e.To.Addr != callerPeer.Addr {
		t.Errorf("UPDATE sent to %v, want the caller", e.To)
	}
	s.receive(callerPeer, callerRequest("REFER", callerInvite, callerAnswer, 3))
	if e := s.want("405"); !strings.Contains(e.Send.Get("Allow"), "INFO") {
		t.Errorf("Allow: got %q, want INFO in it", e.Send.Get("Allow"))
	}
	s.receive(callerPeer, callerRequest(sip.INFO, callerInvite, callerAnswer, 2))
	s.want("200") // a retransmission of an answered request
	old := callerRequest(sip.INFO, callerInvite, callerAnswer, 1)
	s.receive(callerPeer, old)
	s.want("500") // section 12.2.2
	lastHop := callerRequest(sip.INFO, callerInvite, callerAnswer, 4)
	lastHop.Set("Max-Forwards", "0")
	s.receive(callerPeer, lastHop)
	s.want("483")
	stranger := callerRequest(sip.BYE, callerInvite, callerAnswer, 9)
	stranger.Set("From", "<sip:x@127.0.0.1>;tag=stranger")
	s.receive(callerPeer, stranger)
	s.want("481")
	if _, n := s.node.OpenCalls(); n != 1 {
		t.Error("a BYE with an unknown tag ended the call")
	}
}

// TestSessionLost checks that if one endpoint has lost the session, the other one is released.
func TestSessionLost(t *testing.T) {
	for _, how := range []string{"481", "silence"} {
		s := newScript(t, nil)
		callerInvite, callerAnswer, _, _, server := s.setUpCall("a")
		s.receive(callerPeer, callerRequest(sip.INFO, callerInvite, callerAnswer, 2))
		e := s.want(sip.INFO)
		if how == "481" {
			s.receive(server, reply(e.Send, 481))
			s.want("481")
		} else {
			s.advance(33 * time.Second)
			s.want("408")
		}
		if bye := s.want(sip.BYE); bye.To.Addr != callerPeer.Addr {
			t.Errorf("%s: BYE to %v, want the caller", how, bye.To)
		}
		if s.countEvents("over 1/0 outcome 5") != 1 {
			t.Errorf("%s: module events %q; want one 'over 1/0 outcome 5'", how, s.events)
		}
	}
}

// TestRejectedRequests checks that requests that are not calls, or not calls for this node, get the response that the
// RFC prescribes and change nothing.
func TestRejectedRequests(t *testing.T) {
	s := newScript(t, nil)
	s.setUpCall("keep")
	var n int
	wantStatus := func(status string, change func(m *sip.Message)) {
		t.Helper()
		n++
		m := invite("r" + strconv.Itoa(n))
		change(m)
		s.receive(callerPeer, m)
		s.want(status)
		s.wantNone(sip.INVITE)
	}
	method := func(name string) func(m *sip.Message) {
		return func(m *sip.Message) { m.Method = name; m.Set("CSeq", "1 "+name) }
	}
	wantStatus("483", func(m *sip.Message) { m.Set("Max-Forwards", "0") })
	wantStatus("400", func(m *sip.Message) { m.Set("Max-Forwards", "x") })
	wantStatus("420", func(m *sip.Message) { m.Add("Require", "teleport") })
	wantStatus("420", func(m *sip.Message) { m.Add("Proxy-Require", "sec-agree") })
	wantStatus("416", func(m *sip.Message) { m.URI = "http://127.0.0.1/" })
	wantStatus("482", func(m *sip.Message) { m.Add("Via", "SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bKbefore") })
	wantStatus("405", method("REGISTER"))
	wantStatus("501", method("BREW"))
	wantStatus("481", method(sip.BYE))
	wantStatus("481", method(sip.CANCEL))
	wantStatus("200", method(sip.OPTIONS))
	wantStatus("481", func(m *sip.Message) { m.Set("To", "<sip:100@127.0.0.1:5060>;tag=nobody") })
	if _, standing := s.node.OpenCalls(); standing != 1 || s.countEvents("call ") != 1 {
		t.Errorf("%d standing calls, module events %q; want one 'call'", standing, s.events)
	}
}

// TestMalformed checks that an unreadable message is answered where the RFC requires it and dropped otherwise. Each
// one is counted, few are logged.
func TestMalformed(t *testing.T) {
	s := newScript(t, nil)
	s.receiveText(callerPeer, "INVITE sip:100@127.0.0.1 SIP/2.0\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKx\nFrom: <sip:a@b>;tag=1\n"+
		"To: <sip:b@c>\nCall-ID: x\nCSeq: 1 BYE\n\n")
	s.want("400")
	s.receiveText(callerPeer, "INVITE sip:100@127.0.0.1 SIP/7.0\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKy\nFrom: <sip:a@b>;tag=1\n"+
		"To: <sip:b@c>\nCall-ID: x\nCSeq: 1 INVITE\n\n")
	s.want("505")
	for range 500 {
		s.receiveText(callerPeer, "nonsense\n\n")
	}
	lines := 0
	for _, r := range s.logs {
		if r.Event == "malformed" {
			lines++
		}
	}
	if len(s.sent) != 0 || s.node.Stats.Malformed != 502 || lines != 1 {
		t.Errorf("%d messages sent, %d counted, %d log records; want 0, 502, 1", len(s.sent), s.node.Stats.Malformed, lines)
	}
}

// TestReleaseEndsAllCalls checks that a draining node rejects new calls, and that EndAllCalls answers the waiting
// call and ends the standing one on both sides.
func TestReleaseEndsAllCalls(t *testing.T) {
	s := newScript(t, nil)
	s.setUpCall("a")
	s.receive(callerPeer, invite("b"))
	s.sent = nil
	s.node.Drain(s.now)
	s.receive(callerPeer, invite("c"))
	s.want("503")
	s.node.EndAllCalls(s.now)
	s.collect()
	s.want("503")
	s.want(sip.BYE)
	s.want(sip.BYE)
	if waiting, standing := s.node.OpenCalls(); waiting+standing != 0 {
		t.Errorf("%d waiting and %d standing calls remain, want none", waiting, standing)
	}
}

// TestStopAnswersSentCall guards against a call that may have run and may not be repeated, whose caller is told to try again as the node
// stops, also while it rings and counts as set up. One that may be repeated is refused.
func TestStopAnswersSentCall(t *testing.T) {
	for repeat, want := range map[larkrouter.Repeat]string{larkrouter.NonRepeatable: "500", larkrouter.Repeatable: "503"} {
		for _, provisional := range []int{100, 180} {
			s := newScript(t, func(c *Config) { c.Settings.Classes[0].Repeat, c.CountAlertingAsSetUp = repeat, true })
			s.receive(callerPeer, invite("a"))
			serverInvite := s.want(sip.INVITE)
			s.receive(serverInvite.To, reply(serverInvite.Send, provisional))
			s.sent = nil
			s.node.EndAllCalls(s.now)
			s.collect()
			s.want(want)
			s.want(sip.CANCEL)
			if waiting, _ := s.node.OpenCalls(); waiting != 0 || len(s.sent) != 0 {
				t.Errorf("%d calls wait for an answer after a %d, sent besides: %s; want none", waiting, provisional, s.sentKinds())
			}
		}
	}
}

// TestReleaseOfStoredDialogs checks that the dialogs that the previous process left standing are ended before new
// calls are accepted. The CSeq of the BYE must be higher than any that was sent on the dialog, and callers get 503
// until the BYE is answered.
func TestReleaseOfStoredDialogs(t *testing.T) {
	first := newScript(t, func(c *Config) { c.EmitJournal = true })
	callerInvite, callerAnswer, _, _, server := first.setUpCall("a")
	for seq := uint32(2); seq < 6; seq++ {
		first.receive(callerPeer, callerRequest(sip.INFO, callerInvite, callerAnswer, seq))
		first.receive(server, reply(first.want(sip.INFO).Send, 200))
	}
	if len(first.journal) == 0 || first.journal[len(first.journal)-1].State != StateStanding {
		t.Fatalf("journal %+v, want a standing call last", first.journal)
	}
	leg := *first.journal[len(first.journal)-1].Dialog
	s := &script{t: t, now: time.Second}
	n, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	s.node = n
	n.SetStoredDialogs([]StoredDialog{leg})
	n.Start(s.now)
	s.collect()
	bye := s.want(sip.BYE)
	if seq, _, _ := bye.Send.CSeq(); seq <= 5 || bye.To != server || bye.Send.Get("Call-ID") != leg.CallID {
		t.Errorf("BYE %s to %v, want a CSeq above 5, to the server, with the Call-ID of the leg", bye.Send.Get("CSeq"), bye.To)
	}
	s.receive(callerPeer, invite("b"))
	s.want("503")
	s.receive(server, reply(bye.Send, 200))
	s.receive(callerPeer, invite("c"))
	s.want(sip.INVITE)
	// A server that does not answer delays new calls for the configured time only.
	n, _ = New(testConfig())
	s = &script{t: t, now: time.Second, node: n}
	n.SetStoredDialogs([]StoredDialog{leg})
	n.Start(s.now)
	s.advance(290 * time.Millisecond)
	s.receive(callerPeer, invite("d"))
	s.want("503")
	s.advance(20 * time.Millisecond)
	s.receive(callerPeer, invite("e"))
	s.want(sip.INVITE)
}

// TestStoredDialogsAreReleasedPerServer checks that releases at a server that does not answer delay neither those at
// another server nor, after the maximum wait, new calls.
func TestStoredDialogsAreReleasedPerServer(t *testing.T) {
	first := newScript(t, func(c *Config) { c.EmitJournal = true })
	first.setUpCall("a")
	var leg StoredDialog
	for _, j := range first.journal {
		if j.Dialog != nil {
			leg = *j.Dialog
		}
	}
	var legs []StoredDialog
	for i := range 40 { // every other dialog is at a server that does not answer
		l := leg
		l.CallID = "old-" + strconv.Itoa(i)
		if i%2 == 0 {
			l.NextHop = "127.0.0.1:5099"
		}
		legs = append(legs, l)
	}
	n, err := New(testConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, now: time.Second, node: n}
	n.SetStoredDialogs(legs)
	n.Start(s.now)
	dead, answered := map[string]bool{}, map[string]bool{}
	s.collect()
	for range 29 {
		for e, ok := s.find(sip.BYE); ok; e, ok = s.find(sip.BYE) {
			if e.To.Addr.Port() == 5099 {
				dead[e.Send.Get("Call-ID")] = true
				continue
			}
			answered[e.Send.Get("Call-ID")] = true
			s.receive(e.To, reply(e.Send, 200))
		}
		s.advance(10 * time.Millisecond)
	}
	if len(answered) != 20 || len(dead) != 1 {
		t.Errorf("after 290 ms: %d dialogs released at the live server, want 20; %d tried at the dead server, want 1",
			len(answered), len(dead))
	}
	s.receive(callerPeer, invite("early"))
	s.want("503")
	s.advance(20 * time.Millisecond)
	s.receive(callerPeer, invite("new"))
	s.want(sip.INVITE)
}

// TestPersistedServers checks that the persisted list is passed to the module as a cached list before the list server
// has answered. It guards against a list state that says "known" although nothing has come from the list server.
func TestPersistedServers(t *testing.T) {
	s := newScript(t, func(c *Config) {
		c.PersistedServers, c.Servers = c.Servers, nil
		c.ListServer = sip.Peer{Addr: addrPort("127.0.0.1:5090")}
	})
	if s.countEvents("list kind 2 version 1 servers 2") != 1 {
		t.Errorf("module events %q; want one 'list kind 2 version 1 servers 2'", s.events)
	}
	subscribe := s.want(sip.SUBSCRIBE).Send
	s.receive(callerPeer, invite("a"))
	s.want(sip.INVITE)
	expectState := func(when string, want ListState) {
		t.Helper()
		if got := s.node.Snapshot(s.now).ListState; got != want {
			t.Errorf("%s: list state %d, want %d", when, got, want)
		}
	}
	expectState("before the list server has answered", ListPersisted)
	s.receive(s.node.cfg.ListServer, reply(subscribe, 503))
	expectState("after its refusal", ListSourceLost)
	again, isSent := s.find(sip.SUBSCRIBE)
	for ; !isSent; again, isSent = s.find(sip.SUBSCRIBE) {
		s.advance(10 * time.Millisecond)
	}
	subscribe = again.Send
	s.receive(s.node.cfg.ListServer, listNotify(subscribe, 1, nil))
	expectState("after a NOTIFY without a list", ListSourceLost)
	body, _ := json.Marshal(fullList(s.node.cfg.PersistedServers...))
	s.receive(s.node.cfg.ListServer, listNotify(subscribe, 2, body))
	expectState("after a list", ListKnown)
}

// listNotify returns a NOTIFY of the list server for a subscription.
func listNotify(subscribe *sip.Message, seq int, body []byte) *sip.Message {
	target, _ := sip.ParseAddress(subscribe.Get("Contact"))
	notify := sip.NewRequest(sip.NOTIFY, target.URI.String(), subscribe.Get("To")+";tag=n", subscribe.Get("From"),
		subscribe.Get("Call-ID"), uint32(seq), 70)
	notify.Add("Event", pool.Event)
	notify.Add("Subscription-State", "active;expires=40")
	notify.Body = body
	notify.Prepend("Via", "SIP/2.0/UDP 127.0.0.1:5090;branch=z9hG4bKn"+subscribe.Get("Call-ID")+strconv.Itoa(seq))
	return notify
}

// TestSubscription checks the list by SUBSCRIBE and NOTIFY: full and partial documents, a version gap, a rejected
// refresh, expiry.
func TestSubscription(t *testing.T) {
	list := sip.Peer{Addr: addrPort("127.0.0.1:5090")}
	s := newScript(t, func(c *Config) { c.Servers = nil; c.ListServer = list; c.ListExpires = 40 * time.Second })
	notify := func(sub *sip.Message, seq int, d pool.Document) {
		t.Helper()
		body, _ := json.Marshal(d)
		s.receive(list, listNotify(sub, seq, body))
		s.want("200")
	}
	one, two := testConfig().Servers[0], testConfig().Servers[1]
	sub := s.want(sip.SUBSCRIBE).Send
	s.receive(list, withExpires(reply(sub, 200), 40))
	notify(sub, 1, pool.Document{Version: 5, State: "full", Servers: []pool.Server{one}})
	notify(sub, 2, pool.Document{Version: 6, State: "partial", Servers: []pool.Server{two}})
	if s.countEvents("list kind 1 version 5 servers 1") != 1 || s.countEvents("list kind 3 version 6 servers 1") != 1 {
		t.Fatalf("module events %q; want one 'list kind 1 version 5 servers 1' and one 'list kind 3 version 6 servers 1'", s.events)
	}
	notify(sub, 3, pool.Document{Version: 6, State: "partial", Servers: []pool.Server{two}}) // duplicate: no change
	notify(sub, 4, pool.Document{Version: 8, State: "partial", Servers: []pool.Server{two}}) // version 7 is missing
	again := s.want(sip.SUBSCRIBE).Send
	for from, status := range map[string]string{"127.0.0.7:5090": "403", "127.0.0.1:5090": "500"} {
		m := sip.NewRequest(sip.NOTIFY, "sip:127.0.0.1:5060", again.Get("To")+";tag=n", again.Get("From"), again.Get("Call-ID"), 1, 70)
		m.Add("Event", pool.Event)
		m.Add("Subscription-State", "active;expires=40")
		m.Prepend("Via", "SIP/2.0/UDP "+from+";branch=z9hG4bKx"+status)
		if status == "500" { // a request older than the last one
			good := m.Clone()
			good.Set("CSeq", "2 NOTIFY")
			good.Set("Via", "SIP/2.0/UDP "+from+";branch=z9hG4bKgood")
			s.receive(sip.Peer{Addr: addrPort(from)}, good)
			s.want("200")
		}
		m.Body = []byte(`{"version":1,"state":"full","servers":[]}`)
		s.receive(sip.Peer{Addr: addrPort(from)}, m)
		s.want(status)
	}
	if again.Get("Call-ID") == sub.Get("Call-ID") || len(s.events) != 3 {
		t.Errorf("version gap: module events %q; want 3, and a SUBSCRIBE with another Call-ID", s.events)
	}
	s.receive(list, withExpires(reply(again, 200), 40))
	notify(again, 3, pool.Document{Version: 2, State: "full", Servers: []pool.Server{one}}) // the version numbers restart
	if s.countEvents("list kind 1 version 2") != 1 {
		t.Errorf("module events %q; want one 'list kind 1 version 2'", s.events)
	}
	s.advance(31 * time.Second)
	refresh := s.want(sip.SUBSCRIBE).Send
	if refresh.Tag("To") == "" || refresh.Get("CSeq") != "2 SUBSCRIBE" {
		t.Errorf("refresh %q %q, want a tag in To and 2 SUBSCRIBE", refresh.Get("To"), refresh.Get("CSeq"))
	}
	s.receive(list, reply(refresh, 481))
	if s.countEvents("list kind 0") != 1 {
		t.Errorf("rejected refresh: module events %q; want one 'list kind 0'", s.events)
	}
	s.sent = nil
	s.advance(3 * time.Second) // the module asks again
	if e := s.want(sip.SUBSCRIBE); e.Send.Tag("To") != "" {
		t.Error("the SUBSCRIBE is inside the old dialog, want a new one")
	}
	s.advance(40 * time.Second) // no answer at all
	if s.countEvents("list kind 0") < 2 {
		t.Errorf("no answer: module events %q; want at least 2 'list kind 0'", s.events)
	}
	if k, _ := s.node.list.Get(1); k.ID != 1 {
		t.Error("the previous list was discarded")
	}
}

// TestSubscriptionExpires checks that a subscription whose refresh is not answered ends when it expires, not when the
// SUBSCRIBE times out.
func TestSubscriptionExpires(t *testing.T) {
	list := sip.Peer{Addr: addrPort("127.0.0.1:5090")}
	s := newScript(t, func(c *Config) { c.Servers = nil; c.ListServer = list; c.ListExpires = 40 * time.Second })
	sub := s.want(sip.SUBSCRIBE).Send
	s.receive(list, withExpires(reply(sub, 200), 40))
	s.advance(39 * time.Second)
	if s.countEvents("list kind 0") != 0 {
		t.Errorf("expired too early: module events %q; want no 'list kind 0'", s.events)
	}
	s.advance(1500 * time.Millisecond)
	if s.countEvents("list kind 0") != 1 {
		t.Errorf("module events %q; want one 'list kind 0'", s.events)
	}
}

func withExpires(m *sip.Message, secs int) *sip.Message {
	m.Add("Expires", strconv.Itoa(secs))
	return m
}
