package baseline

import (
	"math"
	"time"

	"larkrouter"
)

// Truth is the true state of a call server.
type Truth struct {
	Up     bool
	Wait   float64 // seconds until a set-up that comes now would be done
	SetUp  float64 // seconds of its processor for one more, as fast as it is now
	Budget float64 // set-ups that may come within the overload time before it falls over; infinite: warm
}

// World is what all oracles of a fleet share: the truth, and what they have sent that the truth does not show yet.
type World struct {
	See    func(now time.Duration, server uint32) Truth
	Travel time.Duration // from a node to a server
	Over   time.Duration // window of the cold budget
	on     map[uint32][]time.Duration
}

// sentSince is how many set-ups were sent to a server after a time; what is older than the window is forgotten.
func (w *World) sentSince(now time.Duration, id uint32, since time.Duration) int {
	all := w.on[id]
	for len(all) > 0 && all[0] <= now-max(w.Over, w.Travel) {
		all = all[1:]
	}
	if len(all) > 0 {
		w.on[id] = all
	} else {
		delete(w.on, id)
	}
	n := 0
	for i := len(all) - 1; i >= 0 && all[i] > since; i-- {
		n++
	}
	return n
}

// oracle sends a call where it will stand soonest, and only if it will stand in its aim, with room kept for the calls
// worth more.
type oracle struct {
	quiet
	w *World
}

// spare is the share of its aim that a call may expect to wait: all of it for the class worth most, half for the least.
func spare(classes []larkrouter.Class, class int) float64 {
	low, high := math.Inf(1), 0.0
	for i := range classes {
		low, high = min(low, classes[i].Worth), max(high, classes[i].Worth)
	}
	if high <= low {
		return 0.85
	}
	return 0.35 + 0.55*math.Log(classes[class].Worth/low)/math.Log(high/low)
}

func (o *oracle) choose(f *frame, c *call) *server {
	var best *server
	least := math.Inf(1)
	for _, s := range f.ready() {
		t := o.w.See(f.now, s.ID)
		if !t.Up || float64(o.w.sentSince(f.now, s.ID, f.now-o.w.Over))+1 > t.Budget {
			continue
		}
		wait := t.Wait + float64(o.w.sentSince(f.now, s.ID, f.now-o.w.Travel)+1)*t.SetUp
		if wait < least {
			best, least = s, wait
		}
	}
	if best == nil || least > spare(f.set.Classes, c.Class)*f.set.Classes[c.Class].Aim.Seconds()-2*o.w.Travel.Seconds() {
		return nil
	}
	return best
}

func (o *oracle) sent(f *frame, s *server) {
	if o.w.on == nil {
		o.w.on = map[uint32][]time.Duration{}
	}
	o.w.on[s.ID] = append(o.w.on[s.ID], f.now)
}
