// Package emulator models what a day is made of where a stand-in alone is too well-behaved: how long work takes, when
// callers dial and whom, what a processor has to spare, what the network does to a message. Each model is a few numbers,
// means and variations, and draws from a stream of chance of its own, so that changing one part of a day leaves the
// draws of the others alone.
//
// The models are pure: time is an argument, and the same seed gives the same day. The fleet runner puts them to work
// around the node's own core and the stand-ins; docs/lab.md says how far they may be trusted.
package emulator
