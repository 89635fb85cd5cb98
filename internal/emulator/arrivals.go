package emulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Tide says how the number of calls offered moves over a day, for all callers of a fleet alike.
type Tide struct {
	Shape  string        // one of Shapes
	CV     float64       // bursty: how much the rate differs from span to span
	Every  time.Duration // bursty: length of a span
	Swing  float64       // swing: share of the rate by which it rises and falls
	Period time.Duration // swing: from rise to rise
}

// Shapes of a tide: steady, gamma-distributed rates from span to span, and rise and fall as a sine.
var Shapes = []string{"steady", "bursty", "swing"}

// Rate is a tide being played: the factor on the rate at a time, with a mean of 1.
type Rate struct {
	tide Tide
	draw func() float64
	span []float64
	Most float64 // no factor is greater
}

// burstMost bounds the factor of a span: what lies beyond is cut off, and so is chance's worst day.
const burstMost = 4

// NewRate begins a tide; the same streams give every caller the same tide.
func NewRate(t Tide, s Streams) *Rate {
	r := &Rate{tide: t, Most: 1}
	switch t.Shape {
	case "bursty":
		r.draw, r.Most = Spread{Kind: "gamma", CV: t.CV}.Factor(s, "tide"), burstMost
	case "swing":
		r.Most = 1 + t.Swing
	}
	return r
}

// At is the factor at a time after the day's beginning.
func (r *Rate) At(now time.Duration) float64 {
	switch {
	case now < 0:
		return 1
	case r.tide.Shape == "bursty":
		i := int(now / r.tide.Every)
		for len(r.span) <= i {
			r.span = append(r.span, min(r.draw(), burstMost))
		}
		return r.span[i]
	case r.tide.Shape == "swing":
		return 1 + r.tide.Swing*math.Sin(2*math.Pi*float64(now)/float64(r.tide.Period))
	}
	return 1
}

// Arrivals are the calls of one population: a Poisson process whose rate follows a tide, by thinning (Lewis and
// Shedler, 1979).
type Arrivals struct {
	rate   *Rate
	rng    *rand.Rand
	origin time.Duration
}

// NewArrivals begins a population's arrivals, of a part's stream; origin is the day's beginning on the clock.
func NewArrivals(r *Rate, s Streams, part string, origin time.Duration) *Arrivals {
	return &Arrivals{rate: r, rng: s.Of(part), origin: origin}
}

// Next is when the next call comes after now, at so many calls a second where the tide's factor is 1.
func (a *Arrivals) Next(now time.Duration, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return math.MaxInt64
	}
	at := float64(now)
	for {
		at += a.rng.ExpFloat64() / (perSecond * a.rate.Most) * float64(time.Second)
		if at > math.MaxInt64/2 {
			return math.MaxInt64
		}
		if a.rate.Most <= 1 || a.rng.Float64()*a.rate.Most < a.rate.At(time.Duration(at)-a.origin) {
			return time.Duration(at)
		}
	}
}
