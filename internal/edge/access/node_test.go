package access

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/trunk"
)

// startSetUp starts a call that goes to the given server and returns the trunk that carried its set-up.
func (h *harness) startSetUp(caller ConnID, n int, server string) ConnID {
	h.t.Helper()
	h.sendFromCaller(caller, formatInvite(n, "dest:0;width:1;via:-1"))
	got := h.receivedByServer(server)
	if len(got) != 1 || got[0].Type != trunk.TypeSetUp {
		h.t.Fatalf("call %d: the server received %v, want one set-up", n, got)
	}
	return got[0].conn
}

// establishCall starts a call, answers it, and returns its trunk.
func (h *harness) establishCall(caller ConnID, n int, server string) ConnID {
	h.t.Helper()
	conn := h.startSetUp(caller, n, server)
	h.sendFromServer(conn, trunk.TypeAnswer, n, serverDescription)
	h.expect("answer to the caller", h.receivedByCaller(caller), "[200 INVITE]")
	return conn
}

// TestCallStandsAndEnds checks a call from set-up to release: the server receives what the caller sent, and the
// caller receives the server's description. Duplicate answers and releases are ignored.
func TestCallStandsAndEnds(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	h.sendFromCaller(caller, formatRequest("OPTIONS", 0, "", "")+formatInvite(1, "dest:0;width:1;via:-1"))
	got := h.receivedByServer("s-1")
	if len(got) != 1 {
		t.Fatalf("the server received %v, want one message", got)
	}
	for code, want := range map[byte]string{trunk.ParamClass: "voice", trunk.ParamNumber: "7f3a9c21e0b4d655",
		trunk.ParamDescription: callerDescription, trunk.ParamTimeLeft: "2980"} {
		if v := string(got[0].Value(code)); v != want {
			t.Errorf("parameter %d: got %q, want %q", code, v, want)
		}
	}
	h.sendFromServer(got[0].conn, trunk.TypeProgress, 1)
	h.sendFromServer(got[0].conn, trunk.TypeAnswer, 1, serverDescription)
	if text := string(h.unread[caller]); !strings.Contains(text, string(serverDescription.Value)) {
		t.Errorf("the caller received %q, want the description of the server", text)
	}
	h.expect("answers", h.receivedByCaller(caller), "[200 OPTIONS 200 INVITE]")
	h.sendFromServer(got[0].conn, trunk.TypeAnswer, 1, serverDescription) // duplicate
	h.sendFromServer(got[0].conn, trunk.TypeRelease, 1, causeParam(16))
	h.expect("release", h.receivedByCaller(caller), "[BYE]")
	h.expect("acknowledgement", h.receivedByServer("s-1"), "[16/1/0]")
	h.sendFromServer(got[0].conn, trunk.TypeRelease, 1, causeParam(16))
	h.expect("duplicate release", h.receivedByCaller(caller), "[]")
	if n := len(h.node.callsByID) + len(h.node.callsByNumber) + h.node.openCallCount; n != 0 {
		t.Errorf("%d calls are left, want none", n)
	}
}

// TestServerRejectsSetUp checks that each cause with which a server can refuse a set-up is mapped to the outcome that
// the platform defines. The module's reaction shows it: a set-up that never ran is sent elsewhere immediately, and
// after a reset nothing is sent before the release guard has passed.
func TestServerRejectsSetUp(t *testing.T) {
	note := func(s string) trunk.Param { return trunk.Param{Code: trunk.ParamNote, Value: []byte(s)} }
	for _, tc := range []struct {
		name   string
		params []trunk.Param
		want   AttemptCounts // counts of the first server
		within time.Duration
		again  bool // whether a set-up is sent again within that time
	}{
		{"full", []trunk.Param{causeParam(34), note("overload")}, AttemptCounts{Sent: 1, Refused: 1}, ms, true},
		{"no circuit", []trunk.Param{causeParam(34), note("no_circuit")}, AttemptCounts{Sent: 1, Refused: 1}, ms, true},
		{"lines busy", []trunk.Param{causeParam(17), note("lines_busy")}, AttemptCounts{Sent: 1, Failed: 1}, time.Second, true},
		{"fault", []trunk.Param{causeParam(47)}, AttemptCounts{Sent: 1, Failed: 1}, time.Second, true},
		{"not sent", []trunk.Param{causeParam(102)}, AttemptCounts{Sent: 1, NoConnection: 1}, ms, true},
		{"reset, before the release guard", []trunk.Param{causeParam(41)}, AttemptCounts{Sent: 1, Reset: 1}, 249 * ms, false},
		{"reset, after the release guard", []trunk.Param{causeParam(41)}, AttemptCounts{Sent: 1, Reset: 1}, 600 * ms, true},
		{"unknown cause", []trunk.Param{causeParam(3)}, AttemptCounts{Sent: 1, Reset: 1}, 249 * ms, false},
		{"no cause", nil, AttemptCounts{Sent: 1, Reset: 1}, 249 * ms, false},
		{"normal release before the answer", []trunk.Param{causeParam(16)}, AttemptCounts{Sent: 1}, time.Second, false},
	} {
		h := newHarness(t, testConfig(), "s-1", "s-2")
		caller := h.openCaller()
		conn := h.startSetUp(caller, 1, "s-1")
		h.sendFromServer(conn, trunk.TypeRelease, 1, tc.params...)
		h.advance(tc.within)
		again := false
		for _, msg := range append(h.receivedByServer("s-1"), h.receivedByServer("s-2")...) {
			again = again || msg.Type == trunk.TypeSetUp
		}
		if again != tc.again || h.node.servers["s-1"].counts.Refused != tc.want.Refused ||
			h.node.servers["s-1"].counts.Failed != tc.want.Failed || h.node.servers["s-1"].counts.Reset != tc.want.Reset ||
			h.node.servers["s-1"].counts.NoConnection != tc.want.NoConnection {
			t.Errorf("%s: sent again %v, counts %+v", tc.name, again, h.node.servers["s-1"].counts)
		}
	}
}

// TestOneFinalAnswer checks that each call that was not cancelled gets exactly one final answer. An abandoned call is
// refused immediately, with a cooldown. A caller that has cancelled gets nothing, and its set-up is released. A call
// whose deadline has passed gets one final answer, however late the node is, and never a 200.
func TestOneFinalAnswer(t *testing.T) {
	cfg := testConfig()
	cfg.Module.MaxAttempts = 1
	h := newHarness(t, cfg, "s-1")
	caller := h.openCaller()
	conn := h.startSetUp(caller, 1, "s-1")
	h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(34), trunk.Param{Code: trunk.ParamNote, Value: []byte("overload")})
	if text := string(h.unread[caller]); !strings.Contains(text, "SIP/2.0 503 ") || !strings.Contains(text, "\r\nX-Cooldown: ") {
		t.Errorf("the caller received %q, want a 503 with a cooldown", text)
	}
	h.receivedByCaller(caller)

	conn = h.startSetUp(caller, 2, "s-1")
	h.sendFromCaller(caller, formatRequest("CANCEL", 2, "", ""))
	h.expect("release of a cancelled call", h.receivedByServer("s-1"), "[12/2/16]")
	h.sendFromServer(conn, trunk.TypeAnswer, 2, serverDescription)
	h.expect("caller that has cancelled", h.receivedByCaller(caller), "[]")

	conn = h.startSetUp(caller, 3, "s-1") // the answer arrives in the same turn as the deadline
	h.now += 3 * time.Second
	h.sendFromServer(conn, trunk.TypeAnswer, 3, serverDescription)
	h.advance(time.Second)
	h.expect("after the deadline", h.receivedByCaller(caller), "[504 INVITE]")
	h.expect("release after a late answer", h.receivedByServer("s-1"), "[12/3/16]")

	if n := len(h.node.callsByID) + h.node.openCallCount; n != 0 {
		t.Errorf("%d calls are left, want none", n)
	}

	h = newHarness(t, cfg, "s-1")
	caller = h.openCaller()
	h.startSetUp(caller, 4, "s-1") // not answered, and the node is 5 ms late at the deadline
	h.now += 3*time.Second + 5*ms
	h.node.Advance(h.now)
	h.execute()
	h.expect("at the deadline", h.receivedByCaller(caller), "[503 INVITE]")
	h.expect("release of an unanswered set-up", h.receivedByServer("s-1"), "[12/4/16]")

	h = newHarness(t, cfg, "s-1")
	caller = h.openCaller()
	h.startSetUp(caller, 5, "s-1") // the caller's CANCEL arrives before the late node reaches the deadline
	h.now += 3*time.Second + 5*ms
	h.sendFromCaller(caller, formatRequest("CANCEL", 5, "", ""))
	h.advance(time.Second)
	h.expect("after its CANCEL", h.receivedByCaller(caller), "[]")
	h.expect("release of the cancelled set-up", h.receivedByServer("s-1"), "[12/5/16]")
	if n := len(h.node.callsByID) + h.node.openCallCount; n != 0 {
		t.Errorf("%d calls are left, want none", n)
	}
}

// TestCallerHungUpBeforeSetUp checks that nothing is set up for a caller that has closed its connection when the node
// has not read that yet: neither a new call nor one that waited for a trunk or for the release guard is sent.
func TestCallerHungUpBeforeSetUp(t *testing.T) {
	cfg := testConfig()
	hasClosed := false
	cfg.HasPeerClosed = func(ConnID) bool { return hasClosed }
	for _, wait := range []string{"none", "connection", "guard"} {
		hasClosed = wait == "none"
		h := newHarness(t, cfg, "s-1")
		caller := h.openCaller()
		switch wait {
		case "connection":
			h.node.TrunkClosed(h.now, h.trunks[serverAddr("s-1")][0], "reset") // the next dial follows after the backoff
			h.sendFromCaller(caller, formatInvite(1, "dest:0;width:1;via:-1"))
			hasClosed = true
		case "guard":
			conn := h.startSetUp(caller, 1, "s-1")
			h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(41))
			hasClosed = true
		default:
			h.sendFromCaller(caller, formatInvite(1, "dest:0;width:1;via:-1"))
		}
		h.advance(2 * time.Second)
		h.expect(wait+": servers", h.receivedByServer("s-1"), "[]")
		h.expect(wait+": the caller", h.receivedByCaller(caller), "[]")
		if n := len(h.node.callsByID) + h.node.openCallCount; n != 0 || h.node.Totals.CallerHungUp != 1 {
			t.Errorf("%s: %d calls are left, CallerHungUp is %d; want 0 and 1", wait, n, h.node.Totals.CallerHungUp)
		}
	}
}

// TestCrossingReleases checks that a CANCEL that crosses the answer ends a standing call on both sides, and that a
// BYE that crosses the server's release is answered and has no other effect.
func TestCrossingReleases(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	h.establishCall(caller, 1, "s-1")
	h.sendFromCaller(caller, formatRequest("CANCEL", 1, "", ""))
	h.expect("server", h.receivedByServer("s-1"), "[12/1/16]")
	h.expect("caller", h.receivedByCaller(caller), "[BYE]")

	conn := h.establishCall(caller, 2, "s-1")
	h.sendFromServer(conn, trunk.TypeRelease, 2, causeParam(16))
	h.sendFromCaller(caller, formatRequest("BYE", 2, "Reason: Q.850;cause=16\r\n", ""))
	h.expect("caller", h.receivedByCaller(caller), "[BYE 200 BYE]")
	h.expect("server", h.receivedByServer("s-1"), "[16/2/0]")

	h.establishCall(caller, 3, "s-1")
	h.sendFromCaller(caller, formatRequest("BYE", 3, "Reason: Q.850;cause=31\r\n", ""))
	h.expect("server", h.receivedByServer("s-1"), "[12/3/31]")
	h.expect("caller", h.receivedByCaller(caller), "[200 BYE]")
	h.sendFromCaller(caller, formatRequest("BYE", 9, "", ""))
	h.expect("unknown call", h.receivedByCaller(caller), "[481 BYE]")
}

// TestSecondSetUpAtSameServer checks that a second set-up of a call at the same server is sent on another trunk, so
// that a late answer or refusal of the first is not taken for one of the second, and the end of the standing call is
// not taken for one of the first.
func TestSecondSetUpAtSameServer(t *testing.T) {
	t.Run("refused late", func(t *testing.T) { testSecondSetUp(t, true) })
	t.Run("ended there", func(t *testing.T) { testSecondSetUp(t, false) })
}

func testSecondSetUp(t *testing.T, isRefusedLate bool) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	h.sendFromCaller(caller, strings.Replace(formatInvite(1, "dest:0;width:1;via:-1"), "3000", "8000", 1))
	first := h.receivedByServer("s-1")[0].conn
	call := h.node.callsByID[0xc0de0001]
	h.node.abandonAttempt(call.current, larkrouter.TimedOut) // as after an attempt time-out shorter than the call's deadline
	h.execute()
	h.advance(900 * ms)
	got := h.receivedByServer("s-1")
	if len(got) != 2 || got[0].Type != trunk.TypeRelease && got[1].Type != trunk.TypeRelease {
		t.Fatalf("the server received %v, want a release and a set-up", got)
	}
	second := got[0].conn
	if got[1].Type == trunk.TypeSetUp {
		second = got[1].conn
	}
	if second == first {
		t.Fatal("the second set-up was sent on the trunk of the first")
	}
	h.sendFromServer(first, trunk.TypeAnswer, 1, serverDescription)
	h.expect("late answer of the first", h.receivedByCaller(caller), "[]")
	h.sendFromServer(second, trunk.TypeAnswer, 1, serverDescription)
	h.expect("answer of the second", h.receivedByCaller(caller), "[200 INVITE]")
	if isRefusedLate {
		h.sendFromServer(first, trunk.TypeRelease, 1, causeParam(34))
		h.expect("late refusal of the first", h.receivedByCaller(caller), "[]")
		return
	}
	h.sendFromServer(first, trunk.TypeRelease, 1, causeParam(16))
	h.expect("release on the first trunk", h.receivedByCaller(caller), "[BYE]")
}

// TestResetAndRefusedConnections checks that a reset trunk ends the set-ups pending on it and not the standing calls.
// Those end only once the server's port refuses connections.
func TestResetAndRefusedConnections(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	h.establishCall(caller, 1, "s-1")
	conn := h.startSetUp(caller, 2, "s-1")
	h.node.TrunkClosed(h.now, conn, "reset")
	h.execute()
	h.advance(3 * time.Second)
	h.expect("after a reset", h.node.servers["s-1"].counts.Reset, "1")
	for _, what := range h.receivedByCaller(caller) {
		if what == "BYE" {
			t.Error("a reset trunk ended a standing call")
		}
	}
	h.dialResult[serverAddr("s-1")] = "refused"
	for _, conn := range h.trunks[serverAddr("s-1")] {
		h.node.TrunkClosed(h.now, conn, "reset")
	}
	h.execute()
	h.advance(3 * time.Second)
	if all := fmt.Sprint(h.receivedByCaller(caller)); !strings.Contains(all, "BYE") {
		t.Errorf("3 s after the server's port refused connections: the caller received %s, want a BYE", all)
	}
}

// TestUnreachableServer checks a server whose machine has vanished: a set-up fails with the connect timeout, and
// standing calls end within 8 s. A server that refuses new connections and is silent on existing ones may be alive:
// its calls continue until the list reports that it is gone.
func TestUnreachableServer(t *testing.T) {
	for _, how := range []string{"silent", "refused"} {
		h := newHarness(t, testConfig(), "s-1")
		caller := h.openCaller()
		h.establishCall(caller, 1, "s-1")
		h.dialResult[serverAddr("s-1")] = how
		h.advance(5500 * ms)
		h.expect(how+": early", h.receivedByCaller(caller), "[]")
		if how == "refused" {
			h.updateServers(false, member("s-1", 0, "removed", 0))
		}
		h.advance(2400 * ms)
		h.expect(how+": after 7.9 s", h.receivedByCaller(caller), "[BYE]")
		// Only if the network may be partitioned is a release kept: a process that is gone must not get one
		// when it is back.
		h.expect(how+": pending releases", len(h.node.servers["s-1"].awaitingRelease), map[string]string{"silent": "1", "refused": "0"}[how])
	}
}

// TestDrainingServer checks that a draining server gets no new set-up, not even one that already waits for a trunk to it.
func TestDrainingServer(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	for _, conn := range h.trunks[serverAddr("s-1")] {
		h.dialResult[serverAddr("s-1")] = "refused"
		h.node.TrunkClosed(h.now, conn, "reset")
	}
	h.node.TakeEffects(func(Effect) {}) // new dials are in progress
	h.trunks[serverAddr("s-1")] = nil
	h.sendFromCaller(caller, formatInvite(1, "dest:0;width:1;via:-1"))
	h.dialResult[serverAddr("s-1")] = ""
	h.updateServers(false, member("s-1", 0, "draining", 0))
	h.advance(time.Second)
	for _, msg := range h.receivedByServer("s-1") {
		t.Errorf("the draining server received %v, want nothing", msg)
	}
}

// TestMalformed checks that requests that no conforming caller sends are rejected and not forwarded, and that a
// client that uses the id of another caller's open call does not disturb that call.
func TestMalformed(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	valid := formatInvite(1, "dest:0;width:1;via:-1")
	for _, change := range [][2]string{
		{"X-Tier: voice", "X-Tier: gold"}, {"X-Tier: voice\r\n", ""}, {"3000", "NaN"}, {"3000", "-1"}, {"3000", "0"},
		{"3000", "99999999"}, {"3000", "1e3"}, {"dest:0", "dest:NaN"}, {"dest:0", "dest:1e99"}, {"dest:0", "dest:0.5"},
		{"width:1", "width:-1"}, {"width:1", "width:7"}, {"width:1", "width:Inf"}, {"dest:0;", ""}, {"via:-1", "via:x"},
		{"via:-1", "dest:0"}, {formatID(1), "c0de"}, {"sip:7f3a9c21e0b4d655", "sip:bob"}, {"sip:7f", "tel:7f"},
		{"X-Deadline", "X-Tier: voice\r\nX-Deadline"}, {"9d41c07a5be2f318\r\n", "9d41c07a5be2f3\x00\x01\r\n"},
		{"X-Deadline", "X-Resent: 7\r\nX-Deadline"}, {"9d41c07a5be2f318\r\nc=", "9d41c07a5be2f318ffc="},
	} {
		caller := h.openCaller()
		h.sendFromCaller(caller, strings.Replace(valid, change[0], change[1], 1))
		h.expect(fmt.Sprintf("%q for %q", change[1], change[0]), h.receivedByCaller(caller), "[400 INVITE]")
		h.node.CallerClosed(h.now, caller)
	}
	h.expect("servers", h.receivedByServer("s-1"), "[]")

	owner, other := h.openCaller(), h.openCaller()
	conn := h.startSetUp(owner, 1, "s-1")
	h.sendFromCaller(other, strings.Replace(valid, "9d41", "aaaa", 1))
	h.expect("id of an open call", h.receivedByCaller(other), "[482 INVITE]")
	h.sendFromCaller(other, formatRequest("CANCEL", 1, "", ""))
	h.node.CallerClosed(h.now, other)
	h.sendFromServer(conn, trunk.TypeAnswer, 1, serverDescription)
	h.expect("owner of the call", h.receivedByCaller(owner), "[200 INVITE]")

	huge := h.openCaller()
	h.sendFromCaller(huge, strings.Replace(valid, "Content-Length: ", "Content-Length: 600000", 1))
	if !h.closed[huge] {
		t.Error("the node waits for a body of 60 MB, want the connection closed")
	}
}

// TestSilentConnections checks that silent connections and those with an incomplete message are evicted for new ones
// and closed within 3 s, but never while a set-up is open. It guards against requests that are lost with their connection:
// one on which a request waits to be read is spared, unless all are like that.
func TestSilentConnections(t *testing.T) {
	cfg := testConfig()
	unread := map[ConnID]bool{}
	cfg.HasUnreadInput = func(conn ConnID) bool { return unread[conn] }
	h := newHarness(t, cfg, "s-1")
	waiting := h.openCaller()
	unread[waiting] = true
	h.advance(ms)
	busy := h.openCaller()
	h.startSetUp(busy, 1, "s-1")
	var silent []ConnID
	for range cfg.MaxCallerConns + 5 {
		silent = append(silent, h.openCaller())
	}
	if h.closed[busy] || h.closed[waiting] || !h.closed[silent[0]] {
		t.Errorf("busy closed %v, waiting closed %v, first silent closed %v; want false, false, true",
			h.closed[busy], h.closed[waiting], h.closed[silent[0]])
	}
	for _, conn := range silent {
		unread[conn] = true
	}
	silent = append(silent, h.openCaller())
	if h.node.CallerConns() > cfg.MaxCallerConns {
		t.Errorf("%d connections are open, want at most the limit", h.node.CallerConns())
	}
	partial := silent[len(silent)-1]
	h.node.CallerPartialMessage(h.now, partial, 1)
	h.advance(2500 * ms)
	for _, conn := range silent {
		if !h.closed[conn] {
			t.Errorf("silent connection %d is open after 2.5 s, want it closed", conn)
		}
	}
	if h.closed[busy] {
		t.Error("a connection with a set-up open was closed")
	}
}

// TestStop checks that a stopping node accepts calls as before, has answered all of them by its deadline, and does
// not end standing calls.
func TestStop(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	h.establishCall(caller, 1, "s-1")
	h.startSetUp(caller, 2, "s-1")
	h.node.Stop(h.now, h.now+2*time.Second)
	h.advance(300 * ms)
	h.sendFromCaller(caller, formatInvite(3, "dest:0;width:1;via:-1"))
	h.advance(1800 * ms)
	h.expect("answers", h.receivedByCaller(caller), "[503 INVITE 503 INVITE]")
	if h.node.OpenCalls() != 0 || len(h.node.callsByID) != 1 {
		t.Errorf("%d open calls, %d calls in total; want 0 and 1", h.node.OpenCalls(), len(h.node.callsByID))
	}
}

// TestNoStateLeaks checks that no state outlives calls, connections and servers: after many of each have come and
// gone, none is left.
func TestNoStateLeaks(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	for i := range 400 {
		caller := h.openCaller()
		conn := h.startSetUp(caller, 10+i, "s-1")
		h.sendFromServer(conn, trunk.TypeAnswer, 10+i, serverDescription)
		h.sendFromServer(conn, trunk.TypeRelease, 10+i, causeParam(16))
		h.receivedByCaller(caller)
		h.receivedByServer("s-1")
		h.sendFromServer(conn, trunk.TypeRelease, 1000+i, causeParam(16)) // a call that the node does not know
		h.receivedByServer("s-1")
		if i%10 == 0 {
			name := fmt.Sprintf("s-%03d%c", i, 'a'+i/10%20)
			h.updateServers(false, member(name, 1, "up", 0))
			h.updateServers(false, member(name, 1, "removed", 0))
		}
		h.node.CallerClosed(h.now, caller)
		h.advance(time.Second)
	}
	h.advance(70 * time.Second)
	node := h.node
	if len(node.callsByID)+len(node.callsByNumber)+len(node.callerConns)+len(node.endedIDs.byID)+len(node.endedIDs.oldestFirst)+
		len(node.endedIDs.byConn)+
		len(node.unknownReleases.byID)+len(node.unknownReleases.oldestFirst)+node.pendingReleases.len()+
		len(node.pendingReleases.answered.all)+len(node.pendingReleases.answered.unreached) != 0 ||
		len(node.servers) != 1 || len(node.serversByNumber) != 1 || len(node.serverOrder) != 1 || len(node.trunks) > 2 ||
		node.timerHeap.Len() > 10 {
		t.Errorf("left: %d calls, %d callers, %d ended, %d servers, %d trunks, %d timers; want one server, up to 2 trunks, 10 timers",
			len(node.callsByID),
			len(node.callerConns), len(node.endedIDs.byID)+len(node.unknownReleases.byID), len(node.servers), len(node.trunks), node.timerHeap.Len())
	}
}

// TestStall checks that after a stall of 300 ms calls past their deadline are refused even if they were answered
// meanwhile, and that nothing is sent to a server that the list, read in the same turn, reports as draining.
func TestStall(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1", "s-2")
	caller := h.openCaller()
	h.sendFromCaller(caller, strings.Replace(formatInvite(1, "dest:0;width:1;via:-1"), "3000", "250", 1))
	conn := h.receivedByServer("s-1")[0].conn
	h.now += 300 * ms // no input is read and no timer runs meanwhile
	h.updateServers(false, member("s-1", 0, "draining", 0))
	h.sendFromServer(conn, trunk.TypeAnswer, 1, serverDescription)
	h.sendFromCaller(caller, formatInvite(2, "dest:0;width:1;via:-1"))
	h.advance(400 * ms)
	h.expect("call answered past its deadline", h.receivedByCaller(caller), "[504 INVITE]")
	h.expect("the draining server", h.receivedByServer("s-1"), "[12/1/16]")
	if got := fmt.Sprint(h.receivedByServer("s-2")); !strings.Contains(got, "1/2/0") {
		t.Errorf("the other server received %s, want 1/2/0", got)
	}
}

// TestTrunkCountFollowsTraffic checks that the number of trunks to a server follows the traffic: one for at most one
// pending set-up, more for a burst up to the limit, and one again later. A trunk opened as a probe is closed again,
// and the one that carried calls stays open. A trunk that the server may be about to close as idle takes no set-up
// and is closed by the node.
func TestTrunkCountFollowsTraffic(t *testing.T) {
	cfg := testConfig()
	cfg.MaxTrunksPerServer = 4
	h := newHarness(t, cfg, "s-1")
	openTrunks := func() (n int) {
		for _, conn := range h.trunks[serverAddr("s-1")] {
			if !h.closed[conn] {
				n++
			}
		}
		return n
	}
	caller := h.openCaller()
	first := h.establishCall(caller, 1, "s-1")
	for range 80 {
		if h.advance(500 * ms); openTrunks() > 2 || h.closed[first] {
			t.Fatalf("%d connections open, first one closed: %v; want one and at most one probe", openTrunks(), h.closed[first])
		}
	}
	h.sendFromServer(first, trunk.TypeRelease, 1, causeParam(16))
	h.receivedByCaller(caller)
	h.advance(1500 * ms)
	h.expect("with the call over, open", openTrunks(), "1")
	h.node.servers["s-1"].demand.Observe(h.now, 9)
	h.advance(500 * ms)
	h.expect("after a burst, open", openTrunks(), "4")
	h.advance(60 * time.Second)
	if openTrunks() > 2 || h.closed[first] {
		t.Errorf("a minute later: %d connections open, first one closed: %v; want at most 2 and false", openTrunks(), h.closed[first])
	}

	cfg.MaxTrunks = 3 // the limit holds however great the burst is
	h = newHarness(t, cfg, "s-1", "s-2")
	for _, srv := range h.node.serverOrder {
		srv.demand.Observe(h.now, 9)
	}
	h.advance(500 * ms)
	h.expect("connections to call servers", len(h.node.trunks), "3")

	cfg.Edge.ConnIdleTimeout = 1600 * ms
	h = newHarness(t, cfg, "s-1")
	h.advance(1200 * ms)
	h.expect("idle, closed", h.closed[h.trunks[serverAddr("s-1")][0]], "false")
	h.now += 300 * ms // as after a stall
	h.sendFromCaller(h.openCaller(), formatInvite(2, "dest:0;width:1;via:-1"))
	h.advance(200 * ms)
	if got := h.receivedByServer("s-1"); len(got) != 1 || got[0].conn != h.trunks[serverAddr("s-1")][1] ||
		!h.closed[h.trunks[serverAddr("s-1")][0]] {
		t.Errorf("got %v, want the set-up on a trunk opened for it", got)
	}
}
