package access

import (
	"slices"
	"time"

	"larkrouter/internal/edge/trunk"
)

// Limits on the releases that a call server may not have read.
const (
	maxServerReleases          = 512         // of one trunk
	serverReleaseConfirmedTime = time.Second // bytes that arrive this long after a release show that it was read
)

// serverRelease is the release of a standing call that was written to a trunk.
type serverRelease struct {
	call   *callState
	cause  byte
	sentAt time.Duration
}

// releaseAtServer releases a standing call at its server. If no trunk is open, the release waits for the next one that opens. If
// the trunk ends before the server has shown that it still reads there, the release is sent again.
func (n *Node) releaseAtServer(call *callState, cause byte) {
	t := n.trunkForRelease(call)
	if t == nil {
		call.server.keepRelease(call)
		return
	}
	n.write(t.id, encodeMessage(trunk.TypeRelease, call.id, cause))
	t.rememberRelease(serverRelease{call: call, cause: cause, sentAt: n.now})
}

// trunkForRelease returns the trunk on which to release a standing call, or nil: the one that carried its set-up, or any open one
// if that has ended or may no longer work.
func (n *Node) trunkForRelease(call *callState) *trunkConn {
	own := n.trunks[call.trunk]
	isUsable := own != nil && own.server == call.server && n.canRead(own)
	if isUsable && !n.isSuspect(own) {
		return own
	}
	if other := n.openTrunk(call.server); !isUsable || other != nil && !n.isSuspect(other) {
		return other
	}
	return own
}

// rememberRelease remembers a release that was written to the trunk. At the limit the oldest of a call that is known only from its
// caller gives way, or if there is none, the oldest of all, but not to one of a call that may not exist.
func (t *trunkConn) rememberRelease(release serverRelease) {
	t.forgetConfirmedReleases()
	if len(t.releases) >= maxServerReleases {
		i := slices.IndexFunc(t.releases, serverRelease.isClaimed)
		if i < 0 && release.isClaimed() {
			return
		}
		t.releases = slices.Delete(t.releases, max(i, 0), max(i, 0)+1)
	}
	t.releases = append(t.releases, release)
}

// isClaimed reports whether the call is known only from its caller, and may not exist.
func (r serverRelease) isClaimed() bool { return r.call.attempts == 0 }

// forgetConfirmedReleases forgets the releases that the server has read.
func (t *trunkConn) forgetConfirmedReleases() {
	t.releases = slices.DeleteFunc(t.releases, func(release serverRelease) bool {
		return t.liveness.LastReceived() >= release.sentAt+serverReleaseConfirmedTime
	})
}

// resendServerReleases sends the releases again that the server may not have read before the trunk ended. A server ignores the
// release of a call that it does not have.
func (n *Node) resendServerReleases(ended *trunkConn) {
	ended.forgetConfirmedReleases()
	releases := ended.releases
	ended.releases = nil
	for _, release := range releases {
		n.releaseAtServer(release.call, release.cause)
	}
}
