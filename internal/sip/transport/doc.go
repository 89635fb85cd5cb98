// Package transport sends and receives SIP messages over UDP and TCP sockets (RFC 3261, section 18).
//
// It owns listeners and connections and parses received messages in the reading goroutines. It delivers events in
// batches: messages, unreadable input, lost connections and refused sends, including those reported by ICMP. Outgoing
// messages are queued by Send and written in batches by Flush. It implements no rules of higher protocol layers.
package transport
