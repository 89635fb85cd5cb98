package node

import (
	"strings"
	"time"

	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
)

// Succeeded tells the node that another process serves in its place, under its name: it takes no new calls, which go
// there, and asks for no news of the list, which it overhears.
func (n *Node) Succeeded(now time.Duration) {
	n.clock(now)
	n.drain = true
	n.sub.drop()
}

// Mine says whether a message belongs to a call or transaction of this node. News of the list belong to the process that
// subscribed to them; this one reads along, as its calls that wait need them.
func (n *Node) Mine(now time.Duration, m *sip.Message) bool {
	n.clock(now)
	if n.layer.Knows(m) {
		return true
	}
	if !m.IsRequest() {
		return false
	}
	if tag := m.Tag("To"); tag != "" {
		l := n.legs[tag]
		if l == nil && m.Method == sip.NOTIFY && m.Get("Event") == pool.Event {
			n.overhear(m)
		}
		return l != nil
	}
	if m.Method != sip.INVITE {
		return false
	}
	return n.merged[mergeKey(m)] != nil
}

// overhear takes news of the list that were meant for another process. What does not follow on what is known is left.
func (n *Node) overhear(m *sip.Message) {
	if state, _, _ := strings.Cut(m.Get("Subscription-State"), ";"); !strings.EqualFold(strings.TrimSpace(state), "active") {
		return
	}
	d, err := pool.Parse(m.Body)
	if err != nil {
		return
	}
	if d.State == "full" {
		n.list.Resync()
	}
	if news, err := n.list.Apply(n.now, d); err == nil {
		n.listNews(news)
	}
}

// ReleaseLater ends dialogs that another process left standing when it was killed, while this one already serves: new
// calls wait no longer than the releases take, as after a restart.
func (n *Node) ReleaseLater(now time.Duration, legs []StoredLeg) {
	n.clock(now)
	n.releaseLegs(legs)
}
