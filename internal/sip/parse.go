package sip

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// Limits bound the size of messages that the parser accepts. Zero values stand for the defaults.
type Limits struct {
	MaxLine   int // bytes of a start line or an unfolded header field; default 4,096
	MaxFields int // number of header fields; default 128
	MaxBody   int // bytes of a body; default 65,535
	// MaxMessage is the limit for the header and the body together, in bytes, on a connection; default none.
	MaxMessage int
	// AllowBare accepts messages without Via, From and To, which the platform's callers send (docs/platform.md). Call-ID and
	// CSeq remain mandatory.
	AllowBare bool
}

// withDefaults returns l with its zero values replaced by the defaults.
func (l Limits) withDefaults() Limits {
	if l.MaxLine == 0 {
		l.MaxLine = 4096
	}
	if l.MaxFields == 0 {
		l.MaxFields = 128
	}
	if l.MaxBody == 0 {
		l.MaxBody = 65535
	}
	return l
}

// maxHeaderBytes is the limit for the start line and all header fields together.
func (l Limits) maxHeaderBytes() int { l = l.withDefaults(); return l.MaxLine * 16 }

// ParseError describes a malformed message. If the message can still be answered, Status is the response status that the
// RFC requires and Partial holds the part that was parsed. Status 0 means that the message can only be dropped.
type ParseError struct {
	Status  int
	Detail  string
	Partial *Message
}

func (e *ParseError) Error() string { return "sip: " + e.Detail }

// newParseError returns a ParseError with a formatted text. m is the partial message, nil for status 0.
func newParseError(status int, m *Message, format string, args ...any) error {
	return &ParseError{status, fmt.Sprintf(format, args...), m}
}

var errNotSIP = &ParseError{Detail: "start line is neither a SIP/2.0 request nor a response"}

// headerReader holds the buffers for parsing one message header; they are reused through a pool.
type headerReader struct {
	source bytes.Reader
	buf    *bufio.Reader
	lines  textproto.Reader
	values []byte   // concatenated field values, converted to one string to save allocations
	spans  [][2]int // start and end of each value in text
}

var headerReaders = sync.Pool{New: func() any {
	r := &headerReader{buf: bufio.NewReaderSize(nil, 2048)}
	r.lines.R = r.buf
	return r
}}

// Parse parses the message in a datagram (section 18.3). A body shorter than Content-Length is an error; bytes after the
// body are discarded.
func Parse(b []byte, lim Limits) (*Message, error) {
	b = bytes.TrimLeft(b, "\r\n")
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, newParseError(0, nil, "no empty line after the header")
	}
	if end+4 > lim.maxHeaderBytes() {
		return nil, newParseError(0, nil, "header of %d bytes: must be at most %d", end+4, lim.maxHeaderBytes())
	}
	m, length, err := parseHead(b[:end+4], lim.withDefaults())
	if err != nil {
		return nil, err
	}
	body := b[end+4:]
	switch {
	case length > len(body):
		return nil, newParseError(400, m, "Content-Length %d, but the body has %d bytes", length, len(body))
	case length >= 0:
		body = body[:length]
	}
	if len(body) > lim.withDefaults().MaxBody {
		return nil, newParseError(513, m, "body of %d bytes: must be at most %d", len(body), lim.withDefaults().MaxBody)
	}
	if len(body) > 0 {
		m.Body = bytes.Clone(body)
	}
	return m, nil
}

// parseHead parses the start line and the header fields, including the final empty line. length is the value of
// Content-Length, or -1 if the field is absent.
func parseHead(b []byte, lim Limits) (m *Message, length int, err error) {
	r := headerReaders.Get().(*headerReader)
	defer headerReaders.Put(r)
	r.source.Reset(b)
	r.buf.Reset(&r.source)
	r.values, r.spans = r.values[:0], r.spans[:0]
	start, err := r.lines.ReadLineBytes()
	if err != nil || len(start) > lim.MaxLine {
		return nil, -1, newParseError(0, nil, "start line of %d bytes: must be at most %d", len(start), lim.MaxLine)
	}
	m = &Message{}
	if err := m.parseStartLine(string(start)); err != nil {
		return nil, -1, err
	}
	m.Fields = make([]Field, 0, 16)
	length = -1
	var fault error
	for {
		line, err := r.lines.ReadContinuedLineBytes()
		if err != nil || len(line) == 0 {
			break
		}
		if len(line) > lim.MaxLine {
			return nil, -1, newParseError(400, m, "header field of %d bytes: must be at most %d", len(line), lim.MaxLine)
		}
		if len(m.Fields) == lim.MaxFields {
			return nil, -1, newParseError(400, m, "more than %d header fields", lim.MaxFields)
		}
		colon := bytes.IndexByte(line, ':')
		name := bytes.TrimRight(line[:max(colon, 0)], " \t")
		if colon < 0 || !isToken(name) {
			fault = firstError(fault, newParseError(400, m, "header field %.40q: must have the form name: value", line))
			continue
		}
		value := bytes.TrimSpace(line[colon+1:])
		if bytes.IndexByte(value, '\r') >= 0 || bytes.IndexByte(value, 0) >= 0 {
			fault = firstError(fault, newParseError(400, m, "header field %s contains control characters", name))
			continue
		}
		f := Field{Name: canonicalName(name)}
		if f.Name == "Content-Length" {
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return nil, -1, newParseError(400, m, "Content-Length %.40q: must be a single number of bytes", value)
			}
			length = int(n)
			continue
		}
		m.Fields = append(m.Fields, f)
		r.spans = append(r.spans, [2]int{len(r.values), len(r.values) + len(value)})
		r.values = append(r.values, value...)
	}
	text := string(r.values)
	for i, sp := range r.spans {
		m.Fields[i].Value = text[sp[0]:sp[1]]
	}
	if fault == nil {
		fault = m.check(lim.AllowBare)
	}
	return m, length, fault
}

// firstError returns a if it is not nil, else b.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// parseStartLine sets the fields of the start line. Errors that can still be answered, an unknown version or a malformed
// Request-URI, are left in Reason for check.
func (m *Message) parseStartLine(s string) error {
	if rest, ok := strings.CutPrefix(s, "SIP/2.0 "); ok {
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 || n > 699 {
			return newParseError(0, nil, "status %.20q: must be a number from 100 to 699", code)
		}
		m.Status, m.Reason = n, reason
		return nil
	}
	method, rest, ok := strings.Cut(s, " ")
	uri, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken([]byte(method)) {
		return errNotSIP
	}
	m.Method, m.URI = method, uri
	switch {
	case !strings.EqualFold(version, "SIP/2.0") && strings.HasPrefix(strings.ToUpper(version), "SIP/"):
		m.Reason = "version"
	case !strings.EqualFold(version, "SIP/2.0"):
		return errNotSIP
	case uri == "" || containsAny(uri, &notInURI):
		m.Reason = "uri"
	}
	return nil
}

// check verifies that the mandatory fields (section 8.1.1) are present and well-formed. bare makes Via, From and To
// optional. In a request, parseStartLine leaves an error of the start line in Reason; check clears it.
func (m *Message) check(bare bool) error {
	fault := m.Reason
	if m.IsRequest() {
		m.Reason = ""
	}
	var seen [5]int
	for i := range m.Fields {
		switch m.Fields[i].Name {
		case "Via":
			seen[0]++
		case "From":
			seen[1]++
		case "To":
			seen[2]++
		case "Call-ID":
			seen[3]++
		case "CSeq":
			seen[4]++
		}
	}
	for i, name := range [...]string{"Via", "From", "To", "Call-ID", "CSeq"} {
		if seen[i] == 0 && (i >= 3 || !bare) {
			return newParseError(0, nil, "no %s field", name)
		}
		if i > 0 && seen[i] > 1 {
			return newParseError(400, m, "%d %s fields: must be exactly one", seen[i], name)
		}
	}
	if !bare {
		if err := m.checkAddresses(); err != nil {
			return err
		}
	}
	_, method, ok := m.CSeq()
	switch {
	case !ok || m.Get("Call-ID") == "":
		return newParseError(400, m, "CSeq %.40q is malformed or Call-ID is empty", m.Get("CSeq"))
	case m.IsRequest() && method != m.Method:
		return newParseError(400, m, "CSeq method is %s in a %s request", method, m.Method)
	case fault == "version":
		return newParseError(505, m, "version must be SIP/2.0")
	case fault == "uri":
		return newParseError(400, m, "Request-URI %.40q is malformed", m.URI)
	}
	return nil
}

// checkAddresses verifies that Via, From and To are well-formed.
func (m *Message) checkAddresses() error {
	if _, err := ParseVia(m.Get("Via")); err != nil {
		return newParseError(0, nil, "%v", err)
	}
	for _, name := range [...]string{"From", "To"} {
		if _, err := ParseAddress(m.Get(name)); err != nil {
			return newParseError(400, m, "%s: %v", name, err)
		}
	}
	return nil
}

// AsParseError returns the ParseError in err's chain and reports whether there is one.
func AsParseError(err error) (*ParseError, bool) {
	var p *ParseError
	ok := errors.As(err, &p)
	return p, ok
}

// tokenChar marks the characters accepted in a token: those of section 25.1 and a few more that some implementations send.
var tokenChar = func() (t [256]bool) {
	for c := byte('!'); c < 0x7f; c++ {
		t[c] = strings.IndexByte(`()<>@,;:\"/[]?={}`, c) < 0
	}
	return t
}()

// isToken reports whether b is a non-empty token (section 25.1).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// canonicalName returns the canonical spelling of a field name; compact forms (section 7.3.3) are expanded.
func canonicalName(b []byte) string {
	if name, ok := canonicalNames[string(b)]; ok { // the compiler avoids an allocation for this lookup
		return name
	}
	if name, ok := canonicalNames[strings.ToLower(string(b))]; ok {
		return name
	}
	return textproto.CanonicalMIMEHeaderKey(string(b))
}

// canonicalNames maps field names, as usually spelled, in lower case and in compact form, to their canonical spelling.
var canonicalNames = func() map[string]string {
	all := map[string]string{"i": "Call-ID", "m": "Contact", "e": "Content-Encoding", "l": "Content-Length",
		"c": "Content-Type", "f": "From", "s": "Subject", "k": "Supported", "t": "To", "v": "Via", "o": "Event",
		"u": "Allow-Events", "r": "Refer-To", "b": "Referred-By", "x": "Session-Expires"}
	for _, name := range []string{"Call-ID", "Contact", "Content-Encoding", "Content-Length", "Content-Type", "From",
		"Subject", "Supported", "To", "Via", "Event", "Allow-Events", "Refer-To", "Referred-By", "Session-Expires",
		"CSeq", "Max-Forwards", "Route", "Record-Route", "Require", "Proxy-Require", "Retry-After", "Expires",
		"Session-ID", "Resource-Priority", "RSeq", "RAck", "Allow", "Accept", "User-Agent", "Server", "Warning",
		"Subscription-State", "Unsupported", "Timestamp", "Reason", "MIME-Version", "P-Asserted-Identity",
		LatencyHeader, RedialHeader} {
		all[name], all[strings.ToLower(name)] = name, name
	}
	for short, name := range all {
		if len(short) == 1 {
			all[strings.ToUpper(short)] = name
		}
	}
	return all
}()

// Header fields private to this project (docs/access-node.md).
const (
	LatencyHeader = "X-Latency-Ms" // waiting time at the answering server's processor in milliseconds
	RedialHeader  = "X-Redial"     // number of the caller's redial, from 1
)
