package standin

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// ServerConfig describes a call server. Work is the time that its processor takes at full speed.
type ServerConfig struct {
	Seed        uint64
	Address     netip.AddrPort
	SetUp       time.Duration // work of a set-up
	Release     time.Duration // work of a release
	Refusal     time.Duration // work of turning a set-up away
	Repeat      time.Duration // work of a repeated set-up
	MaxWait     time.Duration // a set-up that would wait longer is turned away
	ColdShare   float64       // share of its capacity just after a start
	RampTime    time.Duration // until it is warm
	TipMultiple float64       // more than this multiple of what it can do, for OverloadFor, brings it down
	OverloadFor time.Duration
	Cold        bool          // it starts cold
	Ring        bool          // a 180 goes out when the set-up is taken up
	HangUp      float64       // share of the calls that the server ends
	Hold        time.Duration // and after which time, on average
	Busy        float64       // share of the set-ups that are answered 486

	Vary        func() float64 // factor on each piece of work, with a mean of 1; nil: none
	Queue       int            // more set-ups waiting than this are turned away; 0: no limit
	Thrash      float64        // share of the speed that is lost for each ThrashAt jobs in the line
	ThrashAt    int
	ReportEvery time.Duration  // the wait that answers tell is so old at the most; 0: as it is
	ReportNoise func() float64 // factor on it; nil: none
	SetUpsFirst bool           // set-ups are taken before releases
	Silent      bool           // answers tell no wait
	Control     bool           // answers carry RFC 7339's oc for nodes that ask for it
	Lines       int            // calls that can stand or be on their way at once; one more is turned away; 0: no limit
}

// ServerCounts are what a call server saw.
type ServerCounts struct {
	SetUps, Stood, TurnedAway, Faulted, Muted, Cancelled, Released, Repeats, Lost, Unacked uint64
}

// Add sums up.
func (c *ServerCounts) Add(o ServerCounts) {
	c.SetUps += o.SetUps
	c.Stood += o.Stood
	c.TurnedAway += o.TurnedAway
	c.Faulted += o.Faulted
	c.Muted += o.Muted
	c.Cancelled += o.Cancelled
	c.Released += o.Released
	c.Repeats += o.Repeats
	c.Lost += o.Lost
	c.Unacked += o.Unacked
}

// CallServer is a call server with one processor that serves all work in order of arrival: set-ups, releases and
// refusals alike, so that what it once let stand presses on what comes.
type CallServer struct {
	base
	cfg      ServerConfig
	Count    ServerCounts
	Over     bool // it has been pushed over and answers nothing more
	OverAt   time.Duration
	started  time.Duration
	slow     float64
	stallTo  time.Duration
	loss     float64 // share of responses that are lost
	busy     bool
	doing    int // set-ups that the processor is at: 1 or none
	busyTo   time.Duration
	line     []job
	work     timers.Timer
	byTag    map[string]*session
	arrivals []time.Duration // of set-ups while cold
	held     []sip.Packet    // unread in a stall
	wake     timers.Timer
	lastWait time.Duration
	told     time.Duration // wait that answers tell
	toldAt   time.Duration // and since when; -1: never yet
	other    float64       // share of the processor that other work takes
	faults   float64       // share of the set-ups that are answered 500
	mute     bool          // set-ups are taken up and never answered
	control  lossControl
}

// job is a piece of work in the line: a set-up, or what is done at its end.
type job struct {
	setUp *session
	work  time.Duration
	done  func()
}

type session struct {
	tx      *transaction.Server
	req     *sip.Message
	tag     string
	taken   time.Duration
	over    bool
	ok      *sip.Message
	gap     time.Duration
	until   time.Duration
	repeat  timers.Timer
	hang    timers.Timer
	peerTag string
	seq     uint32
	cost    time.Duration
}

// NewServer makes a call server.
func NewServer(cfg ServerConfig) *CallServer {
	s := &CallServer{cfg: cfg, slow: 1, byTag: map[string]*session{}, toldAt: -1}
	s.init(cfg.Address, cfg.Seed, s)
	s.lose = func(m *sip.Message) bool {
		if s.Over {
			return true
		}
		if s.loss > 0 && !m.IsRequest() && s.id.Rand.Float64() < s.loss {
			s.Count.Lost++
			return true
		}
		return false
	}
	return s
}

// Start implements actor.Actor.
func (s *CallServer) Start(now time.Duration) {
	s.clock(now)
	s.started = now
	if !s.cfg.Cold {
		s.started = now - s.cfg.RampTime
	}
}

// Slow makes the processor slower by a factor; 1 ends that.
func (s *CallServer) Slow(factor float64) { s.slow = max(factor, 0.01) }

// LoseAnswers lets a share of all responses get lost before they reach the socket.
func (s *CallServer) LoseAnswers(share float64) { s.loss = share }

// Stall lets the server stand still until a time: it reads nothing and does nothing.
func (s *CallServer) Stall(until time.Duration) {
	s.stallTo = until
	s.heap.Set(&s.wake, until, func() {
		held := s.held
		s.held = nil
		for _, p := range held {
			s.base.Receive(s.now, p)
		}
		s.run()
	})
}

// Receive implements actor.Actor.
func (s *CallServer) Receive(now time.Duration, p sip.Packet) {
	s.clock(now)
	switch {
	case s.Over:
	case now < s.stallTo:
		s.held = append(s.held, p)
	default:
		s.base.Receive(now, p)
	}
}

// At lets the clock run up to now, so that Speed tells of it.
func (s *CallServer) At(now time.Duration) { s.clock(now) }

// Speed is what the processor does now for calls, as a share of its capacity.
func (s *CallServer) Speed() float64 {
	speed := s.Unpressed()
	if s.cfg.Thrash > 0 && s.cfg.ThrashAt > 0 && len(s.line) > s.cfg.ThrashAt {
		speed /= 1 + s.cfg.Thrash*float64(len(s.line)-s.cfg.ThrashAt)/float64(s.cfg.ThrashAt)
	}
	return speed
}

// Unpressed is what the processor would do with nothing in its line.
func (s *CallServer) Unpressed() float64 {
	if s.now < s.stallTo {
		return 0.001
	}
	return s.Warmth() * (1 - s.other) / s.slow
}

// Warmth is what its age leaves of its capacity.
func (s *CallServer) Warmth() float64 {
	warm := 1.0
	if s.cfg.RampTime > 0 {
		warm = min(1, float64(s.now-s.started)/float64(s.cfg.RampTime))
	}
	return s.cfg.ColdShare + (1-s.cfg.ColdShare)*warm
}

// Line is how many pieces of work wait.
func (s *CallServer) Line() int { return len(s.line) }

// Other lets other work take a share of the processor; 0 ends that.
func (s *CallServer) Other(share float64) { s.other = min(max(share, 0), 0.99) }

// Fault lets a share of the set-ups be answered 500; 0 ends that.
func (s *CallServer) Fault(share float64) { s.faults = share }

// IsMute says whether set-ups are taken up and not answered.
func (s *CallServer) IsMute() bool { return s.mute }

// Mute lets set-ups be taken up and never answered; false ends that, and what was taken up meanwhile stays so.
func (s *CallServer) Mute(on bool) { s.mute = on }

// Wait is how long a set-up that comes now will wait.
func (s *CallServer) Wait() time.Duration {
	var sum time.Duration
	for i := range s.line {
		if s.cfg.SetUpsFirst && s.line[i].setUp == nil {
			break // releases and refusals wait behind it
		}
		sum += s.line[i].work
	}
	wait := time.Duration(float64(sum) / s.Speed())
	if s.busy {
		wait += max(0, s.busyTo-s.now)
	}
	return wait
}

// Capacity is the set-ups a second that a warm server of this configuration can take, releases included.
func (c ServerConfig) Capacity() float64 {
	return float64(time.Second) / float64(c.SetUp+c.Release)
}

// pushed notes a set-up that came, and whether the cold processor falls over by it: more than the multiple of what it
// can do came within the time.
func (s *CallServer) pushed() {
	if s.cfg.TipMultiple <= 0 || s.now-s.started >= s.cfg.RampTime {
		return
	}
	s.arrivals = append(s.arrivals, s.now)
	from := s.now - s.cfg.OverloadFor
	n := 0
	for _, at := range s.arrivals {
		if at > from {
			n++
		}
	}
	budget := s.cfg.TipMultiple * s.Warmth() * s.cfg.Capacity() * s.cfg.OverloadFor.Seconds()
	if float64(n) > budget+4 {
		s.Over, s.OverAt = true, s.now
	}
}

// Request implements transaction.User.
func (s *CallServer) Request(t *transaction.Server, m *sip.Message, from sip.Peer) {
	switch m.Method {
	case sip.ACK:
		if c := s.byTag[m.Tag("To")]; c != nil && c.ok != nil {
			s.heap.Stop(&c.repeat)
			c.ok.Body = nil
		}
	case sip.INVITE:
		if m.Tag("To") != "" {
			s.again(t, m)
		} else {
			s.invite(t, m)
		}
	case sip.CANCEL:
		t.Respond(sip.NewResponse(m, 200, "", s.id.Token()))
		if i := s.layer.Matching(m); i != nil {
			if c, ok := i.User.(*session); ok && !c.over && c.ok == nil {
				s.Count.Cancelled++
				c.over = true
				s.drop(c)
				c.tx.Respond(s.response(c.req, 487, c.tag))
			}
		}
	case sip.BYE:
		s.bye(t, m)
	case sip.OPTIONS:
		t.Respond(s.response(m, 200, s.id.Token()))
	default:
		if c := s.byTag[m.Tag("To")]; c != nil {
			r := s.response(m, 200, "")
			r.Body = m.Body
			t.Respond(r)
			return
		}
		t.Respond(s.response(m, 481, s.id.Token()))
	}
}

func (s *CallServer) response(req *sip.Message, status int, tag string) *sip.Message {
	r := sip.NewResponse(req, status, "", tag)
	if !s.cfg.Silent {
		r.Add(sip.LatencyHeader, strconv.FormatFloat(float64(s.tell())/1e6, 'f', 1, 64))
	}
	if s.cfg.Control {
		s.control.mark(s, r)
	}
	return r
}

// tell is the wait that an answer tells: fresh, or as it was when it was last looked at.
func (s *CallServer) tell() time.Duration {
	if s.cfg.ReportEvery <= 0 && s.cfg.ReportNoise == nil {
		return s.lastWait
	}
	if s.toldAt < 0 || s.now-s.toldAt >= s.cfg.ReportEvery {
		s.told, s.toldAt = s.lastWait, s.now
		if s.cfg.ReportNoise != nil {
			s.told = time.Duration(float64(s.told) * max(0, s.cfg.ReportNoise()))
		}
	}
	return s.told
}

func (s *CallServer) invite(t *transaction.Server, m *sip.Message) {
	s.Count.SetUps++
	s.pushed()
	wait := s.Wait()
	s.lastWait = wait
	if s.faults > 0 && s.id.Rand.Float64() < s.faults {
		s.Count.Faulted++
		s.push(job{work: s.cfg.Refusal, done: func() {}})
		t.Respond(s.response(m, 500, s.id.Token()))
		return
	}
	if s.cfg.Lines > 0 && len(s.byTag)+s.setUps()+s.doing >= s.cfg.Lines {
		s.Count.TurnedAway++
		s.push(job{work: s.cfg.Refusal, done: func() {}})
		r := s.response(m, 503, s.id.Token())
		r.Add("Reason", "Q.850;cause=34;text=\"no circuit available\"")
		t.Respond(r)
		return
	}
	if s.cfg.MaxWait > 0 && wait > s.cfg.MaxWait || s.cfg.Queue > 0 && s.setUps() >= s.cfg.Queue {
		s.Count.TurnedAway++
		s.push(job{work: s.cfg.Refusal, done: func() {}})
		r := s.response(m, 503, s.id.Token())
		r.Add("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
		t.Respond(r)
		return
	}
	seq, _, _ := m.CSeq()
	c := &session{tx: t, req: m, tag: s.id.Token(), taken: s.now, peerTag: m.Tag("From"), seq: seq, cost: s.cfg.SetUp}
	t.User = c
	t.Respond(s.response(m, 100, ""))
	if s.mute {
		s.Count.Muted++
		return
	}
	s.push(job{setUp: c, work: c.cost})
}

// push puts work into the line.
func (s *CallServer) push(j job) {
	if s.cfg.Vary != nil {
		j.work = time.Duration(float64(j.work) * s.cfg.Vary())
	}
	if j.setUp != nil && s.cfg.SetUpsFirst {
		i := 0
		for i < len(s.line) && s.line[i].setUp != nil {
			i++
		}
		s.line = slices.Insert(s.line, i, j)
	} else {
		s.line = append(s.line, j)
	}
	s.run()
}

// setUps is how many set-ups wait.
func (s *CallServer) setUps() (n int) {
	for i := range s.line {
		if s.line[i].setUp != nil {
			n++
		}
	}
	return n
}

// again answers a re-INVITE: the session is as it was.
func (s *CallServer) again(t *transaction.Server, m *sip.Message) {
	c := s.byTag[m.Tag("To")]
	if c == nil {
		t.Respond(s.response(m, 481, ""))
		return
	}
	r := s.response(m, 200, "")
	r.Add("Contact", s.id.Contact(t.From.Transport))
	r.Body = m.Body
	if len(r.Body) > 0 {
		r.Add("Content-Type", "application/sdp")
	}
	c.ok, c.tx = r, t
	t.Respond(r)
	s.guard(c)
}

func (s *CallServer) drop(c *session) {
	for i := range s.line {
		if s.line[i].setUp == c {
			s.line = slices.Delete(s.line, i, i+1)
			return
		}
	}
}

// run gives the processor its next work.
func (s *CallServer) run() {
	if s.busy || s.Over || s.now < s.stallTo {
		return
	}
	if len(s.line) == 0 {
		return
	}
	work, done := s.line[0].work, s.line[0].done
	c := s.line[0].setUp
	s.line = slices.Delete(s.line, 0, 1)
	if c != nil {
		if n := c.tx.Repeats; n > 0 && s.cfg.Repeat > 0 {
			s.Count.Repeats += uint64(n)
			work += time.Duration(n) * s.cfg.Repeat
		}
		if s.cfg.Ring {
			r := s.response(c.req, 180, c.tag)
			r.Add("Contact", s.id.Contact(c.tx.From.Transport))
			c.tx.Respond(r)
		}
		s.doing = 1
		done = func() { s.doing = 0; s.stood(c) }
	}
	s.busy = true
	s.busyTo = s.now + time.Duration(float64(work)/s.Speed())
	s.heap.Set(&s.work, s.busyTo, func() {
		if s.now < s.stallTo {
			s.heap.Set(&s.work, s.stallTo, func() { s.busy = false; done(); s.run() })
			return
		}
		s.busy = false
		done()
		s.run()
	})
}

func (s *CallServer) stood(c *session) {
	if c.over {
		return
	}
	s.lastWait = s.now - c.taken
	if s.cfg.Busy > 0 && s.id.Rand.Float64() < s.cfg.Busy {
		c.over = true
		c.tx.Respond(s.response(c.req, 486, c.tag))
		return
	}
	s.Count.Stood++
	r := s.response(c.req, 200, c.tag)
	r.Add("Contact", s.id.Contact(c.tx.From.Transport))
	if len(c.req.Body) > 0 {
		r.Add("Content-Type", "application/sdp")
		r.Body = c.req.Body
	}
	s.byTag[c.tag] = c
	c.ok = r
	c.tx.Respond(r)
	s.guard(c)
	if s.cfg.HangUp > 0 && s.id.Rand.Float64() < s.cfg.HangUp {
		s.heap.Set(&c.hang, s.now+time.Duration(s.id.Rand.ExpFloat64()*float64(s.cfg.Hold)), func() { s.hangUp(c, "") })
	}
}

// guard repeats the 2xx until its ACK comes.
func (s *CallServer) guard(c *session) {
	c.gap, c.until = s.layer.Times.T1, s.now+64*s.layer.Times.T1
	var again func()
	again = func() {
		if s.now >= c.until || c.over {
			s.Count.Unacked++
			s.end(c)
			return
		}
		c.gap = min(2*c.gap, s.layer.Times.T2)
		c.tx.Respond(c.ok)
		s.heap.Set(&c.repeat, s.now+c.gap, again)
	}
	s.heap.Set(&c.repeat, s.now+c.gap, again)
}

func (s *CallServer) end(c *session) {
	c.over = true
	s.heap.Stop(&c.repeat)
	s.heap.Stop(&c.hang)
	delete(s.byTag, c.tag)
}

func (s *CallServer) bye(t *transaction.Server, m *sip.Message) {
	c := s.byTag[m.Tag("To")]
	if c == nil || c.peerTag != m.Tag("From") {
		t.Respond(s.response(m, 481, ""))
		return
	}
	s.end(c)
	s.push(job{work: s.cfg.Release, done: func() {
		s.Count.Released++
		t.Respond(s.response(m, 200, ""))
	}})
}

// hangUp ends a standing call from the server's side.
func (s *CallServer) hangUp(c *session, reason string) {
	if c.over {
		return
	}
	target := "sip:" + sip.HostPort(c.tx.From.Addr)
	if a, err := sip.ParseAddress(c.req.Get("Contact")); err == nil {
		target = a.URI.String()
	}
	from := c.req.Get("To") + ";tag=" + c.tag
	b := sip.NewRequest(sip.BYE, target, from, c.req.Get("From"), c.req.Get("Call-ID"), 1, 70)
	b.Add("Session-ID", c.req.Get("Session-ID"))
	if reason != "" {
		b.Add("Reason", reason)
	}
	b.Push("Via", s.id.Via(c.tx.From.Transport))
	s.layer.Start(b, c.tx.From, nil)
	s.end(c)
}

// Standing is how many calls stand there.
func (s *CallServer) Standing() int { return len(s.byTag) }

// CutAll ends all standing calls, as a drained server does when it stops.
func (s *CallServer) CutAll() { s.Cut(1) }

// Cut ends a share of the standing calls.
func (s *CallServer) Cut(share float64) {
	var all []*session
	for _, c := range s.byTag {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *session) int { return strings.Compare(a.tag, b.tag) })
	for _, c := range all {
		if share >= 1 || s.id.Rand.Float64() < share {
			s.hangUp(c, "SIP;cause=503;text=\"stopping\"")
		}
	}
}

// Response implements transaction.User.
func (s *CallServer) Response(*transaction.Client, *sip.Message) {}

// Stray implements transaction.User.
func (s *CallServer) Stray(*sip.Message, sip.Peer) {}

// TimedOut implements transaction.User.
func (s *CallServer) TimedOut(*transaction.Client, error) {}

// Unacked implements transaction.User.
func (s *CallServer) Unacked(*transaction.Server, error) {}
