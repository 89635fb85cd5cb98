// Package transaction is the transaction layer of RFC 3261, section 17, with the corrections of RFC 6026.
//
// It owns the four state machines and their timers A to M, the matching of messages to them, and the retransmissions.
// It is told the time, the messages that come and the sends that fail; it tells its user of requests, responses,
// time-outs and transport errors, and its sender of what is to be sent. It has no I/O and no clock. The ACK to a 2xx
// and the retransmission of a 2xx belong to the dialog, that is to the user (section 13).
package transaction
