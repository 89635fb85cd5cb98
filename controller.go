// Package larkrouter decides, for one access node, where a call is set up, when, and whether at all.
// Its events, actions and settings are in api.go; every decision is in this file.
// A call's ordinary path is that of Abacus Filters (docs/design.md); all else is a guard around it.
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
	steadyRate  = 6 * time.Second // memory of the mean answered rate
	priorCount  = 4.0             // answers from which the own count tells more than the mean of all servers
	refTime     = 60 * time.Second
	burstAims   = 0.3
	minDepth    = 1.5             // W at the least: a token, and half a one saved
	minGrowth   = 7.0             // and at least so many a second, all nodes together, one at a node at most
	growPart    = 0.1             // or by this part of a warm server's capacity, where that is more
	quietTime   = 3 * time.Second // without a cut, after which it grows faster
	probePart   = 0.25            // of a server's mean rate: how far a gate grows before the first good news
	coldOver    = 1.6             // times the mean that the best count counts for: the best of many is chance
	minPerSlot  = 1.0             // "at least one" in a paper slot, a second, for all nodes together
)

// Pressure: when a server counts as past the hold aim.
const (
	holdPerAim  = 3   // a set-up may wait a third of the shortest aim; less where its repeats add work
	latencyGain = 0.5 // of each answer in the smoothed answer time
	idleHalf    = time.Second
	minDrain    = 0.5 // the least part of the answered rate that a cut leaves
	recoverAims = 3.0 // aims over which the destination regains its calls
)

// Unanswered set-ups that a gate lets stand, whatever its tokens.
const (
	leastOut  = 2.0  // at a node, but no more than
	fleetOut  = 14   // at all nodes together
	guessAims = 0.01 // aims in which a server that has not answered yet is hoped to
	lineMost  = 200  // calls that may wait for an answer
	outAims   = 0.35 // aims in which a warm server would answer them
)

// Worth: who gets a scarce token.
const (
	worthier  = 1.5             // times the mean worth from which a call may overdraw the bucket
	overdraft = 2.0             // tokens that it may overdraw
	debtTime  = 3 * time.Second // but no more than are repaid in this
	lesser    = 0.6             // times the mean worth under which a call, a late redial above all, leaves
	leave     = 0.5             // so much of the last token to others
)

// Health and ends.
const (
	// of set-ups lost, at any server, from which one unanswered where others are answered fast is lost too
	lossyPart    = 0.04
	lossGain     = 0.08 // of each set-up in that part
	lossOnce     = 2e-5 // the part that one lost leaves after a hundred answers
	failsToShut  = 12   // in a row: where each set-up fails by chance, fewer are common
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
	tokens, rate float64
}

func (g *gate) refill(d time.Duration) {
	if math.IsInf(g.rate, 1) {
		g.tokens = minDepth
		return
	}
	// A debt is what is repaid in a while at most, or a deep cut would lock the gate.
	depth := max(minDepth, g.rate*burstAims)
	g.tokens = min(depth, max(g.tokens, -g.rate*debtTime.Seconds())+g.rate*d.Seconds())
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

// borrow books a token for a call blocked now and returns its slot and its place in the chain. A short slot
// holds a part of a token, so a bucket is read with those since the offset before; and where hundreds of
// nodes share a server all hold parts: one counts as whole with that chance, so that the sum is right.
func (r *ring) borrow(last int, chance float64) (slot, k int, ok bool) {
	prev := 0
	var passed []int
	for i, k := firstOffset, 1; k <= chainLength && i <= last; i, k = i+firstOffset<<k, k+1 {
		sum := 0.0
		for j := prev + 1; j <= i; j++ {
			sum += r.a[r.at(j)]
		}
		if sum > chance {
			for j := prev + 1; j <= i; j++ {
				r.a[r.at(j)] -= 1 / float64(i-prev)
			}
			for _, p := range passed {
				r.b[r.at(p)]++
			}
			return i, k, true
		}
		passed, prev = append(passed, i), i
	}
	return 0, 0, false
}

// outstanding is an attempt without its outcome.
type outstanding struct {
	call    uint64
	attempt int
	sent    time.Duration
	called  bool // called off
	passed  bool // one sent well after it was answered: it is lost, and says nothing of the line
}

type server struct {
	ServerInfo
	gate
	ring
	out         []outstanding
	latency     float64 // smoothed answer time, seconds
	answered    time.Duration
	goodAt      time.Duration // last news of it within the hold aim
	count       float64       // answered set-ups in this slot
	recent      float64       // answered set-ups a second, time-weighted
	fresh       float64       // new calls in this slot
	lambda      float64       // new calls a second, time-weighted
	trust       float64       // share of its own calls that go to it: 1, but less after pressure
	cutAt       time.Duration
	coldAt      time.Duration // start of its warming; negative: warm
	closedUntil time.Duration
	closeFor    time.Duration // above 0 it failed last: one attempt at a time until one stands
	best        float64       // most answered set-ups a second while warm
	goneAt      time.Duration
	fails       int     // attempts turned away in a row
	free        float64 // lines or circuits free
	size        float64 // and their number
	freeAt      time.Duration
	loggedAt    time.Duration
}

// call is one that is owed an answer.
type call struct {
	Call
	class    Class
	first    time.Duration // its first try
	deadline time.Duration
	attempts int
	out      bool
	due      int           // slot in which it meets the gate again
	after    time.Duration // not before: release guard
	chain    int           // offsets used
	held     bool
	ran      bool // an attempt may have run
	ranAt    time.Duration
	ranZone  int
	ranCell  int
	ended    bool
	set      *Settings // in force when it came
}

// redialKey and turnedCall remember calls that did not stand.
type redialKey struct{ number, class uint64 }
type turnedCall struct{ first, until time.Duration }

// Controller decides for one access node. It is not safe for use by several goroutines.
type Controller struct {
	set             *Settings
	rng             *rand.Rand
	now             time.Duration
	slot            int
	slotAt          time.Duration
	t0              time.Duration
	holdAim         time.Duration
	nodes           float64 // that share the servers
	aim             time.Duration
	servers         []*server // by id
	byID            map[uint32]*server
	calls           map[uint64]*call
	queue           []*call // the open ones in order of arrival
	loss            float64 // part of set-ups whose answer was lost
	offered         float64 // new calls a second, for all servers: what could be drawn to one of them
	mean            float64 // mean worth of a new call
	pooled          float64 // answered set-ups a second of a warm server of mean size
	goesOn          bool    // pooled began with what an earlier life knew
	ref             float64 // the most that one was seen to answer, for a cold one's share
	meanSize, least float64 // sizes that the servers tell
	line            []*call // of the held: they wait for an answer of any server
	acts            []Action
	started         bool
	wakeAt          time.Duration            // when the slot timer is due
	wokeAt          time.Duration            // end of the node's last stall
	late            time.Duration            // and its length
	slept           time.Duration            // all stalls together
	usual           map[int]time.Duration    // time left of a call that is handed over at once, by class
	turned          map[redialKey]turnedCall // calls that did not stand
	askAt           time.Duration            // when discovery is asked again after a failure
}

func newController(s Settings, seed uint64) *Controller {
	c := &Controller{rng: rand.New(rand.NewPCG(seed, 0x6c61726b)), byID: map[uint32]*server{},
		calls: map[uint64]*call{}, usual: map[int]time.Duration{}, turned: map[redialKey]turnedCall{},
		nodes: max(1, float64(s.Instances))}
	c.configure(s)
	return c
}

// configure takes settings, for what comes from now on.
func (c *Controller) configure(s Settings) {
	if !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	c.set, c.aim = &s, 0
	clear(c.usual)
	for _, cl := range s.Classes {
		if cl.Aim > 0 && (c.aim == 0 || cl.Aim < c.aim) {
			c.aim = cl.Aim
		}
	}
	c.aim = cmp.Or(c.aim, paperSlot)
	c.t0 = max(c.aim/slotsPerAim, s.Tick, time.Millisecond)
	c.holdAim = c.aim / holdPerAim
	if s.Retransmit > 0 {
		c.holdAim = min(c.holdAim, s.Retransmit*3/4)
	}
	for _, sv := range c.servers {
		if sv.answered == 0 { // its delay is a guess from the hold aim
			sv.latency = c.holdAim.Seconds() / 2
		}
	}
}

// onFleet makes the node's gates and what it has seen of the servers shares of another size: what the
// fleet sends stays as it is.
func (c *Controller) onFleet(ev FleetSize) {
	if !(ev.Nodes >= 1) || math.IsInf(ev.Nodes, 1) {
		return
	}
	f := c.nodes / ev.Nodes
	c.nodes, c.set.Rank = ev.Nodes, ev.Rank
	c.ref *= f
	for _, s := range c.servers {
		s.rate, s.best = s.rate*f, s.best*f
		for i := range s.a {
			s.a[i] *= min(1, f)
		}
	}
}

// onRemembered takes what an earlier life knew. A capacity is a hint of size; a gate that was low begins
// there and grows as any does; a delay is not believed at all: the first answer tells it.
func (c *Controller) onRemembered(ev Remembered) {
	sum, n := 0.0, 0.0
	for _, m := range ev.Servers {
		s := c.byID[m.ID]
		if s == nil || s.Phase != Ready || s.coldAt >= 0 || !(m.Best >= 0 && m.Rate >= 0) ||
			math.IsInf(m.Best, 1) {
			continue
		}
		sum, n = sum+m.Best/c.share(s), n+1
		s.best = max(s.best, m.Best)
		c.ref = max(c.ref, s.best/c.share(s))
		if m.Rate > 0 && m.Rate < s.rate {
			s.rate = max(m.Rate, c.step(s), minPerSlot/c.nodes)
			s.tokens = min(s.tokens, c.rng.Float64())
		}
	}
	if n > 0 && sum/n > coldOver*c.pooled { // the mean goes on from there: no answer yet is no news
		c.pooled, c.goesOn = sum/n/coldOver, true
	}
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
	c.acts, c.now = c.acts[:0], max(now, c.now)
	if !c.started {
		c.started, c.slotAt = true, c.now
		c.wake()
		if c.set.AskDiscovery {
			c.act(Subscribe{true})
		}
	}
	c.wakeUp()
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
		c.drop(c.calls[ev.Call], false)
	case Timer:
		if ev.Cookie == slotCookie {
			c.onSlot()
		}
	case Probed:
		c.onReport(c.byID[ev.Server], ev.Report)
	case FleetSize:
		c.onFleet(ev)
	case Reconfigured:
		c.configure(ev.Settings)
	case Remembered:
		c.onRemembered(ev)
	}
	return c.acts
}

// wake asks for the next slot.
func (c *Controller) wake() {
	c.wakeAt = c.now + c.t0
	c.act(Wake{slotCookie, c.t0})
}

// wakeUp guards against the node's own stall, told by a slot timer late by more than a slot: slots and ages
// run on the time awake, or it would be taken for every server's queue. What is held is due by the clock.
func (c *Controller) wakeUp() {
	late := c.now - c.wakeAt
	if late <= c.t0 {
		return
	}
	c.wakeAt, c.wokeAt, c.late = c.now, c.now, late
	c.slept, c.slotAt = c.slept+late, c.slotAt+late
	for _, k := range c.queue {
		k.due -= int(late / c.t0)
	}
}

// awake is the clock less the time that the node stood still.
func (c *Controller) awake() time.Duration { return c.now - c.slept }

func (c *Controller) onList(l ServerList) {
	if l.Kind == ListFailed {
		c.askAt = c.now + time.Duration((1+c.rng.Float64())*float64(askAgain)) // from onSlot
		return
	}
	if l.Kind != ListDelta {
		for _, s := range c.servers { // until the list names it below
			s.Phase = Gone
		}
	}
	for _, in := range l.Servers {
		s := c.byID[in.ID]
		if s == nil {
			s = &server{trust: 1, coldAt: -1, freeAt: -lineNews, latency: c.holdAim.Seconds() / 2}
			s.rate, s.tokens = unbounded, minDepth
			s.cutAt = c.awake() - quietTime
			s.goodAt = s.cutAt // none yet
			c.byID[in.ID] = s
			s.ID = in.ID
			c.servers = append(c.servers, s)
			slices.SortFunc(c.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
		}
		if in.Started > s.Started && c.now-in.Started < c.set.RampTime {
			c.chill(s, in.Started)
			s.closedUntil, s.closeFor, s.goodAt = 0, 0, c.awake()+1 // a start is good news
		}
		s.ServerInfo = in
	}
}

// chill puts a server on the budget of a cold one: it has just started, by the list or by an outage seen.
func (c *Controller) chill(s *server, at time.Duration) {
	s.coldAt = at
	s.tokens = min(s.tokens, c.rng.Float64())
	c.cut(s, c.coldRate(s), "cold") // whatever held it before has ended with its process
}

// cut lowers a gate and its ring. An open gate gets a phase of its own: nodes told alike act not in step.
func (c *Controller) cut(s *server, rate float64, why string) {
	if math.IsInf(s.rate, 1) {
		s.tokens = min(s.tokens, c.rng.Float64())
	}
	s.rate, s.cutAt = max(rate, minPerSlot/c.nodes), c.awake()
	s.ring.cap(max(0, (s.rate-s.lambda)*c.t0.Seconds()))
	c.log(s, "%s, hold to %.2f/s", why, s.rate)
}

// coldRate is this node's share of what a warming server can do. Nobody is told its capacity: the best that
// it was seen to answer stands for it, and for one never seen warm the best of any, by size.
func (c *Controller) coldRate(s *server) float64 {
	warm, ref := 1.0, min(c.ref, coldOver*c.pooled)*c.share(s)
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
	k := &call{Call: ev, set: c.set, deadline: c.now + ev.Left - closeTicks*max(c.set.Tick, time.Millisecond)}
	k.class = Class{Aim: c.aim, Worth: 1, LateShare: 1}
	if ev.Class >= 0 && ev.Class < len(c.set.Classes) {
		k.class = c.set.Classes[ev.Class]
	}
	k.first = c.firstTry(k)
	c.calls[ev.ID] = k
	c.queue = append(c.queue, k)
	c.mean = cmp.Or(c.mean, k.class.Worth)
	c.mean += (c.worthAt(k, c.now) - c.mean) * 0.01
	if s := c.destination(k); s != nil {
		s.fresh++
	}
	if c.now == c.wokeAt && k.first+k.class.Aim-c.now > 2*c.holdAim { // not all at once
		c.hold(k, c.rng.IntN(firstOffset+1))
		return
	}
	c.place(k)
}

// firstTry is when the caller first tried, from which its aim runs. A redial is known by the number called.
func (c *Controller) firstTry(k *call) time.Duration {
	key := redialKey{k.Key, uint64(k.Class)}
	if old, ok := c.turned[key]; ok && k.Key != 0 && (k.DialedAgain || !c.set.MarksRedials) {
		delete(c.turned, key)
		return old.first
	}
	if k.DialedAgain {
		return c.now - max(0, k.class.Deadline-k.Left)
	}
	if c.now == c.wokeAt { // it may have waited while the node stood still
		return c.now - min(max(0, c.usual[k.Class]-k.Left), c.late)
	}
	c.usual[k.Class] = k.Left
	return c.now
}

// drop ends a call. One that did not stand is kept until its deadline, so that its redial is known.
func (c *Controller) drop(k *call, stood bool) {
	if k == nil {
		return
	}
	if !stood && k.Key != 0 {
		c.turned[redialKey{k.Key, uint64(k.Class)}] = turnedCall{k.first, k.first + k.class.Deadline}
	}
	k.ended, k.held = true, false
	delete(c.calls, k.ID)
}

// worthAt is what a call earns if it stands at a time.
func (c *Controller) worthAt(k *call, at time.Duration) float64 {
	if at >= k.first+k.class.Aim {
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
	switch {
	case s.Phase != Ready, c.now < s.closedUntil, s.closeFor > 0 && len(s.out) > 0,
		c.set.Mesh && s.Number == c.set.Home, k.InTransit && s.Number != k.Destination,
		!c.set.Mesh && k.class.Pools != nil && !slices.Contains(k.class.Pools, s.Number),
		c.now-s.freeAt < lineNews && s.free < k.Circuits:
		return false
	}
	if !k.ran || k.class.Repeat == Repeatable {
		return true
	}
	// An attempt may have run: the same effect may not happen twice.
	same := k.class.Scope == ScopeAll || k.class.Scope == ScopeZone && s.Zone == k.ranZone
	return k.class.Repeat == Keyed && c.now-k.ranAt < k.class.Window && (same || s.Number == k.ranCell)
}

// delay is how long a set-up sent now would wait: as the last ones did, or as the oldest unanswered one does.
func (c *Controller) delay(s *server) float64 {
	oldest, _ := c.waiting(s)
	return max(s.latency, oldest.Seconds())
}

// waiting is the age of the oldest set-up that may still wait in line, served in order, at a server.
func (c *Controller) waiting(s *server) (oldest time.Duration, n float64) {
	for _, o := range s.out {
		if !o.passed {
			oldest, n = max(oldest, c.awake()-o.sent), n+1
		}
	}
	return oldest, n
}

func (c *Controller) pressed(s *server) bool { return c.delay(s) > c.holdAim.Seconds() }

// admits says whether the gate lets the call pass. A call worth much more than the mean may overdraw
// the bucket, one worth much less leaves a part: what is scarce goes to the call worth more.
func (c *Controller) admits(s *server, k *call) bool {
	// Answers tell of a queue only once it stands: a wave through an open gate is over by then. So no more go
	// unanswered than a warm server answers in a part of the aim, one at the least, and one at a cold server.
	_, n := c.waiting(s)
	most := max(1, min(leastOut, fleetOut/c.nodes), c.ref*c.share(s)*c.aim.Seconds()*outAims)
	if n >= most || n > 0 && s.coldAt >= 0 {
		return false
	}
	if math.IsInf(s.rate, 1) {
		return true
	}
	need := 1.0
	if w := c.worthAt(k, c.now+seconds(c.delay(s))); w >= worthier*c.mean && s.coldAt < 0 {
		need -= min(overdraft, s.rate*debtTime.Seconds())
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
	if dest != nil && !c.pressed(dest) && (dest.trust >= 1 || c.rng.Float64() < dest.trust) {
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
		w := c.share(s) / (c.delay(s) + c.t0.Seconds())
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
	if c.spent(k) || c.now >= k.deadline {
		c.finish(k)
	} else if s := c.route(k); s != nil {
		c.send(s, k)
	} else {
		c.block(k)
	}
}

// ringFor is the server whose ring a blocked call borrows from: its destination, or the least delayed.
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
		c.hold(k, firstOffset)
		return
	case c.soon(s, k): // it goes with an answer to come
		c.line = append(c.line, k)
		c.hold(k, 1)
		return
	case s.b[s.head] > 0 && next <= last && k.chain < chainLength:
		s.b[s.head]--
		k.chain++
		c.hold(k, next)
		return
	default:
		if slot, n, ok := s.borrow(last, c.rng.Float64()); ok {
			k.chain = n
			c.hold(k, slot)
			return
		}
	}
	c.finish(k)
}

// soon says whether nothing but set-ups not answered yet stands between a call and a server that answers
// within aim, and whether as many answers as calls that wait for one will have come before the call's aim.
func (c *Controller) soon(s *server, k *call) bool {
	left, each := k.first+k.class.Aim-c.holdAim-c.now, s.latency
	if s.answered == 0 { // its delay is a guess, and a call that waits is asked again in each slot
		each = c.aim.Seconds() * guessAims
	}
	return math.IsInf(s.rate, 1) && !c.pressed(s) && s.coldAt < 0 && c.awake()-s.cutAt >= quietTime &&
		len(c.line) < lineMost && float64(len(c.line)+1)*each < left.Seconds()
}

// follow lets the worthiest call that waits for an answer go once one has come.
func (c *Controller) follow() {
	c.line = slices.DeleteFunc(c.line, func(k *call) bool { // sent since, or held for another reason
		return k.ended || k.out || !k.held || k.due > c.slot+1 || c.now+c.t0 >= k.deadline
	})
	var best *call
	for _, k := range c.line {
		if best == nil || c.worthAt(k, c.now) > c.worthAt(best, c.now) {
			best = k
		}
	}
	if best != nil {
		if s := c.route(best); s != nil {
			best.held = false
			c.send(s, best)
		}
	}
}

func (c *Controller) spent(k *call) bool {
	return k.set.MaxAttempts > 0 && k.attempts >= k.set.MaxAttempts
}

// hold keeps a call for some slots, unless none comes in time to answer it.
func (c *Controller) hold(k *call, slots int) {
	if k.held, k.due = true, c.slot+slots; max(c.wakeAt, k.after) >= k.deadline {
		c.finish(k)
	}
}

func (c *Controller) send(s *server, k *call) {
	if !math.IsInf(s.rate, 1) {
		s.tokens--
	}
	s.out = append(s.out, outstanding{call: k.ID, attempt: k.attempts, sent: c.awake()})
	k.out, k.attempts = true, k.attempts+1
	c.act(Attempt{k.ID, s.ID, k.deadline - c.now})
}

// finish gives the final answer: a refusal where no attempt may have run, else the call has failed.
func (c *Controller) finish(k *call) {
	if k.ran && (k.class.Repeat == NonRepeatable || k.class.Repeat == Keyed && k.class.Scope != ScopeAll) {
		c.act(Abandon{k.ID})
	} else {
		spread := 0.25 + 0.75*c.rng.Float64() // of the redials
		c.act(Refuse{k.ID, time.Duration(spread * float64(k.set.MaxRetryAfter))})
	}
	c.drop(k, false)
}

func (c *Controller) onStanding(ev Standing) {
	if s := c.byID[ev.Server]; s != nil {
		if o := s.settle(ev.Call, ev.Attempt); o != nil {
			s.pass(o.sent - c.t0)
			c.loss -= c.loss * lossGain
			if age := c.awake() - o.sent; ev.Elapsed < age+c.t0 || age.Seconds() > s.latency {
				c.sample(s, min(age, ev.Elapsed).Seconds())
			}
			s.count, s.fails, s.answered, s.closeFor = s.count+1, 0, c.awake(), 0
		}
	}
	c.drop(c.calls[ev.Call], true)
	c.follow()
}

func (c *Controller) sample(s *server, d float64) {
	if s.answered == 0 { // there was but a guess
		s.latency = min(d, s.latency)
	}
	s.latency += (d - s.latency) * latencyGain
	if d <= c.holdAim.Seconds() {
		s.goodAt = c.awake()
	}
}

// settle takes an attempt off the outstanding ones.
func (s *server) settle(id uint64, attempt int) *outstanding {
	for i, o := range s.out {
		if o.call == id && o.attempt == attempt {
			s.out = slices.Delete(s.out, i, i+1)
			return &o
		}
	}
	return nil
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
		o := s.settle(ev.Call, ev.Attempt)
		if o != nil && o.passed && (ev.Outcome == TimedOut || ev.Outcome == Cancelled) {
			c.loss += (1 - c.loss) * lossGain
		} else if o != nil {
			ev.Elapsed = min(ev.Elapsed, c.awake()-o.sent)
			c.judge(s, ev)
		}
	}
	if ev.Ended {
		c.drop(k, false)
		return
	}
	if k == nil || !k.out || ev.Attempt != k.attempts-1 {
		return
	}
	k.out = false
	never := ev.Outcome == TurnedAway || ev.Outcome == NoConnection || ev.Outcome == NotSent
	if !never && !k.ran && s != nil {
		k.ran, k.ranAt, k.ranZone, k.ranCell = true, c.now-ev.Elapsed, s.Zone, s.Number
	}
	switch ev.Outcome {
	case TimedOut, Reset, Cancelled: // its circuits may stay taken until the guard has passed
		k.after = c.now + k.set.ReleaseGuard
		c.hold(k, int(k.set.ReleaseGuard/c.t0)+1)
	case Completed: // it stood and has ended, and its answer was late or lost: a second one is not to stand
		c.finish(k)
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
		// Lines all taken, or full beside fast answers, is no long queue, but more than the server takes.
		queue := ev.Full && (c.pressed(s) || c.awake()-s.answered >= c.aim)
		if ev.Outcome == TurnedAway && !ev.Full {
			s.free, s.freeAt = 0, c.now
		}
		if queue {
			c.sample(s, max(ev.Elapsed, ev.Wait, 2*c.aim).Seconds())
			s.answered = c.awake()
		} else if ev.Outcome == TurnedAway && c.awake()-s.cutAt >= c.holdAim {
			c.cut(s, min(s.rate, c.believed(s)), "no line free or more than it takes")
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

// shut closes a server for a while that doubles, then lets one attempt at a time try it.
func (c *Controller) shut(s *server, why string, down bool) {
	s.closeFor = min(max(2*s.closeFor, firstClosed), longestClose)
	s.closedUntil = c.now + time.Duration((0.75+0.5*c.rng.Float64())*float64(s.closeFor))
	if down {
		c.chill(s, c.now)
	}
	c.log(s, "%s, closed for %v", why, s.closeFor)
}

func (c *Controller) onReport(s *server, report []float64) {
	if s == nil || len(report) < 2 || !(report[0] >= 0) || !(report[1] > 0) {
		return
	}
	s.free, s.size, s.freeAt = report[0], report[1], c.now
	for i, name := range c.set.ReportFields {
		var wait float64
		switch {
		case i >= len(report) || !(report[i] >= 0) || math.IsInf(report[i], 0):
			continue
		case name == "lat_ms":
			wait = report[i] / 1000
		case name == "q": // at the pace of a warm server, all nodes together
			wait = report[i] / max(max(s.best, c.share(s)*c.pooled)*c.nodes, 1)
		default:
			continue
		}
		// Calls that end bring reports, which tell of the line where no answers come, and cost no set-up.
		if c.awake()-s.answered > c.holdAim {
			c.sample(s, wait)
			if wait < c.holdAim.Seconds() { // a report may be an aim old
				s.pass(c.awake() - c.aim)
			}
		}
	}
}

func (c *Controller) onSlot() {
	c.wake()
	if c.set.AskDiscovery && c.askAt > 0 && c.now >= c.askAt {
		c.act(Subscribe{true})
		c.askAt = 0
	}
	for n := 0; c.now >= c.slotAt+c.t0 && n < answerSlots; n++ {
		c.slotAt, c.slot = c.slotAt+c.t0, c.slot+1
		c.survey()
		c.mourn()
		for _, s := range c.servers {
			c.turn(s)
		}
	}
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		if s.Phase != Gone {
			s.goneAt = c.now
		}
		old := c.now-s.goneAt > keepGone && len(s.out) == 0
		if old {
			delete(c.byID, s.ID)
		}
		return old
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
	c.line = c.line[:0] // all of it is due, and waits again if it has to
	for _, k := range due {
		c.place(k)
	}
	c.queue = slices.DeleteFunc(c.queue, func(k *call) bool { return k.ended })
}

// survey sums over servers what a slot at one of them is too short to tell.
func (c *Controller) survey() {
	var n, known, size, recent float64
	c.offered, c.least = 0, unbounded
	for _, s := range c.servers {
		c.offered += s.lambda
		if s.Phase == Ready && s.size > 0 {
			known, size, c.least = known+1, size+s.size, min(c.least, s.size)
		}
	}
	c.meanSize = size / max(known, 1)
	for _, s := range c.servers {
		if s.Phase == Ready && s.coldAt < 0 {
			n, recent = n+c.share(s), recent+s.recent
		}
	}
	gain := c.t0.Seconds() / steadyRate.Seconds()
	if !c.goesOn {
		gain = max(gain, 1/float64(c.slot))
	}
	if c.ref *= 1 - c.t0.Seconds()/refTime.Seconds(); n > 0 {
		c.pooled += (recent/n - c.pooled) * gain
	}
}

// share is a server's size against the mean, by its lines, as far as they are told: servers differ much.
func (c *Controller) share(s *server) float64 {
	if c.meanSize == 0 {
		return 1
	}
	return cmp.Or(s.size, c.least) / c.meanSize
}

func (c *Controller) step(s *server) float64 {
	return c.share(s) * max(min(1, minGrowth/c.nodes), growPart*c.ref)
}

// believed leans a server's answered rate on the mean, or on its lower gate, as far as the count is small.
func (c *Controller) believed(s *server) float64 {
	mean := c.pooled * c.share(s)
	n := mean * steadyRate.Seconds() / priorCount
	return s.recent + (min(s.rate, mean)-s.recent)/(1+n*n)
}

// grow lets a gate within aim grow for a slot. Until good news has come since the cut it may only try: tries
// by each of hundreds of nodes keep a queue of seconds standing.
func (c *Controller) grow(s *server) {
	least := c.step(s)
	if s.coldAt >= 0 {
		least = max(least, c.coldRate(s)) // its budget is there, whatever held it before
	}
	quiet := max(1, (c.awake()-s.cutAt).Seconds()/quietTime.Seconds())
	step := min(4, quiet) * max(growth*s.rate, least) * c.t0.Seconds()
	if s.goodAt <= s.cutAt {
		step = min(step, max(0, probePart*c.pooled*c.share(s)-s.rate))
	}
	if s.rate += step; s.rate > c.offered && s.coldAt < 0 {
		s.rate = unbounded
	}
}

// turn ends a slot at a server: its rate falls, grows or is freed, its ring shifts.
func (c *Controller) turn(s *server) {
	t0 := c.t0.Seconds()
	gain := max(2.0/(answerSlots+1), 1/float64(c.slot))
	s.recent += (s.count/t0 - s.recent) * gain
	s.lambda += (s.fresh/t0 - s.lambda) * gain
	s.count, s.fresh = 0, 0
	rate := c.believed(s)
	if len(s.out) == 0 && c.awake()-s.answered > idleHalf {
		s.latency *= math.Exp2(-c.t0.Seconds() / idleHalf.Seconds())
	}
	if d, hold := c.delay(s), c.holdAim.Seconds(); d > hold {
		if s.trust = 0; c.awake()-s.cutAt >= seconds(d) { // what is past the hold aim is to go within an aim
			drain := max(minDrain, 1-(d-hold)/c.aim.Seconds())
			c.cut(s, rate*drain, fmt.Sprintf("answers take %.0f ms", d*1000))
		}
	} else {
		s.trust = min(1, s.trust+t0/(recoverAims*c.aim.Seconds()))
		c.grow(s)
	}
	if s.coldAt >= 0 && c.now-s.coldAt >= c.set.RampTime {
		s.coldAt = -1
	}
	if s.coldAt >= 0 {
		s.rate = min(s.rate, c.coldRate(s))
	} else {
		gain = t0 / refTime.Seconds()
		if rate > s.best { // slowly too: a short count is chance
			gain = max(t0/steadyRate.Seconds(), 1/float64(c.slot))
		}
		s.best += (rate - s.best) * gain
		c.ref = max(c.ref, s.best/c.share(s))
	}
	s.refill(c.t0)
	s.ring.shift(max(0, (min(s.rate, s.lambda+rate+c.step(s))-s.lambda)*t0))
}

// mourn guards against cuts for a set-up that is lost and does not wait: one was lost lately, and its server
// has answered fast within an aim, as hardly one with so long a line does. A line that grows in that time
// hides for as long as what is answered comes fast.
func (c *Controller) mourn() {
	for _, s := range c.servers {
		if c.loss > lossOnce && s.latency <= c.holdAim.Seconds() && c.awake()-s.answered < c.aim {
			s.pass(c.awake() - c.holdAim + 1)
		}
	}
}

// rescue calls off what was lost on its way, if a server may still set it up within its aim.
func (c *Controller) rescue() {
	for _, s := range c.servers {
		for i := range s.out {
			o, age := &s.out[i], c.awake()-s.out[i].sent
			o.passed = o.passed || age >= c.holdAim && c.loss > lossyPart && s.latency <= c.holdAim.Seconds()
			if o.passed && age >= c.holdAim && !o.called && c.again(c.calls[o.call]) {
				o.called = true
				c.act(Cancel{o.call, o.attempt})
				c.log(s, "a set-up is lost: called off after %.1f s", age.Seconds())
			}
		}
	}
}

// again says whether a call that is called off may be set up after all. What is late already may wait.
func (c *Controller) again(k *call) bool {
	if k == nil || !k.set.MayCancel || k.class.Repeat == NonRepeatable || c.spent(k) {
		return false
	}
	return slices.ContainsFunc(c.servers, func(s *server) bool {
		at := c.now + k.set.ReleaseGuard + seconds(c.delay(s))
		return c.open(s, k) && !c.pressed(s) && at < k.first+k.class.Aim
	})
}
