// Package demo runs a scripted scenario with faults around a real node. Call servers, callers and the list server are
// simulated, and the rules are checked on a capture of the messages on their sockets. The same scenario runs on loopback
// sockets or, for tests, on the virtual network, where the same seed gives a byte-identical result.
package demo
