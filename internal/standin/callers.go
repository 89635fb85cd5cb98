package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// CallerClass describes the calls of one class as their callers place them.
type CallerClass struct {
	Name         string
	Prefix       string        // prefix of the numbers called
	Share        float64       // share of all calls, relative to the other classes
	Aim          time.Duration // target set-up time
	Deadline     time.Duration // limit for all tries together
	TryTimeout   time.Duration // a try is abandoned after this time
	MeanHoldTime time.Duration // mean duration of a call
	Worth        float64       // value of a call that stands within its aim
	LateShare    float64       // share of the worth of a call that stands after its aim
}

// CallersConfig configures a population of callers.
type CallersConfig struct {
	Seed              uint64
	Address           netip.AddrPort
	Node              netip.AddrPort
	Rate              float64 // calls per second
	Classes           []CallerClass
	MaxRedials        int           // maximum number of redials of a call
	RedialDelay       time.Duration // mean delay before a redial, unless Retry-After asks for more
	TCPShare          float64       // share of the calls placed over TCP
	EarlyAbandonShare float64       // share of the tries that the caller abandons early
	LargeShare        float64       // share of the calls with a body over the datagram limit
	NumbersPerClass   int           // number of different numbers called in each class; default 1000

	NextArrival  func(now time.Duration, rate float64) time.Duration // time of the next call; nil: a Poisson process
	PickNumber   func(class int) string                              // number to call; nil: one of NumbersPerClass at random
	CallDuration func(class int) time.Duration                       // duration of a standing call; nil: exponential with mean MeanHoldTime
	// RedialCutOffDelay is the mean delay before a call that was cut off is dialed again; 0: it is not.
	RedialCutOffDelay time.Duration
}

// ClassCounts count the calls of a class by outcome; all tries of a call count as one call.
//
// Left counts calls that the caller abandoned early, Unanswered those without a final response in time. Cut counts standing
// calls that a server cut, CutLate those of them that stood after their aim. Returned counts calls that were cut and then
// set up again within their aim; they no longer count as cut. The field names are keys of stored results.
type ClassCounts struct {
	Offered, InAim, Late, Refused, Failed, Unanswered, Left, Cut, CutLate, Returned, Redials uint64
}

// Callers simulates a population of callers.
type Callers struct {
	base
	cfg          CallersConfig
	Counts       []ClassCounts
	rate         float64
	arrivalTimer timers.Timer
	isStopped    bool
	calls        map[string]*dialedCall // by local tag
	callRand     *rand.Rand             // for the calls that are placed; separate from id.Rand, whose use depends on the outcome of calls
	openCalls    int
	callerNumber uint64
	OnSetUp      func(class int, d time.Duration) // called with the set-up time of each try that stood
}

// dialedCall is a call with all its tries.
type dialedCall struct {
	class                              int
	number                             string
	caller                             string
	firstTryAt                         time.Duration // time of the first try
	duration                           time.Duration // duration once it stands
	tryCount                           int
	useTCP                             bool
	body                               []byte
	tag                                string // local tag of the current try
	callID                             string
	invite                             *sip.Message // INVITE of the current try
	tx                                 *transaction.Client
	sentAt                             time.Duration
	remote, target                     string // remote address and target URI of the dialog
	peer                               sip.Peer
	hasStood                           bool
	wasCutOff                          bool // it stood before and was cut
	wasLate                            bool // it stood after its aim
	isDone                             bool
	abandonsEarly                      bool // the caller abandons the current try early
	cancelPending                      bool // the CANCEL waits for a 1xx
	tryTimer, hangUpTimer, redialTimer timers.Timer
}

// NewCallers returns a population that places calls from Start until Stop.
func NewCallers(cfg CallersConfig) *Callers {
	c := &Callers{cfg: cfg, rate: cfg.Rate, calls: map[string]*dialedCall{}, Counts: make([]ClassCounts, len(cfg.Classes))}
	if cfg.NumbersPerClass == 0 {
		c.cfg.NumbersPerClass = 1000
	}
	c.init(cfg.Address, cfg.Seed, c)
	c.callRand = rand.New(rand.NewPCG(cfg.Seed, 0x6469616c))
	return c
}

// Start implements actor.Actor.
func (c *Callers) Start(now time.Duration) {
	c.clock(now)
	c.scheduleArrival()
}

// SetRate sets the number of calls per second; 0 pauses.
func (c *Callers) SetRate(r float64) {
	c.rate = r
	c.scheduleArrival()
}

// Stop stops placing calls. Open calls continue, including their redials.
func (c *Callers) Stop() {
	c.isStopped = true
	c.heap.Stop(&c.arrivalTimer)
}

// OpenCalls returns the number of calls that are being set up, wait for a redial or stand.
func (c *Callers) OpenCalls() int { return c.openCalls }

// HangUpAll ends all standing calls.
func (c *Callers) HangUpAll() {
	for _, tag := range slices.Sorted(maps.Keys(c.calls)) {
		if call := c.calls[tag]; call != nil && call.hasStood {
			c.bye(call)
		}
	}
}

// scheduleArrival schedules the next call.
func (c *Callers) scheduleArrival() {
	if c.isStopped || c.rate <= 0 {
		c.heap.Stop(&c.arrivalTimer)
		return
	}
	var at time.Duration
	if c.cfg.NextArrival != nil {
		at = c.cfg.NextArrival(c.now, c.rate)
	} else {
		at = c.now + time.Duration(c.callRand.ExpFloat64()/c.rate*float64(time.Second))
	}
	c.heap.Set(&c.arrivalTimer, at, func() {
		c.Dial(c.pickClass())
		c.scheduleArrival()
	})
}

// pickClass draws the class of the next call.
func (c *Callers) pickClass() int {
	sum := 0.0
	for _, cl := range c.cfg.Classes {
		sum += cl.Share
	}
	x := c.callRand.Float64() * sum
	for i, cl := range c.cfg.Classes {
		if x -= cl.Share; x < 0 {
			return i
		}
	}
	return len(c.cfg.Classes) - 1
}

// Dial places a call of a class.
func (c *Callers) Dial(class int) {
	c.callerNumber++
	call := &dialedCall{class: class, firstTryAt: c.now, useTCP: c.callRand.Float64() < c.cfg.TCPShare,
		number: fmt.Sprintf("%s%05d", c.cfg.Classes[class].Prefix, c.callRand.IntN(c.cfg.NumbersPerClass)),
		caller: fmt.Sprintf("7%08d", c.callerNumber)}
	if c.cfg.PickNumber != nil {
		call.number = c.cfg.PickNumber(class)
	}
	call.body = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 8\r\n")
	if c.callRand.Float64() < c.cfg.LargeShare {
		call.body = append(call.body, strings.Repeat("a=x-pad:0123456789012345678901234567890123456789\r\n", 30)...)
	}
	call.duration = time.Duration(c.callRand.ExpFloat64() * float64(c.cfg.Classes[class].MeanHoldTime))
	if c.cfg.CallDuration != nil {
		call.duration = c.cfg.CallDuration(class)
	}
	c.Counts[class].Offered++
	c.openCalls++
	c.try(call)
}

// try starts a new try of a call.
func (c *Callers) try(call *dialedCall) {
	callClass := c.cfg.Classes[call.class]
	t := sip.UDP
	if call.useTCP {
		t = sip.TCP
	}
	call.tag, call.callID, call.sentAt, call.abandonsEarly = c.id.NewToken(), c.id.NewToken()+c.id.NewToken(), c.now, false
	node := sip.HostPort(c.cfg.Node)
	m := sip.NewRequest(sip.INVITE, "sip:"+call.number+"@"+node, "<sip:"+call.caller+"@"+c.id.SentBy(sip.UDP)+">;tag="+call.tag,
		"<sip:"+call.number+"@"+node+">", call.callID, 1, 70)
	m.Add("Contact", c.id.Contact(t))
	m.Add("Session-ID", call.tag+call.tag[:6]+call.tag+";remote=00000000000000000000000000000000")
	if call.tryCount > 0 {
		m.Add(sip.RedialHeader, strconv.Itoa(call.tryCount))
		c.Counts[call.class].Redials++
	}
	m.Add("Content-Type", "application/sdp")
	m.Body = call.body
	m.Prepend("Via", c.id.NewVia(t))
	call.invite = m
	call.tryCount++
	call.peer = sip.Peer{Transport: t, Addr: c.cfg.Node}
	c.calls[call.tag] = call
	call.tx = c.layer.Start(m, call.peer, call)
	timeout := callClass.TryTimeout
	if c.id.Rand.Float64() < c.cfg.EarlyAbandonShare {
		timeout = time.Duration(c.id.Rand.Float64() * float64(timeout))
		call.abandonsEarly = true
	}
	c.heap.Set(&call.tryTimer, c.now+timeout, func() { c.abandon(call) })
}

// abandon ends a call whose caller stops waiting, with a CANCEL.
func (c *Callers) abandon(call *dialedCall) {
	if call.hasStood || call.isDone {
		return
	}
	if call.tx.HasProvisional() {
		c.layer.Start(transaction.CancelFor(call.invite), call.peer, nil)
	} else {
		call.cancelPending = true
	}
	call.tx.StopRetransmitting()
	switch {
	case call.wasCutOff:
	case call.abandonsEarly:
		c.Counts[call.class].Left++
	default:
		c.Counts[call.class].Unanswered++
	}
	c.finish(call)
}

// finish removes a call.
func (c *Callers) finish(call *dialedCall) {
	if call.isDone {
		return
	}
	call.isDone = true
	c.openCalls--
	c.heap.Stop(&call.tryTimer)
	c.heap.Stop(&call.hangUpTimer)
	delete(c.calls, call.tag)
}

// Response implements transaction.User.
func (c *Callers) Response(t *transaction.Client, m *sip.Message) {
	call, ok := t.UserData.(*dialedCall)
	if !ok || t != call.tx {
		return
	}
	if m.Status < 200 {
		if call.cancelPending { // abandoned before any 1xx: the CANCEL had to wait (RFC 3261, section 9.1)
			call.cancelPending = false
			c.layer.Start(transaction.CancelFor(call.invite), call.peer, nil)
		}
		return
	}
	if m.Status < 300 {
		c.accepted(call, m)
		return
	}
	if call.isDone {
		return
	}
	c.heap.Stop(&call.tryTimer)
	delete(c.calls, call.tag)
	callClass := c.cfg.Classes[call.class]
	wait := time.Duration((0.5 + c.id.Rand.Float64()) * float64(c.cfg.RedialDelay))
	if secs, err := strconv.Atoi(m.Get("Retry-After")); err == nil {
		wait = max(wait, time.Duration(secs)*time.Second)
	}
	if call.tryCount <= c.cfg.MaxRedials && c.now+wait+callClass.TryTimeout < call.firstTryAt+callClass.Deadline &&
		m.Status != 486 && m.Status != 487 {
		c.heap.Set(&call.redialTimer, c.now+wait, func() { c.try(call) })
		return
	}
	switch {
	case call.wasCutOff: // already counted as cut
	case m.Status == 503 || m.Status == 480:
		c.Counts[call.class].Refused++
	default:
		c.Counts[call.class].Failed++
	}
	c.finish(call)
}

// accepted processes a 2xx to an INVITE.
func (c *Callers) accepted(call *dialedCall, m *sip.Message) {
	target := "sip:" + sip.HostPort(call.peer.Addr)
	if a, err := sip.ParseAddress(m.Get("Contact")); err == nil {
		target = a.URI.String()
	}
	call.remote, call.target = m.Get("To"), target
	c.send(call.peer, c.inDialog(call, sip.ACK, 1))
	if call.hasStood {
		return // a retransmission of the 2xx
	}
	if call.isDone { // abandoned: the 2xx crossed the CANCEL
		c.layer.Start(c.inDialog(call, sip.BYE, 2), call.peer, nil)
		return
	}
	call.hasStood = true
	c.heap.Stop(&call.tryTimer)
	callClass := c.cfg.Classes[call.class]
	if c.OnSetUp != nil {
		c.OnSetUp(call.class, c.now-call.sentAt)
	}
	if call.wasCutOff {
		if c.now-call.firstTryAt <= callClass.Aim {
			c.Counts[call.class].Cut--
			c.Counts[call.class].Returned++
			if call.wasLate {
				c.Counts[call.class].CutLate--
			}
		}
	} else if c.now-call.firstTryAt <= callClass.Aim {
		c.Counts[call.class].InAim++
	} else {
		c.Counts[call.class].Late++
		call.wasLate = true
	}
	c.heap.Set(&call.hangUpTimer, c.now+call.duration, func() { c.bye(call) })
}

// inDialog returns a request within the dialog of a call.
func (c *Callers) inDialog(call *dialedCall, method string, seq uint32) *sip.Message {
	m := sip.NewRequest(method, call.target, call.invite.Get("From"), call.remote, call.callID, seq, 70)
	m.Add("Session-ID", call.invite.Get("Session-ID"))
	m.Prepend("Via", c.id.NewVia(call.peer.Transport))
	return m
}

// bye hangs up a standing call.
func (c *Callers) bye(call *dialedCall) {
	if call.isDone {
		return
	}
	c.layer.Start(c.inDialog(call, sip.BYE, 2), call.peer, nil)
	c.finish(call)
}

// Request implements transaction.User. It handles a BYE from the server and other requests within a dialog. A BYE with a
// Reason means that the call was cut.
func (c *Callers) Request(t *transaction.Server, m *sip.Message, _ sip.Peer) {
	if t == nil {
		return
	}
	call := c.calls[m.Tag("To")]
	if call == nil || !call.hasStood {
		t.Respond(sip.NewResponse(m, 481, "", ""))
		return
	}
	t.Respond(sip.NewResponse(m, 200, "", ""))
	if m.Method == sip.BYE {
		wasCutOff := m.Has("Reason")
		if wasCutOff {
			c.Counts[call.class].Cut++
			if call.wasLate {
				c.Counts[call.class].CutLate++
			}
		}
		c.finish(call)
		if wasCutOff && c.cfg.RedialCutOffDelay > 0 && !c.isStopped {
			c.redialCutOff(call)
		}
	}
}

// redialCutOff dials again a call that was cut off. Its aim and deadline start anew; if it stands within its aim it no longer
// counts as cut.
func (c *Callers) redialCutOff(previous *dialedCall) {
	call := &dialedCall{class: previous.class, number: previous.number, caller: previous.caller, useTCP: previous.useTCP, body: previous.body,
		duration: previous.duration, wasCutOff: true, wasLate: previous.wasLate}
	c.openCalls++
	wait := time.Duration((0.5 + c.id.Rand.Float64()) * float64(c.cfg.RedialCutOffDelay))
	c.heap.Set(&call.redialTimer, c.now+wait, func() {
		call.firstTryAt = c.now
		c.try(call)
	})
}

// Stray implements transaction.User.
func (c *Callers) Stray(*sip.Message, sip.Peer) {}

// TimedOut implements transaction.User.
func (c *Callers) TimedOut(t *transaction.Client, _ error) {
	if call, ok := t.UserData.(*dialedCall); ok && t == call.tx && !call.hasStood && !call.isDone {
		if !call.wasCutOff {
			c.Counts[call.class].Unanswered++
		}
		c.finish(call)
	}
}

// Unacked implements transaction.User.
func (c *Callers) Unacked(*transaction.Server, error) {}

// Add adds o to the counts.
func (c *ClassCounts) Add(o ClassCounts) {
	c.Offered += o.Offered
	c.InAim += o.InAim
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Unanswered += o.Unanswered
	c.Left += o.Left
	c.Cut += o.Cut
	c.CutLate += o.CutLate
	c.Returned += o.Returned
	c.Redials += o.Redials
}

// Sub returns the difference to an earlier count.
func (c ClassCounts) Sub(o ClassCounts) ClassCounts {
	return ClassCounts{c.Offered - o.Offered, c.InAim - o.InAim, c.Late - o.Late, c.Refused - o.Refused, c.Failed - o.Failed,
		c.Unanswered - o.Unanswered, c.Left - o.Left, c.Cut - o.Cut, c.CutLate - o.CutLate, c.Returned - o.Returned, c.Redials - o.Redials}
}

// Served returns the worth of the calls that stood and were not cut, as a share of the worth offered. A call that stood
// after its aim counts with its class's late share.
func Served(classes []CallerClass, counts []ClassCounts) float64 {
	var servedWorth, offeredWorth float64
	for i, n := range counts {
		cl := classes[i]
		servedWorth += cl.Worth * (float64(n.InAim) - float64(n.Cut) + float64(n.CutLate) + cl.LateShare*(float64(n.Late)-float64(n.CutLate)))
		offeredWorth += cl.Worth * float64(n.Offered-n.Left)
	}
	if offeredWorth == 0 {
		return 1
	}
	return max(0, servedWorth) / offeredWorth
}

// Served returns the share of the offered worth that this population was served.
func (c *Callers) Served() float64 { return Served(c.cfg.Classes, c.Counts) }

// SetNode sends further calls to another address of the node.
func (c *Callers) SetNode(node netip.AddrPort) { c.cfg.Node = node }
