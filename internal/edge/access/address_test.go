package access

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/trunk"
)

// takeoverScript is a node whose server s-1 has died and whose address s-2 has taken. Call 1 was set up at s-1, call 2 at the
// same address after the start of s-2.
type takeoverScript struct {
	*harness
	caller  ConnID
	started int64 // start of s-2, Unix time in milliseconds
}

// atAddressOf returns a list entry with the address of another server.
func atAddressOf(other, entry, id string) string {
	return strings.Replace(entry, serverAddr(id), serverAddr(other), 1)
}

func newTakeoverScript(t *testing.T) *takeoverScript {
	t.Helper()
	h := newHarness(t, testConfig(), "s-1")
	s := &takeoverScript{harness: h, caller: h.openCaller()}
	h.establishCall(s.caller, 1, "s-1")
	h.advance(time.Second)
	s.resetTrunks()
	h.advance(300 * ms)
	s.started = h.now.Milliseconds()
	h.advance(500 * ms)
	h.establishCall(s.caller, 2, "s-1")
	h.advance(700 * ms)
	h.receivedByServer("s-1")
	return s
}

// resetTrunks resets all trunks to the address of s-1. New ones open at once.
func (s *takeoverScript) resetTrunks() {
	for _, conn := range s.trunks[serverAddr("s-1")] {
		s.node.TrunkClosed(s.now, conn, "reset")
	}
	s.trunks[serverAddr("s-1")] = nil
	s.execute()
}

func (s *takeoverScript) successor(phase string) string {
	return atAddressOf("s-1", member("s-2", 1, phase, s.started), "s-2")
}

// lastTrunk returns the trunk to the address that opened last.
func (s *takeoverScript) lastTrunk() ConnID {
	s.advance(200 * ms)
	trunks := s.trunks[serverAddr("s-1")]
	return trunks[len(trunks)-1]
}

// releasedCalls returns the numbers of the calls that were released towards the caller since the last call.
func (s *takeoverScript) releasedCalls() string {
	var released []int
	text := string(s.unread[s.caller])
	delete(s.unread, s.caller)
	for n := range 10 {
		if strings.Contains(text, "BYE ") && strings.Contains(text, "Call-ID: "+formatID(n)) {
			released = append(released, n)
		}
	}
	return fmt.Sprint(released)
}

// TestAddressTakenOver guards against calls that outlive their server, because its process has died and another server has
// taken its address before the list reports the death. Calls at the new process must not be cut.
func TestAddressTakenOver(t *testing.T) {
	gone := member("s-1", 0, "removed", 0)
	for name, lists := range map[string][][]string{
		"listed before the removal": {{"s-2"}, {gone}},
		"listed after the removal":  {{gone}, {"s-2"}},
		"listed with the removal":   {{"s-2", gone}},
		"never removed":             {{"s-2"}, {member("s-1", 0, "up", 0), "s-2"}, {member("s-1", 0, "draining", 0)}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakeoverScript(t)
			released := ""
			for _, list := range lists {
				for i := range list {
					if list[i] == "s-2" {
						list[i] = s.successor("up")
					}
				}
				s.updateServers(false, list...)
				s.advance(500 * ms)
				released += s.releasedCalls()
			}
			if got := strings.ReplaceAll(released, "[]", ""); got != "[1]" {
				t.Errorf("released %s, want call 1 once and not call 2", got)
			}
			s.sendFromServer(s.lastTrunk(), trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
			s.expect("release of the old call by the new process", s.releasedCalls(), "[]")
			s.sendFromServer(s.lastTrunk(), trunk.TypeRelease, 2, causeParam(trunk.CauseNormal))
			s.expect("release of the later call by the new process", s.releasedCalls(), "[2]")
			s.receivedByServer("s-1")
			s.startSetUp(s.caller, 3, "s-1")
			if pending := s.node.servers["s-2"].pendingSetUps(); pending != 1 || s.node.servers["s-1"].pendingSetUps() != 0 {
				t.Errorf("%d set-ups are pending at the new server, want the one of call 3", pending)
			}
		})
	}
}

// TestAddressKept guards against calls that are cut although their server lives on: resets alone prove nothing, and neither
// does a list entry at its address without a later start.
func TestAddressKept(t *testing.T) {
	for name, entry := range map[string]string{
		"all connections reset":                "",
		"entry without a start at the address": atAddressOf("s-1", member("s-2", 1, "up", 0), "s-2"),
		"removed entry at the address":         atAddressOf("s-1", member("s-2", 1, "removed", 1), "s-2"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTakeoverScript(t)
			if entry != "" {
				s.updateServers(false, entry)
			}
			for range 20 {
				s.resetTrunks()
				s.advance(500 * ms)
				for _, conn := range s.trunks[serverAddr("s-1")] {
					s.node.TrunkBytesReceived(s.now, conn)
				}
			}
			s.expect("released", s.releasedCalls(), "[]")
		})
	}
}

// TestReplacedServerComesBack guards against a server that stays out of service: its id comes back with a new start, at the
// address that another server had taken. The other server's calls are over then.
func TestReplacedServerComesBack(t *testing.T) {
	s := newTakeoverScript(t)
	s.updateServers(false, s.successor("up"))
	s.advance(200 * ms)
	s.expect("released with the takeover", s.releasedCalls(), "[1]")
	s.resetTrunks()
	s.updateServers(false, member("s-1", 0, "up", s.now.Milliseconds()))
	s.advance(200 * ms)
	s.expect("released with the return", s.releasedCalls(), "[2]")
	s.sendFromCaller(s.caller, formatInvite(3, "dest:0;width:1;via:-1"))
	s.advance(1500 * ms) // a server that has just started gets one set-up a second
	if pending := s.node.servers["s-1"].pendingSetUps(); pending != 1 || s.node.servers["s-2"].info.Phase == larkrouter.Ready {
		t.Errorf("%d set-ups are pending at the server that is back, phase of the other %v; want 1, gone", pending,
			s.node.servers["s-2"].info.Phase)
	}
}

// TestNamedCallAtReplacedServer guards against a named call that stands for good at a server whose address another has
// taken, however late it is named.
func TestNamedCallAtReplacedServer(t *testing.T) {
	s := newTakeoverScript(t)
	s.sendFromCaller(s.caller, formatInvite(5, "at:s-1"))
	s.updateServers(false, s.successor("up"))
	s.advance(200 * ms)
	s.expect("named before the takeover is listed", s.releasedCalls(), "[1 5]")
	s.sendFromCaller(s.caller, formatInvite(6, "at:s-1"))
	s.advance(200 * ms)
	s.expect("named after it", s.releasedCalls(), "[6]")
}
