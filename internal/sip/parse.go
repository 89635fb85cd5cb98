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

// Limits bound what a parser takes. Zero values stand for the defaults.
type Limits struct {
	Line   int // bytes of a start line or an unfolded field; 4,096
	Fields int // header fields; 128
	Body   int // bytes of a body; 65,535
	// Bare takes messages without Via, From and To, as the platform's callers send them (docs/platform.md); Call-ID and
	// CSeq are demanded all the same.
	Bare bool
}

func (l Limits) filled() Limits {
	if l.Line == 0 {
		l.Line = 4096
	}
	if l.Fields == 0 {
		l.Fields = 128
	}
	if l.Body == 0 {
		l.Body = 65535
	}
	return l
}

func (l Limits) head() int { l = l.filled(); return l.Line * 16 }

// ParseError says what in a message is wrong. Status is the answer that the RFC wants where the message can still
// be answered, Partial then holds what was read of it; Status 0 means that it can only be dropped.
type ParseError struct {
	Status  int
	What    string
	Partial *Message
}

func (e *ParseError) Error() string { return "sip: " + e.What }

func bad(status int, m *Message, format string, args ...any) error {
	return &ParseError{status, fmt.Sprintf(format, args...), m}
}

var errNotSIP = &ParseError{What: "start line is neither a SIP/2.0 request nor a response"}

type lineReader struct {
	src   bytes.Reader
	buf   *bufio.Reader
	tp    textproto.Reader
	text  []byte // the values, one after another: one string holds them all
	spans [][2]int
}

var readers = sync.Pool{New: func() any {
	r := &lineReader{buf: bufio.NewReaderSize(nil, 2048)}
	r.tp.R = r.buf
	return r
}}

// Parse reads a datagram (section 18.3): a body shorter than its Content-Length is an error, bytes behind it are dropped.
func Parse(b []byte, lim Limits) (*Message, error) {
	b = bytes.TrimLeft(b, "\r\n")
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		return nil, bad(0, nil, "no empty line behind the header")
	}
	if end+4 > lim.head() {
		return nil, bad(0, nil, "header of %d bytes, at most %d are read", end+4, lim.head())
	}
	m, length, err := parseHead(b[:end+4], lim.filled())
	if err != nil {
		return nil, err
	}
	body := b[end+4:]
	switch {
	case length > len(body):
		return nil, bad(400, m, "Content-Length %d, but %d bytes follow the header", length, len(body))
	case length >= 0:
		body = body[:length]
	}
	if len(body) > lim.filled().Body {
		return nil, bad(513, m, "body of %d bytes, at most %d are read", len(body), lim.filled().Body)
	}
	if len(body) > 0 {
		m.Body = bytes.Clone(body)
	}
	return m, nil
}

// parseHead reads start line and fields, up to and with the empty line. length is -1 without Content-Length.
func parseHead(b []byte, lim Limits) (m *Message, length int, err error) {
	r := readers.Get().(*lineReader)
	defer readers.Put(r)
	r.src.Reset(b)
	r.buf.Reset(&r.src)
	r.text, r.spans = r.text[:0], r.spans[:0]
	start, err := r.tp.ReadLineBytes()
	if err != nil || len(start) > lim.Line {
		return nil, -1, bad(0, nil, "start line of %d bytes, at most %d are read", len(start), lim.Line)
	}
	m = &Message{}
	if err := m.startLine(string(start)); err != nil {
		return nil, -1, err
	}
	m.Fields = make([]Field, 0, 16)
	length = -1
	var fault error
	for {
		line, err := r.tp.ReadContinuedLineBytes()
		if err != nil || len(line) == 0 {
			break
		}
		if len(line) > lim.Line {
			return nil, -1, bad(400, m, "header field of %d bytes, at most %d are read", len(line), lim.Line)
		}
		if len(m.Fields) == lim.Fields {
			return nil, -1, bad(400, m, "more than %d header fields", lim.Fields)
		}
		colon := bytes.IndexByte(line, ':')
		name := bytes.TrimRight(line[:max(colon, 0)], " \t")
		if colon < 0 || !isToken(name) {
			fault = cmpErr(fault, bad(400, m, "field %.40q is not of the form name: value", line))
			continue
		}
		value := bytes.TrimSpace(line[colon+1:])
		if bytes.IndexByte(value, '\r') >= 0 || bytes.IndexByte(value, 0) >= 0 {
			fault = cmpErr(fault, bad(400, m, "field %s holds control characters", name))
			continue
		}
		f := Field{Name: longName(name)}
		if f.Name == "Content-Length" {
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return nil, -1, bad(400, m, "Content-Length %.40q is not one number of bytes", value)
			}
			length = int(n)
			continue
		}
		m.Fields = append(m.Fields, f)
		r.spans = append(r.spans, [2]int{len(r.text), len(r.text) + len(value)})
		r.text = append(r.text, value...)
	}
	text := string(r.text)
	for i, sp := range r.spans {
		m.Fields[i].Value = text[sp[0]:sp[1]]
	}
	if fault == nil {
		fault = m.check(lim.Bare)
	}
	return m, length, fault
}

func cmpErr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (m *Message) startLine(s string) error {
	if rest, ok := strings.CutPrefix(s, "SIP/2.0 "); ok {
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		if err != nil || len(code) != 3 || n < 100 || n > 699 {
			return bad(0, nil, "status %.20q is not a number from 100 to 699", code)
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
	case uri == "" || holds(uri, &notInURI):
		m.Reason = "uri"
	}
	return nil
}

// check demands what every message must have (section 8.1.1) and no transaction can do without.
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
			return bad(0, nil, "no %s field", name)
		}
		if i > 0 && seen[i] > 1 {
			return bad(400, m, "%d %s fields, exactly one is right", seen[i], name)
		}
	}
	if _, err := ParseVia(m.Get("Via")); err != nil && !bare {
		return bad(0, nil, "%v", err)
	}
	for _, name := range [...]string{"From", "To"} {
		if _, err := ParseAddress(m.Get(name)); err != nil && !bare {
			return bad(400, m, "%s: %v", name, err)
		}
	}
	_, method, ok := m.CSeq()
	switch {
	case !ok || m.Get("Call-ID") == "":
		return bad(400, m, "CSeq %.40q or Call-ID can't be read", m.Get("CSeq"))
	case m.IsRequest() && method != m.Method:
		return bad(400, m, "CSeq names %s in a %s", method, m.Method)
	case fault == "version":
		return bad(505, m, "version is not SIP/2.0")
	case fault == "uri":
		return bad(400, m, "Request-URI %.40q can't be read", m.URI)
	}
	return nil
}

// IsParse gives the ParseError in err, if it is one.
func IsParse(err error) (*ParseError, bool) {
	var p *ParseError
	ok := errors.As(err, &p)
	return p, ok
}

// tokenChar marks the characters of a token (section 25.1), and a few that some send and nobody minds.
var tokenChar = func() (t [256]bool) {
	for c := byte('!'); c < 0x7f; c++ {
		t[c] = strings.IndexByte(`()<>@,;:\"/[]?={}`, c) < 0
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// longName gives a field's name as RFC 3261 writes it; compact forms (section 7.3.3) are spelled out.
func longName(b []byte) string {
	if name, ok := known[string(b)]; ok { // without an allocation
		return name
	}
	if name, ok := known[strings.ToLower(string(b))]; ok {
		return name
	}
	return textproto.CanonicalMIMEHeaderKey(string(b))
}

var known = func() map[string]string {
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

// Header fields of the project's own (docs/access-node.md).
const (
	LatencyHeader = "X-Latency-Ms" // wait at the answering server's processor, milliseconds
	RedialHeader  = "X-Redial"     // number of the caller's further try, from 1
)
