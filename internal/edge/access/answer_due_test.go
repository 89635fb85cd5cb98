package access

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"larkrouter/internal/sip"
)

// TestAnswerDueAfterSetUp guards against a call of a class that may not be repeated and that may have run, whose caller is told that
// trying again is harmless because the node stops, or closes the caller's connection. A call that was never sent is refused, and so is
// one that may be repeated.
func TestAnswerDueAfterSetUp(t *testing.T) {
	for name, end := range map[string]func(h *harness, caller ConnID){
		"stop": func(h *harness, _ ConnID) {
			h.node.Stop(h.now, h.now+300*ms)
			h.advance(400 * ms)
		},
		"unreadable input": func(h *harness, caller ConnID) { h.sendFromCaller(caller, "\x00\x01\x02\r\n\r\n") },
		"incomplete messages over their limit": func(h *harness, caller ConnID) {
			h.node.CallerPartialMessage(h.now, caller, h.node.cfg.MaxPartialBytes+1)
			h.execute()
		},
	} {
		for _, isSent := range []bool{true, false} {
			testAnswerDue(t, fmt.Sprintf("%s, sent %v", name, isSent), isSent, end)
		}
	}
}

func testAnswerDue(t *testing.T, name string, isSent bool, end func(h *harness, caller ConnID)) {
	h := newHarness(t, testConfig(), "s-1")
	caller := h.openCaller()
	if !isSent { // the set-ups wait for a trunk
		h.dialResult[serverAddr("s-1")] = "silent"
		h.node.TrunkClosed(h.now, h.trunks[serverAddr("s-1")][0], "reset")
		h.trunks[serverAddr("s-1")] = nil
	}
	setUp := formatInvite(1, "dest:0;width:1;via:-1")
	h.sendFromCaller(caller, strings.Replace(setUp, "X-Tier: voice", "X-Tier: once", 1)+formatInvite(2, "dest:0;width:1;via:-1"))
	sent, want := "[]", []string{"1: 503", "2: 503"}
	if isSent {
		sent, want = "[1/1/0 1/2/0]", []string{"1: 500", "2: 503"}
	}
	h.expect(name+": received by the server", h.receivedByServer("s-1"), sent)
	end(h, caller)
	if statuses := h.finalStatuses(caller); !slices.Equal(statuses, want) {
		t.Errorf("%s: the caller got %v, want %v", name, statuses, want)
	}
	if n := len(h.node.callsByID) + h.node.openCallCount; n != 0 {
		t.Errorf("%s: %d calls are left, want none", name, n)
	}
}

// finalStatuses returns the final answers to set-ups that were written to a caller, by the numbers of their calls.
func (h *harness) finalStatuses(caller ConnID) (statuses []string) {
	for _, msg := range h.messagesTo(caller) {
		if _, method, _ := msg.CSeq(); method == sip.INVITE && msg.Status >= 200 {
			id := strings.TrimPrefix(msg.Get("Call-ID"), "00000000c0de000")
			statuses = append(statuses, fmt.Sprintf("%s: %d", id, msg.Status))
		}
	}
	slices.Sort(statuses)
	return statuses
}
