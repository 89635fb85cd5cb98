package access

import (
	"testing"
	"time"

	"larkrouter/internal/edge/trunk"
)

// newReleaseScript returns a node at which call 1 stands whose caller has closed its connection, and the trunk of call 1.
func newReleaseScript(t *testing.T) (*harness, ConnID) {
	t.Helper()
	h := newHarness(t, testConfig(), "s-1")
	first := h.openCaller()
	conn := h.establishCall(first, 1, "s-1")
	h.node.CallerClosed(h.now, first)
	h.execute()
	return h, conn
}

// TestReleaseBesideOpenSetUp guards against a release that waits for the answer to another caller's set-up: the only open
// connection carries a set-up at a slow server. When that is answered, the release is not sent again.
func TestReleaseBesideOpenSetUp(t *testing.T) {
	for name, setUpFirst := range map[string]bool{"set-up before the release": true, "set-up after the release": false} {
		t.Run(name, func(t *testing.T) {
			h, conn := newReleaseScript(t)
			caller := h.openCaller()
			if !setUpFirst {
				h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
			}
			h.receivedByServer("s-1")
			slow := h.startSetUp(caller, 2, "s-1")
			if setUpFirst {
				h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
			}
			h.expect("release", h.receivedByCaller(caller), "[BYE]")
			h.advance(2300 * ms)
			h.sendFromServer(slow, trunk.TypeAnswer, 2, serverDescription)
			h.expect("answer", h.receivedByCaller(caller), "[200 INVITE]")
		})
	}
}

// TestReleaseWhereConnectionEnds guards against a release that is lost with the connection to which it was written: it goes
// to the other connection with an open set-up at once, however long the first one stays open.
func TestReleaseWhereConnectionEnds(t *testing.T) {
	for name, wait := range map[string]time.Duration{"as it is written": 0, "unconfirmed after 1.5 s": 1500 * ms} {
		t.Run(name, func(t *testing.T) {
			h, conn := newReleaseScript(t)
			other, ends := h.openCaller(), h.openCaller()
			h.receivedByServer("s-1")
			h.startSetUp(other, 2, "s-1")
			h.advance(ms)
			h.startSetUp(ends, 3, "s-1")
			h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
			h.expect("connection used last", h.receivedByCaller(ends), "[BYE]")
			h.expect("other connection", h.receivedByCaller(other), "[]")
			h.advance(wait)
			h.node.CallerClosed(h.now, ends)
			h.execute()
			h.expect("other connection after the end of the first", h.receivedByCaller(other), "[BYE]")
		})
	}
}

// TestReleaseNeedsProvenConnection guards against a release that only a client without calls has received: it goes there
// after a while, as no other connection is open, and again on the next connection that is proven.
func TestReleaseNeedsProvenConnection(t *testing.T) {
	h, conn := newReleaseScript(t)
	silent := h.openCaller()
	h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	h.expect("at once", h.receivedByCaller(silent), "[]")
	h.advance(900 * ms)
	h.expect("within 1 s", h.receivedByCaller(silent), "[BYE]")
	h.receivedByServer("s-1")
	caller := h.openCaller()
	h.sendFromServer(h.startSetUp(caller, 2, "s-1"), trunk.TypeAnswer, 2, serverDescription)
	h.expect("proven connection", h.receivedByCaller(caller), "[200 INVITE BYE]")
	h.advance(10 * time.Second)
	h.expect("after the end of the silent connection", h.receivedByCaller(caller), "[]")
	if len(h.node.pendingReleases) != 0 {
		t.Errorf("%d releases wait, want none", len(h.node.pendingReleases))
	}
}

// TestReleaseCrossesCallersRelease guards against a release for a caller that has released its call itself.
func TestReleaseCrossesCallersRelease(t *testing.T) {
	h, conn := newReleaseScript(t)
	h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	caller := h.openCaller()
	h.sendFromCaller(caller, formatRequest("BYE", 1, "", ""))
	h.receivedByServer("s-1")
	h.startSetUp(caller, 2, "s-1")
	h.advance(900 * ms)
	h.expect("caller", h.receivedByCaller(caller), "[200 BYE]")
}

// TestReleaseAfterQuietTime guards against a caller that is never told, because no connection from callers was open for
// minutes after its call ended.
func TestReleaseAfterQuietTime(t *testing.T) {
	h, conn := newReleaseScript(t)
	h.sendFromServer(conn, trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	h.advance(5 * time.Minute)
	caller := h.openCaller()
	h.sendFromCaller(caller, formatInvite(2, "dest:0;width:1;via:-1"))
	h.expect("first connection since", h.receivedByCaller(caller), "[BYE]")
}
