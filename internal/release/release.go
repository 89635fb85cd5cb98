// Package release decides at which pace a node that was killed ends, in its next life, what it had left standing at the
// servers, and when it takes new calls again. It has no I/O and no clock.
//
// Each release is work for a server, and all nodes may have been killed together: they go out in lots. New calls wait
// until all are answered, for the calls that stood still hold what new ones need; but a server that answers nothing
// does not keep the node out of service for longer than Wait.
package release

import "time"

// Settings of the pace. Zero values stand for the defaults.
type Settings struct {
	Lot   int           // releases at once; 20
	Every time.Duration // from lot to lot; 20 ms
	Wait  time.Duration // new calls wait so long at the most; 3 s
}

// Pace is that of one life.
type Pace struct {
	set   Settings
	left  int // not sent yet
	open  int // not answered yet, the ones not sent included
	until time.Duration
}

// New begins to release a number of calls.
func New(set Settings, calls int, now time.Duration) *Pace {
	if set.Lot <= 0 {
		set.Lot = 20
	}
	if set.Every <= 0 {
		set.Every = 20 * time.Millisecond
	}
	if set.Wait <= 0 {
		set.Wait = 3 * time.Second
	}
	return &Pace{set: set, left: calls, open: calls, until: now + set.Wait}
}

// Lot is how many go out now, and after what time to ask again; 0 when all have gone.
func (p *Pace) Lot() (calls int, again time.Duration) {
	calls = min(p.left, p.set.Lot)
	if p.left -= calls; p.left > 0 {
		again = p.set.Every
	}
	return calls, again
}

// Answered notes that one has been answered, or will not be.
func (p *Pace) Answered() { p.open-- }

// Holds says whether new calls have to wait.
func (p *Pace) Holds(now time.Duration) bool { return p != nil && p.open > 0 && now < p.until }
