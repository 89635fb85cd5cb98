// Package baseline holds policies that a day is also played with, to hold the module's share served against: a route at
// random, the least delay, a plain token gate, loss-based overload control (RFC 7339), and an oracle that sees the true
// state of all servers. They are for the emulator alone; no node that serves can be set up with one.
//
// All share one frame, which keeps the rules that a call's own node can keep: one answer in time, one attempt at a time,
// nothing new to a draining server, the release guard. None but the oracle spares cold servers.
package baseline
