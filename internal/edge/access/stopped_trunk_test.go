package access

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
)

const (
	stepTime       = 10 * ms   // of the simulated call server; it answers a set-up one step later
	lostReleaseMax = 8050 * ms // the platform's limit, from the end of a call to its release at the caller
)

// simulatedServer is a call server that follows the platform's protocol and says nothing unasked but its state on a new connection. On
// a connection that has stopped nothing arrives from it any more.
type simulatedServer struct {
	*harness
	id       string
	callTime time.Duration // how long a call stands
	isSilent bool          // it says nothing on any connection
	placed   int
	accepted int // of the trunks that the node has opened
	stopped  map[ConnID]bool
	isDeaf   map[ConnID]bool // nothing reaches the server there
	answers  map[int]ConnID  // due at the next step
	calls    map[int]ConnID  // standing calls and the trunks of their set-ups
	ends     map[int]time.Duration
	repeats  []int // released calls whose release goes on the next connection too

	stopAnswer func(conn ConnID, n int) // sends the next answer, after which its trunk has stopped
	setUpsLost int                      // set-ups sent on a trunk that had stopped a while before
	stoppedAt  time.Duration
}

func newSimulatedServer(h *harness, id string) *simulatedServer {
	return &simulatedServer{harness: h, id: id, callTime: 6 * time.Second,
		stopped: map[ConnID]bool{}, isDeaf: map[ConnID]bool{}, answers: map[int]ConnID{}, calls: map[int]ConnID{},
		ends: map[int]time.Duration{}}
}

func (s *simulatedServer) send(conn ConnID, typ byte, n int, params ...trunk.Param) {
	if !s.isSilent && !s.stopped[conn] && !s.closed[conn] {
		s.sendFromServer(conn, typ, n, params...)
	}
}

// step lets a step of time pass.
func (s *simulatedServer) step() {
	s.advance(stepTime)
	conns := s.trunks[serverAddr(s.id)]
	for ; s.accepted < len(conns); s.accepted++ {
		s.accept(conns[s.accepted])
	}
	for _, n := range slices.Sorted(maps.Keys(s.answers)) {
		s.answer(s.answers[n], n)
	}
	clear(s.answers)
	for _, msg := range s.receivedByServer(s.id) {
		s.receive(msg)
	}
	for _, n := range slices.Sorted(maps.Keys(s.calls)) {
		if s.now >= s.ends[n] {
			s.endCall(n, s.calls[n])
		}
	}
}

func (s *simulatedServer) accept(conn ConnID) {
	s.send(conn, trunk.TypeState, 0, trunk.Param{Code: trunk.ParamReport, Value: []byte("free:90;size:100;lat_ms:1")})
	for _, n := range s.repeats {
		s.send(conn, trunk.TypeRelease, n, causeParam(trunk.CauseNormal))
	}
	s.repeats = nil
}

func (s *simulatedServer) receive(msg receivedMessage) {
	n := int(msg.Call - 0xc0de0000)
	if s.isDeaf[msg.conn] {
		return
	}
	switch msg.Type {
	case trunk.TypeSetUp:
		s.answers[n] = msg.conn
		if s.stopped[msg.conn] && s.now > s.stoppedAt+2*time.Second {
			s.setUpsLost++
		}
	case trunk.TypeRelease:
		delete(s.answers, n)
		delete(s.calls, n)
	}
}

func (s *simulatedServer) answer(conn ConnID, n int) {
	if s.closed[conn] {
		return
	}
	s.calls[n], s.ends[n] = conn, s.now+s.callTime
	if s.stopAnswer == nil {
		s.send(conn, trunk.TypeAnswer, n, serverDescription)
		return
	}
	s.stopAnswer(conn, n)
	s.stopAnswer, s.stopped[conn], s.stoppedAt = nil, true, s.now
}

// endCall ends a call: on the trunk of its set-up, otherwise on any open one.
func (s *simulatedServer) endCall(n int, conn ConnID) {
	delete(s.calls, n)
	s.repeats = append(s.repeats, n)
	for _, other := range s.trunks[serverAddr(s.id)] {
		if s.closed[conn] && !s.closed[other] {
			conn = other
		}
	}
	s.send(conn, trunk.TypeRelease, n, causeParam(trunk.CauseNormal))
}

// waysToStop are the ways in which an answer can be the last on its connection.
var waysToStop = map[string]func(s *simulatedServer, conn ConnID, n int){
	"stops short": func(s *simulatedServer, conn ConnID, _ int) {
		s.node.TrunkBytesReceived(s.now, conn)
		s.node.TrunkPartialMessage(s.now, conn, 26)
	},
	"never arrives": func(*simulatedServer, ConnID, int) {},
	"arrives whole": func(s *simulatedServer, conn ConnID, n int) {
		s.sendFromServer(conn, trunk.TypeAnswer, n, serverDescription)
	},
}

// TestStoppedTrunk guards against callers that are not told the end of their calls, and set-ups that are lost, because a connection to
// their call server stays open without a sign of life while the server's other connections work.
func TestStoppedTrunk(t *testing.T) {
	for way, stop := range waysToStop {
		for traffic, atOnce := range map[string]int{"two connections": 2, "one connection": 1} {
			for _, placeFor := range []time.Duration{24 * time.Second, 3 * time.Second} {
				t.Run(fmt.Sprintf("%s, %s, calls for %v", way, traffic, placeFor), func(t *testing.T) {
					testStoppedTrunk(t, atOnce, placeFor, stop)
				})
			}
		}
	}
}

func testStoppedTrunk(t *testing.T, atOnce int, placeFor time.Duration, stop func(*simulatedServer, ConnID, int)) {
	const (
		placeEvery = 250 * ms
		stopAt     = 3 * time.Second
	)
	h := newHarness(t, testConfig(), "s-1")
	server := newSimulatedServer(h, "s-1")
	caller := h.openCaller()
	released := map[int]time.Duration{}
	for range atOnce - 1 {
		server.place(caller)
	}
	startedAt := h.now
	for step := 0; h.now < startedAt+30*time.Second; step++ {
		if h.now-startedAt == stopAt {
			server.stopAnswer = func(conn ConnID, n int) { stop(server, conn, n) }
		}
		if h.now-startedAt <= placeFor && time.Duration(step)*stepTime%placeEvery == 0 {
			server.place(caller)
		}
		server.step()
		for _, n := range server.releasedAtCaller(caller) {
			released[n] = h.now
		}
	}
	late := 0
	for _, call := range h.node.callsByID {
		if n := int(call.id - 0xc0de0000); call.isStanding && server.calls[n] == 0 && h.now-server.ends[n] > lostReleaseMax {
			late++
		}
	}
	for n, at := range released {
		if at-server.ends[n] > lostReleaseMax {
			late++
		}
	}
	if late > 0 || server.setUpsLost > 0 || len(server.ends) < 12 {
		t.Errorf("%d calls set up; %d callers not told of the end within 8 s, %d set-ups on a connection that stopped over 2 s before; "+
			"want 0 and 0; log %v", len(server.ends), late, server.setUpsLost, h.logged)
	}
	t.Logf("%d calls, %d connections opened", len(server.ends), len(h.trunks[serverAddr("s-1")]))
}

// loseCall ends a call whose release is lost with the trunk that it was written to.
func (s *simulatedServer) loseCall(n int) {
	delete(s.calls, n)
	s.ends[n] = s.now
	s.repeats = append(s.repeats, n)
}

// placeWhile places a call each 250 ms while the condition holds, at most for the given time, and returns the calls whose release
// the caller has got.
func (s *simulatedServer) placeWhile(limit time.Duration, caller ConnID, isWanted func() bool) (released []int) {
	end := s.now + limit
	for step := 0; s.now < end && isWanted(); step++ {
		if step%25 == 0 {
			s.place(caller)
		}
		s.step()
		released = append(released, s.releasedAtCaller(caller)...)
	}
	return released
}

// place places the next call.
func (s *simulatedServer) place(caller ConnID) {
	s.placed++
	s.sendFromCaller(caller, formatInvite(s.placed, "dest:0;width:1;via:-1"))
}

// releasedAtCaller returns the calls whose release the caller has got since the last call.
func (s *simulatedServer) releasedAtCaller(caller ConnID) (all []int) {
	for _, msg := range s.messagesTo(caller) {
		if id, _ := codec.ParseID(msg.Get("Call-ID")); msg.Method == "BYE" {
			all = append(all, int(id-0xc0de0000))
		}
	}
	return all
}

// TestReleaseLostWithTrunk guards against a caller that is never told the end of its call because the release was lost with the
// connection that it was sent on, and the node opens no other one as it has one that works.
func TestReleaseLostWithTrunk(t *testing.T) {
	always := func() bool { return true }
	for name, closeTrunk := range map[string]func(s *simulatedServer, caller ConnID) (lost int){
		"reset beside a probe": func(s *simulatedServer, caller ConnID) int {
			s.place(caller)
			for len(s.trunks[serverAddr(s.id)]) < 2 {
				s.step()
			}
			first := s.calls[1]
			s.closed[first] = true
			s.node.TrunkClosed(s.now, first, "reset")
			s.execute()
			return 1
		},
		"crosses the close of a spare connection": func(s *simulatedServer, caller ConnID) (lost int) {
			for range 2 { // two at once, twice: one of the second two goes on the second connection
				s.place(caller)
				s.placeWhile(100*ms, caller, always)
			}
			spare := s.trunks[serverAddr(s.id)][1]
			s.placeWhile(time.Minute, caller, func() bool { return !s.closed[spare] })
			for n, conn := range s.calls {
				if conn == spare && s.closed[spare] {
					lost = max(lost, n)
				}
			}
			return lost
		},
	} {
		h := newHarness(t, testConfig(), "s-1")
		server, caller := newSimulatedServer(h, "s-1"), h.openCaller()
		server.callTime = time.Hour
		lost := closeTrunk(server, caller)
		server.loseCall(lost)
		released := server.placeWhile(lostReleaseMax, caller, always)
		if lost == 0 || !slices.Equal(released, []int{lost}) {
			t.Errorf("%s: within 8 s the caller got the releases of calls %v, want that of call %d", name, released, lost)
		}
	}
}

// TestReleaseForServerIsSentAgain guards against a call that its caller has released and that stands at its server for good, because
// the release was written on a connection that had stopped or that the server had forgotten.
func TestReleaseForServerIsSentAgain(t *testing.T) {
	always := func() bool { return true }
	for name, how := range map[string]struct {
		bye   time.Duration // from the stop to the caller's BYE
		reset bool          // the server has forgotten the connection, and resets it when bytes arrive
	}{"stopped": {500 * ms, false}, "known to have stopped": {2 * time.Second, false}, "forgotten": {0, true}} {
		h := newHarness(t, testConfig(), "s-1")
		server, caller := newSimulatedServer(h, "s-1"), h.openCaller()
		server.callTime = time.Hour
		for range 2 { // two at once, twice: each connection has a call
			server.place(caller)
			server.placeWhile(100*ms, caller, always)
		}
		first := server.calls[1]
		server.stopped[first], server.isDeaf[first] = true, true
		server.placeWhile(how.bye, caller, always)
		h.sendFromCaller(caller, formatRequest("BYE", 1, "", ""))
		if how.reset {
			h.closed[first] = true
			h.node.TrunkClosed(h.now, first, "reset")
			h.execute()
		}
		server.placeWhile(lostReleaseMax, caller, func() bool { return server.calls[1] != 0 })
		if server.calls[1] != 0 {
			t.Errorf("%s: the call that its caller has released stands at its server after 8 s", name)
		}
	}
}

// TestRememberedServerReleases guards against releases of calls that a client has made up, which displace those of true calls or grow
// without bound.
func TestRememberedServerReleases(t *testing.T) {
	var conn trunkConn
	conn.rememberRelease(serverRelease{call: &callState{attempts: 1}})
	for range 2 * maxServerReleases {
		conn.rememberRelease(serverRelease{call: &callState{}})
	}
	if n := len(conn.releases); n != maxServerReleases || conn.releases[0].isClaimed() {
		t.Errorf("%d releases are remembered, the first of a made-up call: %v; want %d and false", n, conn.releases[0].isClaimed(),
			maxServerReleases)
	}
	for range 2 * maxServerReleases {
		conn.rememberRelease(serverRelease{call: &callState{attempts: 1}})
	}
	conn.rememberRelease(serverRelease{call: &callState{}})
	if n := len(conn.releases); n != maxServerReleases || slices.ContainsFunc(conn.releases, serverRelease.isClaimed) {
		t.Errorf("%d releases are remembered, want %d, none of a made-up call", n, maxServerReleases)
	}
}

// TestSlowTrunkIsKept guards against a connection that is left although it works: a set-up on it is only slow while others are answered
// on another one, or the server says nothing anywhere for a while. The caller gets the answer in the end.
func TestSlowTrunkIsKept(t *testing.T) {
	for name, isServerSilent := range map[string]bool{"one slow set-up": false, "silent server": true} {
		h := newHarness(t, testConfig(), "s-1")
		server, caller, slowCaller := newSimulatedServer(h, "s-1"), h.openCaller(), h.openCaller()
		server.callTime = time.Hour
		slow := strings.NewReplacer("voice", "once", "3000", "8000").Replace(formatInvite(900, "dest:0;width:1;via:-1"))
		h.sendFromCaller(slowCaller, slow)
		first := h.trunks[serverAddr("s-1")][0]
		h.receivedByServer("s-1") // the server works on it
		server.isSilent = isServerSilent
		if isServerSilent {
			for range 500 {
				server.step()
			}
		} else {
			server.placeWhile(5*time.Second, caller, func() bool { return true })
		}
		server.isSilent = false
		if h.closed[first] {
			t.Fatalf("%s: the connection was left; log %v", name, h.logged)
		}
		server.send(first, trunk.TypeAnswer, 900, serverDescription)
		h.expect(name+": answer", h.receivedByCaller(slowCaller), "[200 INVITE]")
	}
}
