package sip

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// Transport is a transport protocol, UDP or TCP.
type Transport uint8

// Supported transports.
const (
	UDP Transport = iota
	TCP
)

func (t Transport) String() string {
	if t == TCP {
		return "TCP"
	}
	return "UDP"
}

// IsReliable reports whether the transport needs no retransmissions by the transaction layer (section 17).
func (t Transport) IsReliable() bool { return t == TCP }

// Peer is the remote end of a message. Conn is the number of the connection it arrived on; 0 selects any connection and
// opens one if needed. LocalSocket is the number of the local socket it arrived on, so that the answer to a datagram is
// sent from the same socket; 0 selects the active one.
type Peer struct {
	Transport   Transport
	Addr        netip.AddrPort
	Conn        uint64
	LocalSocket uint16
}

func (p Peer) String() string { return strings.ToLower(p.Transport.String()) + ":" + p.Addr.String() }

// Packet is a message with its source or destination. If the message can't be parsed, Err is set and Msg may be nil.
type Packet struct {
	Peer Peer
	Msg  *Message
	Err  error
}

// SendError identifies a message that could not be sent by the branch of its Via. The refusal of one datagram says
// nothing about those sent before or after it, which may have arrived.
type SendError struct {
	Branch string
	Err    error
}

func (e *SendError) Error() string { return e.Err.Error() }
func (e *SendError) Unwrap() error { return e.Err }

// FindBranch returns the branch of the topmost Via in the first bytes of a message, as quoted by an ICMP error. It
// returns "" if the bytes end before the branch does.
func FindBranch(b []byte) string {
	i := bytes.Index(b, []byte(";branch="))
	if i < 0 {
		return ""
	}
	b = b[i+len(";branch="):]
	end := bytes.IndexAny(b, ";, \t\r\n")
	if end < 0 {
		return ""
	}
	return string(b[:end])
}

// StampReceived adds the received and rport parameters to a request's topmost Via (section 18.2.1, RFC 3581).
func StampReceived(m *Message, from Peer) {
	for i := range m.Fields {
		f := &m.Fields[i]
		if f.Name != "Via" {
			continue
		}
		v, err := ParseVia(f.Value)
		if err != nil {
			return
		}
		rest := ""
		if c := indexUnquoted(f.Value, ','); c >= 0 {
			rest = f.Value[c:]
		}
		host := from.Addr.Addr().String()
		if i := strings.Index(v.Params, ";rport"); i >= 0 && rest == "" && !strings.Contains(v.Params, "received=") &&
			(len(v.Params) == i+6 || v.Params[i+6] == ';') { // fast path: the form that nearly every client sends
			at := strings.Index(f.Value, ";rport") + 6
			f.Value = f.Value[:at] + "=" + strconv.Itoa(int(from.Addr.Port())) + ";received=" + host + f.Value[at:]
			return
		}
		_, rport := LookupParam(v.Params, "rport")
		if !rport && strings.Trim(v.Host, "[]") == host {
			return
		}
		if rport {
			v.Params = replaceParam(v.Params, "rport", strconv.Itoa(int(from.Addr.Port())))
		}
		v.Params = replaceParam(v.Params, "received", host)
		f.Value = v.String() + rest
		return
	}
}

// replaceParam returns params with the named parameter set to value, moved to the end.
func replaceParam(params, name, value string) string {
	var b strings.Builder
	for _, p := range strings.Split(strings.TrimPrefix(params, ";"), ";") {
		if key, _, _ := strings.Cut(p, "="); p != "" && !strings.EqualFold(strings.TrimSpace(key), name) {
			b.WriteString(";" + p)
		}
	}
	return b.String() + ";" + name + "=" + value
}

// ResponsePeer returns the destination of a response (section 18.2.2, RFC 3581): the connection of the request, else its
// source address if rport was requested, else its source host with the port of sent-by, 5060 if absent.
func ResponsePeer(req *Message, from Peer) Peer {
	if from.Transport.IsReliable() {
		return from
	}
	v, err := ParseVia(req.Get("Via"))
	if _, rport := LookupParam(v.Params, "rport"); err != nil || rport {
		return from
	}
	port := v.Port
	if port == 0 {
		port = 5060
	}
	from.Addr = netip.AddrPortFrom(from.Addr.Addr(), uint16(port))
	return from
}

// HostPort formats an address for Via and URIs.
func HostPort(a netip.AddrPort) string {
	if a.Addr().Is6() {
		return fmt.Sprintf("[%s]:%d", a.Addr(), a.Port())
	}
	return a.String()
}

// Errors that a transport reports for a message. They differ in whether the message may have been processed, which
// decides whether the request may be sent again.
var (
	ErrRefused = errors.New("no connection: refused, unreachable or not answered") // the request was not processed
	ErrLost    = errors.New("connection lost")                                     // the request may have been processed
)
