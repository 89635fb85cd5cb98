// Package upperbound computes an upper bound of the share, by worth, that the call servers of a simulated day (a
// scenario file, see package day) could have served: the share with all their work given to the calls of the highest
// worth first. The share that a policy served is compared with it. The bound knows the true speeds of the servers and
// all calls offered; messages, delays, attempts and nodes are not modelled.
//
// It is computed in steps from the work that the servers could do in a step and the number of calls of each class
// offered in it. Calls and work are continuous amounts, so that a step may serve a fraction of a call. Releases of
// ended calls are done first, as they cannot be refused, or last, if ReleasesLast is set. Of all calls that wait within
// their deadline, those worth most at present are then set up, and among equals those with the least time left to their
// aim.
package upperbound

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Class describes a class of calls. Work is in seconds of a processor at full speed.
type Class struct {
	Worth        float64
	LateShare    float64 // share of the worth between aim and deadline
	Aim          time.Duration
	Deadline     time.Duration
	MeanHoldTime time.Duration // mean duration of a standing call
	SetUpWork    float64
	ReleaseWork  float64
}

// waitingCalls is a number of calls of one class that were offered in the same step.
type waitingCalls struct {
	class     int
	offeredAt time.Duration
	amount    float64
}

// Bound computes the upper bound of one day, step by step with AddStep.
type Bound struct {
	step          time.Duration
	classes       []Class
	now           time.Duration
	waiting       []waitingCalls
	standing      []float64
	releaseWork   float64 // outstanding work of releases, in seconds
	offeredWorth  float64
	servedWorth   float64
	usedWork      float64
	availableWork float64
	// ReleasesLast means that the servers do set-ups first and releases with the work that is left.
	ReleasesLast bool
}

// New returns a Bound for steps of the given length.
func New(step time.Duration, classes []Class) *Bound {
	return &Bound{step: step, classes: classes, standing: make([]float64, len(classes))}
}

// worthNow is the worth of a call if it is set up now; 0 past its deadline.
func (b *Bound) worthNow(w *waitingCalls) float64 {
	c := &b.classes[w.class]
	switch age := b.now - w.offeredAt; {
	case age < c.Aim:
		return c.Worth
	case age < c.Deadline:
		return c.Worth * c.LateShare
	}
	return 0
}

// AddStep adds a step: the work that the servers could do in it, in seconds of a processor at full speed, and the number
// of calls offered, by class.
func (b *Bound) AddStep(work float64, offered []float64) {
	b.availableWork += work
	for i, amount := range offered {
		if amount > 0 {
			b.waiting = append(b.waiting, waitingCalls{i, b.now, amount})
			b.offeredWorth += amount * b.classes[i].Worth
		}
	}
	for i := range b.standing {
		c := &b.classes[i]
		ended := b.standing[i]
		if c.MeanHoldTime > 0 {
			ended *= 1 - math.Exp(-float64(b.step)/float64(c.MeanHoldTime))
		}
		b.standing[i] -= ended
		b.releaseWork += ended * c.ReleaseWork
	}
	remaining := work
	if !b.ReleasesLast {
		remaining = b.doReleases(remaining)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(calls waitingCalls) bool { return b.worthNow(&calls) <= 0 || calls.amount <= 0 })
	slices.SortStableFunc(b.waiting, func(x, y waitingCalls) int {
		if c := cmp.Compare(b.worthNow(&y), b.worthNow(&x)); c != 0 {
			return c
		}
		return cmp.Compare(b.classes[x.class].Aim-(b.now-x.offeredAt), b.classes[y.class].Aim-(b.now-y.offeredAt))
	})
	for i := range b.waiting {
		calls := &b.waiting[i]
		cost := b.classes[calls.class].SetUpWork
		amount := calls.amount
		if cost > 0 {
			amount = min(amount, remaining/cost)
		}
		if amount <= 0 {
			break
		}
		calls.amount -= amount
		remaining -= amount * cost
		b.usedWork += amount * cost
		b.servedWorth += amount * b.worthNow(calls)
		b.standing[calls.class] += amount
	}
	b.doReleases(remaining)
	b.now += b.step
}

// doReleases spends work on outstanding releases and returns the work that is left.
func (b *Bound) doReleases(work float64) float64 {
	done := min(work, b.releaseWork)
	b.releaseWork, b.usedWork = b.releaseWork-done, b.usedWork+done
	return work - done
}

// Share returns the largest share by worth of the offered calls that could be served; 1 if none were offered.
func (b *Bound) Share() float64 {
	if b.offeredWorth == 0 {
		return 1
	}
	return min(1, b.servedWorth/b.offeredWorth)
}

// Utilization is the share of the available work of the servers that the bound uses; 0 if there was none.
func (b *Bound) Utilization() float64 {
	if b.availableWork == 0 {
		return 0
	}
	return b.usedWork / b.availableWork
}
