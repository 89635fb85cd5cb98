package emulator

import (
	"math/rand/v2"
	"time"
)

// Pauses are a processor's: it stands still now and then, and where it ages each time for longer.
type Pauses struct {
	Mean  time.Duration // length of a pause
	Every time.Duration // from the end of one to the next, on average
	Grow  float64       // how much longer each is than the one before, as a share
}

// Spell is a stretch of time.
type Spell struct{ From, For time.Duration }

// Spells are the pauses of a processor over a time: from 0 until the end.
func (p Pauses) Spells(end time.Duration, s Streams, part string) []Spell {
	rng, length := s.Of(part), float64(p.Mean)
	return spells(end, func() (time.Duration, time.Duration) {
		d := time.Duration(length * (0.5 + rng.Float64()))
		length *= 1 + p.Grow
		return exponential(rng, p.Every), d
	})
}

// Neighbour is other work on a processor, on and off.
type Neighbour struct {
	On, Off time.Duration // mean lengths
}

// Spells are the times at which other work is on.
func (n Neighbour) Spells(end time.Duration, s Streams, part string) []Spell {
	rng := s.Of(part)
	return spells(end, func() (time.Duration, time.Duration) { return exponential(rng, n.Off), exponential(rng, n.On) })
}

func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// spellsMost bounds how many spells a time may have.
const spellsMost = 100_000

func spells(end time.Duration, next func() (gap, length time.Duration)) []Spell {
	var all []Spell
	for at := time.Duration(0); len(all) < spellsMost; {
		gap, length := next()
		if at += gap; at >= end {
			break
		}
		length = min(length, end-at)
		all = append(all, Spell{at, length})
		at += length
	}
	return all
}
