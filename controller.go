// Package larkrouter decides, for one access node, where a call is set up, when, and whether at all.
// Its events, actions and settings are in api.go; every decision is in this file.
//
// The ordinary path of a call is that of Abacus Filters (docs/design.md): route, gate, borrow, or
// refuse at once. All else is a guard around that path and says what it guards against.
package larkrouter

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The filter. Times are parts of the shortest aim, since that is the time in which a hold must pay.
const (
	slotsPerAim = 12  // slots (T0) in an aim: the first two offsets, 3 and 9 slots, fall inside it
	firstOffset = 3   // the paper's first offset, in slots
	chainLength = 3   // N: offsets 3, 9 and 21; the third lies in the try's deadline but past the aim
	ringSlots   = 22  // S: one more than the last offset of the longest chain
	growth      = 0.1 // a gate within aim grows a tenth in a paper slot
	paperSlot   = time.Second
	answerSlots = 24              // answered set-ups are counted over two aims: few come in a second
	steadyRate  = 6 * time.Second // memory of the longer answered rate
	steadyPart  = 0.4             // and its part: the short count alone is chance at a few a second
	priorCount  = 4.0             // answers that the mean of all servers counts for beside the own ones
	refTime     = 60 * time.Second
	burstAims   = 0.3
	minDepth    = 1.5 // W at the least: a token, and half a one saved
	minGrowth   = 7.0 // and at least by so many set-ups a second, all nodes together, one at a node at most
	minPerSlot  = 1.0 // "at least one" in a paper slot, a second, for all nodes together
)

// Pressure: when a server counts as past the hold aim.
const (
	aimShare        = 1.0 / 3 // part of the shortest aim that a set-up may wait at a server
	retransmitShare = 0.75    // and of the time after which its repeats add work
	latencyGain     = 0.5     // of each answer in the smoothed answer time
	idleHalf        = time.Second
	minDrain        = 0.5 // the least part of the answered rate that a cut leaves
	recoverAims     = 3.0 // aims over which the destination regains its calls
)

// Unanswered set-ups that a gate lets stand, whatever its tokens.
const (
	leastOut = 2.0
	outAims  = 0.35 // aims in which a warm server would answer them
)

// Worth: who gets a scarce token.
const (
	worthier  = 1.5 // times the mean worth from which a call may overdraw the bucket
	overdraft = 2.0 // tokens that it may overdraw
	lesser    = 0.6 // times the mean worth under which a call, a late redial above all, leaves
	leave     = 0.5 // so much of the last token to others
)

// Health and ends.
const (
	silentHolds  = 3  // hold aims without any answer until a server counts as silent
	failsToShut  = 12 // in a row: where each set-up fails by chance, fewer are common
	firstClosed  = 250 * time.Millisecond
	longestClose = 2 * time.Second
	closeTicks   = 4               // ticks before the deadline by which a final answer is given
	lineNews     = 2 * time.Second // a count of free lines is believed for so long
	askAgain     = time.Second     // at the least, once discovery has failed
	keepGone     = time.Minute     // a server that is gone is remembered, should it restart
	logEvery     = 5 * time.Second
)

const slotCookie = 1

var unbounded = math.Inf(1)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// gate is a server's token bucket.
type gate struct {
	tokens, rate, depth float64
}

func (g *gate) refill(d time.Duration) {
	if math.IsInf(g.rate, 1) {
		g.tokens = g.depth
		return
	}
	g.depth = max(minDepth, g.rate*burstAims)
	// A debt is what is repaid within a paper slot at most, or a deep cut would lock the gate.
	g.tokens = min(g.depth, max(g.tokens, -g.rate)+g.rate*d.Seconds())
}

// ring holds the future one-slot buckets: a the tokens left in each, b the chain-borrowed ones.
type ring struct {
	a    [ringSlots]float64
	b    [ringSlots]int
	head int
}

func (r *ring) at(i int) int { return (r.head + i) % ringSlots }

// shift drops the current slot and appends one with w tokens.
func (r *ring) shift(w float64) {
	r.a[r.head], r.b[r.head] = w, 0
	r.head = (r.head + 1) % ringSlots
}

// cap lowers every bucket to w, once the rate that filled them is gone.
func (r *ring) cap(w float64) {
	for i := range r.a {
		r.a[i] = min(r.a[i], w)
	}
}

// borrow books a token for a call blocked now and returns its slot and its place in the chain.
// A short slot holds a part of a token, so a slot's bucket is read with those since the offset before.
func (r *ring) borrow(last int) (slot, k int, ok bool) {
	prev := 0
	var passed []int
	for i, k := firstOffset, 1; k <= chainLength && i <= last; i, k = i+firstOffset<<k, k+1 {
		sum := 0.0
		for j := prev + 1; j <= i; j++ {
			sum += r.a[r.at(j)]
		}
		if sum >= 1 {
			need := 1.0
			for j := i; j > prev && need > 0; j-- {
				t := min(need, r.a[r.at(j)])
				r.a[r.at(j)] -= t
				need -= t
			}
			for _, p := range passed {
				r.b[r.at(p)]++
			}
			return i, k, true
		}
		passed = append(passed, i)
		prev = i
	}
	return 0, 0, false
}

// outstanding is an attempt without its outcome.
type outstanding struct {
	call    uint64
	attempt int
	sent    time.Duration
	called  bool // called off
	passed  bool // one sent well after it was answered: it is lost, not waiting
}

type server struct {
	ServerInfo
	gate
	ring
	out         []outstanding
	latency     float64 // smoothed answer time, seconds
	answered    time.Duration
	counts      [answerSlots]int // answered set-ups per slot
	count       int
	slots       int     // slots counted so far
	steady      float64 // answered set-ups a second over a longer time
	fresh       int     // new calls in this slot
	lambda      float64 // new calls a second, time-weighted
	trust       float64 // share of its own calls that go to it: 1, but less after pressure
	cutAt       time.Duration
	coldAt      time.Duration // start of its warming; negative: warm
	closedUntil time.Duration
	closeFor    time.Duration
	trial       bool    // failed last: one attempt at a time until one stands
	best        float64 // most answered set-ups a second while warm
	goneAt      time.Duration
	fails       int     // attempts turned away in a row
	free        float64 // lines or circuits free
	freeAt      time.Duration
	lineless    bool // turned a set-up away, though not for a queue, since the last cut
	loggedAt    time.Duration
}

// call is one that is owed an answer.
type call struct {
	Call
	class    Class
	first    time.Duration // its first try
	aimAt    time.Duration
	deadline time.Duration
	attempts int
	out      bool
	cancel   bool
	due      int           // slot in which it meets the gate again
	after    time.Duration // not before: release guard
	chain    int           // offsets used
	held     bool
	last     uint32 // server of the last attempt
	ran      bool   // an attempt may have run
	ranAt    time.Duration
	ranZone  int
	ranCell  int
	ended    bool
}

// redialKey and turnedCall remember calls that did not stand.
type redialKey struct {
	number uint64
	class  int
}

type turnedCall struct{ first, until time.Duration }

// Controller decides for one access node. It is not safe for use by several goroutines.
type Controller struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	slot    int
	slotAt  time.Duration
	t0      time.Duration
	holdAim time.Duration
	nodes   float64 // that share the servers
	aim     time.Duration
	servers []*server // by id
	byID    map[uint32]*server
	calls   map[uint64]*call
	queue   []*call // the open ones in order of arrival
	offered float64 // new calls a second, for all servers: what could be drawn to one of them
	mean    float64 // mean worth of a new call
	pooled  float64 // answered set-ups a second of a warm server, in the mean of all
	ref     float64 // the most that this was, for a cold one's share
	acts    []Action
	started bool
	turned  map[redialKey]turnedCall // calls that did not stand
	askAt   time.Duration            // when discovery is asked again after a failure
}

func newController(s Settings, seed uint64) *Controller {
	c := &Controller{set: s, rng: rand.New(rand.NewPCG(seed, 0x6c61726b)), byID: map[uint32]*server{},
		calls: map[uint64]*call{}, turned: map[redialKey]turnedCall{}, nodes: max(1, float64(s.Instances))}
	for _, cl := range s.Classes {
		if cl.Aim > 0 && (c.aim == 0 || cl.Aim < c.aim) {
			c.aim = cl.Aim
		}
	}
	c.aim = cmp.Or(c.aim, paperSlot)
	c.t0 = max(c.aim/slotsPerAim, s.Tick, time.Millisecond)
	c.holdAim = time.Duration(float64(c.aim) * aimShare)
	if s.Retransmit > 0 {
		c.holdAim = min(c.holdAim, time.Duration(float64(s.Retransmit)*retransmitShare))
	}
	return c
}

func (c *Controller) act(a Action) { c.acts = append(c.acts, a) }

func (c *Controller) log(s *server, format string, args ...any) {
	if s.loggedAt == 0 || c.now-s.loggedAt >= logEvery {
		s.loggedAt = c.now
		c.act(Log{fmt.Sprintf("server %d: ", s.Number) + fmt.Sprintf(format, args...)})
	}
}

// Handle takes an event and returns what to do, which holds until the next Handle.
func (c *Controller) Handle(now time.Duration, ev Event) []Action {
	c.acts = c.acts[:0]
	if !c.started {
		c.started, c.slotAt = true, now
		c.act(Wake{slotCookie, c.t0})
		if c.set.AskDiscovery {
			c.act(Subscribe{true})
		}
	}
	c.now = max(now, c.now)
	switch ev := ev.(type) {
	case ServerList:
		c.onList(ev)
	case Call:
		c.onCall(ev)
	case Standing:
		c.onStanding(ev)
	case AttemptOver:
		c.onOver(ev)
	case CallGone:
		c.drop(c.calls[ev.Call])
	case Timer:
		if ev.Cookie == slotCookie {
			c.onSlot()
		}
	case Probed:
		c.onReport(c.byID[ev.Server], ev.Report)
	}
	return c.acts
}

func (c *Controller) onList(l ServerList) {
	if l.Kind == ListFailed {
		c.askAt = c.now + time.Duration((1+c.rng.Float64())*float64(askAgain)) // from onSlot
		return
	}
	if l.Kind != ListDelta {
		listed := map[uint32]bool{}
		for _, in := range l.Servers {
			listed[in.ID] = true
		}
		for _, s := range c.servers {
			if !listed[s.ID] {
				s.Phase = Gone
			}
		}
	}
	for _, in := range l.Servers {
		s := c.byID[in.ID]
		if s == nil {
			s = &server{trust: 1, coldAt: -1, freeAt: -lineNews, latency: c.holdAim.Seconds() / 2}
			s.rate, s.depth, s.tokens = unbounded, minDepth, minDepth
			c.byID[in.ID] = s
			s.ID = in.ID
			c.servers = append(c.servers, s)
			slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		}
		if in.Started > s.Started && c.now-in.Started < c.set.RampTime {
			c.chill(s, in.Started)
			s.closedUntil, s.closeFor, s.trial = 0, 0, false
		}
		s.ServerInfo = in
	}
}

// chill puts a server on the budget of a cold one. It guards against pushing over a processor that
// has just started, told by the list or guessed from an outage that ended before the list knew.
func (c *Controller) chill(s *server, at time.Duration) {
	s.coldAt = at
	s.tokens = min(s.tokens, c.rng.Float64())
	c.cut(s, min(s.rate, c.coldRate(s)))
	c.log(s, "cold, hold to %.2f/s", s.rate)
}

// cut lowers a gate and what its ring holds. An open gate gets a phase of its own, so that nodes told
// alike do not send in step, nor each a token at once.
func (c *Controller) cut(s *server, rate float64) {
	if math.IsInf(s.rate, 1) {
		s.tokens = min(s.tokens, c.rng.Float64())
	}
	s.rate, s.cutAt, s.lineless = max(rate, minPerSlot/c.nodes), c.now, false
	s.ring.cap(max(0, (s.rate-s.lambda)*c.t0.Seconds()))
}

// coldRate is this node's share of what a warming server can do. Nobody is told its capacity: the
// best that it was seen to answer stands for it, since servers differ much, and for one never seen
// warm the best of any. No multiple of it is used up.
func (c *Controller) coldRate(s *server) float64 {
	warm, ref := 1.0, c.ref
	if s.best > 0 {
		ref = min(ref, s.best)
	}
	if c.set.RampTime > 0 {
		warm = min(1, float64(c.now-s.coldAt)/float64(c.set.RampTime))
	}
	return max(ref*(c.set.ColdShare+(1-c.set.ColdShare)*warm), minPerSlot/c.nodes)
}

func (c *Controller) onCall(ev Call) {
	if c.calls[ev.ID] != nil {
		return
	}
	k := &call{Call: ev, deadline: c.now + ev.Left - c.margin()}
	k.class = Class{Aim: c.aim, Worth: 1, LateShare: 1}
	if ev.Class >= 0 && ev.Class < len(c.set.Classes) {
		k.class = c.set.Classes[ev.Class]
	}
	k.first = c.firstTry(k)
	k.aimAt = k.first + k.class.Aim
	c.calls[ev.ID] = k
	c.queue = append(c.queue, k)
	w := c.worthAt(k, c.now)
	c.mean += (w - cmp.Or(c.mean, w)) * 0.01
	c.mean = cmp.Or(c.mean, w)
	if s := c.destination(k); s != nil {
		s.fresh++
	}
	c.place(k)
}

// firstTry is when the caller first tried, from which its aim runs. A redial earns little once that
// has passed, marked or not: it is known by the number called, which was turned away before.
func (c *Controller) firstTry(k *call) time.Duration {
	if c.set.MarksRedials && !k.DialedAgain {
		return c.now
	}
	key := redialKey{k.Key, k.Class}
	if old, ok := c.turned[key]; ok && k.Key != 0 {
		delete(c.turned, key)
		return old.first
	}
	if k.DialedAgain {
		return c.now - max(0, k.class.Deadline-k.Left)
	}
	return c.now
}

// drop ends a call that did not stand; it is kept until its deadline, so that its redial is known.
func (c *Controller) drop(k *call) {
	if k != nil && k.Key != 0 {
		c.turned[redialKey{k.Key, k.Class}] = turnedCall{k.first, max(k.first+k.class.Deadline, c.now)}
	}
	c.forget(k)
}

// margin is kept before a deadline: a timer comes a slot late at most, an answer some ticks.
func (c *Controller) margin() time.Duration { return closeTicks * max(c.set.Tick, time.Millisecond) }

// worthAt is what a call earns if it stands at a time.
func (c *Controller) worthAt(k *call, at time.Duration) float64 {
	if at >= k.aimAt {
		return k.class.Worth * k.class.LateShare
	}
	return k.class.Worth
}

func (c *Controller) destination(k *call) *server {
	for _, s := range c.servers {
		if s.Number == k.Destination && s.Phase == Ready {
			return s
		}
	}
	return nil
}

// open says whether an attempt of the call may go to a server at all.
func (c *Controller) open(s *server, k *call) bool {
	if s.Phase != Ready || c.now < s.closedUntil || s.trial && len(s.out) > 0 {
		return false
	}
	switch {
	case c.set.Mesh && s.Number == c.set.Home, k.InTransit && s.Number != k.Destination,
		!c.set.Mesh && k.class.Pools != nil && !slices.Contains(k.class.Pools, s.Number),
		c.now-s.freeAt < lineNews && s.free < k.Circuits:
		return false
	}
	if k.ran { // rules on repeats: the same effect may not happen twice
		switch {
		case k.class.Repeat == NonRepeatable:
			return false
		case k.class.Repeat != Keyed:
		case c.now-k.ranAt >= k.class.Window, k.class.Scope == ScopeZone && s.Zone != k.ranZone,
			k.class.Scope == ScopeCell && s.Number != k.ranCell:
			return false
		}
	}
	return true
}

// delay is how long a set-up sent now would wait: the smoothed answer time, or the age of the oldest
// unanswered one, whichever is more. The age guards against servers that stop without a word.
func (c *Controller) delay(s *server) float64 {
	oldest, _ := c.waiting(s)
	return max(s.latency, oldest.Seconds())
}

// waiting is the age of the oldest set-up that may still wait in line at a server. A line is served
// in order: what was passed by a later one is lost on the way and says nothing of the line.
func (c *Controller) waiting(s *server) (oldest time.Duration, n float64) {
	for _, o := range s.out {
		if !o.passed {
			oldest, n = max(oldest, c.now-o.sent), n+1
		}
	}
	return oldest, n
}

func (c *Controller) pressed(s *server) bool { return c.delay(s) > c.holdAim.Seconds() }

// admits says whether the gate lets the call pass. A call worth much more than the mean may overdraw
// the bucket, one worth much less leaves a part: what is scarce goes to the call worth more.
func (c *Controller) admits(s *server, k *call) bool {
	// Answers tell of a queue only once it stands: a wave of calls through an open gate is over by
	// then. So no more go unanswered than a warm server answers within a part of the aim.
	// At a cold server it is one, so that the answers themselves set the pace, whatever its capacity.
	_, n := c.waiting(s)
	if n >= max(leastOut, c.ref*c.aim.Seconds()*outAims) || n > 0 && s.coldAt >= 0 {
		return false
	}
	if math.IsInf(s.rate, 1) {
		return true
	}
	need := 1.0
	if w := c.worthAt(k, c.now+seconds(c.delay(s))); w >= worthier*c.mean && s.coldAt < 0 {
		need -= min(overdraft, s.rate*paperSlot.Seconds()) // repaid within a paper slot
	} else if w < lesser*c.mean {
		need += leave
	}
	return s.tokens >= need
}

// route picks the server: the destination while it is within aim and its gate admits, else a
// delay-weighted draw among others within aim, else whatever gate admits, destination first.
func (c *Controller) route(k *call) *server {
	dest := c.destination(k)
	if dest != nil && (!c.open(dest, k) || !c.admits(dest, k)) {
		dest = nil
	}
	if dest != nil && !c.pressed(dest) && dest.fails < 2 &&
		(dest.trust >= 1 || c.rng.Float64() < dest.trust) {
		return dest
	}
	if s := c.draw(k, false); s != nil {
		return s
	}
	if dest != nil {
		return dest
	}
	return c.draw(k, true)
}

func (c *Controller) draw(k *call, pressedToo bool) *server {
	var pick *server
	sum := 0.0
	for _, s := range c.servers {
		if s.Number == k.Destination || !c.open(s, k) || !c.admits(s, k) || !pressedToo && c.pressed(s) {
			continue
		}
		w := 1 / (c.delay(s) + c.t0.Seconds()) / float64(1+s.fails*s.fails)
		sum += w
		if c.rng.Float64()*sum < w {
			pick = s
		}
	}
	return pick
}

// place takes a call through route and gate; blocked, it borrows a slot or is refused.
func (c *Controller) place(k *call) {
	k.held = false
	if c.set.MaxAttempts > 0 && k.attempts >= c.set.MaxAttempts {
		c.finish(k)
		return
	}
	if s := c.route(k); s != nil {
		c.send(s, k)
	} else {
		c.block(k)
	}
}

// ringFor is the server on whose ring a blocked call borrows: its destination's, or the least delayed.
func (c *Controller) ringFor(k *call) *server {
	if s := c.destination(k); s != nil && c.open(s, k) {
		return s
	}
	var best *server
	for _, s := range c.servers {
		if c.open(s, k) && (best == nil || c.delay(s) < c.delay(best)) {
			best = s
		}
	}
	return best
}

func (c *Controller) block(k *call) {
	last, next := int((k.deadline-c.now)/c.t0), firstOffset<<k.chain
	s := c.ringFor(k)
	switch {
	case s == nil: // no server in sight: held while there is hope
		if firstOffset <= last {
			c.hold(k, firstOffset)
			return
		}
	case s.b[s.head] > 0 && next <= last && k.chain < chainLength:
		s.b[s.head]--
		k.chain++
		c.hold(k, next)
		return
	default:
		if slot, n, ok := s.borrow(last); ok {
			k.chain = n
			c.hold(k, slot)
			return
		}
	}
	c.finish(k)
}

func (c *Controller) hold(k *call, slots int) { k.held, k.due = true, c.slot+slots }

func (c *Controller) send(s *server, k *call) {
	timeout := k.deadline - c.now
	if timeout <= 0 {
		c.finish(k)
		return
	}
	if !math.IsInf(s.rate, 1) {
		s.tokens--
	}
	s.out = append(s.out, outstanding{call: k.ID, attempt: k.attempts, sent: c.now})
	k.out, k.cancel, k.last = true, false, s.ID
	k.attempts++
	c.act(Attempt{k.ID, s.ID, timeout})
}

// finish gives the final answer: a refusal where no attempt may have run, else the call has failed.
func (c *Controller) finish(k *call) {
	if k.ran && (k.class.Repeat == NonRepeatable || k.class.Repeat == Keyed && k.class.Scope != ScopeAll) {
		c.act(Abandon{k.ID})
	} else {
		var after time.Duration
		if c.set.RetryAfter { // spread the redials of calls refused together
			after = time.Duration((0.25 + 0.75*c.rng.Float64()) * float64(c.set.MaxRetryAfter))
		}
		c.act(Refuse{k.ID, after})
	}
	c.drop(k)
}

func (c *Controller) forget(k *call) {
	if k != nil {
		k.ended, k.held = true, false
		delete(c.calls, k.ID)
	}
}

func (c *Controller) onStanding(ev Standing) {
	if s := c.byID[ev.Server]; s != nil && s.settle(ev.Call, ev.Attempt) != nil {
		s.pass(c.now - ev.Elapsed - c.t0)
		s.count++
		s.fails = 0
		s.sample(ev.Elapsed.Seconds())
		s.answered = c.now
		s.trial, s.closeFor = false, 0
	}
	c.forget(c.calls[ev.Call])
}

func (s *server) sample(d float64) { s.latency += (d - s.latency) * latencyGain }

// settle takes an attempt off the outstanding ones.
func (s *server) settle(id uint64, attempt int) *outstanding {
	i := slices.IndexFunc(s.out, func(o outstanding) bool { return o.call == id && o.attempt == attempt })
	if i < 0 {
		return nil
	}
	o := s.out[i]
	s.out = slices.Delete(s.out, i, i+1)
	return &o
}

// pass marks what was sent before a set-up that has been answered.
func (s *server) pass(sent time.Duration) {
	for i := range s.out {
		s.out[i].passed = s.out[i].passed || s.out[i].sent < sent
	}
}

func (c *Controller) onOver(ev AttemptOver) {
	s, k := c.byID[ev.Server], c.calls[ev.Call]
	if s != nil {
		c.onReport(s, ev.Report)
		if o := s.settle(ev.Call, ev.Attempt); o != nil && !(o.passed && ev.Outcome == TimedOut) {
			c.judge(s, ev)
		}
	}
	if k == nil {
		return
	}
	if ev.Ended {
		c.drop(k)
		return
	}
	if !k.out || ev.Attempt != k.attempts-1 {
		return
	}
	k.out = false
	never := ev.Outcome == TurnedAway || ev.Outcome == NoConnection || ev.Outcome == NotSent
	if !never && !k.ran && s != nil {
		k.ran, k.ranAt, k.ranZone, k.ranCell = true, c.now-ev.Elapsed, s.Zone, s.Number
	}
	switch ev.Outcome {
	case TimedOut, Reset, Cancelled: // its circuits may stay taken until the guard has passed
		k.after = c.now + c.set.ReleaseGuard
		if k.after < k.deadline {
			c.hold(k, int(c.set.ReleaseGuard/c.t0)+1)
		} else {
			c.finish(k)
		}
	case Failed: // by chance perhaps, and then soon no more: tries spread over the aim
		c.hold(k, firstOffset)
	default:
		c.place(k)
	}
}

// judge reads an outcome as a symptom of its server.
func (c *Controller) judge(s *server, ev AttemptOver) {
	switch ev.Outcome {
	case TurnedAway, Failed, Reset: // no room, or a fault; answered fast, either would draw calls
		// Beside fast answers it is no long queue either, but more than the server takes.
		if ev.Full && !c.pressed(s) && c.now-s.answered < c.aim {
			s.lineless = true
		} else if ev.Full { // lines or agents all taken say nothing of the processor
			s.sample(max(ev.Elapsed, ev.Wait, 2*c.aim).Seconds())
			s.answered = c.now
		}
		if ev.Outcome == TurnedAway && !ev.Full {
			s.free, s.freeAt, s.lineless = 0, c.now, true
		}
		if s.fails++; s.fails >= failsToShut {
			c.shut(s, "set-ups refused or faulty", ev.Outcome == Reset)
		}
	case NoConnection: // once may be the way there; again it is down, or up again since, and cold
		s.fails++
		c.shut(s, "set-ups fail", s.fails > 1)
	case TimedOut:
		s.latency = max(s.latency, ev.Elapsed.Seconds())
	}
}

// shut closes a server for a while that doubles with each failure, then lets one attempt at a time
// try it, on the budget of a cold one, for what failed may have restarted.
func (c *Controller) shut(s *server, why string, down bool) {
	s.closeFor = min(max(2*s.closeFor, firstClosed), longestClose)
	s.closedUntil = c.now + time.Duration((0.75+0.5*c.rng.Float64())*float64(s.closeFor))
	s.trial = true
	if down {
		c.chill(s, c.now)
	}
	c.log(s, "%s, closed for %v", why, s.closeFor)
}

func (c *Controller) onReport(s *server, report []float64) {
	if s == nil || len(report) < 2 || !(report[0] >= 0) || !(report[1] > 0) {
		return
	}
	s.free, s.freeAt = report[0], c.now
	for i, name := range c.set.ReportFields {
		if i >= len(report) || !(report[i] >= 0) || math.IsInf(report[i], 0) {
			continue
		}
		wait := math.NaN()
		switch name {
		case "lat_ms":
			wait = report[i] / 1000
		case "q": // at the pace of a warm server, all nodes together
			wait = report[i] / max(c.ref*c.nodes, 1)
		}
		// Calls that end bring reports long after the last set-up: where no answers come, they tell
		// that the line has emptied, so that a server held back is not held longer than its queue.
		if c.now-s.answered > c.holdAim && wait == wait && wait < s.latency {
			s.sample(wait)
		}
	}
}

func (c *Controller) onSlot() {
	c.act(Wake{slotCookie, c.t0})
	if c.set.AskDiscovery && c.askAt > 0 && c.now >= c.askAt {
		c.act(Subscribe{true})
		c.askAt = 0
	}
	for n := 0; c.now >= c.slotAt+c.t0 && n < answerSlots; n++ {
		c.slotAt += c.t0
		c.slot++
		c.survey()
		for _, s := range c.servers {
			c.turn(s)
		}
	}
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		if s.Phase != Gone {
			s.goneAt = c.now
		} else if c.now-s.goneAt > keepGone && len(s.out) == 0 {
			delete(c.byID, s.ID)
			return true
		}
		return false
	})
	maps.DeleteFunc(c.turned, func(_ redialKey, t turnedCall) bool { return t.until <= c.now })
	c.rescue()
	var due []*call
	for _, k := range c.queue {
		switch {
		case k.ended || k.out:
		case c.now+c.t0 >= k.deadline:
			c.finish(k)
		case k.held && k.due <= c.slot && c.now >= k.after:
			due = append(due, k)
		}
	}
	slices.SortStableFunc(due, func(a, b *call) int {
		return cmp.Compare(c.worthAt(b, c.now), c.worthAt(a, c.now))
	})
	for _, k := range due {
		c.place(k)
	}
	c.queue = slices.DeleteFunc(c.queue, func(k *call) bool { return k.ended })
}

// survey sums over servers what a slot at one of them is too short to tell.
func (c *Controller) survey() {
	n, steady := 0.0, 0.0
	c.offered = 0
	for _, s := range c.servers {
		c.offered += s.lambda
		if s.Phase == Ready && s.coldAt < 0 {
			n, steady = n+1, steady+s.steady
		}
	}
	c.ref *= 1 - c.t0.Seconds()/refTime.Seconds()
	if n > 0 {
		c.pooled = steady / n
		c.ref = max(c.ref, c.pooled)
	}
}

// believed leans a server's answered rate on the mean of all, or on its gate where that is lower, as far
// as the own count is too small to tell: among hundreds of nodes one sees a few answers in seconds.
func (c *Controller) believed(s *server, own float64) float64 {
	n := c.pooled * steadyRate.Seconds() / priorCount
	return own + (min(s.rate, c.pooled)-own)/(1+n*n)
}

// turn ends a slot at a server: its rate falls, grows or is freed, its ring shifts.
func (c *Controller) turn(s *server) {
	t0 := c.t0.Seconds()
	s.counts[c.slot%answerSlots] = s.count
	s.count = 0
	sum := 0
	for _, n := range s.counts {
		sum += n
	}
	s.slots = min(s.slots+1, answerSlots)
	recent := float64(sum) / (float64(s.slots) * t0)
	gain := t0 / steadyRate.Seconds()
	s.steady += (recent - s.steady) * gain
	rate := c.believed(s, recent+(s.steady-recent)*steadyPart)
	s.lambda += (float64(s.fresh)/t0 - s.lambda) * 2 / (answerSlots + 1)
	s.fresh = 0
	if len(s.out) == 0 && c.now-s.answered > idleHalf {
		s.latency *= math.Exp2(-c.t0.Seconds() / idleHalf.Seconds())
	}
	d, hold := c.delay(s), c.holdAim.Seconds()
	switch {
	case d > hold:
		s.trust = 0
		if c.now-s.cutAt >= seconds(d) {
			// what stands past the hold aim is to be gone within an aim
			c.cut(s, rate*max(minDrain, 1-(d-hold)/c.aim.Seconds()))
			c.log(s, "answers take %.0f ms, hold to %.2f/s", d*1000, s.rate)
		}
	case s.lineless && c.now-s.cutAt >= c.holdAim:
		c.cut(s, min(s.rate, rate))
		c.log(s, "no line free or more than it takes, hold to %.2f/s", s.rate)
	default:
		s.trust = min(1, s.trust+t0/(recoverAims*c.aim.Seconds()))
		if !math.IsInf(s.rate, 1) {
			s.rate += max(growth*s.rate, min(1, minGrowth/c.nodes)) * t0 / paperSlot.Seconds()
			if s.rate > c.offered && s.coldAt < 0 {
				s.rate = unbounded
			}
		}
	}
	if s.coldAt >= 0 {
		if c.now-s.coldAt >= c.set.RampTime {
			s.coldAt = -1
		} else {
			s.rate = min(s.rate, c.coldRate(s))
		}
	} else {
		s.best = max(s.best*(1-t0/refTime.Seconds()), rate)
		c.ref = max(c.ref, rate)
	}
	s.refill(c.t0)
	s.ring.shift(max(0, (min(s.rate, s.lambda+rate+1)-s.lambda)*t0))
}

// rescue calls off what waits at a silent server, if another may still set it up in time, and what
// was lost on its way, if any may.
func (c *Controller) rescue() {
	silence := silentHolds * c.holdAim
	for _, s := range c.servers {
		oldest, _ := c.waiting(s)
		silent := oldest >= silence && c.now-s.answered >= silence
		for i := range s.out {
			o, from := &s.out[i], s
			lost := o.passed && c.now-o.sent >= c.holdAim
			if lost {
				from = nil
			}
			k := c.calls[o.call]
			if !silent && !lost || k == nil || o.called || !c.set.MayCancel ||
				!c.again(from, k, c.now-o.sent) {
				continue
			}
			o.called = true
			c.act(Cancel{o.call, o.attempt})
			c.log(s, "silent for %.1f s, or a set-up is lost: called off", (c.now - o.sent).Seconds())
		}
	}
}

// again says whether a call that is called off may be set up after all, other than where it was.
func (c *Controller) again(from *server, k *call, age time.Duration) bool {
	limit := k.aimAt // what is late already may as well wait where it is, unless that is for good
	if age >= 2*c.aim {
		limit = k.deadline
	}
	spent := c.set.MaxAttempts > 0 && k.attempts >= c.set.MaxAttempts
	for _, s := range c.servers {
		at := c.now + c.set.ReleaseGuard + seconds(c.delay(s))
		if s != from && c.open(s, k) && !c.pressed(s) && at < limit {
			return !spent && k.class.Repeat != NonRepeatable
		}
	}
	return false
}
