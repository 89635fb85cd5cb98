// Package rules checks the five rules of the brief on a capture: what was seen on the callers' and the servers' sockets,
// and the list news that nodes were told. It knows nothing of the node's code; it trusts no log and no counter.
//
// What it takes for an attempt's end, all seen at the server: a final answer to its INVITE, a CANCEL of it, its
// server's socket closed, or silence - no answer at all, the INVITE not repeated for the release guard (RFC 3261,
// section 9.1, forbids a CANCEL before the first 1xx). Calls and attempts are tied by Session-ID (RFC 7989).
package rules
