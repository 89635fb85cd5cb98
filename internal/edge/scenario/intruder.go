package scenario

import (
	"fmt"
	"strings"
	"time"

	"larkrouter/internal/edge/access"
)

const (
	intruderInterval = 20 * time.Millisecond
	firstMadeUpID    = 1 << 40
)

// intruder is a client that names calls that it has made up, as fast as it can, and never reads what it is sent.
type intruder struct {
	w            *world
	current      *link
	lastID       uint64
	named        int
	callsPerConn int  // after which it opens another connection
	closes       bool // its old connections, as it opens another
	releases     bool // its calls at once
	servers      []string
}

// flood names a number of calls in each interval, until the given time.
func (in *intruder) flood(callsEach int, until time.Duration) {
	if in.w.now >= until {
		return
	}
	if in.w.node != nil {
		in.nameCalls(callsEach)
	}
	in.w.after(intruderInterval, func() { in.flood(callsEach, until) })
}

func (in *intruder) nameCalls(count int) {
	if in.current == nil || !in.current.isOpen || in.w.links[in.current.id] != in.current || in.named >= in.callsPerConn {
		in.open()
	}
	var text strings.Builder
	for range count {
		in.named++
		in.lastID++
		server := in.servers[in.w.rng.IntN(len(in.servers))]
		fmt.Fprintf(&text, "INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\nX-Tier: voice\r\n"+
			"X-Deadline: 3000\r\nX-Attrs: at:%s\r\nContent-Length: 0\r\n\r\n", calledNumber, firstMadeUpID+in.lastID, server)
		if in.releases {
			text.WriteString(formatBye(firstMadeUpID + in.lastID))
		}
	}
	in.w.sendText(in.current, text.String())
}

// open opens another connection.
func (in *intruder) open() {
	if old := in.current; old != nil && in.closes {
		old.isOpen = false
		in.w.atNode(old, func(node *access.Node) {
			delete(in.w.links, old.id)
			node.CallerClosed(in.w.now, old.id)
		})
	}
	l := &link{id: in.w.node.NewConn(), peer: in, isOpen: true}
	in.current, in.named = l, 0
	in.w.links[l.id] = l
	in.w.atNode(l, func(node *access.Node) { node.CallerOpened(in.w.now, l.id) })
}

// receive implements peer.
func (in *intruder) receive(*link, []byte) {}

// linkClosed implements peer.
func (in *intruder) linkClosed(*link) {}
