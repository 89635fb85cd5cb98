// Package standin simulates the platform around an access node on loopback sockets: callers, call servers and
// the command channel, with switches for their faults. The messages seen on its sockets are recorded in a
// capture that internal/rules checks; a platform message is recorded as the equivalent SIP message.
package standin

import (
	"fmt"
	"sync"
	"time"

	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
)

// Recorder collects the capture. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	records   []rules.Record
}

// NewRecorder starts a capture.
func NewRecorder() *Recorder { return &Recorder{startedAt: time.Now()} }

// Records returns the capture so far.
func (r *Recorder) Records() []rules.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]rules.Record(nil), r.records...)
}

// Now returns the time by the clock of the capture.
func (r *Recorder) Now() time.Duration { return time.Since(r.startedAt) }

// SetUps returns when the set-ups of each call reached a call server, by the id of the call.
func (r *Recorder) SetUps() map[string][]time.Duration {
	setUps := map[string][]time.Duration{}
	for _, record := range r.Records() {
		if record.Kind == "msg" && record.OwnerKind == "server" && record.Direction == "in" && record.Msg.Method == sip.INVITE {
			call := record.Msg.Get("Session-ID")
			setUps[call] = append(setUps[call], record.Time)
		}
	}
	return setUps
}

func (r *Recorder) add(record rules.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.Time = time.Since(r.startedAt)
	r.records = append(r.records, record)
}

// recordMessage records a message of a call. at is "caller" or "server"; leg distinguishes the attempts of one
// call.
func (r *Recorder) recordMessage(at, dir, self, node, method string, status int, call, leg, number string) {
	r.add(rules.Message(at, dir, self, node, method, status, call, leg, number))
}

// RecordList records a server list sent to a node.
func (r *Recorder) RecordList(node string, complete bool, entries ...rules.ListEntry) {
	r.add(rules.Record{Kind: "list", Owner: node, IsFull: complete, List: entries})
}

func formatID(call uint64) string { return fmt.Sprintf("%016x", call) }
