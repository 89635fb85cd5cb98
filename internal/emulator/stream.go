package emulator

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Streams is the seed of a day, from which independent random streams are derived by name. Stream names are hashed:
// renaming a stream changes its draws.
type Streams uint64

// Seed returns a seed derived from the name, for a participant that draws its own random numbers.
func (s Streams) Seed(name string) uint64 {
	return xxhash.Sum64String(name) ^ mix(uint64(s))
}

// Rand returns the random stream with a name. Every call with the same name returns a new generator with the same draws.
func (s Streams) Rand(name string) *rand.Rand { return rand.New(s.source(name)) }

// source returns the random source of the stream with a name.
func (s Streams) source(name string) *rand.PCG {
	return rand.NewPCG(uint64(s), xxhash.Sum64String(name))
}

// mix scrambles a seed, so that adjacent seeds give unrelated values (the finalizer of SplitMix64, Steele et al., 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
