// Package timers is the heap of deadlines of a pure core: whoever owns it says what time it is.
// Timers that are due at one time fire in the order in which they were set.
package timers

import (
	"container/heap"
	"time"
)

// Timer is one deadline. The zero value is not set. A Timer may be set again at any time, also from its own function.
type Timer struct {
	at    time.Duration
	seq   uint64
	fn    func()
	index int // in the heap, from 1; 0: not set
}

// Pending says whether the timer is set and has not fired.
func (t *Timer) Pending() bool { return t.index > 0 }

// Heap holds timers. It is not safe for several goroutines.
type Heap struct {
	list []*Timer
	seq  uint64
}

// Set arms a timer for a time; one in the past fires at the next Advance.
func (h *Heap) Set(t *Timer, at time.Duration, fn func()) {
	h.seq++
	t.at, t.seq, t.fn = at, h.seq, fn
	if t.index > 0 {
		heap.Fix((*order)(h), t.index-1)
		return
	}
	heap.Push((*order)(h), t)
}

// Stop disarms a timer; one that is not set is left alone.
func (h *Heap) Stop(t *Timer) {
	if t.index > 0 {
		heap.Remove((*order)(h), t.index-1)
	}
	t.fn = nil
}

// Next is when the earliest timer is due.
func (h *Heap) Next() (at time.Duration, ok bool) {
	if len(h.list) == 0 {
		return 0, false
	}
	return h.list[0].at, true
}

// Advance fires all timers due by now, in order, also those set meanwhile for a time due already.
func (h *Heap) Advance(now time.Duration) {
	for len(h.list) > 0 && h.list[0].at <= now {
		t := h.list[0]
		heap.Pop((*order)(h))
		t.fn()
	}
}

// Len is how many timers are set.
func (h *Heap) Len() int { return len(h.list) }

type order Heap

func (o *order) Len() int { return len(o.list) }
func (o *order) Less(i, j int) bool {
	a, b := o.list[i], o.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (o *order) Swap(i, j int) {
	o.list[i], o.list[j] = o.list[j], o.list[i]
	o.list[i].index, o.list[j].index = i+1, j+1
}
func (o *order) Push(x any) {
	t := x.(*Timer)
	o.list = append(o.list, t)
	t.index = len(o.list)
}
func (o *order) Pop() any {
	n := len(o.list) - 1
	t := o.list[n]
	o.list[n], t.index = nil, 0
	o.list = o.list[:n]
	return t
}
