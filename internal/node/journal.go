package node

import (
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/release"
	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Journal is a note of a call's state, for whoever keeps it over a restart. Each replaces the one before.
type Journal struct {
	Call    uint64     `cbor:"1,keyasint"`
	State   CallState  `cbor:"2,keyasint"`
	Session string     `cbor:"3,keyasint"`
	Class   string     `cbor:"4,keyasint"`
	Server  uint32     `cbor:"5,keyasint,omitempty"`
	Attempt int        `cbor:"6,keyasint,omitempty"`
	Outcome string     `cbor:"7,keyasint,omitempty"`
	Leg     *StoredLeg `cbor:"8,keyasint,omitempty"` // of a standing call, towards its server
}

// CallState is how far a call had come.
type CallState string

// The states.
const (
	Accepted  CallState = "accepted"
	Attempted CallState = "attempted"
	Stands    CallState = "stands"
	Ended     CallState = "ended"
)

// StoredLeg is what is needed to end a dialog that another life of the node left standing.
type StoredLeg struct {
	CallID string   `cbor:"1,keyasint"`
	Local  string   `cbor:"2,keyasint"`
	Remote string   `cbor:"3,keyasint"`
	Target string   `cbor:"4,keyasint"`
	Routes []string `cbor:"5,keyasint,omitempty"`
	To     string   `cbor:"6,keyasint"` // host:port
	TCP    bool     `cbor:"7,keyasint,omitempty"`
	Seq    uint32   `cbor:"8,keyasint"`
}

// journal notes a call's state, if anybody keeps it.
func (n *Node) journal(k *call, state CallState, outcome string) {
	if !n.cfg.Journal {
		return
	}
	j := &Journal{Call: k.id, State: state, Session: k.session, Class: n.className(k), Server: k.server, Attempt: k.tries, Outcome: outcome}
	if state == Attempted && k.try != nil {
		j.Server = k.try.server
	}
	if state == Stands {
		d := k.down
		j.Leg = &StoredLeg{CallID: d.callID, Local: d.local, Remote: d.remote, Target: d.target, Routes: d.routes,
			To: d.to.Addr.String(), TCP: d.to.Transport == sip.TCP, Seq: d.localSeq}
	}
	n.out = append(n.out, effectNote(j))
}

// seqGap lies over whatever the earlier life sent on the leg since it was noted: a CSeq that is too low is refused, a
// gap is not (section 12.2.2).
const seqGap = 10_000

// ReleaseStored ends the dialogs that an earlier life left standing, a BYE each, at the pace that package release has,
// and answers new calls 503 as long as that says. It is called before Start.
func (n *Node) ReleaseStored(legs []StoredLeg) { n.stored = legs }

func (n *Node) beginRelease() {
	n.releaseLegs(n.stored)
	n.stored = nil
}

// releases are the dialogs left at one server, at a pace of their own: a server that is gone or busy holds up no other's.
type releases struct {
	n    *Node
	legs []StoredLeg // not sent yet
	pace *release.Pace
	next timers.Timer
}

// releaseLegs begins to end dialogs.
func (n *Node) releaseLegs(legs []StoredLeg) {
	by := map[string]*releases{}
	var order []*releases
	for _, leg := range legs {
		if by[leg.To] == nil {
			by[leg.To] = &releases{n: n}
			order = append(order, by[leg.To])
		}
		by[leg.To].legs = append(by[leg.To].legs, leg)
	}
	for _, r := range order {
		r.pace = release.New(release.Settings{}, len(r.legs), n.now)
		n.releasing = append(n.releasing, r)
		r.some()
	}
}

// some sends what is due.
func (r *releases) some() {
	n := r.n
	count, again := r.pace.Lot(n.now)
	lot := r.legs[:count]
	r.legs = r.legs[count:]
	for _, s := range lot {
		to, ok := s.peer()
		if !ok {
			r.pace.Answered(n.now, 0)
			continue
		}
		m := sip.NewRequest(sip.BYE, s.Target, s.Local, s.Remote, s.CallID, s.Seq+seqGap, 70)
		for _, route := range s.Routes {
			m.Add("Route", route)
		}
		m.Add("Reason", `SIP;cause=500;text="node restarted"`)
		n.start(m, to, &storedBye{of: r, sent: n.now})
		n.Stats.Released++
	}
	if again > 0 {
		n.heap.Set(&r.next, n.now+again, r.some)
		return
	}
	n.heap.Stop(&r.next)
	if r.pace.Done() {
		n.releasing = slices.DeleteFunc(n.releasing, func(o *releases) bool { return o == r })
	}
}

// holdsCalls says whether new calls have to wait for releases.
func (n *Node) holdsCalls() bool {
	return slices.ContainsFunc(n.releasing, func(r *releases) bool { return r.pace.Holds(n.now) })
}

func (s StoredLeg) peer() (sip.Peer, bool) {
	u, err := sip.ParseURI("sip:" + s.To)
	if err != nil {
		return sip.Peer{}, false
	}
	p, ok := u.Peer()
	if s.TCP {
		p.Transport = sip.TCP
	}
	return p, ok
}

// storedBye is a BYE of ReleaseStored, as a transaction's user.
type storedBye struct {
	of   *releases
	sent time.Duration
	done bool
}

func (n *Node) storedReleased(b *storedBye) {
	if !b.done {
		b.done = true
		b.of.pace.Answered(n.now, n.now-b.sent)
		b.of.some()
	}
}

// cached hands the module the list as an earlier life knew it.
func (n *Node) cached() {
	l := pool.NewList()
	news, err := l.Apply(n.now, pool.Document{Version: 1, State: "full", Servers: n.cfg.Cached})
	if err != nil {
		n.log(Record{Level: Warn, Event: "list", Cause: "the list from before the restart can't be used: " + err.Error()})
		n.tell(larkrouter.ServerList{Kind: larkrouter.ListCached})
		return
	}
	n.list = l
	n.list.Resync()
	news.Kind = larkrouter.ListCached
	n.listNews(news)
}

type releaseState struct {
	stored    []StoredLeg // until Start
	releasing []*releases // by server
}
