package access

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRestartEndsCalls guards against calls, above all named ones, that stand for good: their server starts anew before this process has
// sent it any set-up. A call named after the start may stand at the new process and continues.
func TestRestartEndsCalls(t *testing.T) {
	runScripts(t, testConfig(), map[string]string{
		"first start that is listed": `a name 1; wait 2s; list s-1@s-1 up 1s; a want BYE/1`,
		"another start, then an entry without one": `
			list s-1@s-1 up -60s; a name 1; wait 2s; list s-1@s-1 up 0; a want; list s-1@s-1 up 1s; a want BYE/1`,
		"call that was set up":    `a call 1; wait 1s; list s-1@s-1 up 900ms; a want BYE/1`,
		"start before the naming": `wait 2s; a name 1; list s-1@s-1 up 1s; a want`,
		// The clock of this machine has not reached the start: it is one restart, however often the list reports it.
		"start ahead of the clock": `
			a name 1; wait 1s; list s-1@s-1 up 9s; a want BYE/1; a name 2; wait 1s; list s-1@s-1 up 9s; a want;
			list s-1@s-1 up 10s; a want BYE/2`,
		// Releases that wait for a trunk belong to the process at which their calls stood.
		"release for the process of now": `
			s-1 refuse; s-1 reset; a name 1; a bye 1; list s-1@s-1 up -1s; s-1 accept; wait 1s; s-1 want 12/1/16`,
		"release for the process before": `
			s-1 refuse; s-1 reset; a name 1; a bye 1; wait 100ms; list s-1@s-1 up 1ms; s-1 accept; wait 1s; s-1 want`,
	})
}

// addressTaken begins the scripts of a server whose process has died and whose address s-2 has taken 0.3 s later: call 1 was set
// up before, call 2 at the same address after the start of s-2, and call 5 is named at the old server.
const addressTaken = `a call 1; wait 1s; s-1 reset; wait 800ms; a call 2; wait 700ms; a name 5; `

// TestAddressTakenOver guards against calls that outlive their server, because its process has died and another server has
// taken its address before the list reports the death. Calls at the new process must not be cut, and neither must calls of a
// server that lives on.
func TestAddressTakenOver(t *testing.T) {
	const afterwards = `; wait 200ms; a name 6; wait 200ms; a want BYE/6; s-1 release 1; a want; s-1 release 2; a want BYE/2; wait 1s;
			a call 3; list s-1@s-1 removed 0; wait 500ms; a want`
	runScripts(t, testConfig(), map[string]string{
		"listed before the removal": addressTaken + `list s-2@s-1 up 1300ms; a want BYE/1 BYE/5` + afterwards,
		"listed after the removal": addressTaken + `
			list s-1@s-1 removed 0; wait 1s; a want; list s-2@s-1 up 1300ms; a want BYE/1 BYE/5` + afterwards,
		"old server still listed when the new one is gone": addressTaken + `list s-2@s-1 up 1300ms; a want BYE/1 BYE/5;
			list s-2@s-1 removed 0; list s-1@s-1 up 0; wait 1s; b try 3; wait 1s; s-1 want`,
		"old server removed, the start of the new one unknown": addressTaken + `list s-1@s-1 removed 0; list s-2@s-1 up 0;
			a want BYE/1 BYE/2 BYE/5`,
		"old id back with a new start": addressTaken + `
			list s-2@s-1 up 1300ms; a want BYE/1 BYE/5; list s-1@s-1 up 2400ms; wait 200ms; a want BYE/2; a name 6; wait 1s;
			a want`,
		"old id back at another address": addressTaken + `list s-2@s-1 up 1300ms; a want BYE/1 BYE/5; list s-1@s-3 up 0;
			list s-2@s-1 removed 0; wait 1s; b try 3; s-3 want 1/3/0`,
		"the same process, all connections reset": addressTaken + `s-1 reset; wait 500ms; s-1 reset; wait 5s; a want`,
		"entry at the address without a later start": addressTaken + `
			list s-2@s-1 up 0; wait 5s; a want; list s-3@s-1 removed 1300ms; wait 5s;
			a want; b try 3; wait 1s; s-1 want`,
	})
}

// TestCloseReleasesSetUps guards against a call that stands twice: its server answers the set-up as the node closes the connection
// because another server has its address, and the node sends the set-up to another server.
func TestCloseReleasesSetUps(t *testing.T) {
	runScripts(t, testConfig(), map[string]string{
		"calls stood there": `a call 2; wait 50ms; a try 1; wait 50ms; list s-2@s-1 up 60ms; s-1 want 1/1/0 12/1/16`,
		"no calls stood":    `a try 1; wait 50ms; list s-2@s-1 up 1ms; wait 1200ms; s-1 want 1/1/0 12/1/16`})
}

// TestNamedCalls checks that after a restart of the node an INVITE that names a call server registers a standing call. It gets no
// answer, and the call ends like any other. If the server has already released the call, or is unknown, the caller gets a BYE.
func TestNamedCalls(t *testing.T) {
	runScripts(t, testConfig(), map[string]string{
		"named twice":                  `a name 1; a want; a name 1; s-1 release 1; a want BYE/1`,
		"released before it was named": `s-1 release 2; a name 2; a want BYE/2`,
		"unknown server":               `a misname 3; a want BYE/3`,
		"released by its caller":       `a name 4; a bye 4; a want 200/4; s-1 want 12/4/16`,
	})
}

// TestReleaseReachesCaller guards against a release that waits too long, or that no caller reads, after the connection of its
// call has closed.
func TestReleaseReachesCaller(t *testing.T) {
	const callerGone = `a call 1; a close; `
	runScripts(t, testConfig(), map[string]string{
		"only a set-up at a slow server is open": callerGone + `
			b try 2; s-1 release 1; b want BYE/1; wait 2300ms; s-1 answer 2; b want 200/2`,
		"set-up comes after the release": callerGone + `s-1 release 1; b try 2; b want BYE/1`,
		"connection ends as the release is written": callerGone + `
			b try 2; wait 1ms; c try 3; s-1 release 1; c want BYE/1; b want; c close; b want BYE/1`,
		"connection without an answered call ends later": callerGone + `
			b try 2; wait 1ms; c try 3; s-1 release 1; wait 1500ms; c close; b want BYE/1`,
		// A client without calls may ignore the release.
		"only a silent connection is open": callerGone + `
			b want; s-1 release 1; wait 400ms; b want; wait 500ms; b want BYE/1; c try 2; c want; s-1 answer 2;
			c want 200/2 BYE/1; wait 10s; c want`,
		// A client that names calls may have made them up, and ignore the release.
		"only a client that names calls is there": `a call 1; x name 9; a close; s-1 release 1; wait 1s; b try 2; s-1 answer 2;
			b want 200/2 BYE/1`,
		"several clients without an answered call": `a call 1; b name 9; wait 1ms; x name 8; a close; s-1 release 1; wait 900ms; b want BYE/1;
			x want BYE/1; wait 2s; b ok 1; c call 2; wait 1s; b want; c want`,
		"connection of a client without calls is closed": callerGone + `b want; s-1 release 1; wait 900ms; b want BYE/1; wait 3s; c try 2;
			c want BYE/1`,
		"own connection without an answered call": `s-1 release 9; b name 9; b want BYE/9; c call 1; wait 1s; c want`,
		// It goes to no connection without a call at once, again if it cannot have been read, and not after a confirmation.
		"read, and confirmed": callerGone + `b options 0; s-1 release 1; b want 200/0; c try 2; c want BYE/1; s-1 answer 2; c want 200/2;
			d call 3; c close; d want BYE/1; d ok 1; d close; e call 4; e want`,
		"caller releases the call itself":   callerGone + `s-1 release 1; b bye 1; b try 2; wait 900ms; b want 200/1`,
		"no connection for minutes":         callerGone + `s-1 release 1; wait 5m; b try 2; b want BYE/1`,
		"no connection for too long":        callerGone + `s-1 release 1; wait 11m; b try 2; b want`,
		"a call is named":                   callerGone + `s-1 release 1; b name 9; b want BYE/1`,
		"its connection closes later":       `a call 1; b call 2; s-1 release 1; a want BYE/1; wait 2s; a close; b want`,
		"its own connection closes at once": `s-1 release 9; b name 9; b want BYE/9; b close; c try 2; c want BYE/9`,
		"tried on all connections": `a call 1; a close; b options 0; wait 1ms; c options 0; s-1 release 1; wait 600ms; b close; c try 2;
			c want 200/0 BYE/1; d try 3; d want BYE/1`,
		"the same call twice": `x misname 5; x close; y misname 5; y close; b try 2; b want BYE/5`,
		"client of the first try closes": callerGone + `b options 0; s-1 release 1; wait 510ms; b want 200/0 BYE/1; b close; c try 2;
			c want BYE/1`,
		"client of the first try closes after an answer": callerGone + `b options 0; s-1 release 1; wait 600ms; b want 200/0 BYE/1; c try 2;
			c want; s-1 answer 2; c want 200/2 BYE/1; b close; d try 3; d want`,
	})
}

// TestMadeUpCallsDisplaceNoRelease guards against a caller that never hears of the end of its call, because the releases of calls
// that another client has made up took the place of its release.
func TestMadeUpCallsDisplaceNoRelease(t *testing.T) {
	var flood strings.Builder
	for conn := range maxPendingCallerReleases/maxUnconfirmedReleases + 1 {
		for n := range maxUnconfirmedReleases {
			fmt.Fprintf(&flood, "x%d misname %d;", conn, 1000+conn*maxUnconfirmedReleases+n)
		}
		fmt.Fprintf(&flood, "x%d close;", conn)
	}
	var manyReleases strings.Builder
	for n := range maxUnconfirmedReleases - 1 {
		fmt.Fprintf(&manyReleases, "a name %d; s-1 release %d;", 100+n, 100+n)
	}
	for name, script := range map[string]string{
		"written and not read":     `a call 1; s-1 release 1;` + flood.String() + `a close; b try 2`,
		"another is written after": `a call 1; a call 2; s-1 release 2;` + flood.String() + `s-1 release 1; a close; b try 3; b want BYE/2 BYE/1`,
		"many are written before":  `a call 1; s-1 release 1;` + manyReleases.String() + `x misname 99; x close; a close; b try 2`,
		"released before the name": `s-1 release 1; a name 1;` + flood.String() + `a close; b try 2`,
		"waits for a connection":   `a call 1; a close;` + flood.String() + `s-1 release 1; b try 2`,
		"both, and calls are lost": `a call 1;` + flood.String() + `a close; s-1 reset; s-1 refuse; wait 1400ms; s-1 accept; b try 2`,
	} {
		t.Run(name, func(t *testing.T) {
			before, wanted, _ := strings.Cut(script, "b want ")
			s := runScript(t, testConfig(), before)
			got := s.receivedCalls(s.callers["b"])
			for _, want := range strings.Fields("BYE/1 " + wanted) {
				if !slices.Contains(got, want) {
					t.Errorf("%d messages to the caller, no %s", len(got), want)
				}
			}
			if len(got) > maxUnconfirmedReleases || len(s.node.pendingReleases.claimed.all) > maxPendingCallerReleases {
				t.Errorf("%d messages on a new connection, %d releases wait; want at most %d and %d", len(got),
					len(s.node.pendingReleases.claimed.all), maxUnconfirmedReleases, maxPendingCallerReleases)
			}
		})
	}
}

// TestOffersAreLimited guards against a burst of releases to connections whose clients may ignore them.
func TestOffersAreLimited(t *testing.T) {
	const conns, waiting = 12, maxOffersPerInterval + 100
	h := newHarness(t, testConfig(), "s-1")
	for n := range waiting {
		call := &callState{id: uint64(n + 1), callID: newHexText(formatID(n)), calledNumber: newHexText("7f3a9c21e0b4d655")}
		h.node.forwardRelease(call, 16)
	}
	var callers []ConnID
	for range conns {
		callers = append(callers, h.openCaller())
	}
	h.advance(anyConnAfter - ms)
	countMessages := func() (messages, reached int) {
		for _, conn := range callers {
			got := len(h.receivedByCaller(conn))
			messages += got
			reached += min(got, 1)
		}
		return messages, reached
	}
	messages, reached := countMessages()
	h.expect("messages and connections before", []int{messages, reached}, "[0 0]")
	h.advance(maintenanceInterval)
	messages, reached = countMessages()
	h.expect("messages and connections in the first interval", []int{messages, reached},
		fmt.Sprint([]int{maxOffersPerInterval, maxOffersAtOnce}))
	h.advance(14 * maintenanceInterval)
	messages, reached = countMessages()
	h.expect("messages and connections afterwards", []int{messages, reached},
		fmt.Sprint([]int{waiting*conns - maxOffersPerInterval, conns}))
	h.expect("releases that no connection has got", len(h.node.pendingReleases.answered.unreached), "0")
}

// TestReleaseMemory guards against releases that are kept although nobody needs them.
func TestReleaseMemory(t *testing.T) {
	var c callerConn
	for n := range uint64(2 * maxUnconfirmedReleases) {
		c.rememberRelease(&callerRelease{callID: n, sentAt: time.Second}, time.Second)
	}
	if len(c.unconfirmedReleases) != maxUnconfirmedReleases {
		t.Errorf("%d releases are remembered, want %d", len(c.unconfirmedReleases), maxUnconfirmedReleases)
	}
	c.rememberRelease(&callerRelease{sentAt: 3 * time.Second}, 3*time.Second)
	if len(c.unconfirmedReleases) != 1 {
		t.Errorf("%d releases are remembered after 2 s, want 1", len(c.unconfirmedReleases))
	}
	q := newReleaseQueue()
	first, second := &callerRelease{callID: 1}, &callerRelease{callID: 2}
	q.push(first)
	q.push(second)
	q.removeCall(1)
	q.connClosed(first)
	q.takeUnreached(10, func(rel *callerRelease) bool {
		if rel != second {
			t.Error("a release that was removed is offered")
		}
		return false
	})
	if len(q.answered.unreached) != 1 {
		t.Errorf("%d releases to offer, want 1", len(q.answered.unreached))
	}
	q.removeCall(2)
	if len(q.answered.all)+len(q.answered.unreached) != 0 {
		t.Errorf("after the last release: %+v, want empty lists", q.answered)
	}
	q.push(first)
	q.takeAll()
	q.connClosed(first)
	if len(q.answered.unreached) != 0 {
		t.Error("a release that was taken is offered again")
	}
}
