package sip

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// URI is a SIP, SIPS or tel URI (RFC 3261, section 19.1; RFC 3966). Params and Headers are kept as written.
type URI struct {
	Scheme, User, Host string
	Port               int    // 0: none given
	Params             string // with the leading ';'
	Headers            string // with the leading '?'
}

// ParseURI reads a URI.
func ParseURI(s string) (URI, error) {
	scheme, rest, ok := strings.Cut(s, ":")
	u := URI{Scheme: strings.ToLower(scheme)}
	if !ok || rest == "" || holds(s, &notInURI) {
		return u, fmt.Errorf("URI %.60q: want scheme:rest", s)
	}
	switch u.Scheme {
	case "tel":
		u.User, u.Params = cutAt(rest, ';')
		if strings.Trim(u.User, "+0123456789-.()*#ABCDabcd") != "" {
			return u, fmt.Errorf("URI %.60q: a tel number has digits and visual separators only", s)
		}
		return u, nil
	case "sip", "sips":
	default:
		return u, nil // an absolute URI of another scheme: kept, not looked into
	}
	if at := strings.LastIndexByte(rest, '@'); at >= 0 {
		u.User, rest = rest[:at], rest[at+1:]
	}
	rest, u.Headers = cutAt(rest, '?')
	rest, u.Params = cutAt(rest, ';')
	var err error
	if u.Host, u.Port, err = hostPort(rest); err != nil {
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

// Number is the digits of the user part, visual separators dropped (RFC 3966, section 3).
func (u URI) Number() string {
	user, _, _ := strings.Cut(u.User, ";")
	if strings.ContainsAny(user, "-.()") {
		user = strings.NewReplacer("-", "", ".", "", "(", "", ")", "").Replace(user)
	}
	return user
}

// Peer is where the URI points, if its host is an address: numeric ones only, names are not looked up.
func (u URI) Peer() (Peer, bool) {
	a, err := netip.ParseAddr(strings.Trim(u.Host, "[]"))
	port := u.Port
	if port == 0 {
		port = 5060
	}
	t := UDP
	if strings.EqualFold(Param(u.Params, "transport"), "tcp") {
		t = TCP
	}
	return Peer{Transport: t, Addr: netip.AddrPortFrom(a, uint16(port))}, err == nil
}

type charSet [256]bool

func set(chars string) (t charSet) {
	for i := range len(chars) {
		t[chars[i]] = true
	}
	return t
}

var notInURI, notInHost = set(" <>\"\r\n"), set(" @/,\"")

func holds(s string, t *charSet) bool {
	for i := range len(s) {
		if t[s[i]] {
			return true
		}
	}
	return false
}

func cutAt(s string, c byte) (before, from string) {
	if i := strings.IndexByte(s, c); i >= 0 {
		return s[:i], s[i:]
	}
	return s, ""
}

func hostPort(s string) (host string, port int, err error) {
	host = s
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
		host = s[:i]
		if port, err = strconv.Atoi(strings.TrimSpace(s[i+1:])); err != nil || port < 1 || port > 65535 {
			return host, 0, fmt.Errorf("port %.10q is not within 1 and 65535", s[i+1:])
		}
	}
	host = strings.TrimSpace(host)
	if host == "" || holds(host, &notInHost) || strings.Contains(host, ":") && host[0] != '[' {
		return host, port, fmt.Errorf("host %.40q can't be read", host)
	}
	return host, port, nil
}

// Address is a name-addr or addr-spec with parameters: From, To, Contact, Route (section 20.10).
type Address struct {
	Display string // as written, quotes included
	URI     URI
	Params  string // of the field, with the leading ';'
}

// ParseAddress reads one address.
func ParseAddress(s string) (Address, error) {
	var a Address
	var err error
	open := indexOutside(s, '<')
	if open < 0 {
		spec, params := cutAt(s, ';')
		a.Params = params
		a.URI, err = ParseURI(strings.TrimSpace(spec))
		return a, err
	}
	end := strings.IndexByte(s[open:], '>')
	if end < 0 {
		return a, fmt.Errorf("address %.60q: '<' is not closed", s)
	}
	a.Display = strings.TrimSpace(s[:open])
	a.Params = strings.TrimSpace(s[open+end+1:])
	if a.Params != "" && a.Params[0] != ';' {
		return a, fmt.Errorf("address %.60q: want ';' behind '>'", s)
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

// Param is the value of a parameter in "...;name=value;...", outside quotes and angle brackets; "" where it has none.
func Param(s, name string) string {
	v, _ := FindParam(s, name)
	return v
}

// FindParam also tells a parameter without value from none.
func FindParam(s, name string) (value string, ok bool) {
	if i := strings.LastIndexByte(s, '>'); i >= 0 {
		s = s[i+1:]
	}
	for {
		i := indexOutside(s, ';')
		if i < 0 {
			return "", false
		}
		s = s[i+1:]
		end := indexOutside(s, ';')
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

// indexOutside finds c outside quoted strings.
func indexOutside(s string, c byte) int {
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

// appendList takes a list apart at commas outside quotes and angle brackets.
func appendList(all []string, s string) []string {
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

// Via is one hop (section 20.42).
type Via struct {
	Transport string // "UDP", "TCP"
	Host      string
	Port      int // 0: none given
	Params    string
}

// ParseVia reads the first hop of a Via field.
func ParseVia(s string) (Via, error) {
	if i := indexOutside(s, ','); i >= 0 {
		s = s[:i]
	}
	hop, params := cutAt(s, ';')
	v := Via{Params: strings.TrimSpace(params)}
	proto, sentBy, ok := strings.Cut(strings.TrimSpace(hop), " ")
	name, ok2 := strings.CutPrefix(strings.ToUpper(proto), "SIP/2.0/")
	if !ok || !ok2 || name == "" {
		return v, fmt.Errorf("Via %.60q: want SIP/2.0/transport host", s)
	}
	var err error
	v.Transport = name
	if v.Host, v.Port, err = hostPort(strings.TrimSpace(sentBy)); err != nil {
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

// Branch is the branch parameter of the topmost Via.
func (m *Message) Branch() string { return Param(m.Get("Via"), "branch") }

// Tag is the tag of From or To.
func (m *Message) Tag(field string) string { return Param(m.Get(field), "tag") }
