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

// ServerConfig configures a call server. Work is the processor time at full speed.
type ServerConfig struct {
	Seed           uint64
	Address        netip.AddrPort
	SetUpWork      time.Duration // work of a set-up
	ReleaseWork    time.Duration // work of a release
	RejectWork     time.Duration // work of rejecting a set-up
	RetransmitWork time.Duration // work of each retransmission of a set-up
	MaxWait        time.Duration // a set-up that would wait longer is rejected; 0: no limit
	ColdShare      float64       // share of its capacity right after a cold start
	RampTime       time.Duration // time until it is warm
	TipMultiple    float64       // while cold, more set-ups within OverloadFor than this multiple of its capacity make it collapse
	OverloadFor    time.Duration
	StartCold      bool          // it starts cold
	SendRinging    bool          // it sends a 180 when processing of a set-up begins
	HangUpShare    float64       // share of the calls that the server ends
	MeanHoldTime   time.Duration // mean duration of the calls that the server ends
	BusyShare      float64       // share of the set-ups that are answered 486

	WorkFactor      func() float64 // random factor on each job's work, with a mean of 1; nil: none
	MaxQueue        int            // maximum number of waiting set-ups, more are rejected; 0: no limit
	Thrash          float64        // loss of speed with n > ThrashAt jobs in the queue: divided by 1 + Thrash*(n-ThrashAt)/ThrashAt
	ThrashAt        int
	ReportInterval  time.Duration  // maximum age of the wait reported in responses; 0: always current
	ReportNoise     func() float64 // random factor on the reported wait; nil: none
	SetUpsFirst     bool           // set-ups are processed before releases and rejections
	HideWait        bool           // responses do not report the wait
	OverloadControl bool           // responses carry the oc parameter of RFC 7339 for nodes that support it
	Circuits        int            // number of circuits: limit of standing calls and set-ups in progress, more are rejected; 0: no limit
}

// ServerCounts count the events of a call server.
type ServerCounts struct {
	// Faulted counts set-ups answered 500, Muted those accepted and never answered, Retransmissions retransmitted set-ups,
	// LostAnswers lost responses, Unacked calls without an ACK.
	SetUps, Stood, Rejected, Faulted, Muted, Cancelled, Released, Retransmissions, LostAnswers, Unacked uint64
}

// Add adds o to the counts.
func (c *ServerCounts) Add(o ServerCounts) {
	c.SetUps += o.SetUps
	c.Stood += o.Stood
	c.Rejected += o.Rejected
	c.Faulted += o.Faulted
	c.Muted += o.Muted
	c.Cancelled += o.Cancelled
	c.Released += o.Released
	c.Retransmissions += o.Retransmissions
	c.LostAnswers += o.LostAnswers
	c.Unacked += o.Unacked
}

// CallServer simulates a call server with one processor. It processes set-ups, releases and rejections in order of
// arrival, so that the release of earlier calls delays new set-ups.
type CallServer struct {
	base
	cfg             ServerConfig
	Counts          ServerCounts
	Collapsed       bool // it has collapsed under overload while cold and answers nothing more
	CollapsedAt     time.Duration
	startedAt       time.Duration // start of the process; earlier by the ramp time unless it started cold
	slowdown        float64       // factor on all work; 1: none
	stalledUntil    time.Duration
	answerLoss      float64 // share of the responses that are lost
	isBusy          bool
	setUpsInService int // number of set-ups being processed, 0 or 1
	busyUntil       time.Duration
	queue           []job
	workTimer       timers.Timer
	sessions        map[string]*session
	coldArrivals    []time.Duration // arrival times of set-ups while cold
	heldPackets     []sip.Packet    // packets received during a stall
	stallTimer      timers.Timer
	lastWait        time.Duration // most recent wait of a set-up, expected or measured
	reportedWait    time.Duration // wait reported in responses
	reportedAt      time.Duration // when it was last updated; -1: never
	otherShare      float64       // share of the processor that other work takes
	faultShare      float64       // share of the set-ups that are answered 500
	isMute          bool          // set-ups are accepted and never answered
	control         lossControl
}

// job is an entry of the processor's queue: a set-up, or other work with a function to call when it is done.
type job struct {
	setUp *session
	work  time.Duration
	done  func()
}

// session is a call at a server, from its set-up on.
type session struct {
	tx              *transaction.Server
	invite          *sip.Message // INVITE of the set-up
	tag             string
	receivedAt      time.Duration // arrival of the set-up
	isOver          bool
	answer          *sip.Message  // the 2xx
	interval        time.Duration // interval until its next retransmission
	repeatUntil     time.Duration // when its retransmissions end
	retransmitTimer timers.Timer
	hangUpTimer     timers.Timer
	peerTag         string
	seq             uint32
	work            time.Duration
}

// NewCallServer returns a call server.
func NewCallServer(cfg ServerConfig) *CallServer {
	s := &CallServer{cfg: cfg, slowdown: 1, sessions: map[string]*session{}, reportedAt: -1}
	s.init(cfg.Address, cfg.Seed, s)
	s.dropOutgoing = func(m *sip.Message) bool {
		if s.Collapsed {
			return true
		}
		if s.answerLoss > 0 && !m.IsRequest() && s.id.Rand.Float64() < s.answerLoss {
			s.Counts.LostAnswers++
			return true
		}
		return false
	}
	return s
}

// Start implements actor.Actor.
func (s *CallServer) Start(now time.Duration) {
	s.clock(now)
	s.startedAt = now
	if !s.cfg.StartCold {
		s.startedAt = now - s.cfg.RampTime
	}
}

// SetSlowdown slows the processor down by a factor; 1 restores its speed.
func (s *CallServer) SetSlowdown(factor float64) { s.slowdown = max(factor, 0.01) }

// SetAnswerLoss sets the share of responses that are lost before they reach the socket.
func (s *CallServer) SetAnswerLoss(share float64) { s.answerLoss = share }

// Stall suspends the server until a time: nothing is processed, and packets that arrive are processed at that time.
func (s *CallServer) Stall(until time.Duration) {
	s.stalledUntil = until
	s.heap.Set(&s.stallTimer, until, func() {
		held := s.heldPackets
		s.heldPackets = nil
		for _, p := range held {
			s.base.Receive(s.now, p)
		}
		s.startNext()
	})
}

// Receive implements actor.Actor.
func (s *CallServer) Receive(now time.Duration, p sip.Packet) {
	s.clock(now)
	switch {
	case s.Collapsed:
	case now < s.stalledUntil:
		s.heldPackets = append(s.heldPackets, p)
	default:
		s.base.Receive(now, p)
	}
}

// SetNow sets the clock, so that Speed returns the speed at that time.
func (s *CallServer) SetNow(now time.Duration) { s.clock(now) }

// Speed returns the current speed of the processor for calls, as a share of its capacity.
func (s *CallServer) Speed() float64 {
	speed := s.IdleSpeed()
	if s.cfg.Thrash > 0 && s.cfg.ThrashAt > 0 && len(s.queue) > s.cfg.ThrashAt {
		speed /= 1 + s.cfg.Thrash*float64(len(s.queue)-s.cfg.ThrashAt)/float64(s.cfg.ThrashAt)
	}
	return speed
}

// IdleSpeed returns the speed that the processor would have with an empty queue.
func (s *CallServer) IdleSpeed() float64 {
	if s.now < s.stalledUntil {
		return 0.001
	}
	return s.WarmShare() * (1 - s.otherShare) / s.slowdown
}

// WarmShare returns the share of the capacity that is available after a cold start, by the time since the start.
func (s *CallServer) WarmShare() float64 {
	warm := 1.0
	if s.cfg.RampTime > 0 {
		warm = min(1, float64(s.now-s.startedAt)/float64(s.cfg.RampTime))
	}
	return s.cfg.ColdShare + (1-s.cfg.ColdShare)*warm
}

// QueueLength returns the number of jobs in the queue.
func (s *CallServer) QueueLength() int { return len(s.queue) }

// SetOtherWork sets the share of the processor that other work takes.
func (s *CallServer) SetOtherWork(share float64) { s.otherShare = min(max(share, 0), 0.99) }

// SetFaultShare sets the share of set-ups that are answered 500.
func (s *CallServer) SetFaultShare(share float64) { s.faultShare = share }

// IsMute reports whether set-ups are accepted and never answered.
func (s *CallServer) IsMute() bool { return s.isMute }

// SetMute sets whether set-ups are accepted and never answered. Set-ups accepted while it was on stay unanswered.
func (s *CallServer) SetMute(on bool) { s.isMute = on }

// ExpectedWait returns the time that a set-up arriving now would wait.
func (s *CallServer) ExpectedWait() time.Duration {
	var sum time.Duration
	for i := range s.queue {
		if s.cfg.SetUpsFirst && s.queue[i].setUp == nil {
			break // set-ups go before releases and rejections
		}
		sum += s.queue[i].work
	}
	wait := time.Duration(float64(sum) / s.Speed())
	if s.isBusy {
		wait += max(0, s.busyUntil-s.now)
	}
	return wait
}

// Capacity returns the number of calls per second that a warm server can set up and release.
func (c ServerConfig) Capacity() float64 {
	return float64(time.Second) / float64(c.SetUpWork+c.ReleaseWork)
}

// recordColdArrival records a set-up at a cold server and makes the server collapse if more set-ups than TipMultiple times
// its current capacity arrived within OverloadFor.
func (s *CallServer) recordColdArrival() {
	if s.cfg.TipMultiple <= 0 || s.now-s.startedAt >= s.cfg.RampTime {
		return
	}
	s.coldArrivals = append(s.coldArrivals, s.now)
	from := s.now - s.cfg.OverloadFor
	n := 0
	for _, at := range s.coldArrivals {
		if at > from {
			n++
		}
	}
	budget := s.cfg.TipMultiple * s.WarmShare() * s.cfg.Capacity() * s.cfg.OverloadFor.Seconds()
	if float64(n) > budget+4 {
		s.Collapsed, s.CollapsedAt = true, s.now
	}
}

// Request implements transaction.User.
func (s *CallServer) Request(t *transaction.Server, m *sip.Message, from sip.Peer) {
	switch m.Method {
	case sip.ACK:
		if sess := s.sessions[m.Tag("To")]; sess != nil && sess.answer != nil {
			s.heap.Stop(&sess.retransmitTimer)
			sess.answer.Body = nil
		}
	case sip.INVITE:
		if m.Tag("To") != "" {
			s.reinvite(t, m)
		} else {
			s.setUpRequest(t, m)
		}
	case sip.CANCEL:
		t.Respond(sip.NewResponse(m, 200, "", s.id.NewToken()))
		if i := s.layer.MatchCancel(m); i != nil {
			if sess, ok := i.UserData.(*session); ok && !sess.isOver && sess.answer == nil {
				s.Counts.Cancelled++
				sess.isOver = true
				s.dequeue(sess)
				sess.tx.Respond(s.response(sess.invite, 487, sess.tag))
			}
		}
	case sip.BYE:
		s.bye(t, m)
	case sip.OPTIONS:
		t.Respond(s.response(m, 200, s.id.NewToken()))
	default:
		if sess := s.sessions[m.Tag("To")]; sess != nil {
			r := s.response(m, 200, "")
			r.Body = m.Body
			t.Respond(r)
			return
		}
		t.Respond(s.response(m, 481, s.id.NewToken()))
	}
}

// response returns a response with the overload parameters that the server reports.
func (s *CallServer) response(req *sip.Message, status int, tag string) *sip.Message {
	r := sip.NewResponse(req, status, "", tag)
	if !s.cfg.HideWait {
		r.Add(sip.LatencyHeader, strconv.FormatFloat(float64(s.waitToReport())/1e6, 'f', 1, 64))
	}
	if s.cfg.OverloadControl {
		s.control.addParams(s, r)
	}
	return r
}

// waitToReport returns the wait to report in a response, updated at most every ReportInterval.
func (s *CallServer) waitToReport() time.Duration {
	if s.cfg.ReportInterval <= 0 && s.cfg.ReportNoise == nil {
		return s.lastWait
	}
	if s.reportedAt < 0 || s.now-s.reportedAt >= s.cfg.ReportInterval {
		s.reportedWait, s.reportedAt = s.lastWait, s.now
		if s.cfg.ReportNoise != nil {
			s.reportedWait = time.Duration(float64(s.reportedWait) * max(0, s.cfg.ReportNoise()))
		}
	}
	return s.reportedWait
}

// setUpRequest processes a new INVITE.
func (s *CallServer) setUpRequest(t *transaction.Server, m *sip.Message) {
	s.Counts.SetUps++
	s.recordColdArrival()
	wait := s.ExpectedWait()
	s.lastWait = wait
	if s.faultShare > 0 && s.id.Rand.Float64() < s.faultShare {
		s.Counts.Faulted++
		s.enqueue(job{work: s.cfg.RejectWork, done: func() {}})
		t.Respond(s.response(m, 500, s.id.NewToken()))
		return
	}
	if s.cfg.Circuits > 0 && len(s.sessions)+s.queuedSetUps()+s.setUpsInService >= s.cfg.Circuits {
		s.Counts.Rejected++
		s.enqueue(job{work: s.cfg.RejectWork, done: func() {}})
		r := s.response(m, 503, s.id.NewToken())
		r.Add("Reason", "Q.850;cause=34;text=\"no circuit available\"")
		t.Respond(r)
		return
	}
	if s.cfg.MaxWait > 0 && wait > s.cfg.MaxWait || s.cfg.MaxQueue > 0 && s.queuedSetUps() >= s.cfg.MaxQueue {
		s.Counts.Rejected++
		s.enqueue(job{work: s.cfg.RejectWork, done: func() {}})
		r := s.response(m, 503, s.id.NewToken())
		r.Add("Retry-After", strconv.Itoa(int(wait/time.Second)+1))
		t.Respond(r)
		return
	}
	seq, _, _ := m.CSeq()
	sess := &session{tx: t, invite: m, tag: s.id.NewToken(), receivedAt: s.now, peerTag: m.Tag("From"), seq: seq, work: s.cfg.SetUpWork}
	t.UserData = sess
	t.Respond(s.response(m, 100, ""))
	if s.isMute {
		s.Counts.Muted++
		return
	}
	s.enqueue(job{setUp: sess, work: sess.work})
}

// enqueue adds a job to the queue.
func (s *CallServer) enqueue(j job) {
	if s.cfg.WorkFactor != nil {
		j.work = time.Duration(float64(j.work) * s.cfg.WorkFactor())
	}
	if j.setUp != nil && s.cfg.SetUpsFirst {
		i := 0
		for i < len(s.queue) && s.queue[i].setUp != nil {
			i++
		}
		s.queue = slices.Insert(s.queue, i, j)
	} else {
		s.queue = append(s.queue, j)
	}
	s.startNext()
}

// queuedSetUps returns the number of set-ups in the queue.
func (s *CallServer) queuedSetUps() (n int) {
	for i := range s.queue {
		if s.queue[i].setUp != nil {
			n++
		}
	}
	return n
}

// reinvite answers a re-INVITE without changing the session.
func (s *CallServer) reinvite(t *transaction.Server, m *sip.Message) {
	sess := s.sessions[m.Tag("To")]
	if sess == nil {
		t.Respond(s.response(m, 481, ""))
		return
	}
	r := s.response(m, 200, "")
	r.Add("Contact", s.id.Contact(t.From.Transport))
	r.Body = m.Body
	if len(r.Body) > 0 {
		r.Add("Content-Type", "application/sdp")
	}
	sess.answer, sess.tx = r, t
	t.Respond(r)
	s.retransmit(sess)
}

// dequeue removes a set-up from the queue.
func (s *CallServer) dequeue(sess *session) {
	for i := range s.queue {
		if s.queue[i].setUp == sess {
			s.queue = slices.Delete(s.queue, i, i+1)
			return
		}
	}
}

// startNext starts the next job in the queue if the processor is idle.
func (s *CallServer) startNext() {
	if s.isBusy || s.Collapsed || s.now < s.stalledUntil {
		return
	}
	if len(s.queue) == 0 {
		return
	}
	work, done := s.queue[0].work, s.queue[0].done
	sess := s.queue[0].setUp
	s.queue = slices.Delete(s.queue, 0, 1)
	if sess != nil {
		if n := sess.tx.RetransmitsReceived; n > 0 && s.cfg.RetransmitWork > 0 {
			s.Counts.Retransmissions += uint64(n)
			work += time.Duration(n) * s.cfg.RetransmitWork
		}
		if s.cfg.SendRinging {
			r := s.response(sess.invite, 180, sess.tag)
			r.Add("Contact", s.id.Contact(sess.tx.From.Transport))
			sess.tx.Respond(r)
		}
		s.setUpsInService = 1
		done = func() { s.setUpsInService = 0; s.answer(sess) }
	}
	s.isBusy = true
	s.busyUntil = s.now + time.Duration(float64(work)/s.Speed())
	s.heap.Set(&s.workTimer, s.busyUntil, func() {
		if s.now < s.stalledUntil {
			s.heap.Set(&s.workTimer, s.stalledUntil, func() { s.isBusy = false; done(); s.startNext() })
			return
		}
		s.isBusy = false
		done()
		s.startNext()
	})
}

// answer answers a set-up that has been processed.
func (s *CallServer) answer(sess *session) {
	if sess.isOver {
		return
	}
	s.lastWait = s.now - sess.receivedAt
	if s.cfg.BusyShare > 0 && s.id.Rand.Float64() < s.cfg.BusyShare {
		sess.isOver = true
		sess.tx.Respond(s.response(sess.invite, 486, sess.tag))
		return
	}
	s.Counts.Stood++
	r := s.response(sess.invite, 200, sess.tag)
	r.Add("Contact", s.id.Contact(sess.tx.From.Transport))
	if len(sess.invite.Body) > 0 {
		r.Add("Content-Type", "application/sdp")
		r.Body = sess.invite.Body
	}
	s.sessions[sess.tag] = sess
	sess.answer = r
	sess.tx.Respond(r)
	s.retransmit(sess)
	if s.cfg.HangUpShare > 0 && s.id.Rand.Float64() < s.cfg.HangUpShare {
		s.heap.Set(&sess.hangUpTimer, s.now+time.Duration(s.id.Rand.ExpFloat64()*float64(s.cfg.MeanHoldTime)), func() { s.hangUp(sess, "") })
	}
}

// retransmit repeats the 2xx until its ACK arrives.
func (s *CallServer) retransmit(sess *session) {
	sess.interval, sess.repeatUntil = s.layer.Times.T1, s.now+64*s.layer.Times.T1
	var sendAgain func()
	sendAgain = func() {
		if s.now >= sess.repeatUntil || sess.isOver {
			s.Counts.Unacked++
			s.end(sess)
			return
		}
		sess.interval = min(2*sess.interval, s.layer.Times.T2)
		sess.tx.Respond(sess.answer)
		s.heap.Set(&sess.retransmitTimer, s.now+sess.interval, sendAgain)
	}
	s.heap.Set(&sess.retransmitTimer, s.now+sess.interval, sendAgain)
}

// end removes a session.
func (s *CallServer) end(sess *session) {
	sess.isOver = true
	s.heap.Stop(&sess.retransmitTimer)
	s.heap.Stop(&sess.hangUpTimer)
	delete(s.sessions, sess.tag)
}

// bye processes a BYE.
func (s *CallServer) bye(t *transaction.Server, m *sip.Message) {
	sess := s.sessions[m.Tag("To")]
	if sess == nil || sess.peerTag != m.Tag("From") {
		t.Respond(s.response(m, 481, ""))
		return
	}
	s.end(sess)
	s.enqueue(job{work: s.cfg.ReleaseWork, done: func() {
		s.Counts.Released++
		t.Respond(s.response(m, 200, ""))
	}})
}

// hangUp ends a standing call with a BYE from the server, with the Reason if it is not empty.
func (s *CallServer) hangUp(sess *session, reason string) {
	if sess.isOver {
		return
	}
	target := "sip:" + sip.HostPort(sess.tx.From.Addr)
	if a, err := sip.ParseAddress(sess.invite.Get("Contact")); err == nil {
		target = a.URI.String()
	}
	from := sess.invite.Get("To") + ";tag=" + sess.tag
	b := sip.NewRequest(sip.BYE, target, from, sess.invite.Get("From"), sess.invite.Get("Call-ID"), 1, 70)
	b.Add("Session-ID", sess.invite.Get("Session-ID"))
	if reason != "" {
		b.Add("Reason", reason)
	}
	b.Prepend("Via", s.id.NewVia(sess.tx.From.Transport))
	s.layer.Start(b, sess.tx.From, nil)
	s.end(sess)
}

// StandingCalls returns the number of standing calls.
func (s *CallServer) StandingCalls() int { return len(s.sessions) }

// EndAllCalls ends all standing calls, as a drained server does when it stops.
func (s *CallServer) EndAllCalls() { s.EndShare(1) }

// EndShare ends each standing call with the given probability.
func (s *CallServer) EndShare(share float64) {
	var standing []*session
	for _, sess := range s.sessions {
		standing = append(standing, sess)
	}
	slices.SortFunc(standing, func(a, b *session) int { return strings.Compare(a.tag, b.tag) })
	for _, sess := range standing {
		if share >= 1 || s.id.Rand.Float64() < share {
			s.hangUp(sess, "SIP;cause=503;text=\"stopping\"")
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
