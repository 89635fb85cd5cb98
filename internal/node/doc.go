// Package node is the core of an access node: a back-to-back user agent, signalling only (RFC 3261, RFC 7092).
//
// It owns calls, legs and dialogs, and the subscription to the list server. It is told messages, lost connections,
// list news and the time; it tells the module what happened and carries out what the module decides; it tells its
// shell what to send and to log. It decides nothing about where, when or whether a call is set up. It has no I/O and
// no clock: the same input at the same times gives the same output, to the byte.
//
// A turn: the shell calls Receive, Lost and List for all that has come, all with one time, then Advance with that
// time, then Take. Calls are handed to the module in Advance, so that retransmissions that came in the same turn show
// how long a call has waited.
package node
