package demo

import (
	"sync"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
)

// Recorder collects the records of a capture. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	records []rules.Record
	// OnRecord, if set, is called with each record, which is then not stored.
	OnRecord func(rules.Record)
	// OnNote, if set, is called with the nodes' notes other than list updates.
	OnNote func(name string, now time.Duration, note any)
}

// Records returns the records so far.
func (r *Recorder) Records() []rules.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records
}

// Add adds a record.
func (r *Recorder) Add(rec rules.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.OnRecord != nil {
		r.OnRecord(rec)
		return
	}
	r.records = append(r.records, rec)
}

// captureHook returns the capture hook of a participant: it records the messages of callers and servers and calls
// Participant.Capture.
func (r *Recorder) captureHook(p Participant) actor.CaptureHook {
	if p.Kind != "caller" && p.Kind != "server" {
		return p.Capture
	}
	self := p.Addr.String()
	return func(now time.Duration, dir actor.Direction, peer sip.Peer, m *sip.Message) {
		if p.Capture != nil {
			p.Capture(now, dir, peer, m)
		}
		r.Add(rules.Record{Time: now, Kind: "msg", OwnerKind: p.Kind, Direction: string(dir), Owner: self, Peer: peer.String(), Msg: m.Clone()})
	}
}

// noteHook returns the function that receives a participant's notes: it records list updates.
func (r *Recorder) noteHook(p Participant) func(time.Duration, any) {
	self := p.Addr.String()
	return func(now time.Duration, note any) {
		update, ok := note.(*pool.Update)
		if !ok {
			if r.OnNote != nil {
				r.OnNote(p.Name, now, note)
			}
			return
		}
		r.Add(ListRecord(now, self, update))
	}
}

// ListRecord returns the record of a list update that a node received.
func ListRecord(now time.Duration, self string, update *pool.Update) rules.Record {
	rec := rules.Record{Time: now, Kind: "list", Owner: self, IsFull: update.IsFull()}
	for _, server := range update.Changed {
		rec.List = append(rec.List, rules.ListEntry{Address: server.Address, Phase: node.PhaseName(server.Phase), Started: server.Started})
	}
	return rec
}

// downRecord returns the record of the end of a participant.
func downRecord(now time.Duration, p Participant) rules.Record {
	kind := "down"
	if p.Kind == "node" {
		kind = "killed"
	}
	return rules.Record{Time: now, Kind: kind, Owner: p.Addr.String()}
}
