package access

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"larkrouter/internal/edge/admission"
	"larkrouter/internal/edge/trunk"
)

// nameCalls names calls as standing at server s-1, with ids from first on.
func (h *harness) nameCalls(caller ConnID, first, count int) {
	h.t.Helper()
	for n := first; n < first+count; n++ {
		h.sendFromCaller(caller, formatInvite(n, "at:s-1"))
	}
}

// TestNamedCallsAreBounded guards against a client that names made-up calls until the node exceeds its memory limit. The
// calls of another client must not pay for it, however the first one spreads its calls over connections.
func TestNamedCallsAreBounded(t *testing.T) {
	const limit, honestCalls, firstMadeUp = 1000, 100, 1 << 20
	for name, flood := range map[string]func(h *harness){
		"one connection": func(h *harness) { h.nameCalls(h.openCaller(), firstMadeUp, 20*limit) },
		"a new connection for every few calls": func(h *harness) {
			for i := range 400 {
				caller := h.openCaller()
				h.nameCalls(caller, firstMadeUp+50*i, 50)
				h.node.CallerClosed(h.now, caller)
			}
		},
		"several connections": func(h *harness) {
			callers := []ConnID{h.openCaller(), h.openCaller(), h.openCaller(), h.openCaller(), h.openCaller()}
			for i := range 20 * limit {
				h.nameCalls(callers[i%len(callers)], firstMadeUp+i, 1)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxAdoptedCalls = limit
			h := newHarness(t, cfg, "s-1")
			honest := h.openCaller()
			h.nameCalls(honest, 1, honestCalls)
			flood(h)
			if held := len(h.node.callsByID); held > limit {
				t.Errorf("the node holds %d calls, want at most %d", held, limit)
			}
			for n := 1; n <= honestCalls; n++ {
				h.sendFromServer(h.trunks[serverAddr("s-1")][0], trunk.TypeRelease, n, causeParam(trunk.CauseNormal))
			}
			released := 0
			for _, what := range h.receivedByCaller(honest) {
				if what == "BYE" {
					released++
				}
			}
			h.expect("releases of the other client's calls", released, fmt.Sprint(honestCalls))
			node := h.node
			if node.adopted.count != len(node.callsByID) || len(node.callsByNumber) != len(node.callsByID) ||
				len(node.servers["s-1"].standing) != len(node.callsByID) {
				t.Errorf("%d calls, %d by number, %d adopted, %d standing at the server; want the same number of each", len(node.callsByID),
					len(node.callsByNumber), node.adopted.count, len(node.servers["s-1"].standing))
			}
		})
	}
}

// TestCallBeyondTheLimitIsReleased guards against calls that the node drops without telling their caller. A client that
// names more calls than its share gets one release for each call that is given up, and none for the others.
func TestCallBeyondTheLimitIsReleased(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAdoptedCalls = 4
	h := newHarness(t, cfg, "s-1")
	first, second := h.openCaller(), h.openCaller()
	h.nameCalls(first, 1, 4)
	h.expect("within the limit", h.receivedByCaller(first), "[]")
	h.nameCalls(first, 5, 1) // its newest call is the one just named
	if got := string(h.unread[first]); !strings.Contains(got, "Call-ID: "+formatID(5)) {
		t.Errorf("the client received %q, want the release of call 5", got)
	}
	h.expect("over the limit", h.receivedByCaller(first), "[BYE]")
	h.nameCalls(second, 6, 2)
	if got := string(h.unread[first]); !strings.Contains(got, "Call-ID: "+formatID(4)) || !strings.Contains(got, "Call-ID: "+formatID(3)) {
		t.Errorf("the client with the larger share received %q, want the releases of its calls 4 and 3", got)
	}
	h.expect("larger share", h.receivedByCaller(first), "[BYE BYE]")
	h.expect("smaller share", h.receivedByCaller(second), "[]")

	h.nameCalls(second, 1, 2) // calls named again belong to the connection that has named them last
	h.expect("named again", h.node.AdoptedCalls(), "4")
	h.node.CallerClosed(h.now, second)
	h.nameCalls(first, 8, 1)
	h.expect("release of a call whose connection has closed", h.receivedByCaller(first), "[BYE]")
	h.expect("calls given up", h.node.Totals.AdoptedOverLimit, "4")
	for _, n := range []int{1, 2, 6, 8} {
		h.sendFromCaller(first, formatRequest("BYE", n, "", ""))
	}
	h.expect("ends of the calls that are held", h.receivedByCaller(first), "[200 BYE 200 BYE 200 BYE 200 BYE]")
	if left := len(h.node.adopted.byConn) + h.node.adopted.bySize.Len() + h.node.adopted.count + len(h.node.callsByID); left != 0 {
		t.Errorf("%d entries are left, want none", left)
	}
}

// TestMemoryOfNamedCalls guards against named calls that take more memory than their limit stands for: the header fields
// of a set-up must not stay in memory with its call.
func TestMemoryOfNamedCalls(t *testing.T) {
	const memoryLimit = 32 << 20
	cfg := testConfig()
	cfg.MaxAdoptedCalls = admission.MaxAdoptedCalls(memoryLimit)
	heapInUse := func() int64 {
		var mem runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&mem)
		return int64(mem.HeapAlloc)
	}
	h := newHarness(t, cfg, "s-1")
	caller := h.openCaller()
	before := heapInUse()
	padding := strings.Repeat("X-Padding: "+strings.Repeat("x", 900)+"\r\n", 10)
	for n := range 2 * cfg.MaxAdoptedCalls {
		h.sendFromCaller(caller, formatRequest("INVITE", n, "X-Tier: voice\r\n"+padding+"X-Attrs: at:s-1\r\n", ""))
		delete(h.unread, caller)
	}
	if used := heapInUse() - before; used > memoryLimit/8 {
		t.Errorf("%d named calls take %d KB, want at most %d", h.node.AdoptedCalls(), used>>10, memoryLimit/8>>10)
	} else {
		t.Logf("%d named calls take %d KB", h.node.AdoptedCalls(), used>>10)
	}
	runtime.KeepAlive(h)
}

// TestReleaseOutlastsOtherCalls guards against a call that stands for good: its server has released it before its caller
// has named it, and meanwhile another client ends more calls than the node remembers.
func TestReleaseOutlastsOtherCalls(t *testing.T) {
	h := newHarness(t, testConfig(), "s-1")
	h.sendFromServer(h.trunks[serverAddr("s-1")][0], trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	flooding, caller := h.openCaller(), h.openCaller()
	for n := 10; n < 10+maxEndedCalls+1; n++ {
		h.sendFromCaller(flooding, formatInvite(n, "at:s-1")+formatRequest("BYE", n, "", ""))
		delete(h.unread, flooding)
	}
	h.sendFromCaller(caller, formatInvite(1, "at:s-1"))
	h.expect("released before it was named", h.receivedByCaller(caller), "[BYE]")
}
