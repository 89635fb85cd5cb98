package standin

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"larkrouter/internal/membership"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// ListConfig describes a list server.
type ListConfig struct {
	Seed    uint64
	Address netip.AddrPort
	Lag     time.Duration // news leave so late
	Expires time.Duration // longest subscription granted
	Fleet   bool          // nodes are told the fleet's size and their rank
}

// leaseGrace is how much longer than its subscription a node counts as one of the fleet; announceEvery, how often a
// changed size is told at the most.
const (
	leaseGrace    = 5 * time.Second
	announceEvery = time.Second
)

// ListServer is a notifier (RFC 6665) of the pool list.
type ListServer struct {
	base
	cfg     ListConfig
	version uint64
	servers map[uint32]pool.Server
	started map[uint32]time.Duration
	subs    map[string]*watcher // by own tag
	Skip    int                 // so many partial documents are left out for everyone, as a fault
	Refuse  bool                // SUBSCRIBEs are answered 503
	Notices int
	Lie     func(size int) int                                       // told in place of the size, as a fault
	LagOf   func(node string) time.Duration                          // more lag for some nodes, as a fault
	LagFor  func(s pool.Server) time.Duration                        // more lag for some news
	Wrong   func(s pool.Server) pool.Server                          // what is told of a server in place of the truth, as a fault
	Tell    func(node string, d pool.Document) (pool.Document, bool) // what a node is told instead; false: nothing
	members *membership.Ledger
	saying  timers.Timer
	ending  timers.Timer
	said    bool // an announcement is under way
}

type watcher struct {
	tag, callID, remote, local, target string
	name                               string
	to                                 sip.Peer
	seq                                uint32
	until                              time.Duration
	expiry                             timers.Timer
}

// NewList makes a list server that knows some servers.
func NewList(cfg ListConfig, servers ...pool.Server) *ListServer {
	l := &ListServer{cfg: cfg, version: 1, servers: map[uint32]pool.Server{}, started: map[uint32]time.Duration{},
		subs: map[string]*watcher{}, members: membership.NewLedger()}
	l.init(cfg.Address, cfg.Seed, l)
	for _, s := range servers {
		l.servers[s.ID] = s
	}
	return l
}

// Version is the list's version.
func (l *ListServer) Version() uint64 { return l.version }

// SetVersion lets the versions go on from another number, as after a restart from an old copy.
func (l *ListServer) SetVersion(v uint64) { l.version = v }

// Set takes a server's entry; the news of it leave after the lag. A new Run is a start at this time.
func (l *ListServer) Set(s pool.Server) {
	if old, ok := l.servers[s.ID]; s.Run != 0 && (!ok || old.Run != s.Run) {
		l.started[s.ID] = l.now
	}
	var t timers.Timer
	lag := l.cfg.Lag
	if l.LagFor != nil {
		lag += l.LagFor(s)
	}
	l.heap.Set(&t, l.now+lag, func() {
		l.servers[s.ID] = s
		l.version++
		if l.Skip > 0 {
			l.Skip--
			return
		}
		l.notifyAll(pool.Document{Version: l.version, State: "partial", Servers: []pool.Server{l.entry(s)}})
	})
}

// Get is a server's entry as the list has it.
func (l *ListServer) Get(id uint32) pool.Server { return l.servers[id] }

func (l *ListServer) entry(s pool.Server) pool.Server {
	if at, ok := l.started[s.ID]; ok {
		s.AgeMs = max(1, (l.now - at).Milliseconds())
	}
	if l.Wrong != nil {
		s = l.Wrong(s)
	}
	return s
}

// Retell tells all nodes the whole list anew, as after a change of what is told.
func (l *ListServer) Retell() {
	l.version++
	d := l.full()
	l.notifyAll(d)
}

func (l *ListServer) full() pool.Document {
	d := pool.Document{Version: l.version, State: "full"}
	for _, s := range l.servers {
		d.Servers = append(d.Servers, l.entry(s))
	}
	slices.SortFunc(d.Servers, func(a, b pool.Server) int { return int(int64(a.ID) - int64(b.ID)) })
	return d
}

func (l *ListServer) notifyAll(d pool.Document) {
	tags := make([]string, 0, len(l.subs))
	for tag := range l.subs {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		w := l.subs[tag]
		var lag time.Duration
		if l.LagOf != nil {
			lag = l.LagOf(w.name)
		}
		if lag <= 0 {
			l.notify(w, &d, "")
			continue
		}
		var t timers.Timer
		l.heap.Set(&t, l.now+lag, func() { l.notify(w, &d, "") })
	}
}

// fleet is what a node is told of its fleet.
func (l *ListServer) fleet(name string) *pool.Fleet {
	rank, ok := l.members.Rank(name)
	if !l.cfg.Fleet || !ok {
		return nil
	}
	f := &pool.Fleet{Size: l.members.Size(), Rank: rank}
	if l.Lie != nil {
		if f.Size = l.Lie(f.Size); f.Size > 0 {
			f.Rank %= f.Size
		}
	}
	return f
}

// Announce tells all nodes the fleet's size soon.
func (l *ListServer) Announce() {
	if !l.cfg.Fleet || l.said {
		return
	}
	l.said = true
	l.heap.Set(&l.saying, l.now+announceEvery, func() {
		l.said = false
		l.version++
		l.notifyAll(pool.Document{Version: l.version, State: "partial"})
	})
}

// expire ends leases that have run out.
func (l *ListServer) expire() {
	if l.members.Expire(l.now) {
		l.Announce()
	}
	if at, ok := l.members.Next(); ok {
		l.heap.Set(&l.ending, at, l.expire)
	}
}

// Members keeps the leases as they are, for a list server that starts from a copy.
func (l *ListServer) Members() []membership.Lease { return l.members.Keep(l.now) }

// Restore takes leases that were kept; it is called before Start, which is at now.
func (l *ListServer) Restore(now time.Duration, kept []membership.Lease) error {
	return l.members.Restore(now, kept)
}

// Fleet is how many nodes hold a lease.
func (l *ListServer) Fleet() int { return l.members.Size() }

func (l *ListServer) notify(w *watcher, d *pool.Document, ended string) {
	w.seq++
	l.Notices++
	m := sip.NewRequest(sip.NOTIFY, w.target, w.local, w.remote, w.callID, w.seq, 70)
	m.Add("Event", pool.Event)
	state := "active;expires=" + strconv.Itoa(int(max(1, (w.until-l.now)/time.Second)))
	if ended != "" {
		state = "terminated;reason=" + ended
	}
	m.Add("Subscription-State", state)
	m.Add("Contact", l.id.Contact(w.to.Transport))
	if d != nil {
		mine := *d
		mine.Fleet = l.fleet(w.name)
		if l.Tell != nil {
			var ok bool
			if mine, ok = l.Tell(w.name, mine); !ok {
				return
			}
		}
		m.Add("Content-Type", pool.ContentType)
		m.Body, _ = json.Marshal(mine)
	}
	m.Push("Via", l.id.Via(w.to.Transport))
	l.layer.Start(m, w.to, w)
}

// Request implements transaction.User.
func (l *ListServer) Request(t *transaction.Server, m *sip.Message, _ sip.Peer) {
	switch {
	case t == nil:
		return
	case m.Method != sip.SUBSCRIBE:
		t.Respond(sip.NewResponse(m, 405, "", l.id.Token()))
		return
	case m.Get("Event") != pool.Event:
		t.Respond(sip.NewResponse(m, 489, "", l.id.Token()))
		return
	case l.Refuse:
		t.Respond(sip.NewResponse(m, 503, "", l.id.Token()))
		return
	}
	secs, _ := strconv.Atoi(m.Get("Expires"))
	expires := min(time.Duration(secs)*time.Second, l.cfg.Expires)
	w := l.subs[m.Tag("To")]
	if w == nil && m.Tag("To") != "" {
		t.Respond(sip.NewResponse(m, 481, "", ""))
		return
	}
	if w == nil {
		w = &watcher{tag: l.id.Token(), callID: m.Get("Call-ID"), remote: m.Get("From"), to: t.From}
		w.local = m.Get("To") + ";tag=" + w.tag
		w.target = "sip:" + sip.HostPort(t.From.Addr)
		if c, err := sip.ParseAddress(m.Get("Contact")); err == nil {
			w.target = c.URI.String()
			if p, ok := c.URI.Peer(); ok && t.From.Transport == sip.UDP {
				w.to = p
			}
		}
		l.subs[w.tag] = w
	}
	w.name = watcherName(m)
	w.until = l.now + expires
	r := sip.NewResponse(m, 200, "", w.tag)
	r.Add("Expires", strconv.Itoa(int(expires/time.Second)))
	r.Add("Contact", l.id.Contact(t.From.Transport))
	t.Respond(r)
	if expires <= 0 {
		l.members.Leave(l.now, w.name)
		l.notify(w, nil, "timeout")
		delete(l.subs, w.tag)
		l.heap.Stop(&w.expiry)
		return
	}
	if l.members.Join(w.name, w.until+leaseGrace) {
		l.Announce()
	}
	l.expire()
	for tag, o := range l.subs { // one node, one subscription: what an earlier life of it left is over
		if o.name == w.name && o != w {
			delete(l.subs, tag)
			l.heap.Stop(&o.expiry)
		}
	}
	d := l.full()
	l.notify(w, &d, "")
	l.heap.Set(&w.expiry, w.until+time.Second, func() { delete(l.subs, w.tag) })
}

// watcherName is what a node is counted by: the name that it gives itself, else its address.
func watcherName(m *sip.Message) string {
	a, err := sip.ParseAddress(m.Get("From"))
	if err != nil || a.URI.User == "" || a.URI.User == "node" {
		return a.URI.String()
	}
	return a.URI.User
}

// Watchers is how many subscriptions stand.
func (l *ListServer) Watchers() int { return len(l.subs) }

// Response implements transaction.User.
func (l *ListServer) Response(c *transaction.Client, m *sip.Message) {
	if w, ok := c.User.(*watcher); ok && m.Status == 481 {
		delete(l.subs, w.tag)
	}
}

// Stray implements transaction.User.
func (l *ListServer) Stray(*sip.Message, sip.Peer) {}

// TimedOut implements transaction.User.
func (l *ListServer) TimedOut(c *transaction.Client, _ error) {
	if w, ok := c.User.(*watcher); ok {
		delete(l.subs, w.tag)
	}
}

// Unacked implements transaction.User.
func (l *ListServer) Unacked(*transaction.Server, error) {}
