package rules

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// Figures are those of the rules, from settings.
type Figures struct {
	Tries        []Try         // by prefix of the number called, first match
	AnswerSlack  time.Duration // a final answer may be read so long after the try's deadline
	ReleaseGuard time.Duration
	DrainGrace   time.Duration
	ColdShare    float64
	RampTime     time.Duration
	TipMultiple  float64
	OverloadFor  time.Duration
	Capacity     map[string]float64 // set-ups a second of a warm server, by address
	Slack        time.Duration      // how far two times of the capture may be off each other
}

// Try is how long a try's caller waits.
type Try struct {
	Prefix string
	Wait   time.Duration
}

// Names of the rules, in order.
var Names = [5]string{"one final answer, in time", "never two attempts out", "nothing new to a draining or gone server",
	"no cold server pushed over", "release awaited before a resend"}

// Verdict is that on one rule.
type Verdict struct {
	Checks, Breaks int
	Examples       []string // of breaks, the first ones
}

// String is the verdict in words. A rule that nothing was checked of was not tried, which says nothing of it.
func (v Verdict) String() string {
	switch {
	case v.Breaks > 0:
		return "broken"
	case v.Checks == 0:
		return "not tried"
	}
	return "kept"
}

// Report holds the five verdicts.
type Report struct{ Rules [5]Verdict }

// Kept is how many rules were tried and kept.
func (r Report) Kept() int { return r.count("kept") }

// Broken is how many were broken.
func (r Report) Broken() int { return r.count("broken") }

func (r Report) count(verdict string) int {
	n := 0
	for _, v := range r.Rules {
		if v.String() == verdict {
			n++
		}
	}
	return n
}

// Line is the verdict's last line.
func (r Report) Line() string {
	s := fmt.Sprintf("rules kept: %d of 5", r.Kept())
	for _, v := range [...]string{"broken", "not tried"} {
		if n := r.count(v); n > 0 {
			s += fmt.Sprintf(", %s: %d", v, n)
		}
	}
	return s
}

// Checker reads a capture record by record, in order of time: what it keeps grows with calls and attempts only.
type Checker struct{ c *checker }

// Add reads a record.
func (c *Checker) Add(r Record) { c.c.record(&r) }

// End gives the verdicts.
func (c *Checker) End() Report {
	c.c.end()
	return c.c.report
}

// NewChecker makes one.
func NewChecker(f Figures) *Checker {
	return &Checker{&checker{f: f, calls: map[string]*callSeen{}, attempts: map[string]*attemptSeen{}, sessions: map[string][]*attemptSeen{},
		told: map[string]map[string]*toldServer{}, down: map[string]time.Duration{}, arrivals: map[string][]arrival{},
		killed: map[string][]time.Duration{}, resets: map[string][]time.Duration{}, stalled: map[string][][2]time.Duration{}}}
}

// Check reads a whole capture. Records need not be in order of time.
func Check(records []Record, f Figures) Report {
	c := NewChecker(f)
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return int(a.Time - b.Time) })
	for i := range sorted {
		c.Add(sorted[i])
	}
	return c.End()
}

type checker struct {
	f        Figures
	report   Report
	last     time.Duration
	calls    map[string]*callSeen
	order    []*callSeen
	attempts map[string]*attemptSeen
	sessions map[string][]*attemptSeen
	told     map[string]map[string]*toldServer // node, server address
	down     map[string]time.Duration
	arrivals map[string][]arrival
	killed   map[string][]time.Duration
	resets   map[string][]time.Duration // of a server's connections
	stalled  map[string][][2]time.Duration
	starts   []start
}

func (c *checker) broken(rule int, at time.Duration, format string, args ...any) {
	v := &c.report.Rules[rule-1]
	v.Breaks++
	if len(v.Examples) < 5 {
		v.Examples = append(v.Examples, fmt.Sprintf("at %.3f s: ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *checker) record(r *Record) {
	c.last = max(c.last, r.Time)
	switch {
	case r.Kind == "list":
		c.list(r)
	case r.Kind == "down":
		c.down[r.Self] = r.Time
	case r.Kind == "reset":
		c.resets[r.Self] = append(c.resets[r.Self], r.Time)
	case r.Kind == "killed":
		c.killed[r.Self] = append(c.killed[r.Self], r.Time)
	case r.Kind == "stalled":
		c.stalled[r.Self] = append(c.stalled[r.Self], [2]time.Duration{r.Time, r.Until})
	case r.Kind == "lost" && r.Msg != nil:
		c.lost(r)
	case r.Kind != "msg" || r.Msg == nil:
	case r.At == "caller":
		c.atCaller(r)
	case r.At == "server":
		c.atServer(r)
	}
}

// callSeen is a call as its caller's socket saw it: one try, whatever transports it went by.
type callSeen struct {
	id       string
	node     string
	first    time.Duration
	deadline time.Duration
	unheard  bool // the one INVITE so far was lost on its way
	accepted bool
	final    string        // status and tag of the one final answer
	sent     time.Duration // when its node sent the final answer, if that arrives late; 0: it did not
}

func callKey(m *sip.Message) string {
	n, _, _ := m.CSeq()
	return fmt.Sprintf("%s|%s|%d", m.Get("Call-ID"), m.Tag("From"), n)
}

func (c *checker) atCaller(r *Record) {
	m := r.Msg
	if r.Dir == "out" && m.Method == sip.INVITE && m.Tag("To") == "" {
		if k := c.calls[callKey(m)]; k != nil && k.unheard {
			k.unheard = false // the node's clock begins with this copy
			if k.deadline >= 0 {
				k.deadline += r.Time - k.first
			}
			k.first = r.Time
		} else if k == nil {
			k := &callSeen{id: m.Get("Call-ID"), node: r.Peer[strings.IndexByte(r.Peer, ':')+1:], first: r.Time, deadline: -1}
			number := m.URI
			if u, err := sip.ParseURI(m.URI); err == nil {
				number = u.Number()
			}
			for _, t := range c.f.Tries {
				if strings.HasPrefix(number, t.Prefix) {
					k.deadline = r.Time + t.Wait
					break
				}
			}
			c.calls[callKey(m)] = k
			c.order = append(c.order, k)
		}
		return
	}
	_, method, _ := m.CSeq()
	if r.Dir != "in" || m.IsRequest() || method != sip.INVITE {
		return
	}
	k := c.calls[callKey(m)]
	if k == nil {
		return // to a re-INVITE
	}
	k.accepted = true
	if m.Status < 200 {
		if k.final != "" && m.Status > 100 {
			c.broken(1, r.Time, "call %s: %d after its final answer %s", k.id, m.Status, k.final)
		}
		return
	}
	final := fmt.Sprintf("%d (tag %s)", m.Status, m.Tag("To"))
	switch {
	case k.final == "":
		k.final = final
		c.report.Rules[0].Checks++
		at := r.Time
		if k.sent > 0 {
			at = k.sent
		}
		if k.deadline >= 0 && at > k.deadline+c.f.AnswerSlack && !c.excused(k, at) {
			c.broken(1, at, "call %s: final answer %s came %v after its deadline", k.id, final, at-k.deadline)
		}
	case k.final != final:
		c.broken(1, r.Time, "call %s: a second final answer %s after %s", k.id, final, k.final)
	}
}

// excused says whether a late answer is that of a node whose machine stood still over the deadline: it was not running
// then. It has to answer as soon as it runs again.
func (c *checker) excused(k *callSeen, at time.Duration) bool {
	return slices.ContainsFunc(c.stalled[k.node], func(s [2]time.Duration) bool {
		return k.deadline >= s[0]-c.f.AnswerSlack && k.deadline <= s[1]+c.f.AnswerSlack && at <= s[1]+2*c.f.AnswerSlack
	})
}

// lost takes a message that left its sender's socket and got lost on the way, or arrives late. What a node has sent
// counts as sent: it can do no more than send. What a node has not heard of yet it need not act on.
func (c *checker) lost(r *Record) {
	m := r.Msg
	peer := r.Peer[strings.IndexByte(r.Peer, ':')+1:]
	_, method, _ := m.CSeq()
	if a := c.attempts[r.Self+"|"+m.Get("Call-ID")]; a != nil { // by a server
		switch {
		case m.IsRequest() || method != sip.INVITE:
		case m.Status < 200 && a.rung == r.Time:
			a.rung = arrives(r)
		case m.Status >= 200 && a.answered == r.Time:
			if a.answered = arrives(r); a.answered < 0 {
				a.status = 0
			}
		}
		return
	}
	if a := c.attempts[peer+"|"+m.Get("Call-ID")]; a != nil { // to a server
		switch {
		case m.Method == sip.CANCEL && a.cancelled < 0:
			a.cancelled = r.Time
		case m.Method == sip.BYE:
			a.bye = r.Time
		}
		return
	}
	k := c.calls[callKey(m)]
	switch {
	case k == nil && m.Method == sip.INVITE && m.Tag("To") == "" && r.Until > 0 && c.f.Capacity[peer] > 0:
		// To a server, held on its way: it counts from when it was sent, for nobody can take it back.
		in := *r
		in.Self, in.Peer = peer, r.Peer[:strings.IndexByte(r.Peer, ':')+1]+r.Self
		c.attempt(&in).due = r.Until
	case k == nil:
	case !m.IsRequest() && method == sip.INVITE && r.Until > 0: // to a caller, late
		if m.Status >= 200 && k.sent == 0 {
			k.sent = r.Time
		}
	case !m.IsRequest() && method == sip.INVITE: // to a caller
		in := *r
		in.Dir = "in"
		c.atCaller(&in)
	case m.Method == sip.INVITE && k.first == r.Time && !k.accepted:
		if k.unheard = r.Until == 0; !k.unheard && k.deadline >= 0 {
			k.deadline += r.Until - r.Time
		}
	}
}

// arrives is when a late message does; -1: never.
func arrives(r *Record) time.Duration {
	if r.Until == 0 {
		return -1
	}
	return r.Until
}

// stood says whether a call's node stood still from its deadline until a time: killed then, it never ran again.
func (c *checker) stood(k *callSeen, until time.Duration) bool {
	return slices.ContainsFunc(c.stalled[k.node], func(s [2]time.Duration) bool {
		return s[0] <= k.deadline+c.f.AnswerSlack && s[1] >= until
	})
}

// attemptSeen is an attempt as its server's socket saw it.
type attemptSeen struct {
	session, server, callID string
	first, copied           time.Duration // first INVITE, last copy of it
	rung, answered          time.Duration // first 1xx, first final; -1: none
	status                  int
	tcp                     bool
	due                     time.Duration // its first INVITE is on its way until then; 0: it has arrived
	cancelled, bye          time.Duration // -1: none
	superseded              time.Duration // since when another attempt has begun; -1: none
}

func (c *checker) atServer(r *Record) {
	m := r.Msg
	key := r.Self + "|" + m.Get("Call-ID")
	a := c.attempts[key]
	_, method, _ := m.CSeq()
	switch {
	case r.Dir == "in" && m.Method == sip.INVITE && m.Tag("To") == "":
		if a != nil {
			if a.due > 0 && r.Time <= a.due { // it was on its way since it was sent
				return
			}
			a.copied = r.Time
			if a.superseded >= 0 && r.Time > a.superseded+c.f.Slack { // not one that was on its way
				c.broken(2, r.Time, "session %s: INVITE to %s again after another attempt had begun", a.session, a.server)
			}
			return
		}
		c.attempt(r)
	case a == nil:
	case r.Dir == "in" && m.Method == sip.CANCEL:
		if a.cancelled < 0 {
			a.cancelled = r.Time
		}
	case r.Dir == "in" && m.Method == sip.BYE:
		a.bye = r.Time
	case r.Dir == "out" && !m.IsRequest() && method == sip.INVITE && m.Status < 200:
		if a.rung < 0 {
			a.rung = r.Time
		}
	case r.Dir == "out" && !m.IsRequest() && method == sip.INVITE && a.answered < 0:
		a.answered, a.status = r.Time, m.Status
	}
}

// attempt notes a new one, by its first INVITE at its server.
func (c *checker) attempt(r *Record) *attemptSeen {
	session, _, _ := strings.Cut(r.Msg.Get("Session-ID"), ";")
	a := &attemptSeen{session: session, server: r.Self, callID: r.Msg.Get("Call-ID"), first: r.Time, copied: r.Time,
		tcp: strings.HasPrefix(r.Peer, "tcp"), rung: -1, answered: -1, cancelled: -1, bye: -1, superseded: -1}
	c.attempts[r.Self+"|"+a.callID] = a
	c.begin(a, r)
	return a
}

// begin checks rules 2, 3 and 5 at an attempt's first INVITE.
func (c *checker) begin(a *attemptSeen, r *Record) {
	node := ""
	if v, err := sip.ParseVia(r.Msg.Get("Via")); err == nil {
		node = fmt.Sprintf("%s:%d", v.Host, v.Port)
	}
	c.arrivals[a.server] = append(c.arrivals[a.server], arrival{r.Time, node})
	c.report.Rules[1].Checks++
	for _, old := range c.sessions[a.session] {
		c.against(old, a)
		if old.superseded < 0 {
			old.superseded = r.Time
		}
	}
	if a.session != "" {
		c.sessions[a.session] = append(c.sessions[a.session], a)
	}
	if t := c.told[node][a.server]; t != nil {
		c.report.Rules[2].Checks++
		if t.phase != "ready" && r.Time > t.since+c.f.DrainGrace+c.f.Slack {
			c.broken(3, r.Time, "new set-up to %s, told to be %s %v before", a.server, t.phase, r.Time-t.since)
		}
	}
}

// against holds a new attempt against an older one of the same call.
func (c *checker) against(old, a *attemptSeen) {
	at := a.first
	guard := func(from time.Duration, what string) {
		c.report.Rules[4].Checks++
		if at-from < c.f.ReleaseGuard-c.f.Slack {
			c.broken(5, at, "session %s: sent again %v after %s at %s", a.session, at-from, what, old.server)
		}
	}
	late := max(c.f.Slack, 100*time.Millisecond) // a message may have been on its way
	closed, isDown := c.down[old.server]
	switch {
	case old.answered >= 0 && old.status >= 300 && old.cancelled < 0:
		return // an end of its own: nothing to wait for
	case old.cancelled >= 0:
		if old.rung >= 0 && old.cancelled-old.rung <= late { // it had waited for the 1xx
			guard(old.copied, "the last INVITE of an attempt called off")
		} else {
			guard(old.cancelled, "a CANCEL")
		}
	case isDown && closed >= old.first:
		return // the server is gone, and with it the attempt
	case old.bye >= 0:
		return
	case c.reset(old, at) >= 0: // its connection broke: nobody can cancel it
		guard(c.reset(old, at), "a reset connection")
	case old.rung >= 0 && old.rung < at-late, old.answered >= 0 && old.answered < at-late:
		c.broken(2, at, "session %s: set-up at %s while the one at %s is out", a.session, a.server, old.server)
	case at-old.copied < c.f.ReleaseGuard-c.f.Slack && at-old.copied < late:
		c.broken(2, at, "session %s: set-up at %s %v after an INVITE to %s", a.session, a.server, at-old.copied, old.server)
	default:
		guard(old.copied, "the last INVITE of an unanswered attempt")
	}
}

// reset is when an attempt's connection was reset, before a time and after its node had heard of it but no end; -1: it
// was not. What a node never heard of it may have given up before.
func (c *checker) reset(a *attemptSeen, before time.Duration) time.Duration {
	if !a.tcp || a.rung < 0 {
		return -1
	}
	for _, at := range c.resets[a.server] {
		if at >= max(a.first, a.rung) && at <= before && (a.answered < 0 || a.answered+c.f.Slack >= at) {
			return at
		}
	}
	return -1
}

// toldServer is what a node was last told of a server.
type toldServer struct {
	phase string
	since time.Duration // of what is not ready
}

type arrival struct {
	at   time.Duration
	node string
}

type start struct {
	server string
	at     time.Duration
	toldAt map[string]time.Duration // by node
}

func (c *checker) list(r *Record) {
	t := c.told[r.Self]
	if t == nil {
		t = map[string]*toldServer{}
		c.told[r.Self] = t
	}
	named := map[string]bool{}
	set := func(address, phase string) {
		s := t[address]
		if s == nil {
			s = &toldServer{phase: "ready"}
			t[address] = s
		}
		if phase != "ready" && s.phase == "ready" {
			s.since = r.Time
		}
		s.phase = phase
	}
	for _, e := range r.List {
		named[e.Address] = true
		set(e.Address, e.Phase)
		if e.Started > 0 {
			c.started(e.Address, e.Started, r.Self, r.Time)
		}
	}
	if r.Full {
		for address := range t {
			if !named[address] {
				set(address, "gone")
			}
		}
	}
}

func (c *checker) started(server string, at time.Duration, node string, told time.Duration) {
	for i := range c.starts {
		s := &c.starts[i]
		if d := s.at - at; s.server == server && d < time.Second && d > -time.Second {
			s.at = min(s.at, at)
			if _, ok := s.toldAt[node]; !ok {
				s.toldAt[node] = told
			}
			return
		}
	}
	c.starts = append(c.starts, start{server, at, map[string]time.Duration{node: told}})
}

// end checks what only the whole capture tells: calls without an answer, and cold servers.
func (c *checker) end() {
	for _, k := range c.order {
		if !k.accepted || k.final != "" || k.deadline < 0 || c.last < k.deadline+c.f.AnswerSlack {
			continue
		}
		if slices.ContainsFunc(c.killed[k.node], func(t time.Duration) bool { return t >= k.first && (t <= k.deadline || c.stood(k, t)) }) {
			continue // calls of a killed node are the caller's to retry
		}
		c.report.Rules[0].Checks++
		c.broken(1, k.deadline, "call %s: accepted, and no final answer before its deadline", k.id)
	}
	for _, s := range c.starts {
		c.cold(s)
	}
}

// cold holds the set-ups that came to a starting server against what it could do: over any window of the given
// length no more than the multiple of its capacity then, with a little slack for chance. Windows in which less than
// two thirds came from nodes that knew of the start are nobody's fault.
func (c *checker) cold(s start) {
	full := c.f.Capacity[s.server]
	if full <= 0 || c.f.RampTime <= 0 {
		return
	}
	all := c.arrivals[s.server]
	from := 0
	for i, a := range all {
		if a.at < s.at {
			from = i + 1
			continue
		}
		if a.at > s.at+c.f.RampTime {
			break
		}
		for all[from].at <= a.at-c.f.OverloadFor {
			from++
		}
		n, knew := 0, 0
		for _, b := range all[from : i+1] {
			n++
			if t, ok := s.toldAt[b.node]; ok && t <= b.at {
				knew++
			}
		}
		share := c.f.ColdShare + (1-c.f.ColdShare)*float64(a.at-s.at)/float64(c.f.RampTime)
		budget := c.f.TipMultiple * share * full * c.f.OverloadFor.Seconds()
		c.report.Rules[3].Checks++
		if float64(n) > 1.1*budget+2 && 3*knew >= 2*n {
			c.broken(4, a.at, "%d set-ups within %v to %s, which started %v ago and can do %.0f", n, c.f.OverloadFor,
				s.server, a.at-s.at, budget)
		}
	}
}
