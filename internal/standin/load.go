package standin

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// LoadConfig configures a steady load for measurements: calls at regular intervals that all stand for the same time.
type LoadConfig struct {
	Seed     uint64
	Address  netip.AddrPort
	Node     sip.Peer
	Rate     float64       // calls per second
	HoldTime time.Duration // duration of a standing call
	Calls    int           // total number of calls
	Callers  int           // number of callers that place one call after another, instead of Rate; 0: use Rate
}

// Load places complete calls (INVITE, ACK, BYE) and measures their set-up times.
type Load struct {
	base
	cfg              LoadConfig
	placeTimer       timers.Timer
	SetUpTimes       *hdrhistogram.Histogram // microseconds
	Placed, Ended    int
	Answered, Failed int
}

// loadCall is a call of a Load.
type loadCall struct {
	load           *Load
	from           string
	callID         string
	remote, target string
	sentAt         time.Duration
	hasStood       bool
	holdTimer      timers.Timer
}

// NewLoad returns a load that begins with Start.
func NewLoad(cfg LoadConfig) *Load {
	l := &Load{cfg: cfg, SetUpTimes: hdrhistogram.New(1, 60_000_000, 3)}
	l.init(cfg.Address, cfg.Seed, l)
	l.layer.Times.Linger = 100 * time.Millisecond // short, so that ended transactions of the load hold little memory in the measurement
	return l
}

// Start implements actor.Actor.
func (l *Load) Start(now time.Duration) {
	l.clock(now)
	for range max(1, l.cfg.Callers) {
		l.place(now)
	}
}

// callEnded counts the end of a call and lets its caller place the next one.
func (l *Load) callEnded() {
	l.Ended++
	if l.cfg.Callers > 0 {
		l.place(l.now)
	}
}

// place places a call that was due at the given time and schedules the next one.
func (l *Load) place(due time.Duration) {
	if l.Placed >= l.cfg.Calls {
		return
	}
	l.Placed++
	c := &loadCall{load: l, from: "<sip:7" + strconv.Itoa(l.Placed) + "@" + l.id.SentBy(sip.UDP) + ">;tag=" + l.id.NewToken(),
		callID: l.id.NewToken() + l.id.NewToken(), sentAt: l.now}
	node := sip.HostPort(l.cfg.Node.Addr)
	m := sip.NewRequest(sip.INVITE, fmt.Sprintf("sip:1%05d@%s", l.id.Rand.IntN(100000), node), c.from, "<sip:1@"+node+">", c.callID, 1, 70)
	m.Add("Contact", l.id.Contact(l.cfg.Node.Transport))
	m.Add("Session-ID", c.callID+c.callID[:6]+";remote=00000000000000000000000000000000")
	m.Add("Supported", "timer")
	m.Add("Content-Type", "application/sdp")
	m.Body = []byte("v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 4000 RTP/AVP 8\r\n")
	m.Prepend("Via", l.id.NewVia(l.cfg.Node.Transport))
	l.layer.Start(m, l.cfg.Node, c)
	if l.cfg.Callers > 0 {
		return
	}
	due += time.Duration(float64(time.Second) / l.cfg.Rate)
	l.heap.Set(&l.placeTimer, due, func() { l.place(due) })
}

// inDialog returns a request within the dialog of a call.
func (l *Load) inDialog(c *loadCall, method string, seq uint32) *sip.Message {
	m := sip.NewRequest(method, c.target, c.from, c.remote, c.callID, seq, 70)
	m.Prepend("Via", l.id.NewVia(l.cfg.Node.Transport))
	return m
}

// Response implements transaction.User.
func (l *Load) Response(t *transaction.Client, m *sip.Message) {
	c, ok := t.UserData.(*loadCall)
	if !ok || m.Status < 200 {
		return
	}
	switch {
	case t.Request.Method == sip.BYE:
		l.callEnded()
	case m.Status >= 300:
		l.Failed++
		l.callEnded()
	case c.hasStood:
		l.send(l.cfg.Node, l.inDialog(c, sip.ACK, 1))
	default:
		c.hasStood = true
		l.Answered++
		_ = l.SetUpTimes.RecordValue(max(1, (l.now - c.sentAt).Microseconds()))
		c.remote, c.target = m.Get("To"), "sip:"+sip.HostPort(l.cfg.Node.Addr)
		if a, err := sip.ParseAddress(m.Get("Contact")); err == nil {
			c.target = a.URI.String()
		}
		l.send(l.cfg.Node, l.inDialog(c, sip.ACK, 1))
		l.heap.Set(&c.holdTimer, l.now+l.cfg.HoldTime, func() { l.layer.Start(l.inDialog(c, sip.BYE, 2), l.cfg.Node, c) })
	}
}

// Request implements transaction.User.
func (l *Load) Request(t *transaction.Server, m *sip.Message, _ sip.Peer) {
	if t != nil {
		t.Respond(sip.NewResponse(m, 200, "", ""))
	}
}

// Stray implements transaction.User.
func (l *Load) Stray(*sip.Message, sip.Peer) {}

// TimedOut implements transaction.User.
func (l *Load) TimedOut(t *transaction.Client, _ error) {
	if _, ok := t.UserData.(*loadCall); ok {
		l.Failed++
		l.callEnded()
	}
}

// Unacked implements transaction.User.
func (l *Load) Unacked(*transaction.Server, error) {}
