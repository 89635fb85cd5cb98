// Package standin simulates the endpoints that a node talks to: call servers with a single processor and queue, a
// population of callers, and a list server. The demo, the tests and the measurements use them. They follow the SIP
// protocol, but implement only what a node needs. Like the node they do no I/O: time and messages go in, messages come
// out, and all random numbers come from a seed.
package standin
