package node

import (
	"strings"
	"testing"
	"time"

	"larkrouter"
	"larkrouter/internal/sip"
)

// TestCompleteCall checks a call from INVITE to BYE: the legs share no Call-ID, tag or branch, bodies are relayed,
// the outcome is reported after the BYE has been answered, and no state remains.
func TestCompleteCall(t *testing.T) {
	s := newScript(t, nil)
	callerInvite, callerAnswer, serverInvite, _, server := s.setUpCall("a")
	if serverInvite.Get("Call-ID") == callerInvite.Get("Call-ID") || serverInvite.Tag("From") == callerInvite.Tag("From") ||
		serverInvite.Branch() == callerInvite.Branch() {
		t.Error("the legs share a Call-ID, tag or branch")
	}
	if string(serverInvite.Body) != "v=0\r\n" || string(callerAnswer.Body) != "v=1\r\n" || serverInvite.Get("Max-Forwards") != "69" {
		t.Errorf("bodies %q and %q, Max-Forwards %s; want the bodies unchanged and 69",
			serverInvite.Body, callerAnswer.Body, serverInvite.Get("Max-Forwards"))
	}
	s.receive(callerPeer, callerRequest(sip.BYE, callerInvite, callerAnswer, 2))
	s.want("200")
	bye := s.want(sip.BYE)
	if bye.To != server || s.countEvents("over") != 0 {
		t.Errorf("BYE to %v, outcome reported %d times before its answer; want the server and 0", bye.To, s.countEvents("over"))
	}
	s.receive(server, reply(bye.Send, 200))
	if s.countEvents("over 1/0 outcome 0") != 1 || s.node.Stats.Classes[0].Completed != 1 {
		t.Errorf("module events: %q, stats %+v; want one 'over 1/0 outcome 0'", s.events, s.node.Stats.Classes[0])
	}
	s.advance(2 * time.Minute)
	if clientTxs, serverTxs := s.node.transactions.OpenCounts(); clientTxs+serverTxs+
		len(s.node.legs)+len(s.node.calls)+len(s.node.callsByMergeKey) != 0 {
		t.Errorf("want no state, remaining: %d client and %d server transactions, %d legs, %d calls, %d merge keys", clientTxs, serverTxs,
			len(s.node.legs),
			len(s.node.calls), len(s.node.callsByMergeKey))
	}
}

// TestUDPRetransmissionAfterTCPFallback checks that a UDP retransmission that arrives after the caller's fall-back to
// TCP creates neither a second call nor a second answer.
func TestUDPRetransmissionAfterTCPFallback(t *testing.T) {
	for _, sameBranch := range []bool{true, false} {
		s := newScript(t, nil)
		first := invite("a")
		s.receive(callerPeer, first)
		s.want("100")
		serverInvite := s.want(sip.INVITE)
		second := invite("a")
		branch := "z9hG4bKother"
		if sameBranch {
			branch = "z9hG4bKa"
		}
		second.Set("Via", "SIP/2.0/TCP 127.0.0.1:5070;rport;branch="+branch)
		s.receive(callerTCP, second)
		s.receive(callerPeer, first) // delayed retransmission
		s.sent = nil
		s.receive(serverInvite.To, reply(serverInvite.Send, 100), reply(serverInvite.Send, 200))
		ok := s.want("200")
		if ok.To.Transport != sip.TCP {
			t.Errorf("same branch %v: the answer was sent to %v, want the TCP connection", sameBranch, ok.To)
		}
		s.receive(callerTCP, callerRequest(sip.ACK, second, ok.Send, 1))
		s.receive(callerPeer, first)
		s.advance(40 * time.Second)
		s.wantNone("200")
		s.wantNone("482")
		s.wantNone(sip.INVITE)
		s.receive(callerTCP, callerRequest(sip.BYE, second, ok.Send, 2))
		s.receive(serverInvite.To, reply(s.want(sip.BYE).Send, 200))
		s.advance(3 * time.Minute)
		if clientTxs, serverTxs := s.node.transactions.OpenCounts(); clientTxs+serverTxs != 0 {
			t.Errorf("same branch %v: %d client and %d server transactions remain, want none", sameBranch, clientTxs, serverTxs)
		}
		if s.countEvents("call ") != 1 {
			t.Errorf("same branch %v: module events %q; want one 'call'", sameBranch, s.events)
		}
	}
}

// TestMergedRequest checks that a fork of the same call by another client is rejected as a merged request with 482
// (RFC 3261, section 8.2.2.2).
func TestMergedRequest(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	fork := invite("a")
	fork.Prepend("Via", "SIP/2.0/UDP 127.0.0.9:5060;branch=z9hG4bKfork")
	from := callerPeer
	from.Addr = addrPort("127.0.0.9:5060")
	s.receive(from, fork)
	if e := s.want("482"); e.To.Addr != from.Addr {
		t.Errorf("482 sent to %v, want the client of the fork", e.To)
	}
	if s.countEvents("call ") != 1 {
		t.Errorf("module events %q; want one 'call'", s.events)
	}
}

// TestAnswerAfterAbandonedAttempt checks that a 200 for an abandoned attempt is acknowledged and ended with BYE at
// once, and is not forwarded to the caller. The release guard counts from the time-out.
func TestAnswerAfterAbandonedAttempt(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	s.want("100")
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 100))
	s.advance(2990 * time.Millisecond) // the try ends at 3 s, the attempt shortly before
	s.want(sip.CANCEL)
	final := s.want("503")
	if s.countEvents("over 1/0 outcome 3") != 1 {
		t.Fatalf("no time-out reported, module events: %q; want one 'over 1/0 outcome 3'", s.events)
	}
	s.receive(callerPeer, ackOf(callerInvite, final.Send))
	s.sent = nil
	s.receive(serverInvite.To, reply(serverInvite.Send, 200))
	ack, bye := s.want(sip.ACK), s.want(sip.BYE)
	if ack.Send.Tag("To") != "srv" || bye.To.Addr != serverInvite.To.Addr || bye.Send.Get("CSeq") != "2 BYE" {
		t.Errorf("ACK %q, BYE %q to %v; want the tag srv, 2 BYE, to the server", ack.Send.Get("To"), bye.Send.Get("CSeq"), bye.To)
	}
	s.wantNone("200")
	s.receive(serverInvite.To, reply(serverInvite.Send, 200)) // retransmitted, as if the ACK was lost
	s.want(sip.ACK)
	if len(s.events) != 3 || s.node.Stats.Classes[0].InAim+s.node.Stats.Classes[0].Late != 0 {
		t.Errorf("module events %q; want 3, and no call counted as set up", s.events)
	}
}

// ackOf returns the caller's ACK to a failure response.
func ackOf(callerInvite, final *sip.Message) *sip.Message {
	m := sip.NewRequest(sip.ACK, callerInvite.URI, callerInvite.Get("From"), final.Get("To"), callerInvite.Get("Call-ID"), 1, 70)
	m.Prepend("Via", callerInvite.Get("Via"))
	return m
}

// cancelOf returns the caller's CANCEL of an INVITE.
func cancelOf(callerInvite *sip.Message) *sip.Message {
	m := sip.NewRequest(sip.CANCEL, callerInvite.URI, callerInvite.Get("From"), callerInvite.Get("To"), callerInvite.Get("Call-ID"), 1, 70)
	m.Prepend("Via", callerInvite.Get("Via"))
	return m
}

// TestCancelCrosses200 checks that a CANCEL that crosses the 200 is answered and has no other effect.
func TestCancelCrosses200(t *testing.T) {
	s := newScript(t, nil)
	callerInvite, callerAnswer, _, _, server := s.setUpCall("a")
	s.receive(callerPeer, cancelOf(callerInvite))
	if e := s.want("200"); !strings.HasSuffix(e.Send.Get("CSeq"), "CANCEL") {
		t.Errorf("a 200 to %s, want it to the CANCEL", e.Send.Get("CSeq"))
	}
	s.wantNone("487")
	s.wantNone(sip.CANCEL)
	if _, standing := s.node.OpenCalls(); standing != 1 || s.countEvents("gone") != 0 {
		t.Errorf("%d standing calls, module events %q; want 1 standing call and no 'gone'", standing, s.events)
	}
	s.receive(callerPeer, callerRequest(sip.BYE, callerInvite, callerAnswer, 2))
	if s.want(sip.BYE).To != server {
		t.Error("BYE was not sent to the server of the call")
	}
}

// TestCancelBeforeProvisional checks that if the caller cancels before the server has sent a 1xx, the node's CANCEL
// waits for one (section 9.1).
func TestCancelBeforeProvisional(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(callerPeer, cancelOf(callerInvite))
	s.want("200")
	s.want("487")
	s.wantNone(sip.CANCEL)
	s.advance(3 * time.Second)
	s.wantNone(sip.INVITE) // no retransmission of an INVITE that the caller has cancelled
	s.receive(serverInvite.To, reply(serverInvite.Send, 100))
	c := s.want(sip.CANCEL)
	if c.Send.Branch() != serverInvite.Send.Branch() || c.To != serverInvite.To {
		t.Errorf("CANCEL with branch %s to %v, want those of the INVITE", c.Send.Branch(), c.To)
	}
	s.receive(serverInvite.To, reply(c.Send, 200), reply(serverInvite.Send, 487))
	s.want(sip.ACK)
	if s.countEvents("gone 1") != 1 || s.countEvents("over 1/0 outcome 6") != 1 || s.node.Stats.Classes[0].Abandoned != 1 {
		t.Errorf("module events %q; want one 'gone 1' and one 'over 1/0 outcome 6'", s.events)
	}
}

// TestCancelWhileHeld checks that no server receives anything if the caller cancels while no attempt is pending.
func TestCancelWhileHeld(t *testing.T) {
	s := newScript(t, func(c *Config) {
		c.Servers = nil
		c.Servers = append(c.Servers, testConfig().Servers[0])
		c.Servers[0].Phase = "draining"
	})
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	s.want("100")
	s.advance(time.Second)
	s.wantNone(sip.INVITE)
	s.receive(callerPeer, cancelOf(callerInvite))
	s.want("487")
	s.advance(5 * time.Second)
	s.wantNone(sip.INVITE)
	s.wantNone("503")
	if s.countEvents("gone 1") != 1 {
		t.Errorf("module events %q; want one 'gone 1'", s.events)
	}
}

// TestCrossingByes checks that BYEs of both endpoints that cross are both answered, and that the call ends once.
func TestCrossingByes(t *testing.T) {
	s := newScript(t, nil)
	callerInvite, callerAnswer, serverInvite, serverAnswer, server := s.setUpCall("a")
	s.receive(server, serverRequest(sip.BYE, serverInvite, serverAnswer, 1))
	s.want("200")
	toCaller := s.want(sip.BYE)
	s.receive(callerPeer, callerRequest(sip.BYE, callerInvite, callerAnswer, 2)) // sent before the node's BYE arrived
	s.want("200")
	s.wantNone(sip.BYE)
	s.receive(callerPeer, reply(toCaller.Send, 200))
	if s.countEvents("over") != 1 || s.node.Stats.Classes[0].Completed != 1 {
		t.Errorf("module events %q, %+v; want one 'over'", s.events, s.node.Stats.Classes[0])
	}
}

// TestServerEndsCallWithReason checks that a BYE from the server with a failure in its Reason field is reported to
// the module as a reset.
func TestServerEndsCallWithReason(t *testing.T) {
	s := newScript(t, nil)
	_, _, serverInvite, serverAnswer, server := s.setUpCall("a")
	bye := serverRequest(sip.BYE, serverInvite, serverAnswer, 1)
	bye.Add("Reason", `SIP;cause=503;text="stopping"`)
	s.receive(server, bye)
	if e := s.want(sip.BYE); e.Send.Get("Reason") == "" {
		t.Error("the BYE to the caller has no Reason")
	}
	if s.countEvents("over 1/0 outcome 5") != 1 || s.node.Stats.Classes[0].EndedEarly != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 5'", s.events)
	}
}

// TestMissingAck checks that if the caller's ACK never arrives, the 2xx is retransmitted and then both legs are ended
// (section 13.3.1.4).
func TestMissingAck(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 100), reply(serverInvite.Send, 200))
	s.want("200")
	s.want(sip.ACK)
	s.advance(10 * time.Second)
	if n := strings.Count(s.sentKinds(), "200 to"); n < 4 || n > 6 {
		t.Errorf("the 2xx was retransmitted %d times in 10 s, want 4 to 6", n)
	}
	s.wantNone(sip.BYE)
	s.advance(30 * time.Second)
	a, b := s.want(sip.BYE), s.want(sip.BYE)
	if a.To == b.To {
		t.Errorf("both BYEs were sent to %v, want one to each endpoint", a.To)
	}
	if s.countEvents("over 1/0 outcome 0") != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 0'", s.events)
	}
}

// TestServerDrainsDuringCall checks that when a server drains, a standing call continues and its BYE still reaches
// the server, but no new call is sent there.
func TestServerDrainsDuringCall(t *testing.T) {
	s := newScript(t, func(c *Config) { c.Servers = c.Servers[:1] })
	callerInvite, callerAnswer, _, _, server := s.setUpCall("a")
	servers := testConfig().Servers[:1]
	servers[0].Phase = "draining"
	s.node.ApplyList(s.now, fullList(servers...))
	s.collect()
	s.receive(callerPeer, invite("b"))
	s.advance(4 * time.Second)
	s.wantNone(sip.INVITE)
	s.want("503")
	s.receive(callerPeer, callerRequest(sip.BYE, callerInvite, callerAnswer, 2))
	if e := s.want(sip.BYE); e.To != server {
		t.Errorf("BYE to %v, want the server of the call", e.To)
	}
}

// TestOpenCallLimit checks that a call above the limit of open calls is answered 503 at once and is not reported to
// the module, whatever status the module's refusals have.
func TestOpenCallLimit(t *testing.T) {
	s := newScript(t, func(c *Config) { c.MaxCalls, c.RefusalStatus = 2, 480 })
	s.setUpCall("a")
	s.setUpCall("b")
	s.receive(callerPeer, invite("c"))
	e := s.want("503")
	if e.Send.Get("Retry-After") == "" || s.countEvents("call 3") != 0 || s.node.Stats.OverLimit != 1 {
		t.Errorf("503 without Retry-After, or module events %q; want no 'call 3'", s.events)
	}
	s.wantNone("100")
}

// TestServerFailureIsRelayed checks that when the module abandons the call, the caller receives the failure that the
// called number answered.
func TestServerFailureIsRelayed(t *testing.T) {
	s := newScript(t, func(c *Config) { c.Settings.MaxAttempts = 1 })
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 486))
	s.want(sip.ACK)
	s.advance(time.Second)
	e := s.want("486")
	if e.To.Addr != callerPeer.Addr || s.countEvents("over 1/0 outcome 1 full false") != 1 {
		t.Errorf("486 sent to %v, module events %q; want the caller, one 'over 1/0 outcome 1 full false'", e.To, s.events)
	}
	s.receive(callerPeer, callerInvite) // a retransmission gets the same response again, and no other
	again := s.want("486")
	s.receive(callerPeer, ackOf(callerInvite, again.Send))
	s.advance(10 * time.Second)
	s.sent = nil
	s.receive(callerPeer, callerInvite) // a copy that arrives after the transaction has ended: the call has been answered
	s.advance(10 * time.Second)
	if len(s.sent) != 0 {
		t.Errorf("sent in response to an old copy: %s, want nothing", s.sentKinds())
	}
}

// TestRejectedAttemptTriesAnotherServer checks that an attempt answered 503 with Retry-After is reported as rejected
// with that wait, and that the call goes to another server.
func TestRejectedAttemptTriesAnotherServer(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	r := reply(serverInvite.Send, 503)
	r.Add("Retry-After", "2 (busy)")
	s.receive(serverInvite.To, r)
	s.advance(500 * time.Millisecond)
	again := s.want(sip.INVITE)
	if again.To == serverInvite.To || s.countEvents("over 1/0 outcome 2 full true wait 2s") != 1 {
		t.Errorf("second attempt sent to %v, module events %q; want another server, one 'over 1/0 outcome 2 full true wait 2s'",
			again.To, s.events)
	}
}

// TestRefusedConnection checks that a refused send is reported as such, and that the call goes to another server.
func TestRefusedConnection(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	s.node.TransportFailed(s.now, serverInvite.To, sip.ErrRefused)
	s.collect()
	if s.countEvents("over 1/0 outcome 4") != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 4'", s.events)
	}
	if again := s.want(sip.INVITE); again.To == serverInvite.To {
		t.Errorf("second attempt sent to %v, want another server", again.To)
	}
}

// TestCancelWhileAlerting checks that a caller that cancels while the call is alerting gets one 487, although the
// module counts the call as set up.
func TestCancelWhileAlerting(t *testing.T) {
	s := newScript(t, func(c *Config) { c.CountAlertingAsSetUp = true })
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 180))
	s.receive(callerPeer, cancelOf(callerInvite))
	s.want("487")
	s.want(sip.CANCEL)
	s.wantNone("500")
	if s.node.Stats.Classes[0].Abandoned != 1 || s.node.Stats.Classes[0].Failed != 0 {
		t.Errorf("got %+v, want 1 abandoned and 0 failed", s.node.Stats.Classes[0])
	}
	s.receive(callerPeer, invite("b"))
	serverInvite = s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 180))
	s.node.EndAllCalls(s.now) // the same when the node stops
	s.collect()
	s.want("503")
}

// TestAnswerReadAfterDeadline checks that a 2xx that is read after the deadline of the try, as after a stall of the
// node, is not forwarded: the server is released, and the caller, which no longer waits, gets no 2xx.
func TestAnswerReadAfterDeadline(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 100))
	s.sent = nil
	s.now += 4 * time.Second // no timer has fired
	s.receive(serverInvite.To, reply(serverInvite.Send, 200))
	s.want(sip.BYE)
	s.wantNone("200")
	if n := strings.Count(s.sentKinds(), "503 to") + strings.Count(s.sentKinds(), "504 to"); n != 1 {
		t.Errorf("%d answers to the caller, want 1: %s", n, s.sentKinds())
	}
}

// TestSendErrorAppliesToOneDatagram checks that a refused datagram ends only its own attempt, and not another one to
// the same server, which may have started in between.
func TestSendErrorAppliesToOneDatagram(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	s.node.TransportFailed(s.now, serverInvite.To, &sip.SendError{Branch: "z9hG4bKearlier", Err: sip.ErrRefused})
	s.collect()
	if s.countEvents("over") != 0 {
		t.Fatalf("module events %q; want no 'over'", s.events)
	}
	s.wantNone(sip.INVITE)
	s.node.TransportFailed(s.now, serverInvite.To, &sip.SendError{Branch: serverInvite.Send.Branch(), Err: sip.ErrRefused})
	s.collect()
	if s.countEvents("over 1/0 outcome 4") != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 4'", s.events)
	}
}

// TestRefusedAfterRepeatIsReset checks that a refusal after a retransmission is reported as a reset, because it does
// not prove that the set-up was never processed.
func TestRefusedAfterRepeatIsReset(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	s.advance(600 * time.Millisecond) // one retransmission
	s.node.TransportFailed(s.now, serverInvite.To, sip.ErrRefused)
	s.collect()
	if s.countEvents("over 1/0 outcome 5") != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 5'", s.events)
	}
}

// TestRefusedAfterProvisionalIsReset checks that a refusal after a 1xx is reported as a reset, because it does not
// prove that the set-up was never processed.
func TestRefusedAfterProvisionalIsReset(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 100))
	s.node.TransportFailed(s.now, serverInvite.To, sip.ErrRefused)
	s.collect()
	if s.countEvents("over 1/0 outcome 5") != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 5'", s.events)
	}
}

// TestSecondFinalResponseIsSuppressed checks that a call gets one final response, no matter how many are requested.
func TestSecondFinalResponseIsSuppressed(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"))
	call := s.node.calls[1]
	first := s.node.newFinalResponse(call, 504, "")
	s.node.failCallWith(call, first, "failed", "first")
	second := first.Clone()
	second.Status = 486
	s.node.failCallWith(call, second, "failed", "second")
	s.collect()
	s.want("504")
	s.wantNone("486")
	if s.node.Stats.FailedAsserts != 1 || s.node.Stats.Classes[0].Failed != 1 {
		t.Errorf("%d failed asserts, stats %+v; want 1 failed assert and 1 failed call", s.node.Stats.FailedAsserts, s.node.Stats.Classes[0])
	}
}

// TestConnectionLostInAttempt checks that a connection lost during an attempt is reported as a reset, and that the
// release guard delays the next attempt.
func TestConnectionLostInAttempt(t *testing.T) {
	s := newScript(t, func(c *Config) {
		for i := range c.Servers {
			c.Servers[i].Transport = "tcp"
		}
	})
	s.receive(callerPeer, invite("a"))
	serverInvite := s.want(sip.INVITE)
	s.receive(sip.Peer{Transport: sip.TCP, Addr: serverInvite.To.Addr, Conn: 3}, reply(serverInvite.Send, 100))
	s.node.TransportFailed(s.now, sip.Peer{Transport: sip.TCP, Addr: serverInvite.To.Addr, Conn: 3}, sip.ErrLost)
	s.collect()
	if s.countEvents("over 1/0 outcome 5") != 1 {
		t.Fatalf("module events %q; want one 'over 1/0 outcome 5'", s.events)
	}
	s.advance(290 * time.Millisecond)
	s.wantNone(sip.INVITE)
	s.advance(500 * time.Millisecond)
	s.want(sip.INVITE)
}

// TestUnreadTimeFromRetransmissions checks that the time for which an INVITE waited to be read is derived from the
// number of its copies that arrive in one turn.
func TestUnreadTimeFromRetransmissions(t *testing.T) {
	s := newScript(t, nil)
	s.receive(callerPeer, invite("a"), invite("a"), invite("a"))
	if s.countEvents("call 1 left 1.5s") != 1 {
		t.Errorf("module events %q; want one 'call 1 left 1.5s'", s.events)
	}
	old := invite("b")
	s.receive(callerPeer, old, old, old, old)
	s.want("504")
	if s.countEvents("call 2") != 0 {
		t.Errorf("module events %q; want no 'call 2'", s.events)
	}
}

// TestUnreadTimeFromStall checks that after a stall of the node a call over TCP counts as having waited for the whole
// stall, and a call over UDP for no longer than the absence of retransmissions allows.
func TestUnreadTimeFromStall(t *testing.T) {
	s := newScript(t, nil)
	s.advance(time.Second)
	s.now += 2 * time.Second
	tcp := invite("a")
	tcp.Set("Via", "SIP/2.0/TCP 127.0.0.1:5070;branch=z9hG4bKtcp")
	s.receive(callerTCP, tcp)
	var timeLeft time.Duration
	for _, event := range s.events {
		if _, rest, ok := strings.Cut(event, "call 1 left "); ok {
			timeLeft, _ = time.ParseDuration(strings.Fields(rest)[0])
		}
	}
	if timeLeft < 900*time.Millisecond || timeLeft > 1100*time.Millisecond {
		t.Errorf("module events %q; want about 1 s left", s.events)
	}
	s.advance(time.Second)
	s.now += 2 * time.Second
	s.receive(callerPeer, invite("b")) // its first retransmission would have come after 500 ms
	if s.countEvents("call 2 left 2.5s") != 1 {
		t.Errorf("module events %q; want one 'call 2 left 2.5s'", s.events)
	}
}

// TestRedialIsReported checks that the redial number and the Expires field of an INVITE reach the module.
func TestRedialIsReported(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	callerInvite.Add(sip.RedialHeader, "1")
	callerInvite.Add("Expires", "2")
	s.receive(callerPeer, callerInvite)
	if s.countEvents("call 1 left 2s again true") != 1 || s.node.Stats.Classes[0].Redials != 1 {
		t.Errorf("module events %q; want one 'call 1 left 2s again true'", s.events)
	}
}

// TestLargeRequestFallsBack checks that a request above the datagram limit is sent over TCP, or over UDP if the
// connection is refused (section 18.1.1).
func TestLargeRequestFallsBack(t *testing.T) {
	s := newScript(t, nil)
	callerInvite := invite("a")
	callerInvite.Body = []byte(strings.Repeat("a=pad\r\n", 250))
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	if serverInvite.To.Transport != sip.TCP || !strings.Contains(serverInvite.Send.Get("Via"), "SIP/2.0/TCP") {
		t.Fatalf("sent to %v with Via %s, want TCP", serverInvite.To, serverInvite.Send.Get("Via"))
	}
	s.node.TransportFailed(s.now, serverInvite.To, sip.ErrRefused)
	s.collect()
	again := s.want(sip.INVITE)
	if again.To.Transport != sip.UDP || again.Send.Get("Call-ID") != serverInvite.Send.Get("Call-ID") || s.countEvents("over") != 0 {
		t.Errorf("sent to %v, module events %q; want no 'over'", again.To, s.events)
	}
	s.receive(again.To, reply(again.Send, 200))
	s.want("200")
}

// TestModuleWithoutDecision checks that the node answers the caller before the deadline even if the module never
// decides.
func TestModuleWithoutDecision(t *testing.T) {
	s := newScript(t, nil)
	s.node.module = undecidedModule{}
	s.receive(callerPeer, invite("a"))
	s.want("100")
	s.advance(2900 * time.Millisecond)
	s.wantNone("504")
	s.advance(95 * time.Millisecond)
	s.want("504")
	if s.node.Stats.FailedAsserts != 1 {
		t.Errorf("%d failed asserts, want 1", s.node.Stats.FailedAsserts)
	}
}

// undecidedModule never returns an action.
type undecidedModule struct{}

func (undecidedModule) Handle(time.Duration, larkrouter.Event) []larkrouter.Action { return nil }

// TestSecondConcurrentAttemptIsSuppressed checks that if the module starts two attempts at once, the second one is
// not sent and is reported as such.
func TestSecondConcurrentAttemptIsSuppressed(t *testing.T) {
	s := newScript(t, nil)
	s.node.module = &doubleAttemptModule{}
	s.receive(callerPeer, invite("a"))
	s.want(sip.INVITE)
	s.wantNone(sip.INVITE)
	if s.node.Stats.FailedAsserts != 1 {
		t.Errorf("%d failed asserts, want 1", s.node.Stats.FailedAsserts)
	}
}

// doubleAttemptModule starts two attempts for each call.
type doubleAttemptModule struct{}

func (*doubleAttemptModule) Handle(_ time.Duration, ev larkrouter.Event) []larkrouter.Action {
	if call, ok := ev.(larkrouter.Call); ok {
		return []larkrouter.Action{larkrouter.Attempt{Call: call.ID, Server: 1}, larkrouter.Attempt{Call: call.ID, Server: 2}}
	}
	return nil
}

// TestAlertingCountsAsSetUp checks that with CountAlertingAsSetUp set, the call counts as set up as soon as it rings,
// so that the time a person takes to answer is not measured as the server's.
func TestAlertingCountsAsSetUp(t *testing.T) {
	s := newScript(t, func(c *Config) { c.CountAlertingAsSetUp = true })
	callerInvite := invite("a")
	s.receive(callerPeer, callerInvite)
	serverInvite := s.want(sip.INVITE)
	s.receive(serverInvite.To, reply(serverInvite.Send, 180))
	if s.want("180").Send.Tag("To") == "" || s.countEvents("standing 1/0") != 1 {
		t.Errorf("module events %q; want one 'standing 1/0'", s.events)
	}
	s.advance(20 * time.Second) // the called person answers late
	s.wantNone("504")
	s.receive(serverInvite.To, reply(serverInvite.Send, 486))
	s.want("486")
	if s.countEvents("over 1/0 outcome 1 full false wait 0s ended true") != 1 {
		t.Errorf("module events %q; want one 'over 1/0 outcome 1 full false wait 0s ended true'", s.events)
	}
}
