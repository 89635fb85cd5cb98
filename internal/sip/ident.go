package sip

import (
	"math/rand/v2"
	"net/netip"
)

// Ident is the identity of a local endpoint on the wire: its addresses, and the random source of its tags, branches and
// Call-IDs.
type Ident struct {
	Addrs [2]netip.AddrPort // local address by transport
	Rand  *rand.Rand
}

const tokenAlphabet = "0123456789abcdefghijklmnopqrstuv"

// NewToken returns a new random token of 64 bits.
func (i *Ident) NewToken() string {
	var b [13]byte
	x := i.Rand.Uint64()
	for k := range b {
		b[k] = tokenAlphabet[x&31]
		x >>= 5
	}
	return string(b[:])
}

// SentBy returns the local address in the form that Via and URIs use.
func (i *Ident) SentBy(t Transport) string { return HostPort(i.Addrs[t]) }

// NewVia returns the value of a Via field with a new branch and an empty rport parameter (RFC 3581).
func (i *Ident) NewVia(t Transport) string {
	return "SIP/2.0/" + t.String() + " " + i.SentBy(t) + ";rport;branch=z9hG4bK" + i.NewToken()
}

// Contact returns the value of a Contact field for the local address.
func (i *Ident) Contact(t Transport) string {
	if t == TCP {
		return "<sip:" + i.SentBy(t) + ";transport=tcp>"
	}
	return "<sip:" + i.SentBy(t) + ">"
}
