// Package feed parses the command channel: server-sent events (WHATWG HTML, section 9.2) that carry changes to
// the list of call servers. Event ids are numbers that start at 1 and have no gaps. It has no I/O and no clock.
package feed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// maxEventSize is the maximum size of one event in bytes.
const maxEventSize = 1 << 20

// Server is one entry of the server list.
type Server struct {
	ID               string         `json:"id"`
	Addr             string         `json:"host_port"`
	Zone             string         `json:"locality"`
	Kind             string         `json:"flavor"`
	Cell             int            `json:"cell"`
	Phase            string         `json:"phase"` // PhaseUp, PhaseDraining or PhaseRemoved
	Size             float64        `json:"size"`
	StartedUnixMilli int64          `json:"up_since_ms"` // when the server started, if recently, in Unix milliseconds; 0: long ago
	AddrPort         netip.AddrPort `json:"-"`
}

// Phases of a server in the list.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
)

// List is the part of an event that describes call servers.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"` // whether Members are all servers, not only the changed ones
	Members  []Server `json:"members"`
}

// Event is one event of the command channel. List is nil if the event concerns something other than the server
// list.
type Event struct {
	Number uint64
	List   *List
}

// ParseEvent parses the data of an event. One invalid list entry makes the whole event invalid, because a
// partially applied list would be worse than an old one.
func ParseEvent(data []byte) (Event, error) {
	var payload struct {
		Cursor uint64 `json:"cursor"`
		Nodes  *List  `json:"nodes"`
	}
	if err := json.Unmarshal(data, &payload); err != nil {
		return Event{}, fmt.Errorf("feed: event %.60q: %w", data, err)
	}
	if payload.Nodes != nil {
		for i := range payload.Nodes.Members {
			server := &payload.Nodes.Members[i]
			if server.ID == "" {
				return Event{}, fmt.Errorf("feed: event %d: server %d of the list has no id", payload.Cursor, i)
			}
			if server.Phase != PhaseUp && server.Phase != PhaseDraining && server.Phase != PhaseRemoved {
				return Event{}, fmt.Errorf("feed: event %d: server %s: phase must be up, draining or removed, got %q",
					payload.Cursor, server.ID, server.Phase)
			}
			var err error
			if server.AddrPort, err = netip.ParseAddrPort(server.Addr); err != nil && server.Phase != PhaseRemoved {
				return Event{}, fmt.Errorf("feed: event %d: server %s: address %q: %w", payload.Cursor, server.ID, server.Addr, err)
			}
		}
	}
	return Event{payload.Cursor, payload.Nodes}, nil
}

// Stream parses the events of one connection. An event is complete only with the empty line that ends it.
type Stream struct {
	buf  []byte // received bytes that are no complete line yet
	id   string // id field of the current event
	data []byte // data fields of the current event, joined by newlines
	size int    // bytes of the current event
}

// Feed adds bytes read from the connection and passes each complete event to handle. After an error the
// connection must be closed.
func (s *Stream) Feed(b []byte, handle func(Event)) error {
	s.buf = append(s.buf, b...)
	for {
		i := bytes.IndexByte(s.buf, '\n')
		if i < 0 {
			if len(s.buf) > maxEventSize {
				return fmt.Errorf("feed: line longer than %d bytes", maxEventSize)
			}
			if len(s.buf) == 0 {
				s.buf = nil
			}
			return nil
		}
		line := strings.TrimSuffix(string(s.buf[:i]), "\r")
		s.buf = s.buf[i+1:]
		if s.size += len(line); s.size > maxEventSize {
			return fmt.Errorf("feed: event longer than %d bytes", maxEventSize)
		}
		if line != "" {
			s.addField(line)
			continue
		}
		data, id := s.data, s.id
		s.data, s.size, s.id = nil, 0, ""
		if data == nil {
			continue
		}
		event, err := ParseEvent(data)
		if err != nil {
			return err
		}
		if id != "" {
			n, err := strconv.ParseUint(id, 10, 64)
			if err != nil {
				return fmt.Errorf("feed: event id must be a number, got %.40q", id)
			}
			event.Number = n
		}
		handle(event)
	}
}

func (s *Stream) addField(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		s.id = value
	case "data":
		if s.data != nil {
			s.data = append(s.data, '\n')
		}
		s.data = append(s.data, value...)
	}
}

// Cursor tracks the number of the last accepted event across connections.
type Cursor struct {
	Last    uint64
	lastGap uint64 // event number at which the last gap was found, so that a gap that persists is accepted
}

// Accept reports whether an event is new. If gap is true, events before it are missing, and the client should
// reconnect and request the events after Last. If the same gap is found again, the channel no longer has the
// missing events, and the event is accepted.
func (c *Cursor) Accept(number uint64) (isNew, gap bool) {
	switch {
	case number <= c.Last:
		return false, false
	case number > c.Last+1 && c.Last > 0 && c.lastGap != number:
		c.lastGap = number
		return false, true
	}
	c.Last, c.lastGap = number, 0
	return true, false
}

// Backoff returns how long to wait before reconnecting after a number of consecutive failures.
func Backoff(failures int) time.Duration {
	return min(50*time.Millisecond<<min(failures, 6), time.Second)
}
