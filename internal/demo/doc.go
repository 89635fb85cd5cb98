// Package demo plays a scripted bad day around a real node: call servers, callers and a list server are stand-ins, the
// rules are checked from what was seen on their sockets. The same day runs on loopback sockets and, for tests, on the
// virtual network, where it gives the same result to the byte for the same seed.
package demo
