package sip

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// URI is a SIP, SIPS or tel URI (RFC 3261, section 19.1; RFC 3966). Params and Headers are not parsed.
type URI struct {
	Scheme, User, Host string
	Port               int    // 0 if absent
	Params             string // with the leading ';'
	Headers            string // with the leading '?'
}

// ParseURI parses a URI. URIs of schemes other than sip, sips and tel are accepted without parsing their content.
func ParseURI(s string) (URI, error) {
	scheme, rest, ok := strings.Cut(s, ":")
	u := URI{Scheme: strings.ToLower(scheme)}
	if !ok || rest == "" || containsAny(s, &notInURI) {
		return u, fmt.Errorf("URI %.60q: must have the form scheme:rest", s)
	}
	switch u.Scheme {
	case "tel":
		u.User, u.Params = splitBefore(rest, ';')
		if strings.Trim(u.User, "+0123456789-.()*#ABCDabcd") != "" {
			return u, fmt.Errorf("URI %.60q: a tel number may contain only digits and visual separators", s)
		}
		return u, nil
	case "sip", "sips":
	default:
		return u, nil // absolute URI of another scheme, not parsed further
	}
	if at := strings.LastIndexByte(rest, '@'); at >= 0 {
		u.User, rest = rest[:at], rest[at+1:]
	}
	rest, u.Headers = splitBefore(rest, '?')
	rest, u.Params = splitBefore(rest, ';')
	var err error
	if u.Host, u.Port, err = parseHostPort(rest); err != nil {
		return u, fmt.Errorf("URI %.60q: %w", s, err)
	}
	return u, nil
}

func (u URI) String() string {
	var b strings.Builder
	b.WriteString(u.Scheme + ":" + u.User)
	if u.Scheme != "tel" {
		if u.User != "" {
			b.WriteByte('@')
		}
		b.WriteString(u.Host)
		if u.Port != 0 {
			b.WriteString(":" + strconv.Itoa(u.Port))
		}
	}
	b.WriteString(u.Params + u.Headers)
	return b.String()
}

// Number returns the user part without visual separators (RFC 3966, section 3).
func (u URI) Number() string {
	user, _, _ := strings.Cut(u.User, ";")
	if strings.ContainsAny(user, "-.()") {
		user = strings.NewReplacer("-", "", ".", "", "(", "", ")", "").Replace(user)
	}
	return user
}

// Peer returns the destination that the URI names. It reports false unless the host is a numeric IP address; host names
// are not resolved.
func (u URI) Peer() (Peer, bool) {
	a, err := netip.ParseAddr(strings.Trim(u.Host, "[]"))
	port := u.Port
	if port == 0 {
		port = 5060
	}
	t := UDP
	if strings.EqualFold(ParamValue(u.Params, "transport"), "tcp") {
		t = TCP
	}
	return Peer{Transport: t, Addr: netip.AddrPortFrom(a, uint16(port))}, err == nil
}

// charSet is a set of bytes.
type charSet [256]bool

// newCharSet returns the set of the bytes of chars.
func newCharSet(chars string) (t charSet) {
	for i := range len(chars) {
		t[chars[i]] = true
	}
	return t
}

var notInURI, notInHost = newCharSet(" <>\"\r\n"), newCharSet(" @/,\"")

// containsAny reports whether s contains a byte of the set.
func containsAny(s string, t *charSet) bool {
	for i := range len(s) {
		if t[s[i]] {
			return true
		}
	}
	return false
}

// splitBefore splits s before the first c, which stays in the second part.
func splitBefore(s string, c byte) (before, from string) {
	if i := strings.IndexByte(s, c); i >= 0 {
		return s[:i], s[i:]
	}
	return s, ""
}

// parseHostPort parses host[:port]; port is 0 if absent.
func parseHostPort(s string) (host string, port int, err error) {
	host = s
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
		host = s[:i]
		if port, err = strconv.Atoi(strings.TrimSpace(s[i+1:])); err != nil || port < 1 || port > 65535 {
			return host, 0, fmt.Errorf("port %.10q: must be a number from 1 to 65535", s[i+1:])
		}
	}
	host = strings.TrimSpace(host)
	if host == "" || containsAny(host, &notInHost) || strings.Contains(host, ":") && host[0] != '[' {
		return host, port, fmt.Errorf("host %.40q: must be a host name, an IPv4 address or an IPv6 address in brackets", host)
	}
	return host, port, nil
}

// Address is a name-addr or addr-spec with parameters, the value of From, To, Contact and Route (section 20.10).
type Address struct {
	Display string // display name as written, including quotes
	URI     URI
	Params  string // header field parameters, with the leading ';'
}

// ParseAddress parses a single address.
func ParseAddress(s string) (Address, error) {
	var a Address
	var err error
	open := indexUnquoted(s, '<')
	if open < 0 {
		spec, params := splitBefore(s, ';')
		a.Params = params
		a.URI, err = ParseURI(strings.TrimSpace(spec))
		return a, err
	}
	end := strings.IndexByte(s[open:], '>')
	if end < 0 {
		return a, fmt.Errorf("address %.60q: '<' without a matching '>'", s)
	}
	a.Display = strings.TrimSpace(s[:open])
	a.Params = strings.TrimSpace(s[open+end+1:])
	if a.Params != "" && a.Params[0] != ';' {
		return a, fmt.Errorf("address %.60q: only parameters that begin with ';' may follow '>'", s)
	}
	a.URI, err = ParseURI(s[open+1 : open+end])
	return a, err
}

func (a Address) String() string {
	if a.Display != "" {
		return a.Display + " <" + a.URI.String() + ">" + a.Params
	}
	return "<" + a.URI.String() + ">" + a.Params
}

// ParamValue returns the value of a parameter in "...;name=value;...", ignoring text in quotes and angle brackets. It returns
// "" if the parameter is absent or has no value.
func ParamValue(s, name string) string {
	v, _ := LookupParam(s, name)
	return v
}

// LookupParam is like ParamValue and reports whether the parameter is present, with or without a value.
func LookupParam(s, name string) (value string, ok bool) {
	if i := strings.LastIndexByte(s, '>'); i >= 0 {
		s = s[i+1:]
	}
	for {
		i := indexUnquoted(s, ';')
		if i < 0 {
			return "", false
		}
		s = s[i+1:]
		end := indexUnquoted(s, ';')
		if end < 0 {
			end = len(s)
		}
		key, val, _ := strings.Cut(s[:end], "=")
		if strings.EqualFold(strings.TrimSpace(key), name) {
			return strings.TrimSpace(val), true
		}
		s = s[end:]
	}
}

// indexUnquoted returns the index of the first c outside quoted strings, or -1.
func indexUnquoted(s string, c byte) int {
	if strings.IndexByte(s, '"') < 0 {
		return strings.IndexByte(s, c)
	}
	quoted := false
	for i := 0; i < len(s); i++ {
		switch {
		case quoted && s[i] == '\\':
			i++
		case s[i] == '"':
			quoted = !quoted
		case !quoted && s[i] == c:
			return i
		}
	}
	return -1
}

// appendListItems splits s at commas outside quotes and angle brackets and appends the items to all.
func appendListItems(all []string, s string) []string {
	quoted, angle, start := false, false, 0
	for i := 0; i < len(s); i++ {
		switch {
		case quoted && s[i] == '\\':
			i++
		case s[i] == '"':
			quoted = !quoted
		case quoted:
		case s[i] == '<':
			angle = true
		case s[i] == '>':
			angle = false
		case s[i] == ',' && !angle:
			all, start = append(all, strings.TrimSpace(s[start:i])), i+1
		}
	}
	return append(all, strings.TrimSpace(s[start:]))
}

// Via is one hop of a Via header field (section 20.42).
type Via struct {
	Transport string // "UDP", "TCP"
	Host      string
	Port      int // 0 if absent
	Params    string
}

// ParseVia parses the first hop of a Via header field.
func ParseVia(s string) (Via, error) {
	if i := indexUnquoted(s, ','); i >= 0 {
		s = s[:i]
	}
	hop, params := splitBefore(s, ';')
	v := Via{Params: strings.TrimSpace(params)}
	proto, sentBy, ok := strings.Cut(strings.TrimSpace(hop), " ")
	name, ok2 := strings.CutPrefix(strings.ToUpper(proto), "SIP/2.0/")
	if !ok || !ok2 || name == "" {
		return v, fmt.Errorf("Via %.60q: must have the form SIP/2.0/transport host", s)
	}
	var err error
	v.Transport = name
	if v.Host, v.Port, err = parseHostPort(strings.TrimSpace(sentBy)); err != nil {
		return v, fmt.Errorf("Via %.60q: %w", s, err)
	}
	return v, nil
}

func (v Via) String() string {
	s := "SIP/2.0/" + v.Transport + " " + v.Host
	if v.Port != 0 {
		s += ":" + strconv.Itoa(v.Port)
	}
	return s + v.Params
}

// Branch returns the branch parameter of the topmost Via.
func (m *Message) Branch() string { return ParamValue(m.Get("Via"), "branch") }

// Tag returns the tag parameter of a header field, From or To.
func (m *Message) Tag(field string) string { return ParamValue(m.Get(field), "tag") }
