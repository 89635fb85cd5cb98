// Package timers provides a heap of timers for code that does not read the clock: the owner of the heap supplies the
// time. Timers that are due at the same time fire in the order in which they were set.
package timers

import (
	"container/heap"
	"time"
)

// Timer is one deadline. The zero value is a timer that is not set. A Timer may be set again at any time, also by its
// own function.
type Timer struct {
	at    time.Duration
	seq   uint64
	fn    func()
	index int // position in the heap plus one; 0: not set
}

// IsPending reports whether the timer is set and has not fired.
func (t *Timer) IsPending() bool { return t.index > 0 }

// Heap holds the timers that are set. It is not safe for concurrent use.
type Heap struct {
	timers  []*Timer
	lastSeq uint64
}

// Set arms t to call fn at the given time. A time in the past fires at the next Advance.
func (h *Heap) Set(t *Timer, at time.Duration, fn func()) {
	h.lastSeq++
	t.at, t.seq, t.fn = at, h.lastSeq, fn
	if t.index > 0 {
		heap.Fix((*timerHeap)(h), t.index-1)
		return
	}
	heap.Push((*timerHeap)(h), t)
}

// Stop disarms a timer. It has no effect on one that is not set.
func (h *Heap) Stop(t *Timer) {
	if t.index > 0 {
		heap.Remove((*timerHeap)(h), t.index-1)
	}
	t.fn = nil
}

// Next returns the time of the earliest timer; ok is false if none is set.
func (h *Heap) Next() (at time.Duration, ok bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].at, true
}

// Advance fires all timers that are due by now, in order, including those that are set meanwhile.
func (h *Heap) Advance(now time.Duration) {
	for len(h.timers) > 0 && h.timers[0].at <= now {
		t := h.timers[0]
		heap.Pop((*timerHeap)(h))
		t.fn()
	}
}

// Len returns the number of timers that are set.
func (h *Heap) Len() int { return len(h.timers) }

// timerHeap implements heap.Interface, ordered by time and then by the order of setting.
type timerHeap Heap

func (o *timerHeap) Len() int { return len(o.timers) }
func (o *timerHeap) Less(i, j int) bool {
	a, b := o.timers[i], o.timers[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (o *timerHeap) Swap(i, j int) {
	o.timers[i], o.timers[j] = o.timers[j], o.timers[i]
	o.timers[i].index, o.timers[j].index = i+1, j+1
}
func (o *timerHeap) Push(x any) {
	t := x.(*Timer)
	o.timers = append(o.timers, t)
	t.index = len(o.timers)
}
func (o *timerHeap) Pop() any {
	n := len(o.timers) - 1
	t := o.timers[n]
	o.timers[n], t.index = nil, 0
	o.timers = o.timers[:n]
	return t
}
