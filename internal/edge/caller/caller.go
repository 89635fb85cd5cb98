// Package caller is the dialect of SIP that the platform's callers speak (docs/platform.md): what a set-up must look like to be
// taken, and the messages that go back. Framing and header fields are those of internal/sip. It has no I/O.
package caller

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// Header fields of the platform's own.
const (
	TierField     = "X-Tier"
	DeadlineField = "X-Deadline"
	ResentField   = "X-Resent"
	AttrsField    = "X-Attrs"
	CooldownField = "X-Cooldown"
)

// Limits are those of a message: 16 KiB in all.
var Limits = sip.Limits{Line: 1024, Fields: 64, Body: 15 << 10, Bare: true}

// SetUp is an INVITE that an honest caller may have sent.
type SetUp struct {
	ID          uint64
	Number      string // 16 hex digits, as they came
	Key         uint64 // their value
	Class       string
	Left        time.Duration
	Resent      bool
	Destination int
	Circuits    float64
	Via         int
	Again       bool
	At          string // the call server at which the call stands already; "" for a new call
	Description []byte
}

// ID reads a call's id: 16 hex digits.
func ID(text string) (uint64, error) {
	if len(text) != 16 {
		return 0, fmt.Errorf("%.40q is no id, 16 hex digits are right", text)
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%.40q is no id, 16 hex digits are right", text)
	}
	return v, nil
}

// ReadSetUp reads an INVITE strictly: what could not have come from an honest caller is an error, and goes nowhere.
func ReadSetUp(m *sip.Message) (*SetUp, error) {
	s := &SetUp{Description: m.Body}
	var err error
	if s.ID, err = ID(m.Get("Call-ID")); err != nil {
		return nil, fmt.Errorf("Call-ID: %w", err)
	}
	user, ok := strings.CutPrefix(m.URI, "sip:")
	user, host, ok2 := strings.Cut(user, "@")
	if !ok || !ok2 || host == "" {
		return nil, fmt.Errorf("address %.60q, sip:NUMBER@net is right", m.URI)
	}
	if s.Key, err = ID(user); err != nil {
		return nil, fmt.Errorf("number called: %w", err)
	}
	s.Number = user
	for _, name := range [...]string{TierField, DeadlineField, ResentField, AttrsField} {
		if count(m, name) > 1 {
			return nil, fmt.Errorf("%s more than once", name)
		}
	}
	if s.Class = m.Get(TierField); s.Class == "" {
		return nil, fmt.Errorf("no %s", TierField)
	}
	switch v := m.Get(ResentField); {
	case v == "1":
		s.Resent = true
	case v != "" && v != "0":
		return nil, fmt.Errorf("%s %.40q, 1 is right", ResentField, v)
	}
	if err := s.attrs(m.Get(AttrsField)); err != nil {
		return nil, fmt.Errorf("%s %.60q: %w", AttrsField, m.Get(AttrsField), err)
	}
	ms, err := strconv.ParseUint(m.Get(DeadlineField), 10, 31)
	if (err != nil || ms == 0) && (s.At == "" || m.Get(DeadlineField) != "") {
		return nil, fmt.Errorf("%s %.40q, a number of milliseconds is right", DeadlineField, m.Get(DeadlineField))
	}
	s.Left = time.Duration(ms) * time.Millisecond
	for _, c := range s.Description {
		if (c < ' ' || c > '~') && c != '\r' && c != '\n' && c != '\t' {
			return nil, fmt.Errorf("description holds byte %d, printable text is right", c)
		}
	}
	if s.At == "" && !strings.HasPrefix(string(s.Description[min(16, len(s.Description)):]), "\r\n") {
		return nil, fmt.Errorf("description %.40q, a first line of 16 hex digits is right", s.Description)
	}
	return s, nil
}

func count(m *sip.Message, name string) (n int) {
	for _, f := range m.Fields {
		if f.Name == name {
			n++
		}
	}
	return n
}

// attrs reads the figures of a request. Keys that are not known are left alone, as other sites have others.
func (s *SetUp) attrs(text string) error {
	s.Via = -1
	seen := map[string]bool{}
	for rest := text; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ";")
		name, value, ok := strings.Cut(part, ":")
		if !ok || name == "" || value == "" {
			return fmt.Errorf("%.40q is not of the form name:value", part)
		}
		if seen[name] {
			return fmt.Errorf("%s more than once", name)
		}
		seen[name] = true
		if name == "at" {
			s.At = value
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%s is no number", name)
		}
		whole := v == math.Trunc(v)
		switch name {
		case "dest":
			if !whole || v < -1 || v > math.MaxUint16 {
				return fmt.Errorf("dest is no number of a call server")
			}
			s.Destination = int(v)
		case "width":
			if v <= 0 || v > 1000 {
				return fmt.Errorf("width is no number of circuits")
			}
			s.Circuits = v
		case "via":
			if !whole || v < -1 || v > math.MaxUint16 {
				return fmt.Errorf("via is neither -1 nor a number of a call server")
			}
			s.Via = int(v)
		case "again":
			if v != 0 && v != 1 {
				return fmt.Errorf("again is neither 0 nor 1")
			}
			s.Again = v == 1
		}
	}
	if s.At == "" && (!seen["dest"] || !seen["width"]) {
		return fmt.Errorf("dest and width are missing")
	}
	return nil
}

// Answer is a response to a request; a refusal carries how long the caller is to stay away, where that is over 0.
func Answer(req *sip.Message, status int, cooldown time.Duration, body []byte) []byte {
	m := &sip.Message{Status: status, Reason: sip.ReasonText(status), Body: body}
	for _, f := range req.Fields {
		switch f.Name {
		case "Via", "From", "To", "Call-ID", "CSeq":
			m.Fields = append(m.Fields, f)
		}
	}
	if cooldown > 0 {
		m.Add(CooldownField, strconv.FormatInt(max(1, cooldown.Milliseconds()), 10))
	}
	return m.Bytes()
}

// Release is a BYE that tells a caller that its call is over.
func Release(id, number string, cause int) []byte {
	m := &sip.Message{Method: sip.BYE, URI: "sip:" + number + "@net"}
	m.Add("Via", "SIP/2.0/TCP node")
	m.Add("Call-ID", id)
	m.Add("CSeq", "2 "+sip.BYE)
	m.Add("Reason", "Q.850;cause="+strconv.Itoa(cause))
	return m.Bytes()
}

// Cause is the cause that a Reason field gives (RFC 3326); 16 where it gives none.
func Cause(reason string) byte {
	for _, part := range strings.Split(reason, ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.ParseUint(v, 10, 7); err == nil && n > 0 {
				return byte(n)
			}
		}
	}
	return 16
}
