// Package trunk is the codec of the binary messages between access nodes and call servers (docs/platform.md). A
// message is a two-byte length, a type, the eight-byte id of the call, and parameters, each of which is a code,
// a two-byte length and a value. It has no I/O.
package trunk

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Message types.
const (
	TypeSetUp      = 1  // set-up of a call, with its description
	TypeProgress   = 6  // carries no information
	TypeAnswer     = 9  // the call stands: the server has answered it
	TypeRelease    = 12 // a refused set-up, an abandoned set-up, or the end of a standing call
	TypeReleaseAck = 16 // acknowledges a release
	TypeState      = 43 // state of the server's group: carries a report
	TypeProbe      = 52
	TypeProbeReply = 53
)

// Parameter codes.
const (
	ParamClass       = 1  // class of the call, by name
	ParamTimeLeft    = 3  // time left for the set-up, in milliseconds
	ParamNumber      = 9  // number called
	ParamNote        = 15 // details of a release, such as "overload"
	ParamReport      = 19 // report of the server's state, see ParseReport
	ParamCause       = 29 // cause of a release
	ParamDescription = 31 // session description of the caller or of the server
)

// Causes of a release (Q.850, and 102, which the platform defines).
const (
	CauseNormal  = 16  // normal clearing; also releases an abandoned set-up
	CauseBusy    = 17  // the set-up failed: busy
	CauseFull    = 34  // the server has no capacity, as its note says
	CauseReset   = 41  // the connection or the process was lost
	CauseFault   = 47  // the set-up failed: fault of the server
	CauseNotSent = 102 // the set-up never ran
)

// MaxMessage is the maximum length of a message in bytes, length field included.
const MaxMessage = 16 << 10

// Message is one message. A parsed message shares the bytes it was parsed from.
type Message struct {
	Type   byte
	Call   uint64
	Params []Param
}

// Param is one parameter of a message.
type Param struct {
	Code  byte
	Value []byte
}

// Value returns the value of a parameter, or nil if it is missing.
func (m *Message) Value(code byte) []byte {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value
		}
	}
	return nil
}

// Cause returns the cause of a release, or 0 if it has none.
func (m *Message) Cause() byte {
	if v := m.Value(ParamCause); len(v) == 1 {
		return v[0]
	}
	return 0
}

// Append appends the encoded message to b. It fails if the message is longer than MaxMessage.
func (m *Message) Append(b []byte) ([]byte, error) {
	length := 9
	for _, p := range m.Params {
		length += 3 + len(p.Value)
	}
	if length+2 > MaxMessage {
		return b, fmt.Errorf("trunk: message of %d bytes exceeds the maximum of %d", length+2, MaxMessage)
	}
	b = binary.BigEndian.AppendUint16(b, uint16(length))
	b = append(b, m.Type)
	b = binary.BigEndian.AppendUint64(b, m.Call)
	for _, p := range m.Params {
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	return b, nil
}

// Stream splits the bytes of a connection into messages.
type Stream struct {
	buf []byte
	err error
}

// Feed adds bytes read from the connection.
func (s *Stream) Feed(b []byte) { s.buf = append(s.buf, b...) }

// Buffered returns the number of buffered bytes, which form no complete message yet.
func (s *Stream) Buffered() int { return len(s.buf) }

// Next returns the next complete message, or nil if more bytes are needed. An error is permanent: nothing after
// it can be parsed.
func (s *Stream) Next() (*Message, error) {
	if s.err != nil {
		return nil, s.err
	}
	if len(s.buf) < 2 {
		return nil, nil
	}
	length := int(binary.BigEndian.Uint16(s.buf))
	if length < 9 || length+2 > MaxMessage {
		s.err = fmt.Errorf("trunk: message length must be 9 to %[2]d bytes, got %[1]d", length, MaxMessage-2)
		return nil, s.err
	}
	if len(s.buf) < length+2 {
		return nil, nil
	}
	payload := make([]byte, length)
	copy(payload, s.buf[2:])
	if s.buf = s.buf[length+2:]; len(s.buf) == 0 {
		s.buf = nil
	}
	m, err := parse(payload)
	s.err = err
	return m, err
}

func parse(payload []byte) (*Message, error) {
	m := &Message{Type: payload[0], Call: binary.BigEndian.Uint64(payload[1:])}
	switch m.Type {
	case TypeSetUp, TypeProgress, TypeAnswer, TypeRelease, TypeReleaseAck, TypeState, TypeProbe, TypeProbeReply:
	default:
		return nil, fmt.Errorf("trunk: unknown message type %d", m.Type)
	}
	for payload = payload[9:]; len(payload) > 0; {
		if len(payload) < 3 {
			return nil, fmt.Errorf("trunk: message type %d: %d trailing bytes after the last parameter", m.Type, len(payload))
		}
		length := int(binary.BigEndian.Uint16(payload[1:]))
		if length > len(payload)-3 {
			return nil, fmt.Errorf("trunk: message type %d: parameter %d has length %d, but only %d bytes are left", m.Type,
				payload[0], length, len(payload)-3)
		}
		if m.Value(payload[0]) != nil {
			return nil, fmt.Errorf("trunk: message type %d: duplicate parameter %d", m.Type, payload[0])
		}
		m.Params = append(m.Params, Param{payload[0], payload[3 : 3+length : 3+length]})
		payload = payload[3+length:]
	}
	return m, nil
}

// ParseReport parses a report such as x0:12;x1:40 into values in the order of fields. A value that is missing
// or not a number is -1. The result is nil if the report has none of the fields.
func ParseReport(text []byte, fields []string) []float64 {
	var values []float64
	for rest := string(text); rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ";")
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			continue
		}
		for i, field := range fields {
			if field != strings.TrimSpace(name) {
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
