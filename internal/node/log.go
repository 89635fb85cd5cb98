package node

import (
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/sip"
)

// Level is that of a record.
type Level int

// The levels, as log/slog counts them.
const (
	Debug Level = -4
	Info  Level = 0
	Warn  Level = 4
	Error Level = 8
)

// Record is one line for the log, its fields those that matter to the event.
type Record struct {
	Level   Level
	Event   string // "call" (it is over), "stands", "attempt", "server", "list", "module", "malformed", "assert" ...
	Call    uint64
	Session string // Session-ID (RFC 7989): the same on both legs
	Class   string
	Server  uint32
	Attempt int
	Outcome string
	Cause   string
	Status  int
	Wait    time.Duration // from the call's arrival to its answer
	Stood   time.Duration // of a call that stood: how long
	Cut     bool          // it ended before its time
	Peer    sip.Peer
	Skipped uint64 // lines of this kind left out since the last
}

// log hands a record out, if anybody wants its level: most calls write none but their last.
func (n *Node) log(r Record) {
	if r.Level >= n.cfg.LogLevel {
		kept := r
		n.out = append(n.out, actor.Effect{Note: &kept})
	}
}

// limiter lets one line through in a while and counts the others.
type limiter struct {
	every   time.Duration
	last    time.Duration
	used    bool
	skipped uint64
}

func (l *limiter) allow(now time.Duration) (skipped uint64, ok bool) {
	if l.used && now-l.last < l.every {
		l.skipped++
		return 0, false
	}
	skipped, l.skipped, l.last, l.used = l.skipped, 0, now, true
	return skipped, true
}

// malformed answers what can still be answered and drops the rest; both are counted, few are logged.
func (n *Node) malformed(p sip.Packet) {
	n.Stats.Malformed++
	if skipped, ok := n.badLog.allow(n.now); ok {
		n.log(Record{Level: Warn, Event: "malformed", Peer: p.Peer, Cause: p.Err.Error(), Skipped: skipped})
	}
	e, ok := sip.IsParse(p.Err)
	if !ok || e.Status == 0 || e.Partial == nil || !e.Partial.IsRequest() || e.Partial.Method == sip.ACK {
		return
	}
	if _, err := sip.ParseVia(e.Partial.Get("Via")); err != nil {
		return
	}
	sip.Received(e.Partial, p.Peer)
	m := sip.NewResponse(e.Partial, e.Status, "", n.id.Token()) // stateless, as section 8.2.7 allows
	n.send(sip.ReplyTo(e.Partial, p.Peer), m)
}
