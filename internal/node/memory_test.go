package node

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/sip"
)

// heapInUse returns the bytes of live objects. A sync.Pool keeps what it holds over one collection, and drops it in the second.
func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestStandingCallMemory guards against a standing call that keeps the text of a whole message in memory: of an INVITE, an answer or
// an ACK. With a delayed offer the ACK to the server is the caller's.
func TestStandingCallMemory(t *testing.T) {
	for name, isOfferDelayed := range map[string]bool{"offer in the INVITE": false, "offer in the answer": true} {
		t.Run(name, func(t *testing.T) {
			const calls, limit = 50, 8 << 10
			s := newScript(t, nil)
			before := heapInUse()
			for i := range calls {
				callerInvite := invite(fmt.Sprint("call", i))
				if isOfferDelayed {
					callerInvite.Body = nil
				}
				setUpPaddedCall(s, withPadding(t, callerInvite))
			}
			s.advance(time.Minute) // the transactions end
			s.sent, s.logs, s.journal, s.events = nil, nil, nil, nil
			used := (int64(heapInUse()) - int64(before)) / calls
			if _, standing := s.node.OpenCalls(); standing != calls || used > limit {
				t.Errorf("%d calls stand, %d bytes each; want %d, and at most %d", standing, used, calls, limit)
			}
		})
	}
}

// setUpPaddedCall sets up a call, and changes it 40 s later by a second INVITE, with long messages of both parties.
func setUpPaddedCall(s *script, callerInvite *sip.Message) {
	s.receive(callerPeer, callerInvite)
	first := s.want(sip.INVITE)
	s.receive(first.To, withPadding(s.t, reply(first.Send, 200)))
	answer := s.want("200").Send
	s.receive(callerPeer, withPadding(s.t, callerRequest(sip.ACK, callerInvite, answer, 1)))
	s.advance(40 * time.Second)
	second := callerRequest(sip.INVITE, callerInvite, answer, 2)
	second.Body = callerInvite.Body
	s.receive(callerPeer, withPadding(s.t, second))
	s.receive(first.To, withPadding(s.t, reply(s.want(sip.INVITE).Send, 200)))
	s.receive(callerPeer, withPadding(s.t, callerRequest(sip.ACK, callerInvite, s.want("200").Send, 2)))
}

// withPadding returns a message as it is received, with 24 KB of header fields that the node does not need.
func withPadding(t *testing.T, msg *sip.Message) *sip.Message {
	t.Helper()
	for range 8 {
		msg.Add("X-Padding", strings.Repeat("x", 3<<10))
	}
	padded, err := sip.Parse(msg.Bytes(), sip.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return padded
}
