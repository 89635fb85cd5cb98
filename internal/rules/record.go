package rules

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"larkrouter/internal/sip"
)

// Record is one line of a capture.
type Record struct {
	Time time.Duration `json:"-"`
	// Kind is "msg", "list" (told to a node), "down" (a party's socket closed), "killed" (a node), "stalled" (a
	// node's machine stands still until Until), "reset" (all connections of a server broke) or "lost" (a message that Self sent to
	// Peer and that arrives late, at Until, or never where that is 0).
	Kind  string        `json:"kind"`
	At    string        `json:"at,omitempty"`   // whose socket: "caller" or "server"
	Dir   string        `json:"dir,omitempty"`  // "in": read there, "out": written there
	Self  string        `json:"self,omitempty"` // that party's address; for "list" and "killed" the node's
	Peer  string        `json:"peer,omitempty"`
	Msg   *sip.Message  `json:"-"`
	Full  bool          `json:"full,omitempty"`
	List  []ListEntry   `json:"list,omitempty"`
	Until time.Duration `json:"until_ns,omitempty"`
}

// ListEntry is what a node was told of a server.
type ListEntry struct {
	Address string        `json:"address"`
	Phase   string        `json:"phase"`                // "ready", "draining", "gone"
	Started time.Duration `json:"started_ns,omitempty"` // capture's clock; 0: long ago
}

type line struct {
	T int64 `json:"t_us"`
	Record
	Raw string `json:"msg,omitempty"`
}

// Write puts records out, a JSON line each.
func Write(w io.Writer, records []Record) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range records {
		l := line{T: records[i].Time.Microseconds(), Record: records[i]}
		if records[i].Msg != nil {
			l.Raw = string(records[i].Msg.Bytes())
		}
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("capture: record %d: %w", i, err)
		}
	}
	return b.Flush()
}

// Read takes records from JSON lines. Errors name the line.
func Read(r io.Reader) ([]Record, error) {
	var all []Record
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for n := 1; s.Scan(); n++ {
		var l line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return all, fmt.Errorf("capture: line %d: %w", n, err)
		}
		l.Time = time.Duration(l.T) * time.Microsecond
		if l.Raw != "" {
			m, err := sip.Parse([]byte(l.Raw), sip.Limits{})
			if err != nil {
				return all, fmt.Errorf("capture: line %d: %w", n, err)
			}
			l.Msg = m
		}
		all = append(all, l.Record)
	}
	return all, s.Err()
}
