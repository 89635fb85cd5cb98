// Package transport moves SIP messages over UDP and TCP sockets (RFC 3261, section 18).
//
// It owns listeners, connections and the parsing of what comes, done in the readers' goroutines. It tells batches of
// events: messages, what can't be read, connections lost, sends refused (also those that ICMP tells of). It is told
// messages to write and writes them in batches at Flush. It holds no rule of any protocol layer above.
package transport
