// Package baseline implements simple routing policies with which a day (a scenario file, see package day) is simulated
// too, to compare the share served with that of the decision module: a random server, the least delay, a plain token
// gate, loss-based overload control (RFC 7339), and an oracle that knows the true state of all servers. They are for
// simulation only; a real node cannot be configured to use one.
//
// All share one controller, which enforces what the node of a call can enforce alone: one answer in time, one attempt at a
// time, no new call to a draining server, and the release guard. Only the oracle limits calls to cold servers.
package baseline
