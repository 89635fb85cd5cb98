// Package ceiling tells the most that the call servers of a day could have served by worth, had somebody given all
// their work to the worthiest calls first: a bound to hold a day's share served against. It knows the servers' true
// speeds and every call offered, and no messages, delays, attempts or nodes.
//
// It is told of the day step by step: how much work the servers could do in the step, and how many calls of each class
// were offered in it. Calls and work are amounts, not single calls, so that a step may serve a part of one. Work that
// is owed for calls that have ended goes first, as it can't be refused, or last, where the servers do it so; then, of
// all calls that still wait within their
// deadline, the ones worth most now, and among equals the ones whose time runs out first.
package ceiling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Class is a class of call. Work is in seconds of a processor at full speed.
type Class struct {
	Worth    float64
	Late     float64 // share of the worth between aim and deadline
	Aim      time.Duration
	Deadline time.Duration
	Hold     time.Duration // mean length of a call that stands
	SetUp    float64
	Release  float64
}

// waiting is an amount of calls of one class offered in one step.
type waiting struct {
	class  int
	since  time.Duration
	amount float64
}

// Bound adds a day up.
type Bound struct {
	step     time.Duration
	classes  []Class
	now      time.Duration
	line     []waiting
	standing []float64
	owed     float64 // work of releases, seconds
	offered  float64
	served   float64
	spent    float64
	could    float64
	// ReleasesLast says that the servers take set-ups first: what is owed for calls that have ended has what is left.
	ReleasesLast bool
}

// New begins a day that is told in steps of a length.
func New(step time.Duration, classes []Class) *Bound {
	return &Bound{step: step, classes: classes, standing: make([]float64, len(classes))}
}

// worth of a waiting amount if it is set up now; 0 past its deadline.
func (b *Bound) worth(w *waiting) float64 {
	c := &b.classes[w.class]
	switch age := b.now - w.since; {
	case age < c.Aim:
		return c.Worth
	case age < c.Deadline:
		return c.Worth * c.Late
	}
	return 0
}

// Step tells of the next step: the work that the servers could do in it, in seconds of a processor at full speed, and
// the calls offered, by class.
func (b *Bound) Step(work float64, offered []float64) {
	b.could += work
	for i, n := range offered {
		if n > 0 {
			b.line = append(b.line, waiting{i, b.now, n})
			b.offered += n * b.classes[i].Worth
		}
	}
	for i := range b.standing {
		c := &b.classes[i]
		ended := b.standing[i]
		if c.Hold > 0 {
			ended *= 1 - math.Exp(-float64(b.step)/float64(c.Hold))
		}
		b.standing[i] -= ended
		b.owed += ended * c.Release
	}
	left := work
	if !b.ReleasesLast {
		left = b.release(left)
	}
	b.line = slices.DeleteFunc(b.line, func(w waiting) bool { return b.worth(&w) <= 0 || w.amount <= 0 })
	slices.SortStableFunc(b.line, func(x, y waiting) int {
		if c := cmp.Compare(b.worth(&y), b.worth(&x)); c != 0 {
			return c
		}
		return cmp.Compare(b.classes[x.class].Aim-(b.now-x.since), b.classes[y.class].Aim-(b.now-y.since))
	})
	for i := range b.line {
		w := &b.line[i]
		cost := b.classes[w.class].SetUp
		n := w.amount
		if cost > 0 {
			n = min(n, left/cost)
		}
		if n <= 0 {
			break
		}
		w.amount -= n
		left -= n * cost
		b.spent += n * cost
		b.served += n * b.worth(w)
		b.standing[w.class] += n
	}
	b.release(left)
	b.now += b.step
}

// release does what is owed with the work that there is, and says what is left of that.
func (b *Bound) release(work float64) float64 {
	done := min(work, b.owed)
	b.owed, b.spent = b.owed-done, b.spent+done
	return work - done
}

// Share is the most that could be served, by worth, of what was offered; 1 where nothing was.
func (b *Bound) Share() float64 {
	if b.offered == 0 {
		return 1
	}
	return min(1, b.served/b.offered)
}

// Busy is the share of the servers' time that this would have taken.
func (b *Bound) Busy() float64 {
	if b.could == 0 {
		return 0
	}
	return b.spent / b.could
}
