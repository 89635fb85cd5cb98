package sip

import (
	"strconv"
	"strings"
	"time"
)

// Methods of RFC 3261, 3262, 3311, 6086 and 6665.
const (
	INVITE    = "INVITE"
	ACK       = "ACK"
	BYE       = "BYE"
	CANCEL    = "CANCEL"
	OPTIONS   = "OPTIONS"
	PRACK     = "PRACK"
	UPDATE    = "UPDATE"
	INFO      = "INFO"
	SUBSCRIBE = "SUBSCRIBE"
	NOTIFY    = "NOTIFY"
)

// Field is a header field. Name is the long form; Value is as received.
type Field struct{ Name, Value string }

// Message is a request (Method is set) or a response (Status is set). Fields keep their order.
type Message struct {
	Method string // empty in a response
	URI    string // Request-URI
	Status int
	Reason string
	Fields []Field
	Body   []byte
}

// IsRequest reports whether the message is a request.
func (m *Message) IsRequest() bool { return m.Method != "" }

// Get returns the value of the first field of that name, or "". The name is the long form of RFC 3261, section 20.
func (m *Message) Get(name string) string {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			return m.Fields[i].Value
		}
	}
	return ""
}

// Has reports whether a field of that name is present, even if it is empty.
func (m *Message) Has(name string) bool {
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			return true
		}
	}
	return false
}

// Values returns all values of a field in order; comma-separated lists are split.
func (m *Message) Values(name string) []string {
	var all []string
	for i := range m.Fields {
		if m.Fields[i].Name == name {
			all = appendListItems(all, m.Fields[i].Value)
		}
	}
	return all
}

// Add appends a field.
func (m *Message) Add(name, value string) { m.Fields = append(m.Fields, Field{name, value}) }

// Set replaces the first field of that name and removes the others, or appends it.
func (m *Message) Set(name, value string) {
	found := false
	kept := m.Fields[:0]
	for _, f := range m.Fields {
		if f.Name == name {
			if found {
				continue
			}
			found, f.Value = true, value
		}
		kept = append(kept, f)
	}
	m.Fields = kept
	if !found {
		m.Add(name, value)
	}
}

// Del removes all fields of that name.
func (m *Message) Del(name string) {
	kept := m.Fields[:0]
	for _, f := range m.Fields {
		if f.Name != name {
			kept = append(kept, f)
		}
	}
	m.Fields = kept
}

// Prepend inserts a field before all others, as Via requires.
func (m *Message) Prepend(name, value string) {
	m.Fields = append(m.Fields, Field{})
	copy(m.Fields[1:], m.Fields)
	m.Fields[0] = Field{name, value}
}

// NewRequest returns a request with the mandatory fields of RFC 3261, section 8.1.1, except Via.
func NewRequest(method, uri, from, to, callID string, cseq uint32, maxForwards int) *Message {
	m := &Message{Method: method, URI: uri, Fields: make([]Field, 0, 16)}
	m.Add("Max-Forwards", strconv.Itoa(maxForwards))
	m.Add("From", from)
	m.Add("To", to)
	m.Add("Call-ID", callID)
	m.Add("CSeq", strconv.FormatUint(uint64(cseq), 10)+" "+method)
	return m
}

// NewResponse returns a response to req with the fields that section 8.2.6.2 copies from the request. If To has no tag
// and the status is not 100, toTag is added. An empty reason stands for the usual phrase of the status.
func NewResponse(req *Message, status int, reason, toTag string) *Message {
	if reason == "" {
		reason = ReasonText(status)
	}
	m := &Message{Status: status, Reason: reason, Fields: make([]Field, 0, 12)}
	for _, f := range req.Fields {
		switch f.Name {
		case "Via", "From", "Call-ID", "CSeq":
			m.Fields = append(m.Fields, f)
		case "Record-Route":
			if status > 100 && status < 300 {
				m.Fields = append(m.Fields, f)
			}
		case "To":
			if status != 100 && toTag != "" && ParamValue(f.Value, "tag") == "" {
				f.Value += ";tag=" + toTag
			}
			m.Fields = append(m.Fields, f)
		case "Timestamp":
			if status == 100 {
				m.Fields = append(m.Fields, f)
			}
		}
	}
	return m
}

// Append appends the message in wire form to b. Content-Length is always computed from the body.
func (m *Message) Append(b []byte) []byte {
	if m.IsRequest() {
		b = append(b, m.Method...)
		b = append(b, ' ')
		b = append(b, m.URI...)
		b = append(b, " SIP/2.0\r\n"...)
	} else {
		b = append(b, "SIP/2.0 "...)
		b = strconv.AppendInt(b, int64(m.Status), 10)
		b = append(b, ' ')
		b = append(b, m.Reason...)
		b = append(b, "\r\n"...)
	}
	for i := range m.Fields {
		if m.Fields[i].Name == "Content-Length" {
			continue
		}
		b = append(b, m.Fields[i].Name...)
		b = append(b, ": "...)
		b = append(b, m.Fields[i].Value...)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// Bytes returns the message in wire form.
func (m *Message) Bytes() []byte { return m.Append(make([]byte, 0, 512+len(m.Body))) }

// Clone returns a copy with its own fields; the body is shared.
func (m *Message) Clone() *Message {
	c := *m
	c.Fields = append(make([]Field, 0, len(m.Fields)+4), m.Fields...)
	return &c
}

// CSeq returns the sequence number and method of the CSeq field (section 20.16). ok is false if the field can't be parsed.
func (m *Message) CSeq() (n uint32, method string, ok bool) {
	num, method, ok := strings.Cut(m.Get("CSeq"), " ")
	v, err := strconv.ParseUint(num, 10, 31)
	return uint32(v), strings.TrimSpace(method), ok && err == nil
}

// ParseDeltaSeconds parses a delta-seconds value, as in Retry-After and Expires (sections 20.19 and 20.33): digits,
// optionally followed by a comment or parameters. Values over one day are reduced to one day. It reports false if the value
// does not begin with a digit.
func ParseDeltaSeconds(value string) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	n := 0
	for n < len(value) && value[n] >= '0' && value[n] <= '9' {
		n++
	}
	secs, err := strconv.ParseUint(value[:n], 10, 32)
	switch {
	case n == 0:
		return 0, false
	case err != nil || secs > 86400:
		return 24 * time.Hour, true
	}
	return time.Duration(secs) * time.Second, true
}

// ReasonText returns the usual reason phrase of a status code (section 21).
func ReasonText(status int) string {
	if r, ok := reasonPhrases[status]; ok {
		return r
	}
	return "Status " + strconv.Itoa(status)
}

var reasonPhrases = map[int]string{100: "Trying", 180: "Ringing", 183: "Session Progress", 200: "OK", 202: "Accepted",
	400: "Bad Request", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	413: "Request Entity Too Large", 416: "Unsupported URI Scheme", 420: "Bad Extension", 423: "Interval Too Brief",
	480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist", 482: "Loop Detected",
	483: "Too Many Hops", 486: "Busy Here", 487: "Request Terminated", 488: "Not Acceptable Here", 489: "Bad Event",
	491: "Request Pending", 500: "Server Internal Error", 501: "Not Implemented", 503: "Service Unavailable",
	504: "Server Time-out", 505: "Version Not Supported", 513: "Message Too Large", 600: "Busy Everywhere", 603: "Decline"}
