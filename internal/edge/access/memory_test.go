package access

import (
	"fmt"
	"slices"
	"testing"
)

// TestIncompleteMessagesAreBounded guards against clients that fill the memory with messages that they do not complete. The connection that
// holds the most is closed, and its open call is refused.
func TestIncompleteMessagesAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxPartialBytes = 1000
	s := runScript(t, cfg, `a try 1; b try 2; c try 3`)
	partial := func(caller string, size int) {
		s.node.CallerPartialMessage(s.now, s.callers[caller], size)
		s.execute()
	}
	partial("a", 600)
	partial("b", 300)
	partial("c", 100)
	s.run(`a want; b want; c want`)
	partial("c", 101)
	s.run(`a want 503/1; b want; c want`)
	if !s.closed[s.callers["a"]] || s.closed[s.callers["b"]] || s.closed[s.callers["c"]] {
		t.Error("want the connection that holds the most closed, and no other")
	}
	partial("b", 0)
	partial("c", 1000)
	s.run(`s-1 answer 2; s-1 answer 3; b want 200/2; c want 200/3`)
	s.node.CallerClosed(s.now, s.callers["c"])
	if s.node.partialBytes != 0 {
		t.Errorf("%d bytes are counted after all have ended, want 0", s.node.partialBytes)
	}
}

// TestOpenSetUpsAreBounded guards against a client that fills the memory with set-ups that await an answer. Those of a client with less
// than an equal share are accepted all the same.
func TestOpenSetUpsAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxOpenBytes = 6000
	s := runScript(t, cfg, `b options 1; b want 200/1; x try 2`)
	one := s.node.openBytes
	if one < 300 || one > 600 {
		t.Fatalf("a set-up counts %d bytes, want 300 to 600", one)
	}
	for n := range 30 {
		s.sendFromCaller(s.callers["x"], formatInvite(100+n, "dest:0;width:1;via:-1"))
	}
	if refused := s.receivedByCaller(s.callers["x"]); !slices.Contains(refused, "503 INVITE") || s.node.openBytes > cfg.MaxOpenBytes {
		t.Errorf("the client got %v, and %d bytes are held; want refusals, and at most %d bytes", refused, s.node.openBytes, cfg.MaxOpenBytes)
	}
	s.run(`b try 9; b want; x close; wait 300ms; s-1 answer 9; b want 200/9`)
	if s.node.openBytes != 0 {
		t.Errorf("%d bytes are counted after all calls have ended, want 0", s.node.openBytes)
	}
}

// cancelCalls places calls and cancels each at once.
func (s *scriptRun) cancelCalls(caller string, first, count int) {
	for n := first; n < first+count; n++ {
		s.sendFromCaller(s.callers[caller], formatInvite(n, "dest:0;width:1;via:-1")+formatRequest("CANCEL", n, "", ""))
	}
}

// TestEndedIDsAreRemembered guards against a call that runs twice: its client leaves and comes again with the same id, while the calls of
// other clients have filled the memory of ended ids.
func TestEndedIDsAreRemembered(t *testing.T) {
	s := runScript(t, testConfig(), `a try 1; a close; x options 0`)
	s.cancelCalls("x", 100, maxEndedCalls+100)
	s.run(`b try 1; b want 482/1`)
	s = runScript(t, testConfig(), `a try 1; a close`)
	for conn := range 250 { // each of many connections has ended more calls than the client that left
		name := fmt.Sprint("x", conn)
		s.run(name + ` options 0`)
		s.cancelCalls(name, 100+conn*100, 100)
		s.run(name + ` close`)
	}
	s.run(`b try 1; b want 482/1`)
	if count := len(s.node.endedIDs.byID); count > maxEndedCalls {
		t.Errorf("%d ids are remembered, want at most %d", count, maxEndedCalls)
	}
}

// TestCancelledCallsCloseNoTrunk guards against set-ups that are reset because another client has cancelled many calls: the node remembers
// the abandoned set-ups of a trunk, and closed it at a limit.
func TestCancelledCallsCloseNoTrunk(t *testing.T) {
	s := runScript(t, testConfig(), `a call 10; a call 11; a call 12; wait 100ms; a try 1; x options 0`)
	s.cancelCalls("x", 100, 3*maxAbandonedSetUps)
	if sent := s.node.servers["s-1"].counts.Sent; sent < 2*maxAbandonedSetUps {
		t.Errorf("%d set-ups were sent, want at least %d", sent, 2*maxAbandonedSetUps)
	}
	s.run(`s-1 answer 1; a want 200/1`)
	for _, conn := range s.trunks[serverAddr("s-1")] {
		if s.closed[conn] {
			t.Errorf("trunk %d was closed", conn)
		}
		if count := len(s.node.trunks[conn].abandoned); count > maxAbandonedSetUps {
			t.Errorf("trunk %d remembers %d set-ups, want at most %d", conn, count, maxAbandonedSetUps)
		}
	}
}
