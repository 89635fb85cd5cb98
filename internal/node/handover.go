package node

import (
	"strings"
	"time"

	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
)

// HandOver reports that another process serves in place of this one, under the same name. The node accepts no new
// calls and stops its subscription; it reads the list updates that are addressed to the other process.
func (n *Node) HandOver(now time.Duration) {
	n.setNow(now)
	n.draining = true
	n.sub.reset()
}

// OwnsMessage reports whether a message belongs to a call or transaction of this node. A list update belongs to the process
// that subscribed to it, but is applied here too because waiting calls need the list.
func (n *Node) OwnsMessage(now time.Duration, msg *sip.Message) bool {
	n.setNow(now)
	if n.transactions.HasTransaction(msg) {
		return true
	}
	if !msg.IsRequest() {
		return false
	}
	if tag := msg.Tag("To"); tag != "" {
		leg := n.legs[tag]
		if leg == nil && msg.Method == sip.NOTIFY && msg.Get("Event") == pool.Event {
			n.applyForeignNotify(msg)
		}
		return leg != nil
	}
	if msg.Method != sip.INVITE {
		return false
	}
	return n.callsByMergeKey[mergeKey(msg)] != nil
}

// applyForeignNotify applies a list update that is addressed to another process. Updates that do not follow the known
// version are ignored.
func (n *Node) applyForeignNotify(req *sip.Message) {
	if state, _, _ := strings.Cut(req.Get("Subscription-State"), ";"); !strings.EqualFold(strings.TrimSpace(state), "active") {
		return
	}
	document, err := pool.Parse(req.Body)
	if err != nil {
		return
	}
	if document.State == "full" {
		n.list.ResetVersion()
	}
	if update, err := n.list.Apply(n.now, document); err == nil {
		n.applyListUpdate(update)
	}
}
