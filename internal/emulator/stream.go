package emulator

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Streams are the streams of chance of a day, all from one seed.
type Streams uint64

// Seed is the seed of a part, by its name.
func (s Streams) Seed(part string) uint64 {
	return xxhash.Sum64String(part) ^ mix(uint64(s))
}

// Of is the stream of a part, by its name. A name asked for twice gives the same draws twice.
func (s Streams) Of(part string) *rand.Rand { return rand.New(s.source(part)) }

func (s Streams) source(part string) *rand.PCG {
	return rand.NewPCG(uint64(s), xxhash.Sum64String(part))
}

// mix spreads neighbouring seeds (the finalizer of SplitMix64, Steele and others, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
