package sip

import (
	"math/rand/v2"
	"net/netip"
)

// Ident is a party's identity on the wire: its own addresses, and tokens for tags, branches and Call-IDs from its draws.
type Ident struct {
	Own  [2]netip.AddrPort // by transport
	Rand *rand.Rand
}

const letters = "0123456789abcdefghijklmnopqrstuv"

// Token is a new one, of 64 random bits.
func (i *Ident) Token() string {
	var b [13]byte
	x := i.Rand.Uint64()
	for k := range b {
		b[k] = letters[x&31]
		x >>= 5
	}
	return string(b[:])
}

// SentBy is the own address as Via and URIs have it.
func (i *Ident) SentBy(t Transport) string { return HostPort(i.Own[t]) }

// Via is a Via with a branch of its own, asking for rport (RFC 3581).
func (i *Ident) Via(t Transport) string {
	return "SIP/2.0/" + t.String() + " " + i.SentBy(t) + ";rport;branch=z9hG4bK" + i.Token()
}

// Contact is the own Contact.
func (i *Ident) Contact(t Transport) string {
	if t == TCP {
		return "<sip:" + i.SentBy(t) + ";transport=tcp>"
	}
	return "<sip:" + i.SentBy(t) + ">"
}
