// Package trunk is the codec of the binary messages between access nodes and call servers (docs/platform.md): a length of
// two bytes, a type, the call's id of eight bytes, and parameters, each a code, a length of two bytes and a value. It
// has no I/O.
package trunk

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Types of messages.
const (
	SetUp    = 1  // a set-up, with a description
	Progress = 6  // means nothing
	Answer   = 9  // the call stands
	Release  = 12 // a refusal, a set-up given up, or the end of a call
	Heard    = 16 // a release was heard
	State    = 43 // of a group
	Test     = 52
	Tested   = 53
)

// Codes of parameters.
const (
	Class       = 1
	Left        = 3 // milliseconds
	Number      = 9
	Note        = 15
	Report      = 19
	CauseOf     = 29
	Description = 31
)

// Causes of a release (Q.850, and the platform's own 102).
const (
	CauseNormal  = 16
	CauseBusy    = 17
	CauseFull    = 34
	CauseReset   = 41
	CauseFault   = 47
	CauseNotSent = 102
)

// MaxMessage is the most bytes that a message may have.
const MaxMessage = 16 << 10

// Message is one message. Values of parameters alias the bytes it was read from.
type Message struct {
	Type   byte
	Call   uint64
	Params []Param
}

// Param is a parameter.
type Param struct {
	Code  byte
	Value []byte
}

// Get is the value of a parameter, nil where it is missing.
func (m *Message) Get(code byte) []byte {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value
		}
	}
	return nil
}

// Cause is the cause of a release; 0 where none is given.
func (m *Message) Cause() byte {
	if v := m.Get(CauseOf); len(v) == 1 {
		return v[0]
	}
	return 0
}

// Append writes the message to b. It fails where the message is longer than MaxMessage.
func (m *Message) Append(b []byte) ([]byte, error) {
	n := 9
	for _, p := range m.Params {
		n += 3 + len(p.Value)
	}
	if n+2 > MaxMessage {
		return b, fmt.Errorf("trunk: message of %d bytes, at most %d are right", n+2, MaxMessage)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(n))
	b = append(b, m.Type)
	b = binary.BigEndian.AppendUint64(b, m.Call)
	for _, p := range m.Params {
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	return b, nil
}

// Stream frames the messages on a connection: bytes are fed as they come, whole messages are taken out.
type Stream struct {
	buf    []byte
	broken error
}

// Feed takes what was read.
func (s *Stream) Feed(b []byte) { s.buf = append(s.buf, b...) }

// Waiting is how many bytes of a message have come that is not whole.
func (s *Stream) Waiting() int { return len(s.buf) }

// Next is the next whole message, or nil while more bytes are needed. After an error nothing more can be read.
func (s *Stream) Next() (*Message, error) {
	if s.broken != nil {
		return nil, s.broken
	}
	if len(s.buf) < 2 {
		return nil, nil
	}
	n := int(binary.BigEndian.Uint16(s.buf))
	if n < 9 || n+2 > MaxMessage {
		s.broken = fmt.Errorf("trunk: message said to have %d bytes, 9 to %d are right", n, MaxMessage-2)
		return nil, s.broken
	}
	if len(s.buf) < n+2 {
		return nil, nil
	}
	b := make([]byte, n)
	copy(b, s.buf[2:])
	if s.buf = s.buf[n+2:]; len(s.buf) == 0 {
		s.buf = nil
	}
	m, err := parse(b)
	s.broken = err
	return m, err
}

func parse(b []byte) (*Message, error) {
	m := &Message{Type: b[0], Call: binary.BigEndian.Uint64(b[1:])}
	switch m.Type {
	case SetUp, Progress, Answer, Release, Heard, State, Test, Tested:
	default:
		return nil, fmt.Errorf("trunk: unknown type %d", m.Type)
	}
	for b = b[9:]; len(b) > 0; {
		if len(b) < 3 {
			return nil, fmt.Errorf("trunk: type %d: %d bytes behind the last parameter", m.Type, len(b))
		}
		n := int(binary.BigEndian.Uint16(b[1:]))
		if n > len(b)-3 {
			return nil, fmt.Errorf("trunk: type %d: parameter %d of %d bytes, %d are left", m.Type, b[0], n, len(b)-3)
		}
		if m.Get(b[0]) != nil {
			return nil, fmt.Errorf("trunk: type %d: parameter %d twice", m.Type, b[0])
		}
		m.Params = append(m.Params, Param{b[0], b[3 : 3+n : 3+n]})
		b = b[3+n:]
	}
	return m, nil
}

// ReadReport reads a report, as in x0:12;x1:40, into values in the order of the fields; -1 stands for what is missing or
// not a number. It is nil where no field of it is known.
func ReadReport(text []byte, fields []string) []float64 {
	var values []float64
	for rest := string(text); rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ";")
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			continue
		}
		for i, f := range fields {
			if f != strings.TrimSpace(name) {
				continue
			}
			if values == nil {
				values = make([]float64, len(fields))
				for j := range values {
					values[j] = -1
				}
			}
			if v, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && !math.IsNaN(v) && !math.IsInf(v, 0) {
				values[i] = v
			}
		}
	}
	return values
}
