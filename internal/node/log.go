package node

import (
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/sip"
)

// Level is the severity of a record.
type Level int

// The values equal those of log/slog.
const (
	Debug Level = -4
	Info  Level = 0
	Warn  Level = 4
	Error Level = 8
)

// LogRecord is one record of the log. Only the fields that apply to the event are set.
type LogRecord struct {
	Level        Level
	Event        string // "call" (it has ended), "stands", "attempt", "server", "list", "module", "malformed", "assert" ...
	Call         uint64
	Session      string // Session-ID (RFC 7989), the same on both legs
	Class        string
	Server       uint32
	Attempt      int
	Outcome      string
	Cause        string
	Status       int
	SetUpTime    time.Duration // from the call's arrival to its answer
	StandingTime time.Duration // duration of a standing call
	EndedEarly   bool          // the standing call ended otherwise than by a hang-up
	Peer         sip.Peer
	Suppressed   uint64 // records of this kind that were suppressed since the last one
}

// emitRecord emits a record if its level is enabled. Most calls emit one record, at their end.
func (n *Node) emitRecord(record LogRecord) {
	if record.Level >= n.cfg.LogLevel {
		emitted := record
		n.effects = append(n.effects, actor.Effect{Note: &emitted})
	}
}

// logLimiter lets one record per interval pass and counts the others.
type logLimiter struct {
	interval    time.Duration
	lastAllowed time.Duration
	hasAllowed  bool
	suppressed  uint64
}

// allow reports whether a record may pass now, and how many were suppressed since the last one.
func (l *logLimiter) allow(now time.Duration) (suppressed uint64, ok bool) {
	if l.hasAllowed && now-l.lastAllowed < l.interval {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed, l.lastAllowed, l.hasAllowed = l.suppressed, 0, now, true
	return suppressed, true
}

// onMalformed answers an unreadable request where possible and drops everything else. Each message is counted, few
// are logged.
func (n *Node) onMalformed(packet sip.Packet) {
	n.Stats.Malformed++
	if skipped, ok := n.malformedLog.allow(n.now); ok {
		n.emitRecord(LogRecord{Level: Warn, Event: "malformed", Peer: packet.Peer, Cause: packet.Err.Error(), Suppressed: skipped})
	}
	parseErr, ok := sip.AsParseError(packet.Err)
	if !ok || parseErr.Status == 0 || parseErr.Partial == nil || !parseErr.Partial.IsRequest() || parseErr.Partial.Method == sip.ACK {
		return
	}
	if _, err := sip.ParseVia(parseErr.Partial.Get("Via")); err != nil {
		return
	}
	sip.StampReceived(parseErr.Partial, packet.Peer)
	resp := sip.NewResponse(parseErr.Partial, parseErr.Status, "", n.ident.NewToken()) // stateless, as section 8.2.7 allows
	n.send(sip.ResponsePeer(parseErr.Partial, packet.Peer), resp)
}
