// Package sip reads and writes SIP messages (RFC 3261) and the addresses in them.
//
// It owns the syntax: start line, header fields on net/textproto, framing on streams, URIs and the typed fields
// that routing needs. It knows no transactions, sockets or clocks. What it does not know it passes through in order.
package sip
