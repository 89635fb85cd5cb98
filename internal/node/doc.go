// Package node is the core of an access node: a back-to-back user agent for signalling only (RFC 3261, RFC 7092).
//
// A Node manages calls, dialogs and the subscription to the list server. Its input is messages, connection failures,
// server lists and the time. It reports events to the decision module (larkrouter.Controller), carries out the
// module's actions, and returns the messages to send and the records to log as effects. Where, when and whether a
// call is set up is decided by the module alone. A Node performs no I/O and reads no clock: the same input at the
// same times gives the same output, byte for byte.
//
// Input is processed in turns. The driver calls Receive, TransportFailed and ApplyList for all pending input, then Advance,
// then TakeEffects, all with the same time. New calls are passed to the module in Advance, so that retransmissions received
// in the same turn show how long a call has waited.
//
// Section numbers in comments refer to RFC 3261 unless another document is named.
package node
