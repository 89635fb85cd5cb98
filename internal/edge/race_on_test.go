//go:build race

package edge

// raceMemoryFactor is how many times the memory the race detector takes.
const raceMemoryFactor = 10
