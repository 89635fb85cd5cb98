package standin

import (
	"cmp"
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

// ListConfig configures a list server.
type ListConfig struct {
	Seed          uint64
	Address       netip.AddrPort
	Lag           time.Duration // delay of list updates
	MaxExpires    time.Duration // longest subscription granted
	AnnounceFleet bool          // notifications include the fleet's size and the node's rank
}

const (
	leaseGrace       = 5 * time.Second // a node counts as a member of the fleet this long after its subscription expires
	announceInterval = time.Second     // minimum interval between announcements of a changed fleet size
)

// ListServer simulates the list server, a notifier (RFC 6665) of the pool list.
type ListServer struct {
	base
	cfg               ListConfig
	version           uint64
	servers           map[uint32]pool.Server
	startedAt         map[uint32]time.Duration
	subscriptions     map[string]*subscription                                 // by local tag
	SkipPartials      int                                                      // fault: this number of partial documents is not sent to anyone
	RefuseSubscribes  bool                                                     // fault: SUBSCRIBE requests are answered 503
	NotifyCount       int                                                      // number of NOTIFY requests
	RewriteSize       func(size int) int                                       // fault: replaces the announced fleet size
	NodeLag           func(node string) time.Duration                          // fault: additional delay of updates to a node
	EntryLag          func(s pool.Server) time.Duration                        // additional delay of updates about a server
	RewriteEntry      func(s pool.Server) pool.Server                          // fault: replaces a server's entry in documents
	RewriteDocument   func(node string, d pool.Document) (pool.Document, bool) // fault: replaces a node's document; false: not sent
	leases            *membership.Registry
	announceTimer     timers.Timer
	leaseTimer        timers.Timer
	announceScheduled bool // an announcement is scheduled
}

// subscription is a subscription to the list.
type subscription struct {
	tag, callID, remote, local, target string
	node                               string
	peer                               sip.Peer
	seq                                uint32
	expires                            time.Duration
	expiryTimer                        timers.Timer
}

// NewListServer returns a list server with the given servers in its list.
func NewListServer(cfg ListConfig, servers ...pool.Server) *ListServer {
	l := &ListServer{cfg: cfg, version: 1, servers: map[uint32]pool.Server{}, startedAt: map[uint32]time.Duration{},
		subscriptions: map[string]*subscription{}, leases: membership.NewRegistry()}
	l.init(cfg.Address, cfg.Seed, l)
	for _, s := range servers {
		l.servers[s.ID] = s
	}
	return l
}

// Version returns the version of the list.
func (l *ListServer) Version() uint64 { return l.version }

// SetVersion continues the versions from another number, as after a restart from an old copy.
func (l *ListServer) SetVersion(v uint64) { l.version = v }

// SetEntry changes a server's entry; the update is sent after the lag. A new RunNumber means that the server started now.
func (l *ListServer) SetEntry(s pool.Server) {
	if old, ok := l.servers[s.ID]; s.RunNumber != 0 && (!ok || old.RunNumber != s.RunNumber) {
		l.startedAt[s.ID] = l.now
	}
	var t timers.Timer
	lag := l.cfg.Lag
	if l.EntryLag != nil {
		lag += l.EntryLag(s)
	}
	l.heap.Set(&t, l.now+lag, func() {
		l.servers[s.ID] = s
		l.version++
		if l.SkipPartials > 0 {
			l.SkipPartials--
			return
		}
		l.notifyAll(pool.Document{Version: l.version, State: "partial", Servers: []pool.Server{l.announcedEntry(s)}})
	})
}

// Entry returns a server's entry in the list.
func (l *ListServer) Entry(id uint32) pool.Server { return l.servers[id] }

// announcedEntry returns a server's entry as it appears in documents.
func (l *ListServer) announcedEntry(s pool.Server) pool.Server {
	if at, ok := l.startedAt[s.ID]; ok {
		s.AgeMs = max(1, (l.now - at).Milliseconds())
	}
	if l.RewriteEntry != nil {
		s = l.RewriteEntry(s)
	}
	return s
}

// NotifyFullList sends the full list to all nodes, for example after RewriteEntry has changed.
func (l *ListServer) NotifyFullList() {
	l.version++
	doc := l.fullDocument()
	l.notifyAll(doc)
}

// fullDocument returns a document with the full list.
func (l *ListServer) fullDocument() pool.Document {
	doc := pool.Document{Version: l.version, State: "full"}
	for _, s := range l.servers {
		doc.Servers = append(doc.Servers, l.announcedEntry(s))
	}
	slices.SortFunc(doc.Servers, func(a, b pool.Server) int { return cmp.Compare(a.ID, b.ID) })
	return doc
}

// notifyAll sends a document to all subscribers.
func (l *ListServer) notifyAll(doc pool.Document) {
	tags := make([]string, 0, len(l.subscriptions))
	for tag := range l.subscriptions {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	for _, tag := range tags {
		sub := l.subscriptions[tag]
		var lag time.Duration
		if l.NodeLag != nil {
			lag = l.NodeLag(sub.node)
		}
		if lag <= 0 {
			l.notify(sub, &doc, "")
			continue
		}
		var t timers.Timer
		l.heap.Set(&t, l.now+lag, func() { l.notify(sub, &doc, "") })
	}
}

// fleetInfo returns the fleet's size and the rank of a node as its documents announce them, or nil if they do not.
func (l *ListServer) fleetInfo(name string) *pool.Fleet {
	rank, ok := l.leases.Rank(name)
	if !l.cfg.AnnounceFleet || !ok {
		return nil
	}
	f := &pool.Fleet{Size: l.leases.Size(), Rank: rank}
	if l.RewriteSize != nil {
		if f.Size = l.RewriteSize(f.Size); f.Size > 0 {
			f.Rank %= f.Size
		}
	}
	return f
}

// AnnounceSize schedules an announcement of the fleet's size to all nodes.
func (l *ListServer) AnnounceSize() {
	if !l.cfg.AnnounceFleet || l.announceScheduled {
		return
	}
	l.announceScheduled = true
	l.heap.Set(&l.announceTimer, l.now+announceInterval, func() {
		l.announceScheduled = false
		l.version++
		l.notifyAll(pool.Document{Version: l.version, State: "partial"})
	})
}

// expire removes expired leases, announces the fleet size if it has changed, and sets the timer for the next expiry.
func (l *ListServer) expire() {
	if l.leases.Expire(l.now) {
		l.AnnounceSize()
	}
	if at, ok := l.leases.NextExpiry(); ok {
		l.heap.Set(&l.leaseTimer, at, l.expire)
	}
}

// Leases returns the current leases, to be restored in a list server that starts from a copy.
func (l *ListServer) Leases() []membership.Lease { return l.leases.Leases(l.now) }

// RestoreLeases sets leases that Leases returned. It must be called before Start; now is the time of Start.
func (l *ListServer) RestoreLeases(now time.Duration, leases []membership.Lease) error {
	return l.leases.Restore(now, leases)
}

// FleetSize returns the number of nodes that hold a lease.
func (l *ListServer) FleetSize() int { return l.leases.Size() }

// notify sends a NOTIFY to a subscriber, with the document if doc is not nil. If ended is not empty, the subscription ends
// for that reason.
func (l *ListServer) notify(sub *subscription, doc *pool.Document, ended string) {
	sub.seq++
	l.NotifyCount++
	m := sip.NewRequest(sip.NOTIFY, sub.target, sub.local, sub.remote, sub.callID, sub.seq, 70)
	m.Add("Event", pool.Event)
	state := "active;expires=" + strconv.Itoa(int(max(1, (sub.expires-l.now)/time.Second)))
	if ended != "" {
		state = "terminated;reason=" + ended
	}
	m.Add("Subscription-State", state)
	m.Add("Contact", l.id.Contact(sub.peer.Transport))
	if doc != nil {
		nodeDoc := *doc
		nodeDoc.Fleet = l.fleetInfo(sub.node)
		if l.RewriteDocument != nil {
			var ok bool
			if nodeDoc, ok = l.RewriteDocument(sub.node, nodeDoc); !ok {
				return
			}
		}
		m.Add("Content-Type", pool.ContentType)
		m.Body, _ = json.Marshal(nodeDoc)
	}
	m.Prepend("Via", l.id.NewVia(sub.peer.Transport))
	l.layer.Start(m, sub.peer, sub)
}

// Request implements transaction.User.
func (l *ListServer) Request(t *transaction.Server, m *sip.Message, _ sip.Peer) {
	switch {
	case t == nil:
		return
	case m.Method != sip.SUBSCRIBE:
		t.Respond(sip.NewResponse(m, 405, "", l.id.NewToken()))
		return
	case m.Get("Event") != pool.Event:
		t.Respond(sip.NewResponse(m, 489, "", l.id.NewToken()))
		return
	case l.RefuseSubscribes:
		t.Respond(sip.NewResponse(m, 503, "", l.id.NewToken()))
		return
	}
	secs, _ := strconv.Atoi(m.Get("Expires"))
	expires := min(time.Duration(secs)*time.Second, l.cfg.MaxExpires)
	sub := l.subscriptions[m.Tag("To")]
	if sub == nil && m.Tag("To") != "" {
		t.Respond(sip.NewResponse(m, 481, "", ""))
		return
	}
	if sub == nil {
		sub = &subscription{tag: l.id.NewToken(), callID: m.Get("Call-ID"), remote: m.Get("From"), peer: t.From}
		sub.local = m.Get("To") + ";tag=" + sub.tag
		sub.target = "sip:" + sip.HostPort(t.From.Addr)
		if c, err := sip.ParseAddress(m.Get("Contact")); err == nil {
			sub.target = c.URI.String()
			if p, ok := c.URI.Peer(); ok && t.From.Transport == sip.UDP {
				sub.peer = p
			}
		}
		l.subscriptions[sub.tag] = sub
	}
	sub.node = subscriberName(m)
	sub.expires = l.now + expires
	r := sip.NewResponse(m, 200, "", sub.tag)
	r.Add("Expires", strconv.Itoa(int(expires/time.Second)))
	r.Add("Contact", l.id.Contact(t.From.Transport))
	t.Respond(r)
	if expires <= 0 {
		l.leases.Unsubscribe(l.now, sub.node)
		l.notify(sub, nil, "timeout")
		delete(l.subscriptions, sub.tag)
		l.heap.Stop(&sub.expiryTimer)
		return
	}
	if l.leases.Join(sub.node, sub.expires+leaseGrace) {
		l.AnnounceSize()
	}
	l.expire()
	for tag, other := range l.subscriptions { // a node has one subscription: remove those of its previous runs
		if other.node == sub.node && other != sub {
			delete(l.subscriptions, tag)
			l.heap.Stop(&other.expiryTimer)
		}
	}
	doc := l.fullDocument()
	l.notify(sub, &doc, "")
	l.heap.Set(&sub.expiryTimer, sub.expires+time.Second, func() { delete(l.subscriptions, sub.tag) })
}

// subscriberName returns the name by which a node counts as a member of the fleet: the user part of From, or else the
// whole URI.
func subscriberName(m *sip.Message) string {
	a, err := sip.ParseAddress(m.Get("From"))
	if err != nil || a.URI.User == "" || a.URI.User == "node" {
		return a.URI.String()
	}
	return a.URI.User
}

// Subscriptions returns the number of active subscriptions.
func (l *ListServer) Subscriptions() int { return len(l.subscriptions) }

// Response implements transaction.User.
func (l *ListServer) Response(c *transaction.Client, m *sip.Message) {
	if sub, ok := c.UserData.(*subscription); ok && m.Status == 481 {
		delete(l.subscriptions, sub.tag)
	}
}

// Stray implements transaction.User.
func (l *ListServer) Stray(*sip.Message, sip.Peer) {}

// TimedOut implements transaction.User.
func (l *ListServer) TimedOut(c *transaction.Client, _ error) {
	if sub, ok := c.UserData.(*subscription); ok {
		delete(l.subscriptions, sub.tag)
	}
}

// Unacked implements transaction.User.
func (l *ListServer) Unacked(*transaction.Server, error) {}
