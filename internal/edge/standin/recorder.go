// Package standin plays the platform around an access node on loopback sockets: callers, call servers and the command
// channel, with the faults of its bad days as switches. What it sees on its sockets goes into a capture that
// internal/rules judges: the platform's messages are written down as the SIP messages that they stand for.
package standin

import (
	"fmt"
	"sync"
	"time"

	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
)

// Recorder gathers the capture. It is safe for several goroutines.
type Recorder struct {
	mu      sync.Mutex
	begin   time.Time
	records []rules.Record
}

// NewRecorder begins a capture.
func NewRecorder() *Recorder { return &Recorder{begin: time.Now()} }

// Records is the capture so far.
func (r *Recorder) Records() []rules.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]rules.Record(nil), r.records...)
}

func (r *Recorder) add(v rules.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v.Time = time.Since(r.begin)
	r.records = append(r.records, v)
}

// message writes down a message of a call: at is "caller" or "server", leg tells the attempts of one call apart.
func (r *Recorder) message(at, dir, self, node, method string, status int, call, leg, number string) {
	m := sip.NewRequest(method, "sip:"+number+"@net", "<sip:caller@net>;tag=c", "<sip:"+number+"@net>", call+leg, 1, 70)
	if status > 0 {
		m = sip.NewResponse(m, status, "", "s")
	}
	m.Add("Via", "SIP/2.0/TCP "+node+";branch=z9hG4bK"+call+leg)
	m.Add("Session-ID", call)
	r.add(rules.Record{Kind: "msg", At: at, Dir: dir, Self: self, Peer: "tcp:" + node, Msg: m})
}

// List writes down what a node was told.
func (r *Recorder) List(node string, complete bool, entries ...rules.ListEntry) {
	r.add(rules.Record{Kind: "list", Self: node, Full: complete, List: entries})
}

func hex(call uint64) string { return fmt.Sprintf("%016x", call) }
