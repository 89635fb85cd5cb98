package access

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"larkrouter/internal/edge/admission"
	"larkrouter/internal/edge/trunk"
)

// TestNamedCallsAreBounded guards against a client that names made-up calls, on one connection or on many, or that also releases
// them: the node must not exceed its memory limit, whatever the header contains, and other clients must not pay: neither for
// calls that they have named, nor with a release that came before its call is named.
func TestNamedCallsAreBounded(t *testing.T) {
	const memoryLimit, honestCalls, flood = 4 << 20, 100, maxEndedCalls + 1
	limit := admission.MaxAdoptedCalls(memoryLimit)
	extra := "X-Tier: voice\r\n" + strings.Repeat("X-Padding: "+strings.Repeat("x", 900)+"\r\n", 10) + "X-Attrs: at:s-1\r\n"
	for name, tc := range map[string]struct {
		callsPerConn int
		then         string // method of a request that follows each
		held         int
	}{"one connection": {flood, "OPTIONS", limit}, "many connections": {50, "OPTIONS", limit}, "released": {flood, "BYE", honestCalls}} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxAdoptedCalls = limit
			h := newHarness(t, cfg, "s-1")
			release := func(n int) {
				h.sendFromServer(h.trunks[serverAddr("s-1")][0], trunk.TypeRelease, n, causeParam(trunk.CauseNormal))
			}
			release(0)
			honest := h.openCaller()
			for n := range honestCalls {
				h.sendFromCaller(honest, formatInvite(n+1, "at:s-1"))
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for first := 1 << 20; first < 1<<20+flood; first += tc.callsPerConn {
				caller := h.openCaller()
				for n := first; n < first+tc.callsPerConn; n++ {
					h.sendFromCaller(caller, formatRequest("INVITE", n, extra, "")+formatRequest(tc.then, n, "", ""))
					delete(h.unread, caller)
				}
				h.receivedByServer("s-1")
				h.node.CallerClosed(h.now, caller)
			}
			h.expect("releases of calls that stand", h.receivedByCaller(honest), "[]")
			h.expect("calls held", []int{len(h.node.callsByID), len(h.node.callsByNumber), len(h.node.servers["s-1"].standing)},
				fmt.Sprint([]int{tc.held, tc.held, tc.held}))
			runtime.GC()
			runtime.ReadMemStats(&after)
			if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); tc.held == limit && used > memoryLimit/8 {
				t.Errorf("%d named calls take %d KB, want at most %d", limit, used>>10, memoryLimit/8>>10)
			}
			for n := range honestCalls {
				release(n + 1)
			}
			h.sendFromCaller(honest, formatInvite(0, "at:s-1"))
			h.expect("releases of the other client's calls", strings.Count(string(h.unread[honest]), "BYE sip:"), fmt.Sprint(honestCalls+1))
		})
	}
}

// TestCallBeyondTheLimitIsReleased guards against calls that the node drops without telling their caller: the largest connection
// gets the release of its newest call, and all connections that have closed count as one, of which the largest pays.
func TestCallBeyondTheLimitIsReleased(t *testing.T) {
	cfg := testConfig()
	cfg.MaxAdoptedCalls = 4
	runScripts(t, cfg, map[string]string{"limit of 4": `
		a name 1; a name 2; a name 3; a name 4; a want; a name 5; a want BYE/5; b name 6; b name 7; a want BYE/4 BYE/3;
		b name 1; b name 2; b want; b close; a name 8; a want BYE/7; a bye 1; a bye 2; a bye 6; a bye 8;
		a want 200/1 200/2 200/6 200/8`,
		"largest of the closed connections": `
			x name 1; x name 2; x name 3; x close; b name 4; b close; c name 5; c want BYE/3; c bye 4; c want 200/4; c name 6; c name 7;
			c want BYE/7`})
}

// TestReleasesForServerAreKept guards against a call that stands at its server for good, because its caller has released it while no
// trunk was open and the releases of a client's made-up calls have taken all places.
func TestReleasesForServerAreKept(t *testing.T) {
	const made = 1100
	cfg := testConfig()
	cfg.MaxAdoptedCalls = 100
	var flood strings.Builder
	for n := range made {
		fmt.Fprintf(&flood, "x name %d; x bye %d; ", 1000+n, 1000+n)
	}
	const begin, end = `a call 1; b name 2; s-1 refuse; s-1 reset; `, `a bye 1; b bye 2; `
	s := runScript(t, cfg, begin+flood.String()+end+`s-1 accept; x close; wait 500ms`)
	received := s.receivedByServer("s-1")
	s.expect("the first two releases, and their number", fmt.Sprint(received[0], received[1], len(received) <= 101), "12/1/16 12/2/16 true")
	s.expect("calls that are counted after the releases", s.node.AdoptedCalls(), "0")
	s = runScript(t, cfg, begin+flood.String()+`b name 3; b name 4; b want; b bye 3; b bye 4; b want 200/3 200/4`)
	s.expect("calls that are counted at the limit", s.node.AdoptedCalls(), "100")
	s = runScript(t, cfg, begin+end+`list s-1@s-1 removed 0; wait 65s`)
	s.expect("calls that are counted after the removal", s.node.AdoptedCalls(), "0")
	s = runScript(t, cfg, begin+end+`wait 700ms; list s-1@s-1 up 600ms; s-1 accept; wait 1s; s-1 want`)
	s.expect("calls that are counted after a new start", s.node.AdoptedCalls(), "0")
}
