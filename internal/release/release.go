// Package release decides at which pace a node that was killed ends, in its next life, what it had left standing at a
// server, and when it takes new calls again. It has no I/O and no clock.
//
// Each release is work for a server, all nodes may have been killed together, and none knows of the others. So releases
// are clocked by their answers: one goes out, more with each that is answered quickly, and one at a time, with rests in
// proportion to its answer's time, once answers are slow. New calls wait until all are answered, for the calls that stood
// still hold what new ones need; but not for longer than Wait: then they go first, and releases go on beside them.
package release

import "time"

// Settings of the pace. Zero values stand for the defaults.
type Settings struct {
	First    int           // releases out at once to begin with; 1
	Most     int           // and ever; 64
	Quick    time.Duration // an answer within this lets one more be out; 60 ms
	Rest     float64       // after a slow answer nothing more goes out for so many times its time; 30
	RestMost time.Duration // 4 s at the most
	Lost     time.Duration // with no answer for so long, one more goes out; 1 s
	Wait     time.Duration // new calls wait so long at the most; 300 ms
}

// Pace is that of one life at one server.
type Pace struct {
	set    Settings
	left   int // not sent yet
	out    int // sent and not answered
	window int
	next   time.Duration // nothing goes out before
	heard  time.Duration // of the last answer, or lot
	until  time.Duration
}

// New begins to release a number of calls.
func New(set Settings, calls int, now time.Duration) *Pace {
	def := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	if set.First <= 0 {
		set.First = 1
	}
	if set.Most <= 0 {
		set.Most = 64
	}
	if set.Rest <= 0 {
		set.Rest = 30
	}
	def(&set.Quick, 60*time.Millisecond)
	def(&set.RestMost, 4*time.Second)
	def(&set.Lost, time.Second)
	def(&set.Wait, 300*time.Millisecond)
	return &Pace{set: set, left: calls, window: set.First, next: now, heard: now, until: now + set.Wait}
}

// Lot is how many go out now, and after what time to ask again at the latest; 0 when all have gone. It is to be asked
// after each answer too.
func (p *Pace) Lot(now time.Duration) (calls int, again time.Duration) {
	if p.left == 0 {
		return 0, 0
	}
	if now < p.next {
		return 0, p.next - now
	}
	calls = min(p.left, p.window-p.out)
	if calls <= 0 && now-p.heard >= p.set.Lost { // answers get lost; the rest is not to wait for their time-outs
		calls = 1
	}
	if calls > 0 {
		p.left, p.out, p.heard = p.left-calls, p.out+calls, now
	}
	if p.left > 0 {
		again = max(p.heard+p.set.Lost-now, time.Millisecond)
	}
	return max(calls, 0), again
}

// Answered notes that one has been answered after a time, or will not be.
func (p *Pace) Answered(now, after time.Duration) {
	p.out--
	p.heard = now
	if after <= p.set.Quick {
		p.window = min(p.window+1, p.set.Most)
		return
	}
	p.window = 1
	p.next = max(p.next, now+min(time.Duration(p.set.Rest*float64(after)), p.set.RestMost))
}

// Done says whether all have been answered.
func (p *Pace) Done() bool { return p.left+p.out == 0 }

// Holds says whether new calls have to wait.
func (p *Pace) Holds(now time.Duration) bool { return !p.Done() && now < p.until }
