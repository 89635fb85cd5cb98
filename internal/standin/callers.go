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

// CallerClass is a class of call as its callers make it.
type CallerClass struct {
	Name     string
	Prefix   string // of the numbers called
	Share    float64
	Aim      time.Duration
	Deadline time.Duration // all tries together
	Try      time.Duration // a try is given up after this
	Hold     time.Duration // mean length of a call
	Worth    float64
	Late     float64 // share of the worth after the aim
}

// CallersConfig describes a population of callers.
type CallersConfig struct {
	Seed      uint64
	Address   netip.AddrPort
	Node      netip.AddrPort
	Rate      float64 // calls a second
	Classes   []CallerClass
	Redials   int           // further tries at the most
	Back      time.Duration // mean wait before one, unless Retry-After says more
	TCP       float64       // share of the calls by TCP
	Impatient float64       // share of the calls that their caller leaves early
	Large     float64       // share with a body over the datagram limit
	Numbers   int           // how many numbers are called, by class

	Next   func(now time.Duration, rate float64) time.Duration // when the next call comes; nil: a Poisson process
	Called func(class int) string                              // number of a call; nil: one of Numbers
	Length func(class int) time.Duration                       // how long a call stands; nil: exponential
	Comes  time.Duration                                       // a call that is cut is dialled again after this, on average; 0: not
}

// ClassCounts are what became of a class's calls, each with all its tries.
//
// Cut are calls that stood and were cut; CutLate, those of them that had stood late; Returned, those that were cut and
// stood again in their time, which count as cut no longer.
type ClassCounts struct {
	Offered, InAim, Late, Refused, Failed, Unanswered, Left, Cut, CutLate, Returned, Redials uint64
}

// Callers is a population of callers.
type Callers struct {
	base
	cfg     CallersConfig
	Counts  []ClassCounts
	rate    float64
	next    timers.Timer
	stopped bool
	calls   map[string]*dialled // by own tag
	draws   *rand.Rand          // of what is dialled: apart from that of tokens and waits, which goes by how calls fare
	open    int
	serial  uint64
	SetUp   func(class int, d time.Duration) // told how long a try took to stand
}

// dialled is a call with its tries.
type dialled struct {
	class                  int
	number                 string
	caller                 string
	first                  time.Duration
	length                 time.Duration // that it will stand
	tries                  int
	tcp                    bool
	body                   []byte
	tag                    string
	callID                 string
	req                    *sip.Message
	tx                     *transaction.Client
	sent                   time.Duration
	to, tgt                string
	peer                   sip.Peer
	stood                  bool
	returns                bool // it stood before, and was cut
	late                   bool // it stood after its aim
	done                   bool
	leaving                bool
	owesCancel             bool
	patience, hang, redial timers.Timer
}

// NewCallers makes a population. It dials from Start on, and stops with Stop.
func NewCallers(cfg CallersConfig) *Callers {
	c := &Callers{cfg: cfg, rate: cfg.Rate, calls: map[string]*dialled{}, Counts: make([]ClassCounts, len(cfg.Classes))}
	if cfg.Numbers == 0 {
		c.cfg.Numbers = 1000
	}
	c.init(cfg.Address, cfg.Seed, c)
	c.draws = rand.New(rand.NewPCG(cfg.Seed, 0x6469616c))
	return c
}

// Start implements actor.Actor.
func (c *Callers) Start(now time.Duration) {
	c.clock(now)
	c.arrive()
}

// Rate changes how many calls a second are dialled; 0 pauses.
func (c *Callers) Rate(r float64) {
	c.rate = r
	c.arrive()
}

// Stop ends dialling; calls that are open go on, redials included.
func (c *Callers) Stop() {
	c.stopped = true
	c.heap.Stop(&c.next)
}

// Open is how many calls are dialled, wait for a further try or stand.
func (c *Callers) Open() int { return c.open }

// HangUpAll ends all standing calls now.
func (c *Callers) HangUpAll() {
	for _, tag := range slices.Sorted(maps.Keys(c.calls)) {
		if d := c.calls[tag]; d != nil && d.stood {
			c.bye(d)
		}
	}
}

func (c *Callers) arrive() {
	if c.stopped || c.rate <= 0 {
		c.heap.Stop(&c.next)
		return
	}
	var at time.Duration
	if c.cfg.Next != nil {
		at = c.cfg.Next(c.now, c.rate)
	} else {
		at = c.now + time.Duration(c.draws.ExpFloat64()/c.rate*float64(time.Second))
	}
	c.heap.Set(&c.next, at, func() {
		c.Dial(c.pick())
		c.arrive()
	})
}

func (c *Callers) pick() int {
	sum := 0.0
	for _, cl := range c.cfg.Classes {
		sum += cl.Share
	}
	x := c.draws.Float64() * sum
	for i, cl := range c.cfg.Classes {
		if x -= cl.Share; x < 0 {
			return i
		}
	}
	return len(c.cfg.Classes) - 1
}

// Dial starts a call of a class.
func (c *Callers) Dial(class int) {
	c.serial++
	d := &dialled{class: class, first: c.now, tcp: c.draws.Float64() < c.cfg.TCP,
		number: fmt.Sprintf("%s%05d", c.cfg.Classes[class].Prefix, c.draws.IntN(c.cfg.Numbers)),
		caller: fmt.Sprintf("7%08d", c.serial)}
	if c.cfg.Called != nil {
		d.number = c.cfg.Called(class)
	}
	d.body = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 8\r\n")
	if c.draws.Float64() < c.cfg.Large {
		d.body = append(d.body, strings.Repeat("a=x-pad:0123456789012345678901234567890123456789\r\n", 30)...)
	}
	d.length = time.Duration(c.draws.ExpFloat64() * float64(c.cfg.Classes[class].Hold))
	if c.cfg.Length != nil {
		d.length = c.cfg.Length(class)
	}
	c.Counts[class].Offered++
	c.open++
	c.try(d)
}

func (c *Callers) try(d *dialled) {
	cl := c.cfg.Classes[d.class]
	t := sip.UDP
	if d.tcp {
		t = sip.TCP
	}
	d.tag, d.callID, d.sent, d.leaving = c.id.Token(), c.id.Token()+c.id.Token(), c.now, false
	node := sip.HostPort(c.cfg.Node)
	m := sip.NewRequest(sip.INVITE, "sip:"+d.number+"@"+node, "<sip:"+d.caller+"@"+c.id.SentBy(sip.UDP)+">;tag="+d.tag,
		"<sip:"+d.number+"@"+node+">", d.callID, 1, 70)
	m.Add("Contact", c.id.Contact(t))
	m.Add("Session-ID", d.tag+d.tag[:6]+d.tag+";remote=00000000000000000000000000000000")
	if d.tries > 0 {
		m.Add(sip.RedialHeader, strconv.Itoa(d.tries))
		c.Counts[d.class].Redials++
	}
	m.Add("Content-Type", "application/sdp")
	m.Body = d.body
	m.Push("Via", c.id.Via(t))
	d.req = m
	d.tries++
	d.peer = sip.Peer{Transport: t, Addr: c.cfg.Node}
	c.calls[d.tag] = d
	d.tx = c.layer.Start(m, d.peer, d)
	patience := cl.Try
	if c.id.Rand.Float64() < c.cfg.Impatient {
		patience = time.Duration(c.id.Rand.Float64() * float64(patience))
		d.leaving = true
	}
	c.heap.Set(&d.patience, c.now+patience, func() { c.giveUp(d) })
}

func (c *Callers) giveUp(d *dialled) {
	if d.stood || d.done {
		return
	}
	if d.tx.Provisional() {
		c.layer.Start(transaction.CancelFor(d.req), d.peer, nil)
	} else {
		d.owesCancel = true
	}
	d.tx.Quiet()
	switch {
	case d.returns:
	case d.leaving:
		c.Counts[d.class].Left++
	default:
		c.Counts[d.class].Unanswered++
	}
	c.finish(d)
}

func (c *Callers) finish(d *dialled) {
	if d.done {
		return
	}
	d.done = true
	c.open--
	c.heap.Stop(&d.patience)
	c.heap.Stop(&d.hang)
	delete(c.calls, d.tag)
}

// Response implements transaction.User.
func (c *Callers) Response(t *transaction.Client, m *sip.Message) {
	d, ok := t.User.(*dialled)
	if !ok || t != d.tx {
		return
	}
	if m.Status < 200 {
		if d.owesCancel { // it was given up before any 1xx: the CANCEL had to wait (RFC 3261, section 9.1)
			d.owesCancel = false
			c.layer.Start(transaction.CancelFor(d.req), d.peer, nil)
		}
		return
	}
	if m.Status < 300 {
		c.stood(d, m)
		return
	}
	if d.done {
		return
	}
	c.heap.Stop(&d.patience)
	delete(c.calls, d.tag)
	cl := c.cfg.Classes[d.class]
	wait := time.Duration((0.5 + c.id.Rand.Float64()) * float64(c.cfg.Back))
	if secs, err := strconv.Atoi(m.Get("Retry-After")); err == nil {
		wait = max(wait, time.Duration(secs)*time.Second)
	}
	if d.tries <= c.cfg.Redials && c.now+wait+cl.Try < d.first+cl.Deadline && m.Status != 486 && m.Status != 487 {
		c.heap.Set(&d.redial, c.now+wait, func() { c.try(d) })
		return
	}
	switch {
	case d.returns: // counted as cut already
	case m.Status == 503 || m.Status == 480:
		c.Counts[d.class].Refused++
	default:
		c.Counts[d.class].Failed++
	}
	c.finish(d)
}

func (c *Callers) stood(d *dialled, m *sip.Message) {
	target := "sip:" + sip.HostPort(d.peer.Addr)
	if a, err := sip.ParseAddress(m.Get("Contact")); err == nil {
		target = a.URI.String()
	}
	d.to, d.tgt = m.Get("To"), target
	c.send(d.peer, c.inDialog(d, sip.ACK, 1))
	if d.stood {
		return // a repeat of the 2xx
	}
	if d.done { // given up: the 2xx crossed the CANCEL
		c.layer.Start(c.inDialog(d, sip.BYE, 2), d.peer, nil)
		return
	}
	d.stood = true
	c.heap.Stop(&d.patience)
	cl := c.cfg.Classes[d.class]
	if c.SetUp != nil {
		c.SetUp(d.class, c.now-d.sent)
	}
	if d.returns {
		if c.now-d.first <= cl.Aim {
			c.Counts[d.class].Cut--
			c.Counts[d.class].Returned++
			if d.late {
				c.Counts[d.class].CutLate--
			}
		}
	} else if c.now-d.first <= cl.Aim {
		c.Counts[d.class].InAim++
	} else {
		c.Counts[d.class].Late++
		d.late = true
	}
	c.heap.Set(&d.hang, c.now+d.length, func() { c.bye(d) })
}

func (c *Callers) inDialog(d *dialled, method string, seq uint32) *sip.Message {
	m := sip.NewRequest(method, d.tgt, d.req.Get("From"), d.to, d.callID, seq, 70)
	m.Add("Session-ID", d.req.Get("Session-ID"))
	m.Push("Via", c.id.Via(d.peer.Transport))
	return m
}

func (c *Callers) bye(d *dialled) {
	if d.done {
		return
	}
	c.layer.Start(c.inDialog(d, sip.BYE, 2), d.peer, nil)
	c.finish(d)
}

// Request implements transaction.User: a BYE from the far side, or a request inside the dialog.
func (c *Callers) Request(t *transaction.Server, m *sip.Message, _ sip.Peer) {
	if t == nil {
		return
	}
	d := c.calls[m.Tag("To")]
	if d == nil || !d.stood {
		t.Respond(sip.NewResponse(m, 481, "", ""))
		return
	}
	t.Respond(sip.NewResponse(m, 200, "", ""))
	if m.Method == sip.BYE {
		cut := m.Has("Reason")
		if cut {
			c.Counts[d.class].Cut++
			if d.late {
				c.Counts[d.class].CutLate++
			}
		}
		c.finish(d)
		if cut && c.cfg.Comes > 0 && !c.stopped {
			c.again(d)
		}
	}
}

// again dials a call that was cut once more; it has its whole time from then on, and standing again it is no longer cut.
func (c *Callers) again(old *dialled) {
	d := &dialled{class: old.class, number: old.number, caller: old.caller, tcp: old.tcp, body: old.body,
		length: old.length, returns: true, late: old.late}
	c.open++
	wait := time.Duration((0.5 + c.id.Rand.Float64()) * float64(c.cfg.Comes))
	c.heap.Set(&d.redial, c.now+wait, func() {
		d.first = c.now
		c.try(d)
	})
}

// Stray implements transaction.User.
func (c *Callers) Stray(*sip.Message, sip.Peer) {}

// TimedOut implements transaction.User.
func (c *Callers) TimedOut(t *transaction.Client, _ error) {
	if d, ok := t.User.(*dialled); ok && t == d.tx && !d.stood && !d.done {
		if !d.returns {
			c.Counts[d.class].Unanswered++
		}
		c.finish(d)
	}
}

// Unacked implements transaction.User.
func (c *Callers) Unacked(*transaction.Server, error) {}

// Add sums up.
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

// Less is what has come since an earlier count.
func (c ClassCounts) Less(o ClassCounts) ClassCounts {
	return ClassCounts{c.Offered - o.Offered, c.InAim - o.InAim, c.Late - o.Late, c.Refused - o.Refused, c.Failed - o.Failed,
		c.Unanswered - o.Unanswered, c.Left - o.Left, c.Cut - o.Cut, c.CutLate - o.CutLate, c.Returned - o.Returned, c.Redials - o.Redials}
}

// Served is the worth of the calls that stood in time and were not cut, over the worth offered.
func Served(classes []CallerClass, counts []ClassCounts) float64 {
	var got, all float64
	for i, n := range counts {
		cl := classes[i]
		got += cl.Worth * (float64(n.InAim) - float64(n.Cut) + float64(n.CutLate) + cl.Late*(float64(n.Late)-float64(n.CutLate)))
		all += cl.Worth * float64(n.Offered-n.Left)
	}
	if all == 0 {
		return 1
	}
	return max(0, got) / all
}

// Served is that of this population.
func (c *Callers) Served() float64 { return Served(c.cfg.Classes, c.Counts) }

// Move lets further calls go to another address of the node.
func (c *Callers) Move(node netip.AddrPort) { c.cfg.Node = node }
