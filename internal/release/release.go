// Package release computes the pace at which a restarted node ends the dialogs that its previous process left
// standing at a server, and for how long it holds new calls. It performs no I/O and reads no clock.
//
// Each release is work for the server, and all nodes may have been killed together without knowing of each other.
// Releases are therefore clocked by their answers: one is sent first, the number in flight grows with each quick
// answer, and once answers are slow they go out one at a time, with pauses proportional to the time of the answer.
// New calls are held until all releases are answered, because the dialogs still occupy the capacity that new calls
// need, but for at most MaxCallWait. After that new calls are accepted and the releases continue beside them.
package release

import "time"

// Settings configures a Pacer. A zero value selects the default.
type Settings struct {
	InitialWindow int           // releases in flight at the start; default 1
	MaxWindow     int           // upper bound of releases in flight; default 64
	QuickAnswer   time.Duration // an answer within this time raises the window by one; default 60 ms
	RestFactor    float64       // pause after a slow answer, as a multiple of its time; default 30
	MaxRest       time.Duration // upper bound of that pause; default 4 s
	LossTimeout   time.Duration // without an answer for this time, one more is sent; default 1 s
	MaxCallWait   time.Duration // upper bound for holding new calls; default 300 ms
}

// Pacer paces the releases of one process run at one server.
type Pacer struct {
	settings     Settings
	unsent       int
	inFlight     int // sent and not answered
	window       int
	nextSendAt   time.Duration // nothing is sent earlier
	lastProgress time.Duration // time of the last answer or send
	holdUntil    time.Duration
}

// New returns a Pacer for a number of dialogs.
func New(settings Settings, calls int, now time.Duration) *Pacer {
	setDefault := func(value *time.Duration, fallback time.Duration) {
		if *value <= 0 {
			*value = fallback
		}
	}
	if settings.InitialWindow <= 0 {
		settings.InitialWindow = 1
	}
	if settings.MaxWindow <= 0 {
		settings.MaxWindow = 64
	}
	if settings.RestFactor <= 0 {
		settings.RestFactor = 30
	}
	setDefault(&settings.QuickAnswer, 60*time.Millisecond)
	setDefault(&settings.MaxRest, 4*time.Second)
	setDefault(&settings.LossTimeout, time.Second)
	setDefault(&settings.MaxCallWait, 300*time.Millisecond)
	return &Pacer{settings: settings, unsent: calls, window: settings.InitialWindow, nextSendAt: now,
		lastProgress: now, holdUntil: now + settings.MaxCallWait}
}

// TakeDue returns the number of releases to send now, and the time after which to call it again at the latest (0 if
// all are sent). It must also be called after each answer.
func (p *Pacer) TakeDue(now time.Duration) (count int, retryIn time.Duration) {
	if p.unsent == 0 {
		return 0, 0
	}
	if now < p.nextSendAt {
		return 0, p.nextSendAt - now
	}
	count = min(p.unsent, p.window-p.inFlight)
	// Answers may be lost; the other releases must not wait for their time-outs.
	if count <= 0 && now-p.lastProgress >= p.settings.LossTimeout {
		count = 1
	}
	if count > 0 {
		p.unsent, p.inFlight, p.lastProgress = p.unsent-count, p.inFlight+count, now
	}
	if p.unsent > 0 {
		retryIn = max(p.lastProgress+p.settings.LossTimeout-now, time.Millisecond)
	}
	return max(count, 0), retryIn
}

// Answered records that a release was answered after the elapsed time, or that it will not be answered.
func (p *Pacer) RecordAnswer(now, elapsed time.Duration) {
	p.inFlight--
	p.lastProgress = now
	if elapsed <= p.settings.QuickAnswer {
		p.window = min(p.window+1, p.settings.MaxWindow)
		return
	}
	p.window = 1
	p.nextSendAt = max(p.nextSendAt, now+min(time.Duration(p.settings.RestFactor*float64(elapsed)), p.settings.MaxRest))
}

// IsDone reports whether all releases have been answered.
func (p *Pacer) IsDone() bool { return p.unsent+p.inFlight == 0 }

// HoldsNewCalls reports whether new calls have to wait.
func (p *Pacer) HoldsNewCalls(now time.Duration) bool { return !p.IsDone() && now < p.holdUntil }
