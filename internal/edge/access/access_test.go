package access

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/trunk"
)

// setUp has a call set up at the one server and gives the connection that it went out on.
func (r *rig) setUp(c Conn, n int, server string) Conn {
	r.t.Helper()
	r.say(c, invite(n, "dest:0;width:1;via:-1"))
	got := r.got(server)
	if len(got) != 1 || got[0].Type != trunk.SetUp {
		r.t.Fatalf("call %d: the server got %v", n, got)
	}
	return got[0].conn
}

// stand has a call stand.
func (r *rig) stand(c Conn, n int, server string) Conn {
	r.t.Helper()
	l := r.setUp(c, n, server)
	r.trunk(l, trunk.Answer, n, answer)
	r.want("answer to the caller", r.heard(c), "[200 INVITE]")
	return l
}

// A call from its set-up to its end: what servers get is what the caller sent, the caller gets the server's description.
func TestCallStandsAndEnds(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.say(c, message("OPTIONS", 0, "", "")+invite(1, "dest:0;width:1;via:-1"))
	got := r.got("s-1")
	if len(got) != 1 {
		t.Fatalf("%v", got)
	}
	for code, want := range map[byte]string{trunk.Class: "voice", trunk.Number: "7f3a9c21e0b4d655", trunk.Description: description,
		trunk.Left: "2980"} {
		if v := string(got[0].Get(code)); v != want {
			t.Errorf("parameter %d is %q, %q is right", code, v, want)
		}
	}
	r.trunk(got[0].conn, trunk.Progress, 1)
	r.trunk(got[0].conn, trunk.Answer, 1, answer)
	if text := string(r.out[c]); !strings.Contains(text, string(answer.Value)) {
		t.Errorf("the caller got %q", text)
	}
	r.want("answers", r.heard(c), "[200 OPTIONS 200 INVITE]")
	r.trunk(got[0].conn, trunk.Answer, 1, answer) // a second copy
	r.trunk(got[0].conn, trunk.Release, 1, cause(16))
	r.want("end", r.heard(c), "[BYE]")
	r.want("heard", r.got("s-1"), "[16/1/0]")
	r.trunk(got[0].conn, trunk.Release, 1, cause(16))
	r.want("the release again", r.heard(c), "[]")
	if n := len(r.n.calls) + len(r.n.numbers) + r.n.open; n != 0 {
		t.Errorf("%d calls are kept", n)
	}
}

// Each end that a server can give a set-up reaches the module as the platform's table says. What the module then does
// shows it: where it never ran it goes elsewhere at once; after a reset no resend before the release guard.
func TestEndsOfASetUp(t *testing.T) {
	note := func(s string) trunk.Param { return trunk.Param{Code: trunk.Note, Value: []byte(s)} }
	for _, c := range []struct {
		name   string
		params []trunk.Param
		want   Counts // of the first server
		within time.Duration
		again  bool // sent to another within that
	}{
		{"full", []trunk.Param{cause(34), note("overload")}, Counts{Sent: 1, Refused: 1}, ms, true},
		{"no circuit", []trunk.Param{cause(34), note("no_circuit")}, Counts{Sent: 1, Refused: 1}, ms, true},
		{"lines busy", []trunk.Param{cause(17), note("lines_busy")}, Counts{Sent: 1, Failed: 1}, time.Second, true},
		{"fault", []trunk.Param{cause(47)}, Counts{Sent: 1, Failed: 1}, time.Second, true},
		{"moot", []trunk.Param{cause(102)}, Counts{Sent: 1, NoConnection: 1}, ms, true},
		{"reset, before the guard", []trunk.Param{cause(41)}, Counts{Sent: 1, Reset: 1}, 249 * ms, false},
		{"reset, after it", []trunk.Param{cause(41)}, Counts{Sent: 1, Reset: 1}, 600 * ms, true},
		{"another cause", []trunk.Param{cause(3)}, Counts{Sent: 1, Reset: 1}, 249 * ms, false},
		{"no cause", nil, Counts{Sent: 1, Reset: 1}, 249 * ms, false},
		{"its end before its answer", []trunk.Param{cause(16)}, Counts{Sent: 1}, time.Second, false},
	} {
		r := newRig(t, testConfig(), "s-1", "s-2")
		from := r.caller()
		l := r.setUp(from, 1, "s-1")
		r.trunk(l, trunk.Release, 1, c.params...)
		r.run(c.within)
		again := false
		for _, m := range append(r.got("s-1"), r.got("s-2")...) {
			again = again || m.Type == trunk.SetUp
		}
		if again != c.again || r.n.servers["s-1"].counts.Refused != c.want.Refused || r.n.servers["s-1"].counts.Failed != c.want.Failed ||
			r.n.servers["s-1"].counts.Reset != c.want.Reset || r.n.servers["s-1"].counts.NoConnection != c.want.NoConnection {
			t.Errorf("%s: sent again %v, counts %+v", c.name, again, r.n.servers["s-1"].counts)
		}
	}
}

// A call given up by the module has its answer at once, with how long to stay away; nothing is sent to a caller that has
// left, and its set-up is released. One whose time is up has one final answer, however late the node comes to it, and
// never that it stands.
func TestGivenUp(t *testing.T) {
	cfg := testConfig()
	cfg.Module.MaxAttempts = 1
	r := newRig(t, cfg, "s-1")
	c := r.caller()
	l := r.setUp(c, 1, "s-1")
	r.trunk(l, trunk.Release, 1, cause(34), trunk.Param{Code: trunk.Note, Value: []byte("overload")})
	if text := string(r.out[c]); !strings.Contains(text, "SIP/2.0 503 ") || !strings.Contains(text, "\r\nX-Cooldown: ") {
		t.Errorf("the caller got %q", text)
	}
	r.heard(c)

	l = r.setUp(c, 2, "s-1")
	r.say(c, message("CANCEL", 2, "", ""))
	r.want("release of a call taken back", r.got("s-1"), "[12/2/16]")
	r.trunk(l, trunk.Answer, 2, answer)
	r.want("to a caller that has left", r.heard(c), "[]")

	l = r.setUp(c, 3, "s-1") // its answer comes in the very turn of the deadline
	r.now += 3 * time.Second
	r.trunk(l, trunk.Answer, 3, answer)
	r.run(time.Second)
	r.want("after the deadline", r.heard(c), "[504 INVITE]")
	r.want("release of an answer too late", r.got("s-1"), "[12/3/16]")

	if n := len(r.n.calls) + r.n.open; n != 0 {
		t.Errorf("%d calls are kept", n)
	}

	r = newRig(t, cfg, "s-1")
	c = r.caller()
	r.setUp(c, 4, "s-1") // never answered, and the node is 5 ms late at the deadline
	r.now += 3*time.Second + 5*ms
	r.n.Advance(r.now)
	r.settle()
	r.want("at the deadline", r.heard(c), "[503 INVITE]")
	r.want("release of what was not answered", r.got("s-1"), "[12/4/16]")

	r = newRig(t, cfg, "s-1")
	c = r.caller()
	r.setUp(c, 5, "s-1") // and the caller has left as the node comes to it
	r.now += 3*time.Second + 5*ms
	r.say(c, message("CANCEL", 5, "", ""))
	r.run(time.Second)
	r.want("after its CANCEL", r.heard(c), "[]")
	r.want("release of what was taken back", r.got("s-1"), "[12/5/16]")
	if n := len(r.n.calls) + r.n.open; n != 0 {
		t.Errorf("%d calls are kept", n)
	}
}

// A caller that has ended its connection, though the node has not come to read that, gets nothing set up: not as its call
// comes, and not as one that waited for a connection or for the release guard would go out.
func TestCallerGoneBeforeItsSetUp(t *testing.T) {
	cfg := testConfig()
	gone := false
	cfg.Gone = func(Conn) bool { return gone }
	for _, wait := range []string{"none", "connection", "guard"} {
		gone = wait == "none"
		r := newRig(t, cfg, "s-1")
		c := r.caller()
		switch wait {
		case "connection":
			r.n.TrunkClosed(r.now, r.lines[addr("s-1")][0], "reset") // the next one is tried after a moment
			r.say(c, invite(1, "dest:0;width:1;via:-1"))
			gone = true
		case "guard":
			l := r.setUp(c, 1, "s-1")
			r.trunk(l, trunk.Release, 1, cause(41))
			gone = true
		default:
			r.say(c, invite(1, "dest:0;width:1;via:-1"))
		}
		r.run(2 * time.Second)
		r.want(wait+": servers", r.got("s-1"), "[]")
		r.want(wait+": the caller", r.heard(c), "[]")
		if n := len(r.n.calls) + r.n.open; n != 0 || r.n.Totals.Dropped != 1 {
			t.Errorf("%s: %d calls are kept, %d dropped", wait, n, r.n.Totals.Dropped)
		}
	}
}

// A CANCEL that crosses the answer ends a call that stands, on both sides; a BYE that crosses the server's release is
// answered, and nothing else happens.
func TestCrossings(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.stand(c, 1, "s-1")
	r.say(c, message("CANCEL", 1, "", ""))
	r.want("server", r.got("s-1"), "[12/1/16]")
	r.want("caller", r.heard(c), "[BYE]")

	l := r.stand(c, 2, "s-1")
	r.trunk(l, trunk.Release, 2, cause(16))
	r.say(c, message("BYE", 2, "Reason: Q.850;cause=16\r\n", ""))
	r.want("caller", r.heard(c), "[BYE 200 BYE]")
	r.want("server", r.got("s-1"), "[16/2/0]")

	r.stand(c, 3, "s-1")
	r.say(c, message("BYE", 3, "Reason: Q.850;cause=31\r\n", ""))
	r.want("server", r.got("s-1"), "[12/3/31]")
	r.want("caller", r.heard(c), "[200 BYE]")
	r.say(c, message("BYE", 9, "", ""))
	r.want("unknown", r.heard(c), "[481 BYE]")
}

// A second set-up at the same server goes out on another connection, so that the first one's late answer and late refusal
// are told from its own, and the end of the call that stands is not taken for the first one's.
func TestSecondSetUpAtOneServer(t *testing.T) {
	t.Run("refused late", func(t *testing.T) { secondSetUp(t, true) })
	t.Run("ended there", func(t *testing.T) { secondSetUp(t, false) })
}

func secondSetUp(t *testing.T, refusedLate bool) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.say(c, strings.Replace(invite(1, "dest:0;width:1;via:-1"), "3000", "8000", 1))
	first := r.got("s-1")[0].conn
	k := r.n.calls[0xc0de0001]
	r.n.giveUp(k.out, larkrouter.TimedOut) // as on a time-out shorter than the call's
	r.settle()
	r.run(900 * ms)
	got := r.got("s-1")
	if len(got) != 2 || got[0].Type != trunk.Release && got[1].Type != trunk.Release {
		t.Fatalf("%v", got)
	}
	second := got[0].conn
	if got[1].Type == trunk.SetUp {
		second = got[1].conn
	}
	if second == first {
		t.Fatal("the second set-up went out where the first one did")
	}
	r.trunk(first, trunk.Answer, 1, answer)
	r.want("late answer of the first", r.heard(c), "[]")
	r.trunk(second, trunk.Answer, 1, answer)
	r.want("answer of the second", r.heard(c), "[200 INVITE]")
	if refusedLate {
		r.trunk(first, trunk.Release, 1, cause(34))
		r.want("late refusal of the first", r.heard(c), "[]")
		return
	}
	r.trunk(first, trunk.Release, 1, cause(16))
	r.want("its end, told on the other connection", r.heard(c), "[BYE]")
}

// A connection to a server that breaks takes the set-ups on it and not the calls that stand; those are cut once the port
// refuses, and not by resets alone.
func TestResetAndDeath(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.stand(c, 1, "s-1")
	l := r.setUp(c, 2, "s-1")
	r.n.TrunkClosed(r.now, l, "reset")
	r.settle()
	r.run(3 * time.Second)
	r.want("after a reset", r.n.servers["s-1"].counts.Reset, "1")
	for _, what := range r.heard(c) {
		if what == "BYE" {
			t.Error("a standing call is cut by a reset connection")
		}
	}
	r.down[addr("s-1")] = "refused"
	for _, l := range r.lines[addr("s-1")] {
		r.n.TrunkClosed(r.now, l, "reset")
	}
	r.settle()
	r.run(3 * time.Second)
	if all := fmt.Sprint(r.heard(c)); !strings.Contains(all, "BYE") {
		t.Errorf("3 s after its death: %s", all)
	}
}

// A machine that has vanished: set-ups get no further than the time-out of a connection, calls are cut within 8 s. A
// server that refuses new connections and says nothing on old ones may be alive: its calls go on until the list says
// that it is gone.
func TestVanishedAndMute(t *testing.T) {
	for _, how := range []string{"silent", "refused"} {
		r := newRig(t, testConfig(), "s-1")
		c := r.caller()
		r.stand(c, 1, "s-1")
		r.down[addr("s-1")] = how
		r.run(5500 * ms)
		r.want(how+": early", r.heard(c), "[]")
		if how == "refused" {
			r.list(false, row("s-1", 0, "removed", 0))
		}
		r.run(2400 * ms)
		r.want(how+": after 7.9 s", r.heard(c), "[BYE]")
		// Only where the way may be cut is a release owed: a process that is gone gets no push when it is back.
		r.want(how+": releases owed", len(r.n.servers["s-1"].owed), map[string]string{"silent": "1", "refused": "0"}[how])
	}
}

// What the list says ends calls: a start anew, another server at the address. A drained server gets nothing new, and a
// set-up that waits for a connection there does not go out.
func TestListEndsCalls(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.stand(c, 1, "s-1")
	r.run(time.Second)
	r.list(false, row("s-1", 0, "up", (r.now-100*ms).Milliseconds()))
	r.want("started anew", r.heard(c), "[BYE]")

	r = newRig(t, testConfig(), "s-1")
	c = r.caller()
	r.stand(c, 1, "s-1")
	r.list(false, row("s-1", 0, "removed", 0), strings.Replace(row("s-2", 0, "up", 0), addr("s-2"), addr("s-1"), 1))
	r.run(200 * ms)
	r.want("another at its address", r.heard(c), "[BYE]")

	r = newRig(t, testConfig(), "s-1")
	c = r.caller()
	for _, l := range r.lines[addr("s-1")] {
		r.down[addr("s-1")] = "refused"
		r.n.TrunkClosed(r.now, l, "reset")
	}
	r.n.Take(func(Effect) {}) // the next connections are under way
	r.lines[addr("s-1")] = nil
	r.say(c, invite(1, "dest:0;width:1;via:-1"))
	r.down[addr("s-1")] = ""
	r.list(false, row("s-1", 0, "draining", 0))
	r.run(time.Second)
	for _, m := range r.got("s-1") {
		t.Errorf("a draining server got %v", m)
	}
}

// After a restart a call is found again by what its caller says, wants no answer, and ends as any; one whose server has
// told its end already, or is not known, is over at once.
func TestAdopted(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.say(c, invite(1, "at:s-1"))
	r.want("adopted", r.heard(c), "[]")
	r.say(c, invite(1, "at:s-1"))
	l := r.lines[addr("s-1")][0]
	r.trunk(l, trunk.Release, 1, cause(16))
	r.want("its end", r.heard(c), "[BYE]")

	r.trunk(l, trunk.Release, 2, cause(41))
	r.say(c, invite(2, "at:s-1"))
	r.want("ended before it was named", r.heard(c), "[BYE]")
	r.say(c, invite(3, "at:s-9"))
	r.want("at an unknown server", r.heard(c), "[BYE]")

	r.say(c, invite(4, "at:s-1"))
	r.say(c, message("BYE", 4, "", ""))
	r.want("hung up", r.heard(c), "[200 BYE]")
	if got := fmt.Sprint(r.got("s-1")); !strings.Contains(got, "12/4/16") {
		t.Errorf("the server got %s", got)
	}
}

// The end of a call whose caller's connection is gone goes to a connection that has shown to be a caller's, and to no
// other; written to one that ends before it can have been read, it goes out again.
func TestFarewells(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	a := r.caller()
	l := r.stand(a, 1, "s-1")
	r.n.CallerClosed(r.now, a)
	asks := r.caller()
	r.say(asks, message("OPTIONS", 0, "", ""))
	r.trunk(l, trunk.Release, 1, cause(16))
	r.want("one that only asks", r.heard(asks), "[200 OPTIONS]")
	b := r.caller()
	r.got("s-1")
	r.trunk(r.setUp(b, 2, "s-1"), trunk.Answer, 2, answer)
	r.want("the next caller's", r.heard(b), "[200 INVITE BYE]")
	d := r.caller()
	r.stand(d, 3, "s-1")
	r.n.CallerClosed(r.now, b) // it may not have read the BYE
	r.settle()
	r.want("sent again", r.heard(d), "[BYE]")
	r.say(d, "SIP/2.0 200 OK\r\nCall-ID: "+id(1)+"\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n")
	r.n.CallerClosed(r.now, d)
	r.settle()
	if len(r.n.owed) != 0 {
		t.Errorf("%d releases are owed after the caller's 200", len(r.n.owed))
	}
}

// What no honest caller sends is refused and goes nowhere; an id that is open is not disturbed by a stranger.
func TestMalformed(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	good := invite(1, "dest:0;width:1;via:-1")
	for _, c := range [][2]string{
		{"X-Tier: voice", "X-Tier: gold"}, {"X-Tier: voice\r\n", ""}, {"3000", "NaN"}, {"3000", "-1"}, {"3000", "0"},
		{"3000", "99999999"},
		{"3000", "1e3"}, {"dest:0", "dest:NaN"}, {"dest:0", "dest:1e99"}, {"dest:0", "dest:0.5"}, {"width:1", "width:-1"}, {"width:1",
			"width:7"},
		{"width:1", "width:Inf"}, {"dest:0;", ""}, {"via:-1", "via:x"}, {"via:-1", "dest:0"}, {id(1), "c0de"},
		{"sip:7f3a9c21e0b4d655", "sip:bob"},
		{"sip:7f", "tel:7f"}, {"X-Deadline", "X-Tier: voice\r\nX-Deadline"}, {"9d41c07a5be2f318\r\n", "9d41c07a5be2f3\x00\x01\r\n"},
		{"X-Deadline", "X-Resent: 7\r\nX-Deadline"}, {"9d41c07a5be2f318\r\nc=", "9d41c07a5be2f318ffc="},
	} {
		from := r.caller()
		r.say(from, strings.Replace(good, c[0], c[1], 1))
		r.want(fmt.Sprintf("%q for %q", c[1], c[0]), r.heard(from), "[400 INVITE]")
		r.n.CallerClosed(r.now, from)
	}
	r.want("servers", r.got("s-1"), "[]")

	owner, other := r.caller(), r.caller()
	l := r.setUp(owner, 1, "s-1")
	r.say(other, strings.Replace(good, "9d41", "aaaa", 1))
	r.want("an id that is open", r.heard(other), "[482 INVITE]")
	r.say(other, message("CANCEL", 1, "", ""))
	r.n.CallerClosed(r.now, other)
	r.trunk(l, trunk.Answer, 1, answer)
	r.want("its owner", r.heard(owner), "[200 INVITE]")

	huge := r.caller()
	r.say(huge, strings.Replace(good, "Content-Length: ", "Content-Length: 600000", 1))
	if !r.closed[huge] {
		t.Error("a body of 60 MB is waited for")
	}
}

// Silent and half-open connections give way to honest ones, and are closed within 3 s; none with a set-up open is.
func TestSilentConnections(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg, "s-1")
	busy := r.caller()
	r.setUp(busy, 1, "s-1")
	var silent []Conn
	for range cfg.Callers + 5 {
		silent = append(silent, r.caller())
	}
	if r.closed[busy] || !r.closed[silent[0]] || r.n.Callers() > cfg.Callers {
		t.Errorf("busy closed %v, first silent closed %v, %d open", r.closed[busy], r.closed[silent[0]], r.n.Callers())
	}
	half := silent[len(silent)-1]
	r.n.CallerPart(r.now, half, true)
	r.run(2500 * ms)
	for _, c := range silent {
		if !r.closed[c] {
			t.Errorf("silent connection %d is open after 2.5 s", c)
		}
	}
	if r.closed[busy] {
		t.Error("a connection with a set-up open was closed")
	}
}

// A stopping node takes calls as before, and has answered all of them by its time; calls that stand are left standing.
func TestStop(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	c := r.caller()
	r.stand(c, 1, "s-1")
	r.setUp(c, 2, "s-1")
	r.n.Stop(r.now, r.now+2*time.Second)
	r.run(300 * ms)
	r.say(c, invite(3, "dest:0;width:1;via:-1"))
	r.run(1800 * ms)
	r.want("answers", r.heard(c), "[503 INVITE 503 INVITE]")
	if r.n.Open() != 0 || len(r.n.calls) != 1 {
		t.Errorf("%d open, %d calls", r.n.Open(), len(r.n.calls))
	}
}

// What ends leaves nothing behind: a long day of calls, connections and servers that come and go.
func TestNothingGrows(t *testing.T) {
	r := newRig(t, testConfig(), "s-1")
	for i := range 400 {
		c := r.caller()
		l := r.setUp(c, 10+i, "s-1")
		r.trunk(l, trunk.Answer, 10+i, answer)
		r.trunk(l, trunk.Release, 10+i, cause(16))
		r.heard(c)
		r.got("s-1")
		if i%10 == 0 {
			name := fmt.Sprintf("s-%03d%c", i, 'a'+i/10%20)
			r.list(false, row(name, 1, "up", 0))
			r.list(false, row(name, 1, "removed", 0))
		}
		r.n.CallerClosed(r.now, c)
		r.run(time.Second)
	}
	r.run(70 * time.Second)
	n := r.n
	if len(n.calls)+len(n.numbers)+len(n.callers)+len(n.ended.at)+len(n.ended.line)+len(n.owed) != 0 || len(n.servers) != 1 ||
		len(n.byNum) != 1 || len(n.order) != 1 || len(n.lines) > 2 || n.heap.Len() > 10 {
		t.Errorf("kept: %d calls, %d callers, %d ended, %d servers, %d lines, %d timers", len(n.calls), len(n.callers), len(n.ended.at),
			len(n.servers), len(n.lines), n.heap.Len())
	}
}

// After a stall of 300 ms what is overdue has failed, whatever was answered meanwhile, and is told so; and nothing goes to a
// server that the list, read in the same turn, has draining.
func TestStall(t *testing.T) {
	r := newRig(t, testConfig(), "s-1", "s-2")
	c := r.caller()
	r.say(c, strings.Replace(invite(1, "dest:0;width:1;via:-1"), "3000", "250", 1))
	l := r.got("s-1")[0].conn
	r.now += 300 * ms // nothing is read or fired meanwhile
	r.list(false, row("s-1", 0, "draining", 0))
	r.trunk(l, trunk.Answer, 1, answer)
	r.say(c, invite(2, "dest:0;width:1;via:-1"))
	r.run(400 * ms)
	r.want("what came past its deadline", r.heard(c), "[504 INVITE]")
	r.want("the draining server", r.got("s-1"), "[12/1/16]")
	if got := fmt.Sprint(r.got("s-2")); !strings.Contains(got, "1/2/0") {
		t.Errorf("the other server got %s", got)
	}
}

// Connections to a server follow the node's own traffic: one while it has at most one set-up out, as many as it has out at
// once in a burst, up to the bound, and one again later. One that was a check goes again, and the one that calls came on
// stays. A connection that the server may be about to close as idle takes no set-up and is closed by the node.
func TestConnectionsFollowTraffic(t *testing.T) {
	cfg := testConfig()
	cfg.Lines = 4
	r := newRig(t, cfg, "s-1")
	open := func() (n int) {
		for _, c := range r.lines[addr("s-1")] {
			if !r.closed[c] {
				n++
			}
		}
		return n
	}
	c := r.caller()
	l := r.stand(c, 1, "s-1")
	for range 80 {
		if r.run(500 * ms); open() > 2 || r.closed[l] {
			t.Fatalf("%d connections open, the first one closed %v: one and a check are right", open(), r.closed[l])
		}
	}
	r.trunk(l, trunk.Release, 1, cause(16))
	r.heard(c)
	r.run(1500 * ms)
	r.want("with the call over, open", open(), "1")
	r.n.servers["s-1"].demand.Note(r.now, 9)
	r.run(500 * ms)
	r.want("after a burst, open", open(), "4")
	r.run(60 * time.Second)
	if open() > 2 || r.closed[l] {
		t.Errorf("a minute later %d are open, the first one closed %v", open(), r.closed[l])
	}

	cfg.Trunks = 3 // of the descriptors, however great the burst
	r = newRig(t, cfg, "s-1", "s-2")
	for _, srv := range r.n.order {
		srv.demand.Note(r.now, 9)
	}
	r.run(500 * ms)
	r.want("connections to call servers", len(r.n.lines), "3")

	cfg.Figures.ConnIdle = 1600 * ms
	r = newRig(t, cfg, "s-1")
	r.run(1200 * ms)
	r.want("idle, closed", r.closed[r.lines[addr("s-1")][0]], "false")
	r.now += 300 * ms // as after a stall
	r.say(r.caller(), invite(2, "dest:0;width:1;via:-1"))
	r.run(200 * ms)
	if got := r.got("s-1"); len(got) != 1 || got[0].conn != r.lines[addr("s-1")][1] || !r.closed[r.lines[addr("s-1")][0]] {
		t.Errorf("the set-up went out as %v, on a connection opened for it is right", got)
	}
}
