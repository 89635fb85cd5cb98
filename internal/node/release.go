package node

import (
	"slices"
	"time"

	"larkrouter/internal/release"
	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// releaseState holds the dialogs of previous processes that are still to be ended.
type releaseState struct {
	storedDialogs []StoredDialog    // until Start
	releaseQueues []*serverReleases // one per server
}

// cseqGap is added to the stored CSeq. It exceeds the number of requests that the previous process may have sent on
// the leg since the entry was written: a CSeq that is too low is rejected, a gap is not (section 12.2.2).
const cseqGap = 10_000

// SetStoredDialogs sets the dialogs that a previous process left standing. Start ends each with a BYE, at the pace that
// package release computes, and new calls are answered 503 for as long as release.Pacer requires. It must be called
// before Start.
func (n *Node) SetStoredDialogs(dialogs []StoredDialog) { n.storedDialogs = dialogs }

// releaseStoredDialogs starts to end the dialogs set by SetStoredDialogs.
func (n *Node) releaseStoredDialogs() {
	n.startReleases(n.storedDialogs)
	n.storedDialogs = nil
}

// ReleaseDialogs ends dialogs that another process left standing when it was killed, while this node is already
// serving. New calls are held as with SetStoredDialogs.
func (n *Node) ReleaseDialogs(now time.Duration, dialogs []StoredDialog) {
	n.setNow(now)
	n.startReleases(dialogs)
}

// serverReleases holds the dialogs to end at one server. Each server has its own pace, so that one that is gone or
// overloaded does not delay the others.
type serverReleases struct {
	n      *Node
	unsent []StoredDialog
	pacer  *release.Pacer
	timer  timers.Timer
}

// startReleases begins to end dialogs, grouped by server.
func (n *Node) startReleases(dialogs []StoredDialog) {
	byServer := map[string]*serverReleases{}
	var order []*serverReleases
	for _, dialog := range dialogs {
		if byServer[dialog.NextHop] == nil {
			byServer[dialog.NextHop] = &serverReleases{n: n}
			order = append(order, byServer[dialog.NextHop])
		}
		byServer[dialog.NextHop].unsent = append(byServer[dialog.NextHop].unsent, dialog)
	}
	for _, queue := range order {
		queue.pacer = release.New(release.Settings{}, len(queue.unsent), n.now)
		n.releaseQueues = append(n.releaseQueues, queue)
		queue.sendDue()
	}
}

// sendDue sends the BYEs that are due now and sets the timer for the next ones.
func (r *serverReleases) sendDue() {
	n := r.n
	count, retryIn := r.pacer.TakeDue(n.now)
	due := r.unsent[:count]
	r.unsent = r.unsent[count:]
	for _, dialog := range due {
		to, ok := dialog.peer()
		if !ok {
			r.pacer.RecordAnswer(n.now, 0)
			continue
		}
		bye := sip.NewRequest(sip.BYE, dialog.Target, dialog.Local, dialog.Remote, dialog.CallID, dialog.CSeq+cseqGap, 70)
		for _, route := range dialog.Routes {
			bye.Add("Route", route)
		}
		bye.Add("Reason", `SIP;cause=500;text="node restarted"`)
		n.startRequest(bye, to, &storedDialogBye{queue: r, sentAt: n.now})
		n.Stats.StoredDialogsReleased++
	}
	if retryIn > 0 {
		n.timers.Set(&r.timer, n.now+retryIn, r.sendDue)
		return
	}
	n.timers.Stop(&r.timer)
	if r.pacer.IsDone() {
		n.releaseQueues = slices.DeleteFunc(n.releaseQueues, func(o *serverReleases) bool { return o == r })
	}
}

// isHoldingNewCalls reports whether new calls have to wait for releases.
func (n *Node) isHoldingNewCalls() bool {
	return slices.ContainsFunc(n.releaseQueues, func(queue *serverReleases) bool { return queue.pacer.HoldsNewCalls(n.now) })
}

// peer returns the next hop of the dialog; ok is false if the stored address is invalid.
func (s StoredDialog) peer() (sip.Peer, bool) {
	uri, err := sip.ParseURI("sip:" + s.NextHop)
	if err != nil {
		return sip.Peer{}, false
	}
	peer, ok := uri.Peer()
	if s.IsTCP {
		peer.Transport = sip.TCP
	}
	return peer, ok
}

// storedDialogBye is the user data of the transaction of a BYE that ends a stored dialog.
type storedDialogBye struct {
	queue    *serverReleases
	sentAt   time.Duration
	answered bool
}

// onStoredByeDone handles the end of a BYE's transaction, answered or not.
func (n *Node) onStoredByeDone(bye *storedDialogBye) {
	if !bye.answered {
		bye.answered = true
		bye.queue.pacer.RecordAnswer(n.now, n.now-bye.sentAt)
		bye.queue.sendDue()
	}
}
