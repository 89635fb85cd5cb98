// Package transaction implements the transaction layer of RFC 3261, section 17, with the corrections of RFC 6026.
//
// It contains the four state machines with timers A to M, the matching of messages to transactions, and the
// retransmissions. It has no I/O and no clock: the caller passes in the time, received messages and send failures. The
// layer calls a User for requests, responses, timeouts and transport errors, and a Sender for outgoing messages. The ACK
// to a 2xx and the retransmission of a 2xx are the responsibility of the dialog, which is the User (section 13).
package transaction
