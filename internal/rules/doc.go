// Package rules checks a capture for violations of the five rules listed in Names. A capture holds the messages seen on
// the sockets of callers and call servers and the list updates that nodes received. The checker does not depend on the
// node's code and uses no logs or counters.
//
// An attempt counts as ended by any of these events, as seen at the server: a final response to its INVITE, a CANCEL, the
// closing of the server's socket, or silence, that is, no response at all and no retransmission of the INVITE for the
// release guard (RFC 3261, section 9.1, forbids a CANCEL before the first 1xx). Session-ID (RFC 7989) connects calls with
// their attempts.
package rules
