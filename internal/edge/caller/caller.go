// Package caller implements the SIP dialect that the platform's callers speak (docs/platform.md): validation of
// set-ups and the messages sent back to callers. Framing and header fields are those of internal/sip. It has no
// I/O.
package caller

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// Header fields that the platform defines.
const (
	TierField     = "X-Tier"
	DeadlineField = "X-Deadline"
	ResentField   = "X-Resent"
	AttrsField    = "X-Attrs"
	CooldownField = "X-Cooldown"
)

// Limits are the limits of a caller's message: 16 KiB in total.
var Limits = sip.Limits{MaxLine: 1024, MaxFields: 64, MaxBody: 15 << 10, MaxMessage: 16 << 10, AllowBare: true}

// SetUp is a validated INVITE.
type SetUp struct {
	ID          uint64
	Number      string // number called: 16 hex digits, as received
	Key         uint64 // value of Number
	Class       string
	TimeLeft    time.Duration
	IsResent    bool
	Destination int
	Circuits    float64
	Via         int
	WasCutOff   bool
	StandingAt  string // id of the call server at which the call already stands; "" for a new call
	Description []byte
}

// ParseID parses a call's id: 16 hex digits.
func ParseID(text string) (uint64, error) {
	if len(text) != 16 {
		return 0, fmt.Errorf("id must be 16 hex digits, got %.40q", text)
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("id must be 16 hex digits, got %.40q", text)
	}
	return v, nil
}

// ParseSetUp parses an INVITE strictly. Anything that a conforming caller could not have sent is an error; such a
// request is not forwarded.
func ParseSetUp(msg *sip.Message) (*SetUp, error) {
	setUp := &SetUp{Description: msg.Body}
	var err error
	if setUp.ID, err = ParseID(msg.Get("Call-ID")); err != nil {
		return nil, fmt.Errorf("Call-ID: %w", err)
	}
	user, hasScheme := strings.CutPrefix(msg.URI, "sip:")
	user, host, hasHost := strings.Cut(user, "@")
	if !hasScheme || !hasHost || host == "" {
		return nil, fmt.Errorf("request URI must be sip:NUMBER@net, got %.60q", msg.URI)
	}
	if setUp.Key, err = ParseID(user); err != nil {
		return nil, fmt.Errorf("number called: %w", err)
	}
	setUp.Number = user
	for _, name := range [...]string{TierField, DeadlineField, ResentField, AttrsField} {
		if countFields(msg, name) > 1 {
			return nil, fmt.Errorf("duplicate %s", name)
		}
	}
	if setUp.Class = msg.Get(TierField); setUp.Class == "" {
		return nil, fmt.Errorf("missing header field %s", TierField)
	}
	switch v := msg.Get(ResentField); {
	case v == "1":
		setUp.IsResent = true
	case v != "" && v != "0":
		return nil, fmt.Errorf("%s must be 0 or 1, got %.40q", ResentField, v)
	}
	if err := setUp.parseAttrs(msg.Get(AttrsField)); err != nil {
		return nil, fmt.Errorf("%s %.60q: %w", AttrsField, msg.Get(AttrsField), err)
	}
	ms, err := strconv.ParseUint(msg.Get(DeadlineField), 10, 31)
	if (err != nil || ms == 0) && (setUp.StandingAt == "" || msg.Get(DeadlineField) != "") {
		return nil, fmt.Errorf("%s must be a positive number of milliseconds, got %.40q", DeadlineField, msg.Get(DeadlineField))
	}
	setUp.TimeLeft = time.Duration(ms) * time.Millisecond
	for _, c := range setUp.Description {
		if (c < ' ' || c > '~') && c != '\r' && c != '\n' && c != '\t' {
			return nil, fmt.Errorf("description must be printable text, got byte %d", c)
		}
	}
	if setUp.StandingAt == "" && !strings.HasPrefix(string(setUp.Description[min(16, len(setUp.Description)):]), "\r\n") {
		return nil, fmt.Errorf("description must begin with a line of 16 hex digits, got %.40q", setUp.Description)
	}
	return setUp, nil
}

func countFields(msg *sip.Message, name string) (n int) {
	for _, field := range msg.Fields {
		if field.Name == name {
			n++
		}
	}
	return n
}

// parseAttrs parses the attributes of a request. Unknown keys are ignored, as other sites define others.
func (s *SetUp) parseAttrs(text string) error {
	s.Via = -1
	seen := map[string]bool{}
	for rest := text; rest != ""; {
		var part string
		part, rest, _ = strings.Cut(rest, ";")
		name, value, ok := strings.Cut(part, ":")
		if !ok || name == "" || value == "" {
			return fmt.Errorf("attribute must have the form name:value, got %.40q", part)
		}
		if seen[name] {
			return fmt.Errorf("duplicate %s", name)
		}
		seen[name] = true
		if name == "at" {
			s.StandingAt = value
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return fmt.Errorf("%s must be a finite number", name)
		}
		isInteger := v == math.Trunc(v)
		switch name {
		case "dest":
			if !isInteger || v < -1 || v > math.MaxUint16 {
				return fmt.Errorf("dest must be -1 or the number of a call server")
			}
			s.Destination = int(v)
		case "width":
			if v <= 0 || v > 1000 {
				return fmt.Errorf("width must be a number of circuits, over 0 and at most 1000")
			}
			s.Circuits = v
		case "via":
			if !isInteger || v < -1 || v > math.MaxUint16 {
				return fmt.Errorf("via must be -1 or the number of a call server")
			}
			s.Via = int(v)
		case "again":
			if v != 0 && v != 1 {
				return fmt.Errorf("again must be 0 or 1")
			}
			s.WasCutOff = v == 1
		}
	}
	if s.StandingAt == "" && (!seen["dest"] || !seen["width"]) {
		return fmt.Errorf("dest and width are required")
	}
	return nil
}

// Response returns the encoded response to a request. A positive cooldown is sent as the time for which the
// caller should not call again.
func Response(req *sip.Message, status int, cooldown time.Duration, body []byte) []byte {
	resp := &sip.Message{Status: status, Reason: sip.ReasonText(status), Body: body}
	for _, field := range req.Fields {
		switch field.Name {
		case "Via", "From", "To", "Call-ID", "CSeq":
			resp.Fields = append(resp.Fields, field)
		}
	}
	if cooldown > 0 {
		resp.Add(CooldownField, strconv.FormatInt(max(1, cooldown.Milliseconds()), 10))
	}
	return resp.Bytes()
}

// Release returns the encoded BYE that notifies a caller of the end of its call.
func Release(id, number string, cause int) []byte {
	req := &sip.Message{Method: sip.BYE, URI: "sip:" + number + "@net"}
	req.Add("Via", "SIP/2.0/TCP node")
	req.Add("Call-ID", id)
	req.Add("CSeq", "2 "+sip.BYE)
	req.Add("Reason", "Q.850;cause="+strconv.Itoa(cause))
	return req.Bytes()
}

// ParseCause returns the cause of a Reason field (RFC 3326), or 16 (normal clearing) if it has none.
func ParseCause(reason string) byte {
	for _, part := range strings.Split(reason, ";") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "cause="); ok {
			if n, err := strconv.ParseUint(v, 10, 7); err == nil && n > 0 {
				return byte(n)
			}
		}
	}
	return 16
}
