// Package feed reads the command channel: server-sent events (WHATWG HTML, section 9.2) whose ids are numbers that begin
// with 1 and have no gaps, and whose data are changes to the list of call servers. It has no I/O and no clock.
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

// maxEvent is the most bytes that one event may have.
const maxEvent = 1 << 20

// Server is a line of the list.
type Server struct {
	ID       string         `json:"id"`
	Addr     string         `json:"host_port"`
	Zone     string         `json:"locality"`
	Kind     string         `json:"flavor"`
	Cell     int            `json:"cell"`
	Phase    string         `json:"phase"` // up, draining or removed
	Size     float64        `json:"size"`
	Started  int64          `json:"up_since_ms"` // Unix milliseconds of a late start; 0: long ago
	HostPort netip.AddrPort `json:"-"`
}

// Phases of a server.
const (
	Up       = "up"
	Draining = "draining"
	Removed  = "removed"
)

// List is what one event says of the servers.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"` // all servers; else the changed ones
	Members  []Server `json:"members"`
}

// Event is one event; List is nil where it tells of something else.
type Event struct {
	Number uint64
	List   *List
}

// ParseEvent reads the data of an event. A line of the list that makes no sense makes the whole event an error: half a
// list would be worse.
func ParseEvent(data []byte) (Event, error) {
	var d struct {
		Cursor uint64 `json:"cursor"`
		Nodes  *List  `json:"nodes"`
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return Event{}, fmt.Errorf("feed: event %.60q: %w", data, err)
	}
	if d.Nodes != nil {
		for i := range d.Nodes.Members {
			m := &d.Nodes.Members[i]
			if m.ID == "" {
				return Event{}, fmt.Errorf("feed: event %d: server %d has no id", d.Cursor, i)
			}
			if m.Phase != Up && m.Phase != Draining && m.Phase != Removed {
				return Event{}, fmt.Errorf("feed: event %d: server %s: phase %q, up, draining or removed is right", d.Cursor, m.ID, m.Phase)
			}
			var err error
			if m.HostPort, err = netip.ParseAddrPort(m.Addr); err != nil && m.Phase != Removed {
				return Event{}, fmt.Errorf("feed: event %d: server %s: address %q: %w", d.Cursor, m.ID, m.Addr, err)
			}
		}
	}
	return Event{d.Cursor, d.Nodes}, nil
}

// Stream takes events out of the bytes of one connection. What is not ended by an empty line is not an event.
type Stream struct {
	buf  []byte
	id   string
	data []byte
	size int
}

// Feed takes what was read and hands over each event that is whole. An error means that the connection is to be left.
func (s *Stream) Feed(b []byte, event func(Event)) error {
	s.buf = append(s.buf, b...)
	for {
		i := bytes.IndexByte(s.buf, '\n')
		if i < 0 {
			if len(s.buf) > maxEvent {
				return fmt.Errorf("feed: line of over %d bytes", maxEvent)
			}
			if len(s.buf) == 0 {
				s.buf = nil
			}
			return nil
		}
		line := strings.TrimSuffix(string(s.buf[:i]), "\r")
		s.buf = s.buf[i+1:]
		if s.size += len(line); s.size > maxEvent {
			return fmt.Errorf("feed: event of over %d bytes", maxEvent)
		}
		if line != "" {
			s.field(line)
			continue
		}
		data, id := s.data, s.id
		s.data, s.size, s.id = nil, 0, ""
		if data == nil {
			continue
		}
		ev, err := ParseEvent(data)
		if err != nil {
			return err
		}
		if id != "" {
			n, err := strconv.ParseUint(id, 10, 64)
			if err != nil {
				return fmt.Errorf("feed: event id %.40q is no number", id)
			}
			ev.Number = n
		}
		event(ev)
	}
}

func (s *Stream) field(line string) {
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

// Cursor keeps the number of the last event taken, over connections.
type Cursor struct {
	Last   uint64
	missed uint64 // where the last gap was, so that one that stays is accepted
}

// Take says whether an event is news. gap is true where events before it are missing: they are to be asked for anew, with
// Last. Where the same gap is met again the channel has no more of it, and the event is taken.
func (c *Cursor) Take(number uint64) (news, gap bool) {
	switch {
	case number <= c.Last:
		return false, false
	case number > c.Last+1 && c.Last > 0 && c.missed != number:
		c.missed = number
		return false, true
	}
	c.Last, c.missed = number, 0
	return true, false
}

// Silence after which a channel that should send a comment each second counts as broken.
const Silence = 2 * time.Second

// Backoff is how long to wait before the next try after so many failures in a row.
func Backoff(failures int) time.Duration {
	return min(50*time.Millisecond<<min(failures, 6), time.Second)
}
