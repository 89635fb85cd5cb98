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

// TestNamedCallsAreBounded guards against a client that names made-up calls until the node exceeds its memory limit, and against
// other clients' calls that pay for it, on one connection or on a new one for every few calls.
func TestNamedCallsAreBounded(t *testing.T) {
	const limit, honestCalls = 1000, 100
	for name, callsPerConn := range map[string]int{"one connection": 20 * limit, "many connections": 50} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxAdoptedCalls = limit
			h := newHarness(t, cfg, "s-1")
			honest := h.openCaller()
			h.nameCalls(honest, 1, honestCalls)
			for first := 1 << 20; first < 1<<20+20*limit; first += callsPerConn {
				caller := h.openCaller()
				h.nameCalls(caller, first, callsPerConn)
				h.node.CallerClosed(h.now, caller)
			}
			h.expect("calls held", []int{len(h.node.callsByID), len(h.node.callsByNumber), len(h.node.servers["s-1"].standing)},
				fmt.Sprint([]int{limit, limit, limit}))
			for n := 1; n <= honestCalls; n++ {
				h.sendFromServer(h.trunks[serverAddr("s-1")][0], trunk.TypeRelease, n, causeParam(trunk.CauseNormal))
			}
			h.expect("releases of the other client's calls", strings.Count(string(h.unread[honest]), "BYE sip:"), fmt.Sprint(honestCalls))
		})
	}
}

// TestCallBeyondTheLimitIsReleased guards against calls that the node drops without telling their caller: the largest connection
// gets the release of its newest call, and all connections that have closed count as one.
func TestCallBeyondTheLimitIsReleased(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAdoptedCalls = 4
	runScript(newHarness(t, cfg, "s-1"), `
		a name 1; a name 2; a name 3; a name 4; a want; a name 5; a want BYE/5; b name 6; b name 7; a want BYE/4 BYE/3;
		b name 1; b name 2; b want; b close; a name 8; a want BYE/7; a bye 1; a bye 2; a bye 6; a bye 8;
		a want 200/1 200/2 200/6 200/8`)
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
