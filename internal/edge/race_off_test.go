//go:build !race

package edge

// raceFactor is how many times the memory and the time the race detector takes.
const raceFactor = 1
