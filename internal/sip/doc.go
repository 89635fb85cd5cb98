// Package sip parses and serializes SIP messages (RFC 3261) and the addresses in them.
//
// It covers the syntax only: the start line, header fields (read with net/textproto), framing on streams, URIs and the
// typed fields that routing needs. It has no transactions, sockets or clocks. Unknown header fields are preserved in
// their original order.
package sip
