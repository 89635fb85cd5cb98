package access

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/reach"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/timers"
)

// server is a call server, by its text id. Its number is never another's in a life of the node.
type server struct {
	id       string
	num      uint32
	addr     netip.AddrPort
	phase    larkrouter.Phase
	told     time.Duration // when it was told to drain or to be gone
	started  time.Duration
	reach    *reach.State
	demand   reach.Demand
	lines    []*line // open or being opened
	queue    []*attempt
	standing map[*call]struct{}
	owed     []uint64 // releases that no connection could take
	counts   Counts
}

// Counts of a server are since the start.
type Counts struct{ Sent, Answered, Refused, Failed, TimedOut, Reset, NoConnection, Cancelled uint64 }

// line is a connection to a call server.
type line struct {
	conn  Conn
	srv   *server
	up    bool
	used  time.Duration       // when it came up, or brought or took a message last
	out   map[uint64]*attempt // by the caller's id
	given map[uint64]struct{} // given up here: what still comes of them is late
}

// attempt is a set-up at a call server.
type attempt struct {
	call    *call
	ordinal int
	srv     *server
	ln      *line // nil while it waits for a connection
	began   time.Duration
	expires time.Duration
	timer   timers.Timer
}

const (
	keepGone = 60 * time.Second // a server that is gone is remembered
	owedMost = 1000
)

// List takes news of the call servers.
func (n *Node) List(now time.Duration, l *feed.List, cached bool) {
	n.clock(now)
	news := larkrouter.ServerList{Kind: larkrouter.ListDelta, Version: l.Revision}
	if l.Complete {
		news.Kind = larkrouter.ListFull
	}
	if cached {
		news.Kind = larkrouter.ListCached
	}
	var restarted []*server
	named := map[*server]bool{}
	for _, m := range l.Members {
		s := n.servers[m.ID]
		if s == nil {
			n.lastSrv++
			s = &server{id: m.ID, num: n.lastSrv, phase: larkrouter.Ready, addr: m.HostPort, reach: reach.New(n.cfg.Reach, n.now),
				standing: map[*call]struct{}{}}
			n.servers[m.ID], n.byNum[s.num] = s, s
			n.order = append(n.order, s)
		}
		named[s] = true
		phase := larkrouter.Ready
		switch m.Phase {
		case feed.Draining:
			phase = larkrouter.Draining
		case feed.Removed:
			phase = larkrouter.Gone
		}
		started := time.Duration(0)
		if m.Started > 0 {
			started = min(n.now, max(1, time.Duration(m.Started-n.cfg.Wall)*time.Millisecond))
		}
		if started > s.started && s.started+s.told+time.Duration(s.counts.Sent) > 0 {
			restarted = append(restarted, s)
		}
		s.started = max(s.started, started)
		if m.HostPort.IsValid() && m.HostPort != s.addr {
			s.addr = m.HostPort
			n.leave(s, "its address has changed")
		}
		n.phase(s, phase)
		news.Servers = append(news.Servers, larkrouter.ServerInfo{ID: s.num, Zone: slices.Index(n.cfg.Figures.Zones, m.Zone),
			Kind: slices.Index(n.cfg.Figures.Kinds, m.Kind), Number: m.Cell, Phase: phase, Weight: m.Size, Started: started})
	}
	if l.Complete {
		for _, s := range n.order {
			if !named[s] {
				n.phase(s, larkrouter.Gone)
			}
		}
	}
	for _, s := range restarted { // what stood before its start is over
		s.owed = nil // of the process before
		for _, k := range s.calls() {
			if k.since < s.started {
				n.cut(k, "its server has started anew")
			}
		}
	}
	n.tell(news)
	for _, s := range slices.Clone(n.order) {
		if s.phase != larkrouter.Ready { // what waits for a connection there does not go out any more
			for _, at := range slices.Clone(s.queue) {
				n.over(at, larkrouter.AttemptOver{Outcome: larkrouter.NotSent})
			}
		}
		n.tendServer(s)
	}
}

// phase takes what the list says of a server.
func (n *Node) phase(s *server, p larkrouter.Phase) {
	if p == s.phase {
		return
	}
	n.note(Note{Event: "server " + phaseNames[p], Server: s.id, Count: len(s.standing)})
	if s.phase = p; p == larkrouter.Ready {
		return
	}
	s.told = n.now
}

var phaseNames = map[larkrouter.Phase]string{larkrouter.Draining: "drains", larkrouter.Ready: "is up", larkrouter.Gone: "is gone"}

// calls are those that stand there, in the order in which they came.
func (s *server) calls() []*call {
	all := make([]*call, 0, len(s.standing))
	for k := range s.standing {
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	return all
}

// tendServer keeps the connections to a server open, and ends its calls once it is known to be dead.
func (n *Node) tendServer(s *server) {
	if s.phase == larkrouter.Gone && len(s.standing) == 0 {
		if len(s.lines) > 0 && n.now-s.told > time.Second {
			n.leave(s, "it is gone")
		}
		if n.now-s.told > keepGone {
			delete(n.servers, s.id)
			delete(n.byNum, s.num)
			n.order = slices.DeleteFunc(n.order, func(o *server) bool { return o == s })
		}
		return
	}
	if s.phase == larkrouter.Gone {
		for _, o := range n.order {
			if o != s && o.phase != larkrouter.Gone && o.addr == s.addr {
				n.leave(s, "another has its address")
				n.dead(s, "another has its address", false)
				return
			}
		}
	}
	if cause, dead := s.reach.Dead(n.now, s.phase == larkrouter.Gone); dead && len(s.standing) > 0 {
		n.dead(s, cause, s.reach.Silent())
	}
	if s.reach.Mute(n.now) && slices.ContainsFunc(s.lines, func(l *line) bool { return l.up }) {
		s.reach.Leave()
		n.leave(s, "silent, and new connections do not come up")
	}
	s.demand.Note(n.now, s.out())
	want := s.demand.Connections(n.cfg.Lines)
	if s.phase == larkrouter.Gone {
		want = 1
	}
	want = max(1, min(want, len(s.lines)+max(0, n.cfg.Trunks-len(n.lines)))) // callers and the command channel are to get theirs
	n.spare(s, want)
	if (len(s.queue) > 0 || s.reach.Check(n.now)) &&
		!slices.ContainsFunc(s.lines, func(l *line) bool { return !l.up }) { // none that is open takes what waits, or a check
		want = len(s.lines) + 1
	}
	if n.now < s.reach.Retry() {
		return
	}
	for len(s.lines) < want {
		n.lastCon++
		l := &line{conn: n.lastCon, srv: s, out: map[uint64]*attempt{}, given: map[uint64]struct{}{}}
		s.lines = append(s.lines, l)
		n.lines[l.conn] = l
		n.effects = append(n.effects, Effect{Kind: Dial, Conn: l.conn, Addr: s.addr})
	}
}

// out is how many set-ups are out there or wait for a connection.
func (s *server) out() int {
	n := len(s.queue)
	for _, l := range s.lines {
		n += len(l.out)
	}
	return n
}

// spare closes what the server may be about to close itself, and what is open beyond the connections wanted, the newest
// first, as servers speak of a call on the connection that its set-up came on: one at a time, none with a set-up out, and
// none that was of use within the last second, as more may be on its way.
func (n *Node) spare(s *server, want int) {
	for _, l := range slices.Clone(s.lines) {
		if l.up && len(l.out) == 0 && n.stale(l) {
			n.drop(l)
		}
	}
	if len(s.lines) <= want || len(s.queue) > 0 {
		return
	}
	for _, l := range slices.Backward(s.lines) {
		if l.up && len(l.out) == 0 {
			if reach.Spare(n.now - l.used) {
				n.drop(l)
			}
			return
		}
	}
}

func (n *Node) stale(l *line) bool { return reach.Stale(n.now-l.used, n.cfg.Figures.ConnIdle) }

// dead ends the calls that stood at a server whose process has died or whose machine has vanished. Should only the way
// there be cut, they still stand, and their releases are owed.
func (n *Node) dead(s *server, cause string, owed bool) {
	n.note(Note{Event: "calls cut", Server: s.id, Cause: cause, Count: len(s.standing)})
	for _, k := range s.calls() {
		if owed && len(s.owed) < owedMost {
			s.owed = append(s.owed, k.id)
		}
		n.cut(k, cause)
	}
}

// cut ends a standing call that its server has ended without a word.
func (n *Node) cut(k *call, cause string) {
	n.Totals.Cut++
	n.end(k)
	n.farewell(k, trunk.CauseReset)
	n.tell(larkrouter.AttemptOver{Call: k.number, Attempt: k.ordinal, Outcome: larkrouter.Reset, Elapsed: n.now - k.since,
		Server: k.server.num, Ended: true})
}

// leave closes all connections to a server.
func (n *Node) leave(s *server, cause string) {
	n.note(Note{Event: "connections left", Server: s.id, Cause: cause, Count: len(s.lines)})
	for _, l := range slices.Clone(s.lines) {
		n.drop(l)
	}
}

// drop closes a connection to a server: the set-ups open on it are given up.
func (n *Node) drop(l *line) {
	n.effects = append(n.effects, Effect{Kind: Close, Conn: l.conn})
	n.lost(l)
}

// lost takes a connection off that has ended. What was out on it was cut on its way: it may have run.
func (n *Node) lost(l *line) {
	s := l.srv
	delete(n.lines, l.conn)
	s.lines = slices.DeleteFunc(s.lines, func(o *line) bool { return o == l })
	if l.up {
		s.reach.Closed(n.now)
	}
	for _, at := range sorted(l.out) {
		n.over(at, larkrouter.AttemptOver{Outcome: larkrouter.Reset})
	}
}

func sorted(out map[uint64]*attempt) []*attempt {
	all := make([]*attempt, 0, len(out))
	for _, at := range out {
		all = append(all, at)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.call.number, b.call.number) })
	return all
}

// TrunkUp tells that a connection to a call server came up.
func (n *Node) TrunkUp(now time.Duration, c Conn) {
	n.clock(now)
	l := n.lines[c]
	if l == nil {
		return
	}
	l.up, l.used = true, n.now
	s := l.srv
	s.reach.Open(n.now)
	for _, id := range s.owed {
		n.write(l.conn, bare(trunk.Release, id, trunk.CauseNormal))
	}
	s.owed = nil
	for _, at := range slices.Clone(s.queue) {
		if at.ln == nil && l.fits(at.call) {
			n.setUp(at, l)
		}
	}
}

// TrunkFailed tells that a connection did not come up: refused, or not within its time.
func (n *Node) TrunkFailed(now time.Duration, c Conn, refused bool) {
	n.clock(now)
	l := n.lines[c]
	if l == nil {
		return
	}
	s := l.srv
	n.lost(l)
	cause := map[bool]string{true: "refused", false: "no answer"}[refused]
	n.note(Note{Event: "connection to a call server did not come up", Server: s.id, Cause: cause})
	s.reach.Failed(n.now, refused)
	if !refused || slices.ContainsFunc(s.lines, func(l *line) bool { return l.up }) {
		return // each that waits has its own time
	}
	for _, at := range slices.Clone(s.queue) {
		n.over(at, larkrouter.AttemptOver{Outcome: larkrouter.NoConnection})
	}
}

// TrunkClosed tells that a connection to a call server has ended.
func (n *Node) TrunkClosed(now time.Duration, c Conn, cause string) {
	n.clock(now)
	if l := n.lines[c]; l != nil {
		n.note(Note{Event: "connection to a call server ended", Server: l.srv.id, Cause: cause, Count: len(l.out)})
		n.lost(l)
		n.tendServer(l.srv)
	}
}

// TrunkFault tells that what came can't be read: the connection is of no further use.
func (n *Node) TrunkFault(now time.Duration, c Conn, err error) {
	n.clock(now)
	if l := n.lines[c]; l != nil {
		n.note(Note{Event: "unreadable from a call server", Server: l.srv.id, Cause: err.Error(), Count: len(l.out)})
		n.drop(l)
		n.tendServer(l.srv)
	}
}

// TrunkHeard tells that bytes came, whole messages or not.
func (n *Node) TrunkHeard(now time.Duration, c Conn) {
	n.clock(now)
	if l := n.lines[c]; l != nil {
		l.used = n.now
		l.srv.reach.Heard(n.now)
	}
}

// TrunkMessage takes a message from a call server.
func (n *Node) TrunkMessage(now time.Duration, c Conn, m *trunk.Message) {
	n.clock(now)
	l := n.lines[c]
	if l == nil {
		return
	}
	s := l.srv
	report := trunk.ReadReport(m.Get(trunk.Report), n.cfg.Module.ReportFields)
	switch m.Type {
	case trunk.State:
		if report != nil {
			n.tell(larkrouter.Probed{Server: s.num, OK: true, Report: report})
		}
	case trunk.Answer:
		n.onAnswer(l, m)
	case trunk.Release:
		n.onRelease(l, m, report)
	case trunk.Test:
		b, _ := (&trunk.Message{Type: trunk.Tested, Call: m.Call, Params: []trunk.Param{{Code: trunk.CauseOf, Value: []byte{1}}}}).Append(nil)
		n.write(c, b)
	}
}

func (n *Node) onAnswer(l *line, m *trunk.Message) {
	at := l.out[m.Call]
	if at == nil { // of a set-up given up, whose release is on its way, or of none
		n.Totals.Late++
		return
	}
	k := at.call
	if n.now >= k.deadline {
		n.overdue(k)
		return
	}
	description := m.Get(trunk.Description)
	if description == nil { // the caller can't use it
		n.note(Note{Event: "answer without a description", Server: l.srv.id, Call: m.Call})
		n.drop(l)
		return
	}
	n.settle(at)
	l.srv.counts.Answered++
	k.server, k.line, k.ordinal = l.srv, l.conn, at.ordinal
	l.srv.standing[k] = struct{}{}
	n.answered(k, description)
	n.tell(larkrouter.Standing{Call: k.number, Server: l.srv.num, Elapsed: n.now - at.began, Attempt: at.ordinal})
}

func (n *Node) onRelease(l *line, m *trunk.Message, report []float64) {
	s, cause := l.srv, m.Cause()
	if at := l.out[m.Call]; at != nil {
		ev := larkrouter.AttemptOver{Report: report, Outcome: larkrouter.Reset}
		switch cause {
		case trunk.CauseFull:
			ev.Outcome, ev.Full = larkrouter.TurnedAway, string(m.Get(trunk.Note)) == "overload"
		case trunk.CauseBusy, trunk.CauseFault:
			ev.Outcome = larkrouter.Failed
		case trunk.CauseNotSent:
			ev.Outcome = larkrouter.NotSent
		case trunk.CauseNormal: // it stood and has come to its end; its answer is still on its way, and of no use
			ev.Outcome = larkrouter.Completed
			l.given[m.Call] = struct{}{}
		}
		n.over(at, ev)
		return
	}
	if _, late := l.given[m.Call]; late && refusal(cause) { // of a set-up given up here, whatever became of the call
		delete(l.given, m.Call)
		n.Totals.Late++
		return
	}
	n.write(l.conn, bare(trunk.Heard, m.Call, 0))
	k := n.calls[m.Call]
	switch {
	case k != nil && k.stands && k.server == s:
		ev := larkrouter.AttemptOver{Call: k.number, Attempt: k.ordinal, Outcome: larkrouter.Reset, Report: report, Elapsed: n.now - k.since,
			Server: s.num, Ended: true}
		if cause == trunk.CauseNormal {
			ev.Outcome = larkrouter.Completed
		}
		n.end(k)
		n.farewell(k, int(cmp.Or(cause, trunk.CauseReset)))
		n.tell(ev)
	case k == nil && n.ended.at[m.Call].when == 0: // of an earlier life of the node: its caller may still name it
		n.Totals.Unknown++
		n.ended.add(m.Call, endedCall{n.now, cmp.Or(cause, trunk.CauseReset)})
	}
}

// refusal says whether a cause is one of a set-up that never stood: a standing call ends with another.
func refusal(cause byte) bool {
	return cause == trunk.CauseFull || cause == trunk.CauseBusy || cause == trunk.CauseFault || cause == trunk.CauseNotSent
}

// bare is a message with at most a cause.
func bare(typ byte, call uint64, cause byte) []byte {
	m := trunk.Message{Type: typ, Call: call}
	if cause != 0 {
		m.Params = []trunk.Param{{Code: trunk.CauseOf, Value: []byte{cause}}}
	}
	b, _ := m.Append(nil)
	return b
}

// releaseAt releases a standing call at its server: on the connection its set-up came on, else on any open one, else on
// the next that opens.
func (n *Node) releaseAt(k *call, cause byte) {
	s := k.server
	l := n.lines[k.line]
	if l == nil || !l.up {
		for _, o := range s.lines {
			if o.up {
				l = o
				break
			}
		}
	}
	if l == nil || !l.up {
		if len(s.owed) < owedMost {
			s.owed = append(s.owed, k.id)
		}
		return
	}
	n.write(l.conn, bare(trunk.Release, k.id, cause))
}

// attempt carries out what the module wants set up. What can't go out any more is not sent.
func (n *Node) attempt(a larkrouter.Attempt) {
	k, s := n.numbers[a.Call], n.byNum[a.Server]
	if k == nil || k.stands {
		return // the call is over, and the module has been told
	}
	if s == nil { // forgotten here
		k.attempts++
		n.tell(larkrouter.AttemptOver{Call: k.number, Attempt: k.attempts - 1, Outcome: larkrouter.NotSent, Server: a.Server})
		return
	}
	at := &attempt{call: k, ordinal: k.attempts, srv: s, began: n.now, expires: k.deadline}
	k.attempts++
	if a.Timeout > 0 {
		at.expires = min(k.deadline, n.now+a.Timeout)
	}
	drained := s.phase != larkrouter.Ready && n.now-s.told > n.cfg.Figures.DrainGrace
	if k.out != nil || n.now >= at.expires || drained ||
		n.cfg.Module.MaxAttempts > 0 && k.attempts > n.cfg.Module.MaxAttempts {
		n.note(Note{Event: "attempt kept back", Server: s.id, Call: k.id})
		n.tell(larkrouter.AttemptOver{Call: k.number, Attempt: at.ordinal, Outcome: larkrouter.NotSent, Server: s.num})
		return
	}
	k.out = at
	if l := n.pick(s, k); l != nil {
		n.setUp(at, l)
		n.tendServer(s)
		return
	}
	s.queue = append(s.queue, at)
	n.heap.Set(&at.timer, min(at.expires, n.now+n.cfg.Figures.ConnectTimeout), func() {
		n.over(at, larkrouter.AttemptOver{Outcome: larkrouter.NoConnection})
	})
	n.tendServer(s)
}

// fits says whether a set-up of a call may go out on a connection: not where one of its set-ups went before, as an answer
// tells the call and not which set-up.
func (l *line) fits(k *call) bool {
	_, given := l.given[k.id]
	return l.up && !given && l.out[k.id] == nil
}

// pick is the open connection with the fewest set-ups out.
func (n *Node) pick(s *server, k *call) (best *line) {
	for _, l := range s.lines {
		if l.fits(k) && !n.stale(l) && (best == nil || len(l.out) < len(best.out)) {
			best = l
		}
	}
	return best
}

func (n *Node) setUp(at *attempt, l *line) {
	k, s := at.call, at.srv
	if n.cfg.Gone != nil && n.cfg.Gone(k.conn) { // its end waits behind bytes that are not read, or behind a busy loop
		n.Totals.Dropped++
		n.withdraw(k)
		return
	}
	s.queue = slices.DeleteFunc(s.queue, func(o *attempt) bool { return o == at })
	m := trunk.Message{Type: trunk.SetUp, Call: k.id, Params: []trunk.Param{
		{Code: trunk.Class, Value: []byte(k.setUp.Class)},
		{Code: trunk.Left, Value: strconv.AppendInt(nil, max(1, (at.expires-n.now).Milliseconds()), 10)},
		{Code: trunk.Number, Value: []byte(k.called)},
		{Code: trunk.Description, Value: k.setUp.Description}}}
	b, err := m.Append(nil)
	if err != nil { // longer than servers read
		n.over(at, larkrouter.AttemptOver{Outcome: larkrouter.NotSent})
		return
	}
	s.counts.Sent++
	at.ln, l.out[k.id], l.used = l, at, n.now
	n.heap.Set(&at.timer, at.expires, func() { n.giveUp(at, larkrouter.TimedOut) })
	n.write(l.conn, b)
}

// giveUp ends an attempt from this side: its release is written before the module may send again.
func (n *Node) giveUp(at *attempt, why larkrouter.Outcome) {
	if l := at.ln; l != nil {
		l.given[at.call.id] = struct{}{}
		n.write(l.conn, bare(trunk.Release, at.call.id, trunk.CauseNormal))
		if len(l.given) > 4096 { // rather a new connection than no end of them
			clear(l.given)
			defer n.drop(l)
		}
	}
	n.over(at, larkrouter.AttemptOver{Outcome: why})
}

// settle takes an attempt off.
func (n *Node) settle(at *attempt) {
	n.heap.Stop(&at.timer)
	if at.ln != nil {
		delete(at.ln.out, at.call.id)
	} else {
		at.srv.queue = slices.DeleteFunc(at.srv.queue, func(o *attempt) bool { return o == at })
	}
	if at.call.out == at {
		at.call.out = nil
	}
}

// over ends an attempt that did not stand, and tells the module.
func (n *Node) over(at *attempt, ev larkrouter.AttemptOver) {
	n.settle(at)
	at.srv.counts.add(ev.Outcome)
	ev.Call, ev.Attempt, ev.Server = at.call.number, at.ordinal, at.srv.num
	ev.Elapsed, ev.Ended = n.now-at.began, n.calls[at.call.id] != at.call
	n.tell(ev)
}

func (c *Counts) add(o larkrouter.Outcome) {
	switch o {
	case larkrouter.TurnedAway:
		c.Refused++
	case larkrouter.Failed:
		c.Failed++
	case larkrouter.TimedOut:
		c.TimedOut++
	case larkrouter.Reset:
		c.Reset++
	case larkrouter.NoConnection, larkrouter.NotSent:
		c.NoConnection++
	case larkrouter.Cancelled:
		c.Cancelled++
	}
}

// Report is what is seen of a server, beside what the module believes of it.
type Report struct {
	Server   string
	Phase    string
	Lines    int
	Out      int
	Waiting  int // for a connection
	Standing int
	Counts   Counts
	View     larkrouter.ServerView
}

// Reports are of all servers, in the order in which they came.
func (n *Node) Reports() []Report {
	views := map[uint32]larkrouter.ServerView{}
	for _, v := range n.module.View(nil) {
		views[v.ID] = v
	}
	var all []Report
	for _, s := range n.order {
		r := Report{Server: s.id, Phase: phaseNames[s.phase], Waiting: len(s.queue), Standing: len(s.standing), Counts: s.counts,
			View: views[s.num]}
		for _, l := range s.lines {
			if l.up {
				r.Lines++
			}
			r.Out += len(l.out)
		}
		all = append(all, r)
	}
	return all
}

// Callers is how many connections from callers are open.
func (n *Node) Callers() int { return len(n.callers) }
