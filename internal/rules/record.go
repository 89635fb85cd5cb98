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
	// Kind is one of
	// "msg" (a message),
	// "list" (a list update received by a node),
	// "down" (a participant's socket was closed),
	// "killed" (a node was killed),
	// "stalled" (a node's machine is stalled until Until),
	// "reset" (all connections of a server were reset), or
	// "lost" (a message from Owner to Peer that arrives late, at Until, or never if Until is 0).
	Kind      string        `json:"kind"`
	OwnerKind string        `json:"at,omitempty"`   // kind of the socket's owner: "caller" or "server"
	Direction string        `json:"dir,omitempty"`  // "in": read from the socket, "out": written to it
	Owner     string        `json:"self,omitempty"` // address of the socket's owner; for "list" and "killed" that of the node
	Peer      string        `json:"peer,omitempty"`
	Msg       *sip.Message  `json:"-"`
	IsFull    bool          `json:"full,omitempty"`
	List      []ListEntry   `json:"list,omitempty"`
	Until     time.Duration `json:"until_ns,omitempty"`
}

// ListEntry is the state of a server in a list update.
type ListEntry struct {
	Address string        `json:"address"`
	Phase   string        `json:"phase"`                // "ready", "draining", "gone"
	Started time.Duration `json:"started_ns,omitempty"` // start of the server on the capture's clock; 0: long ago
}

// Message returns the record of a message that is not SIP on its wire, as the equivalent SIP message over TCP. ownerKind is "caller"
// or "server", direction "in" or "out"; a status makes it a response. leg distinguishes the attempts of one call.
func Message(ownerKind, direction, owner, node, method string, status int, call, leg, number string) Record {
	msg := sip.NewRequest(method, "sip:"+number+"@net", "<sip:caller@net>;tag=c", "<sip:"+number+"@net>", call+leg, 1, 70)
	if status > 0 {
		msg = sip.NewResponse(msg, status, "", "s")
	}
	msg.Add("Via", "SIP/2.0/TCP "+node+";branch=z9hG4bK"+call+leg)
	msg.Add("Session-ID", call)
	return Record{Kind: "msg", OwnerKind: ownerKind, Direction: direction, Owner: owner, Peer: "tcp:" + node, Msg: msg}
}

// captureLine is the JSON form of a record.
type captureLine struct {
	TimeMicros int64 `json:"t_us"`
	Record
	Raw string `json:"msg,omitempty"`
}

// WriteCapture writes records as JSON lines.
func WriteCapture(w io.Writer, records []Record) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for i := range records {
		l := captureLine{TimeMicros: records[i].Time.Microseconds(), Record: records[i]}
		if records[i].Msg != nil {
			l.Raw = string(records[i].Msg.Bytes())
		}
		if err := enc.Encode(l); err != nil {
			return fmt.Errorf("capture: record %d: %w", i, err)
		}
	}
	return b.Flush()
}

// ReadCapture reads records from JSON lines. Errors name the line.
func ReadCapture(r io.Reader) ([]Record, error) {
	var all []Record
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for n := 1; s.Scan(); n++ {
		var l captureLine
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return all, fmt.Errorf("capture: line %d: %w", n, err)
		}
		l.Time = time.Duration(l.TimeMicros) * time.Microsecond
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
