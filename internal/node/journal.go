package node

import (
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
	if len(n.stored) > 0 {
		n.pace = release.New(release.Settings{}, len(n.stored), n.now)
		n.releaseSome()
	}
}

func (n *Node) releaseSome() {
	lot, again := n.pace.Lot(n.now)
	for _, s := range n.stored[:lot] {
		to, ok := s.peer()
		if !ok {
			n.pace.Answered(n.now, 0)
			continue
		}
		m := sip.NewRequest(sip.BYE, s.Target, s.Local, s.Remote, s.CallID, s.Seq+seqGap, 70)
		for _, r := range s.Routes {
			m.Add("Route", r)
		}
		m.Add("Reason", `SIP;cause=500;text="node restarted"`)
		n.start(m, to, &storedBye{pace: n.pace, sent: n.now})
		n.Stats.Released++
	}
	if n.stored = n.stored[lot:]; again > 0 {
		n.heap.Set(&n.releaseNext, n.now+again, n.releaseSome)
	}
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
	pace *release.Pace
	sent time.Duration
	done bool
}

func (n *Node) storedReleased(b *storedBye) {
	if !b.done {
		b.done = true
		b.pace.Answered(n.now, n.now-b.sent)
		if b.pace == n.pace {
			n.releaseSome()
		}
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
	stored      []StoredLeg
	pace        *release.Pace // nil where there was nothing to release
	releaseNext timers.Timer
}
