package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// Parameters are the parameters of the rules, from the node's settings.
type Parameters struct {
	TryTimeouts  []TryTimeout  // by prefix of the number called; the first match applies
	AnswerSlack  time.Duration // tolerance for a final response after the try's deadline
	ReleaseGuard time.Duration
	DrainGrace   time.Duration
	ColdShare    float64
	RampTime     time.Duration
	TipMultiple  float64
	OverloadFor  time.Duration
	Capacity     map[string]float64 // set-ups per second of a warm server, by address
	Slack        time.Duration      // maximum error between two times of the capture
}

// TryTimeout is the time that callers of numbers with a prefix wait for a final response.
type TryTimeout struct {
	Prefix string
	Wait   time.Duration
}

// Names are the names of the rules, in order.
var Names = [5]string{"one final answer, in time", "never two attempts out", "nothing new to a draining or gone server",
	"no cold server pushed over", "release awaited before a resend"}

// Verdict is the result for one rule.
type Verdict struct {
	Checks, Violations int
	Examples           []string // descriptions of the first violations
}

// String returns the verdict in words. A rule without any check is "not tried", which is neither kept nor broken.
func (v Verdict) String() string {
	switch {
	case v.Violations > 0:
		return "broken"
	case v.Checks == 0:
		return "not tried"
	}
	return "kept"
}

// Report holds the five verdicts.
type Report struct{ Verdicts [5]Verdict }

// Kept returns the number of rules that were checked and kept.
func (r Report) Kept() int { return r.count("kept") }

// Broken returns the number of rules that were broken.
func (r Report) Broken() int { return r.count("broken") }

// count returns the number of rules with a verdict.
func (r Report) count(verdict string) int {
	n := 0
	for _, v := range r.Verdicts {
		if v.String() == verdict {
			n++
		}
	}
	return n
}

// Summary returns the summary line, such as "rules kept: 5 of 5".
func (r Report) Summary() string {
	s := fmt.Sprintf("rules kept: %d of 5", r.Kept())
	for _, v := range [...]string{"broken", "not tried"} {
		if n := r.count(v); n > 0 {
			s += fmt.Sprintf(", %s: %d", v, n)
		}
	}
	return s
}

// Checker reads a capture record by record, in order of time. Its memory grows only with the number of calls and attempts.
type Checker struct{ c *checker }

// Add processes a record.
func (c *Checker) Add(r Record) { c.c.add(&r) }

// Report returns the verdicts. It must be called after the last record.
func (c *Checker) Report() Report {
	c.c.finish()
	return c.c.report
}

// NewChecker returns a checker for rules with the given parameters.
func NewChecker(f Parameters) *Checker {
	return &Checker{&checker{params: f, calls: map[string]*callState{}, attempts: map[string]*attemptState{},
		attemptsBySession: map[string][]*attemptState{}, nodeLists: map[string]map[string]*listedServer{},
		closedAt: map[string]time.Duration{}, arrivals: map[string][]arrival{},
		killedAt: map[string][]time.Duration{}, resetsAt: map[string][]time.Duration{}, stalls: map[string][][2]time.Duration{}}}
}

// Check checks a whole capture. The records need not be in order of time.
func Check(records []Record, f Parameters) Report {
	c := NewChecker(f)
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return cmp.Compare(a.Time, b.Time) })
	for i := range sorted {
		c.Add(sorted[i])
	}
	return c.Report()
}

// checker is the state of a Checker.
type checker struct {
	params            Parameters
	report            Report
	lastTime          time.Duration                       // time of the latest record
	calls             map[string]*callState               // by callKey
	callOrder         []*callState                        // in order of their first INVITE
	attempts          map[string]*attemptState            // by server address and Call-ID
	attemptsBySession map[string][]*attemptState          // by Session-ID
	nodeLists         map[string]map[string]*listedServer // by node and server address
	closedAt          map[string]time.Duration            // closing of a server's socket, by address
	arrivals          map[string][]arrival                // by server address
	killedAt          map[string][]time.Duration          // by node
	resetsAt          map[string][]time.Duration          // resets of a server's connections, by address
	stalls            map[string][][2]time.Duration       // begin and end of stalls, by node
	starts            []serverStart
}

// recordViolation counts a violation of a rule and keeps the first descriptions.
func (c *checker) recordViolation(rule int, at time.Duration, format string, args ...any) {
	v := &c.report.Verdicts[rule-1]
	v.Violations++
	if len(v.Examples) < 5 {
		v.Examples = append(v.Examples, fmt.Sprintf("at %.3f s: ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

// add processes a record.
func (c *checker) add(r *Record) {
	c.lastTime = max(c.lastTime, r.Time)
	switch {
	case r.Kind == "list":
		c.applyListUpdate(r)
	case r.Kind == "down":
		c.closedAt[r.Owner] = r.Time
	case r.Kind == "reset":
		c.resetsAt[r.Owner] = append(c.resetsAt[r.Owner], r.Time)
	case r.Kind == "killed":
		c.killedAt[r.Owner] = append(c.killedAt[r.Owner], r.Time)
	case r.Kind == "stalled":
		c.stalls[r.Owner] = append(c.stalls[r.Owner], [2]time.Duration{r.Time, r.Until})
	case r.Kind == "lost" && r.Msg != nil:
		c.recordLostMessage(r)
	case r.Kind != "msg" || r.Msg == nil:
	case r.OwnerKind == "caller":
		c.checkCallerMessage(r)
	case r.OwnerKind == "server":
		c.checkServerMessage(r)
	}
}

// callState is a try of a call as seen on its caller's socket, whatever transports it used.
type callState struct {
	id          string
	node        string
	firstInvite time.Duration // when its first INVITE that was not lost was sent
	deadline    time.Duration // -1: none
	inviteLost  bool          // the only INVITE so far was lost
	hasResponse bool          // a response has arrived
	final       string        // status and tag of the first final response
	finalSentAt time.Duration // when the node sent the final response, if it arrives late; 0: not late
}

// callKey identifies a try by Call-ID, From tag and CSeq number.
func callKey(m *sip.Message) string {
	n, _, _ := m.CSeq()
	return fmt.Sprintf("%s|%s|%d", m.Get("Call-ID"), m.Tag("From"), n)
}

// checkCallerMessage processes a message seen on a caller's socket; it checks rule 1.
func (c *checker) checkCallerMessage(r *Record) {
	m := r.Msg
	if r.Direction == "out" && m.Method == sip.INVITE && m.Tag("To") == "" {
		if call := c.calls[callKey(m)]; call != nil && call.inviteLost {
			call.inviteLost = false // the node's time for the call starts with this copy
			if call.deadline >= 0 {
				call.deadline += r.Time - call.firstInvite
			}
			call.firstInvite = r.Time
		} else if call == nil {
			call := &callState{id: m.Get("Call-ID"), node: r.Peer[strings.IndexByte(r.Peer, ':')+1:], firstInvite: r.Time, deadline: -1}
			number := m.URI
			if u, err := sip.ParseURI(m.URI); err == nil {
				number = u.Number()
			}
			for _, t := range c.params.TryTimeouts {
				if strings.HasPrefix(number, t.Prefix) {
					call.deadline = r.Time + t.Wait
					break
				}
			}
			c.calls[callKey(m)] = call
			c.callOrder = append(c.callOrder, call)
		}
		return
	}
	_, method, _ := m.CSeq()
	if r.Direction != "in" || m.IsRequest() || method != sip.INVITE {
		return
	}
	call := c.calls[callKey(m)]
	if call == nil {
		return // response to a re-INVITE
	}
	call.hasResponse = true
	if m.Status < 200 {
		if call.final != "" && m.Status > 100 {
			c.recordViolation(1, r.Time, "call %s: %d after its final answer %s", call.id, m.Status, call.final)
		}
		return
	}
	final := fmt.Sprintf("%d (tag %s)", m.Status, m.Tag("To"))
	switch {
	case call.final == "":
		call.final = final
		c.report.Verdicts[0].Checks++
		at := r.Time
		if call.finalSentAt > 0 {
			at = call.finalSentAt
		}
		if call.deadline >= 0 && at > call.deadline+c.params.AnswerSlack && !c.isExcused(call, at) {
			c.recordViolation(1, at, "call %s: final answer %s came %v after its deadline", call.id, final, at-call.deadline)
		}
	case call.final != final:
		c.recordViolation(1, r.Time, "call %s: a second final answer %s after %s", call.id, final, call.final)
	}
}

// isExcused reports whether a response is late because the node's machine was stalled at the deadline. The node must
// respond as soon as it runs again.
func (c *checker) isExcused(call *callState, at time.Duration) bool {
	return slices.ContainsFunc(c.stalls[call.node], func(s [2]time.Duration) bool {
		return call.deadline >= s[0]-c.params.AnswerSlack && call.deadline <= s[1]+c.params.AnswerSlack && at <= s[1]+2*c.params.AnswerSlack
	})
}

// recordLostMessage processes a message that was lost or arrives late. A message that a node has sent counts as sent, since the
// node can do no more. A node need not act on a message that has not reached it yet.
func (c *checker) recordLostMessage(r *Record) {
	m := r.Msg
	peer := r.Peer[strings.IndexByte(r.Peer, ':')+1:]
	_, method, _ := m.CSeq()
	if attempt := c.attempts[r.Owner+"|"+m.Get("Call-ID")]; attempt != nil { // sent by a server
		switch {
		case m.IsRequest() || method != sip.INVITE:
		case m.Status < 200 && attempt.firstProvisional == r.Time:
			attempt.firstProvisional = arrivalTime(r)
		case m.Status >= 200 && attempt.finalAt == r.Time:
			if attempt.finalAt = arrivalTime(r); attempt.finalAt < 0 {
				attempt.status = 0
			}
		}
		return
	}
	if attempt := c.attempts[peer+"|"+m.Get("Call-ID")]; attempt != nil { // sent to a server
		switch {
		case m.Method == sip.CANCEL && attempt.cancelledAt < 0:
			attempt.cancelledAt = r.Time
		case m.Method == sip.BYE:
			attempt.byeAt = r.Time
		}
		return
	}
	call := c.calls[callKey(m)]
	switch {
	case call == nil && m.Method == sip.INVITE && m.Tag("To") == "" && r.Until > 0 && c.params.Capacity[peer] > 0:
		// Sent to a server and delayed: the attempt counts from when it was sent, because it can't be withdrawn.
		received := *r
		received.Owner, received.Peer = peer, r.Peer[:strings.IndexByte(r.Peer, ':')+1]+r.Owner
		c.newAttempt(&received).inviteArrival = r.Until
	case call == nil:
	case !m.IsRequest() && method == sip.INVITE && r.Until > 0: // sent to a caller, late
		if m.Status >= 200 && call.finalSentAt == 0 {
			call.finalSentAt = r.Time
		}
	case !m.IsRequest() && method == sip.INVITE: // sent to a caller, lost
		received := *r
		received.Direction = "in"
		c.checkCallerMessage(&received)
	case m.Method == sip.INVITE && call.firstInvite == r.Time && !call.hasResponse:
		if call.inviteLost = r.Until == 0; !call.inviteLost && call.deadline >= 0 {
			call.deadline += r.Until - r.Time
		}
	}
}

// arrivalTime returns when a late message arrives, or -1 if it never does.
func arrivalTime(r *Record) time.Duration {
	if r.Until == 0 {
		return -1
	}
	return r.Until
}

// wasStalled reports whether the call's node was stalled from the deadline until the given time. A node that was killed
// then never ran again.
func (c *checker) wasStalled(call *callState, until time.Duration) bool {
	return slices.ContainsFunc(c.stalls[call.node], func(s [2]time.Duration) bool {
		return s[0] <= call.deadline+c.params.AnswerSlack && s[1] >= until
	})
}

// attemptState is an attempt as seen on its server's socket.
type attemptState struct {
	session, server, callID   string
	firstInvite, lastInvite   time.Duration // first INVITE, latest copy of it
	firstProvisional, finalAt time.Duration // first 1xx, first final response; -1: none
	status                    int
	overTCP                   bool
	inviteArrival             time.Duration // arrival of its first INVITE, if that was delayed; else 0
	cancelledAt, byeAt        time.Duration // -1: none
	supersededAt              time.Duration // begin of the next attempt of the same call; -1: none
}

// checkServerMessage processes a message seen on a server's socket.
func (c *checker) checkServerMessage(r *Record) {
	m := r.Msg
	key := r.Owner + "|" + m.Get("Call-ID")
	attempt := c.attempts[key]
	_, method, _ := m.CSeq()
	switch {
	case r.Direction == "in" && m.Method == sip.INVITE && m.Tag("To") == "":
		if attempt != nil {
			if attempt.inviteArrival > 0 && r.Time <= attempt.inviteArrival { // the delayed INVITE, already counted when it was sent
				return
			}
			attempt.lastInvite = r.Time
			if attempt.supersededAt >= 0 && r.Time > attempt.supersededAt+c.params.Slack { // it was not already in transit
				c.recordViolation(2, r.Time, "session %s: INVITE to %s again after another attempt had begun", attempt.session, attempt.server)
			}
			return
		}
		c.newAttempt(r)
	case attempt == nil:
	case r.Direction == "in" && m.Method == sip.CANCEL:
		if attempt.cancelledAt < 0 {
			attempt.cancelledAt = r.Time
		}
	case r.Direction == "in" && m.Method == sip.BYE:
		attempt.byeAt = r.Time
	case r.Direction == "out" && !m.IsRequest() && method == sip.INVITE && m.Status < 200:
		if attempt.firstProvisional < 0 {
			attempt.firstProvisional = r.Time
		}
	case r.Direction == "out" && !m.IsRequest() && method == sip.INVITE && attempt.finalAt < 0:
		attempt.finalAt, attempt.status = r.Time, m.Status
	}
}

// newAttempt records a new attempt by its first INVITE at its server.
func (c *checker) newAttempt(r *Record) *attemptState {
	session, _, _ := strings.Cut(r.Msg.Get("Session-ID"), ";")
	attempt := &attemptState{session: session, server: r.Owner, callID: r.Msg.Get("Call-ID"), firstInvite: r.Time, lastInvite: r.Time,
		overTCP: strings.HasPrefix(r.Peer, "tcp"), firstProvisional: -1, finalAt: -1, cancelledAt: -1, byeAt: -1, supersededAt: -1}
	c.attempts[r.Owner+"|"+attempt.callID] = attempt
	c.checkNewAttempt(attempt, r)
	return attempt
}

// checkNewAttempt checks rules 2, 3 and 5 at an attempt's first INVITE.
func (c *checker) checkNewAttempt(attempt *attemptState, r *Record) {
	node := ""
	if v, err := sip.ParseVia(r.Msg.Get("Via")); err == nil {
		node = fmt.Sprintf("%s:%d", v.Host, v.Port)
	}
	c.arrivals[attempt.server] = append(c.arrivals[attempt.server], arrival{r.Time, node})
	c.report.Verdicts[1].Checks++
	for _, old := range c.attemptsBySession[attempt.session] {
		c.checkAgainstOlder(old, attempt)
		if old.supersededAt < 0 {
			old.supersededAt = r.Time
		}
	}
	if attempt.session != "" {
		c.attemptsBySession[attempt.session] = append(c.attemptsBySession[attempt.session], attempt)
	}
	if t := c.nodeLists[node][attempt.server]; t != nil {
		c.report.Verdicts[2].Checks++
		if t.phase != "ready" && r.Time > t.notReadySince+c.params.DrainGrace+c.params.Slack {
			c.recordViolation(3, r.Time, "new set-up to %s, told to be %s %v before", attempt.server, t.phase, r.Time-t.notReadySince)
		}
	}
}

// checkAgainstOlder checks a new attempt against an older one of the same call.
func (c *checker) checkAgainstOlder(old, attempt *attemptState) {
	at := attempt.firstInvite
	checkReleaseGuard := func(from time.Duration, what string) {
		c.report.Verdicts[4].Checks++
		if at-from < c.params.ReleaseGuard-c.params.Slack {
			c.recordViolation(5, at, "session %s: sent again %v after %s at %s", attempt.session, at-from, what, old.server)
		}
	}
	transitTolerance := max(c.params.Slack, 100*time.Millisecond) // a message may have been in transit
	closed, isClosed := c.closedAt[old.server]
	switch {
	case old.finalAt >= 0 && old.status >= 300 && old.cancelledAt < 0:
		return // rejected by its server: nothing to wait for
	case old.cancelledAt >= 0:
		if old.firstProvisional >= 0 && old.cancelledAt-old.firstProvisional <= transitTolerance { // the CANCEL had to wait for the 1xx
			checkReleaseGuard(old.lastInvite, "the last INVITE of an attempt called off")
		} else {
			checkReleaseGuard(old.cancelledAt, "a CANCEL")
		}
	case isClosed && closed >= old.firstInvite:
		return // the server has ended, and with it the attempt
	case old.byeAt >= 0:
		return
	case c.resetTime(old, at) >= 0: // its connection was reset, so it can't be cancelled
		checkReleaseGuard(c.resetTime(old, at), "a reset connection")
	case old.firstProvisional >= 0 && old.firstProvisional < at-transitTolerance, old.finalAt >= 0 && old.finalAt < at-transitTolerance:
		c.recordViolation(2, at, "session %s: set-up at %s while the one at %s is out", attempt.session, attempt.server, old.server)
	case at-old.lastInvite < c.params.ReleaseGuard-c.params.Slack && at-old.lastInvite < transitTolerance:
		c.recordViolation(2, at, "session %s: set-up at %s %v after an INVITE to %s", attempt.session, attempt.server,
			at-old.lastInvite, old.server)
	default:
		checkReleaseGuard(old.lastInvite, "the last INVITE of an unanswered attempt")
	}
}

// resetTime returns when an attempt's connection was reset, before the given time and after the node received a provisional
// but no final response; -1 if it was not. An attempt unknown to the node may have been abandoned before.
func (c *checker) resetTime(attempt *attemptState, before time.Duration) time.Duration {
	if !attempt.overTCP || attempt.firstProvisional < 0 {
		return -1
	}
	for _, at := range c.resetsAt[attempt.server] {
		if at >= max(attempt.firstInvite, attempt.firstProvisional) && at <= before &&
			(attempt.finalAt < 0 || attempt.finalAt+c.params.Slack >= at) {
			return at
		}
	}
	return -1
}

// listedServer is the state of a server according to the latest update that a node received.
type listedServer struct {
	phase         string
	notReadySince time.Duration // when the phase ceased to be "ready"
}

// arrival is the first INVITE of an attempt at a server.
type arrival struct {
	at   time.Duration
	node string
}

// serverStart is a start of a server.
type serverStart struct {
	server     string
	startedAt  time.Duration
	notifiedAt map[string]time.Duration // when a node was notified, by node
}

// applyListUpdate processes a list update that a node received.
func (c *checker) applyListUpdate(r *Record) {
	listed := c.nodeLists[r.Owner]
	if listed == nil {
		listed = map[string]*listedServer{}
		c.nodeLists[r.Owner] = listed
	}
	named := map[string]bool{}
	setPhase := func(address, phase string) {
		s := listed[address]
		if s == nil {
			s = &listedServer{phase: "ready"}
			listed[address] = s
		}
		if phase != "ready" && s.phase == "ready" {
			s.notReadySince = r.Time
		}
		s.phase = phase
	}
	for _, e := range r.List {
		named[e.Address] = true
		setPhase(e.Address, e.Phase)
		if e.Started > 0 {
			c.recordServerStart(e.Address, e.Started, r.Owner, r.Time)
		}
	}
	if r.IsFull {
		for address := range listed {
			if !named[address] {
				setPhase(address, "gone")
			}
		}
	}
}

// recordServerStart records that a node was notified of a server's start. Starts less than a second apart are the same one.
func (c *checker) recordServerStart(server string, at time.Duration, node string, notifiedAt time.Duration) {
	for i := range c.starts {
		s := &c.starts[i]
		if d := s.startedAt - at; s.server == server && d < time.Second && d > -time.Second {
			s.startedAt = min(s.startedAt, at)
			if _, ok := s.notifiedAt[node]; !ok {
				s.notifiedAt[node] = notifiedAt
			}
			return
		}
	}
	c.starts = append(c.starts, serverStart{server, at, map[string]time.Duration{node: notifiedAt}})
}

// finish does the checks that need the whole capture: calls without a final response, and cold servers.
func (c *checker) finish() {
	for _, call := range c.callOrder {
		if !call.hasResponse || call.final != "" || call.deadline < 0 || c.lastTime < call.deadline+c.params.AnswerSlack {
			continue
		}
		if slices.ContainsFunc(c.killedAt[call.node], func(t time.Duration) bool {
			return t >= call.firstInvite && (t <= call.deadline || c.wasStalled(call, t))
		}) {
			continue // the node was killed; the caller must redial
		}
		c.report.Verdicts[0].Checks++
		c.recordViolation(1, call.deadline, "call %s: accepted, and no final answer before its deadline", call.id)
	}
	for _, s := range c.starts {
		c.checkColdStart(s)
	}
}

// checkColdStart checks rule 4 for a server start: in any window of length OverloadFor no more set-ups may arrive than
// TipMultiple times the server's capacity at that time, with a tolerance of 10% and two set-ups for randomness. Windows
// in which less than two thirds of the set-ups came from nodes that had been notified of the start are ignored.
func (c *checker) checkColdStart(start serverStart) {
	full := c.params.Capacity[start.server]
	if full <= 0 || c.params.RampTime <= 0 {
		return
	}
	all := c.arrivals[start.server]
	from := 0
	for i, a := range all {
		if a.at < start.startedAt {
			from = i + 1
			continue
		}
		if a.at > start.startedAt+c.params.RampTime {
			break
		}
		for all[from].at <= a.at-c.params.OverloadFor {
			from++
		}
		total, notified := 0, 0
		for _, b := range all[from : i+1] {
			total++
			if t, ok := start.notifiedAt[b.node]; ok && t <= b.at {
				notified++
			}
		}
		share := c.params.ColdShare + (1-c.params.ColdShare)*float64(a.at-start.startedAt)/float64(c.params.RampTime)
		budget := c.params.TipMultiple * share * full * c.params.OverloadFor.Seconds()
		c.report.Verdicts[3].Checks++
		if float64(total) > 1.1*budget+2 && 3*notified >= 2*total {
			c.recordViolation(4, a.at, "%d set-ups within %v to %s, which started %v ago and can do %.0f", total, c.params.OverloadFor,
				start.server, a.at-start.startedAt, budget)
		}
	}
}
