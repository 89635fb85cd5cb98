// Package standin holds the parties that a node meets, small but true to their protocols: call servers with a one-line
// processor, a population of callers, and a list server. They are for the demo, the tests and the measurements.
// Like the node they are pure: time and messages go in, messages come out, and all chance comes from a seed.
package standin
