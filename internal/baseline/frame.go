package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"larkrouter"
)

// early is how long before a try's deadline the frame answers it.
const early = 40 * time.Millisecond

// server is a call server as a policy sees it.
type server struct {
	larkrouter.ServerInfo
	out   int           // set-ups without an answer
	delay float64       // seconds, smoothed
	rate  float64       // token gate: set-ups a second
	room  float64       // tokens
	at    time.Duration // of the last look at the tokens
	cutAt time.Duration // of the last cut of rate or window
	loss  lossTold
}

// call is a call that is owed an answer, or stands.
type call struct {
	larkrouter.Call
	until    time.Duration // its try's deadline
	came     time.Duration
	attempts int
	to       *server // of the attempt out; nil: none
	sent     time.Duration
	standing bool
	waits    bool // for the release guard, or held
}

// policy is what differs.
type policy interface {
	// choose is the server for a call's next attempt, or nil: then hold is how long the call waits before it is chosen for
	// again, or 0 to refuse it.
	choose(f *frame, c *call) (s *server, hold time.Duration)
	// sent, stood and failed tell how attempts go.
	sent(f *frame, s *server)
	stood(f *frame, s *server, elapsed time.Duration)
	failed(f *frame, s *server, o larkrouter.Outcome)
}

// frame is a decider around a policy.
type frame struct {
	set   larkrouter.Settings
	rng   *rand.Rand
	now   time.Duration
	nodes float64
	by    map[uint32]*server
	all   []*server // by id
	calls map[uint64]*call
	acts  []larkrouter.Action
	p     policy
	asked bool // for the list
	once  bool // a call has one attempt
}

func newFrame(s larkrouter.Settings, seed uint64, p policy) *frame {
	return &frame{set: s, rng: rand.New(rand.NewPCG(seed, 0x62617365)), nodes: max(1, float64(s.Instances)), by: map[uint32]*server{},
		calls: map[uint64]*call{}, p: p}
}

// Handle implements the node's Decider.
func (f *frame) Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action {
	f.now, f.acts = now, f.acts[:0]
	if !f.asked {
		f.asked = true
		f.act(larkrouter.Subscribe{On: true})
	}
	switch ev := ev.(type) {
	case larkrouter.ServerList:
		f.list(ev)
	case larkrouter.FleetSize:
		f.nodes = max(1, ev.Nodes)
	case larkrouter.Reconfigured:
		f.set = ev.Settings
	case larkrouter.Call:
		c := &call{Call: ev, until: now + ev.Left, came: now}
		f.calls[ev.ID] = c
		f.act(larkrouter.Wake{Cookie: 2 * ev.ID, After: max(0, ev.Left-early)})
		f.try(c)
	case larkrouter.Standing:
		if c := f.calls[ev.Call]; c != nil && c.to != nil && !c.standing {
			c.standing = true
			c.to.out--
			f.p.stood(f, c.to, now-c.sent)
		}
	case larkrouter.AttemptOver:
		f.over(ev)
	case larkrouter.CallGone:
		if c := f.calls[ev.Call]; c != nil {
			f.callOff(c)
			delete(f.calls, ev.Call)
		}
	case larkrouter.Timer:
		f.timer(ev.Cookie)
	}
	return f.acts
}

func (f *frame) act(a larkrouter.Action) { f.acts = append(f.acts, a) }

func (f *frame) list(ev larkrouter.ServerList) {
	if ev.Kind == larkrouter.ListFailed {
		return
	}
	if ev.Kind == larkrouter.ListFull {
		for _, s := range f.all {
			s.Phase = larkrouter.Gone
		}
	}
	for _, in := range ev.Servers {
		s := f.by[in.ID]
		if s == nil {
			s = &server{ServerInfo: in, at: f.now}
			f.by[in.ID] = s
			f.all = append(f.all, s)
		}
		s.ServerInfo = in
	}
	slices.SortFunc(f.all, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// ready are the servers that take new calls.
func (f *frame) ready() []*server {
	var r []*server
	for _, s := range f.all {
		if s.Phase == larkrouter.Ready {
			r = append(r, s)
		}
	}
	return r
}

func (f *frame) try(c *call) {
	if f.now >= c.until-early || f.set.MaxAttempts > 0 && c.attempts >= f.set.MaxAttempts || f.once && c.attempts > 0 {
		f.refuse(c)
		return
	}
	s, hold := f.p.choose(f, c)
	if s == nil && hold > 0 {
		c.waits = true
		f.act(larkrouter.Wake{Cookie: 2*c.ID + 1, After: hold})
		return
	}
	if s == nil {
		f.refuse(c)
		return
	}
	c.to, c.sent = s, f.now
	s.out++
	f.p.sent(f, s)
	limit := c.until - f.now
	if f.once { // one attempt, for as long as its caller waits
		limit -= early
	} else {
		limit = min(f.set.Classes[c.Class].Aim, limit)
	}
	f.act(larkrouter.Attempt{Call: c.ID, Server: s.ID, Timeout: limit})
	c.attempts++
}

func (f *frame) refuse(c *call) {
	f.act(larkrouter.Refuse{Call: c.ID})
	delete(f.calls, c.ID)
}

// callOff ends the attempt that is out, if any.
func (f *frame) callOff(c *call) {
	if c.to != nil && !c.standing {
		c.to.out--
		f.act(larkrouter.Cancel{Call: c.ID, Attempt: c.attempts - 1})
	}
}

func (f *frame) over(ev larkrouter.AttemptOver) {
	c := f.calls[ev.Call]
	if c == nil {
		return
	}
	if c.standing || ev.Ended || ev.Outcome == larkrouter.Completed || c.to == nil {
		if c.to != nil && !c.standing {
			c.to.out--
		}
		delete(f.calls, ev.Call)
		return
	}
	s := c.to
	s.out--
	c.to = nil
	f.p.failed(f, s, ev.Outcome)
	switch ev.Outcome {
	case larkrouter.TimedOut, larkrouter.Reset, larkrouter.Cancelled:
		c.waits = true
		f.act(larkrouter.Wake{Cookie: 2*c.ID + 1, After: f.set.ReleaseGuard + 10*time.Millisecond})
	default:
		f.try(c)
	}
}

func (f *frame) timer(cookie uint64) {
	c := f.calls[cookie/2]
	switch {
	case c == nil || c.standing:
	case cookie%2 == 1 && c.waits:
		c.waits = false
		f.try(c)
	case cookie%2 == 0:
		f.callOff(c)
		f.refuse(c)
	}
}
