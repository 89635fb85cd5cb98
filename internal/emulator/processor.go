package emulator

import (
	"math/rand/v2"
	"time"
)

// Pauses models a processor that stalls from time to time. With growth, each stall is longer than the one before, as
// on an ageing server.
type Pauses struct {
	Mean   time.Duration // mean length of the first pause
	Every  time.Duration // mean time from the end of a pause to the next
	Growth float64       // relative increase of the length from one pause to the next
}

// Interval is a time interval: its start and its length.
type Interval struct{ Start, Length time.Duration }

// Intervals returns the pauses between 0 and end, drawn from the named stream.
func (p Pauses) Intervals(end time.Duration, streams Streams, streamName string) []Interval {
	rng, length := streams.Rand(streamName), float64(p.Mean)
	return drawIntervals(end, func() (time.Duration, time.Duration) {
		d := time.Duration(length * (0.5 + rng.Float64()))
		length *= 1 + p.Growth
		return drawExponential(rng, p.Every), d
	})
}

// BackgroundLoad models competing work on a processor that alternates between on and off.
type BackgroundLoad struct {
	On, Off time.Duration // mean lengths of the phases
}

// Intervals returns the phases between 0 and end in which the competing work is on, drawn from the named stream.
func (b BackgroundLoad) Intervals(end time.Duration, streams Streams, streamName string) []Interval {
	rng := streams.Rand(streamName)
	return drawIntervals(end, func() (time.Duration, time.Duration) { return drawExponential(rng, b.Off), drawExponential(rng, b.On) })
}

// drawExponential draws an exponentially distributed duration.
func drawExponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// maxIntervals bounds the number of intervals that a model may return.
const maxIntervals = 100_000

// drawIntervals returns the intervals between 0 and end; next draws the gap before an interval and its length.
func drawIntervals(end time.Duration, next func() (gap, length time.Duration)) []Interval {
	var intervals []Interval
	for at := time.Duration(0); len(intervals) < maxIntervals; {
		gap, length := next()
		if at += gap; at >= end {
			break
		}
		length = min(length, end-at)
		intervals = append(intervals, Interval{at, length})
		at += length
	}
	return intervals
}
