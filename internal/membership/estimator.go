package membership

import (
	"math"
	"time"
)

// Delays and rates of the size estimate.
const (
	// After larger sizes were reported for GrowDelay, the estimate grows to the smallest of them; ShrinkDelay is the
	// counterpart for smaller sizes.
	GrowDelay          = 3 * time.Second
	ShrinkDelay        = 10 * time.Second
	GrowTimeConstant   = time.Second // time in which the estimate grows at most by a factor of e
	ShrinkTimeConstant = 10 * time.Second
	StepInterval       = 100 * time.Millisecond // between two steps of a changing estimate
)

// SizeEstimator decides which fleet size a node uses.
type SizeEstimator struct {
	MinSize, MaxSize int     // limits set by the operator; 0: none
	estimate         float64 // size in use
	reported         float64 // last reported size; 0: none yet
	target           float64 // size that the estimate moves to; 0: it does not move
	targetSince      time.Duration
	lastStep         time.Duration
}

// NewSizeEstimator returns an estimator that starts with the configured size.
func NewSizeEstimator(size, minSize, maxSize int) *SizeEstimator {
	return &SizeEstimator{estimate: max(1, float64(size)), MinSize: minSize, MaxSize: maxSize}
}

// Estimate returns the size to use. It is fractional while it changes.
func (e *SizeEstimator) Estimate() float64 { return e.estimate }

// ReportedSize returns the last reported size, within the limits, or 0 if there was none.
func (e *SizeEstimator) ReportedSize() int { return int(e.reported) }

// Report takes a size from the list server and reports whether the estimate has changed. Sizes below 1 are ignored.
func (e *SizeEstimator) Report(now time.Duration, size int) bool {
	if size < 1 {
		return false
	}
	reported := float64(max(size, e.MinSize))
	if e.MaxSize > 0 {
		reported = min(reported, float64(e.MaxSize))
	}
	isFirst := e.reported == 0
	e.reported = reported
	switch isGrowing := reported > e.estimate; {
	case isGrowing && isFirst: // the configured size is only a default, so the first larger report is adopted at once
		e.estimate, e.target = reported, 0
		return true
	case reported == e.estimate:
		e.target = 0
	case e.target == 0 || isGrowing != (e.target > e.estimate):
		e.target, e.targetSince = reported, now
	case isGrowing:
		e.target = min(e.target, reported)
	default:
		e.target = max(e.target, reported)
	}
	return false
}

// Advance moves the estimate up to now and reports whether it has changed.
func (e *SizeEstimator) Advance(now time.Duration) bool {
	at, ok := e.NextStep()
	if !ok || now < at {
		return false
	}
	// A delayed Advance makes one step only, so that the estimate does not jump after a stall of the node.
	e.lastStep = now
	before := e.estimate
	if e.target > e.estimate {
		e.estimate = min(e.target, e.estimate*math.Exp(StepInterval.Seconds()/GrowTimeConstant.Seconds()))
	} else {
		e.estimate = max(e.target, e.estimate*math.Exp(-StepInterval.Seconds()/ShrinkTimeConstant.Seconds()))
	}
	if e.estimate == e.target {
		if e.target, e.targetSince = e.reported, now; e.reported == e.estimate {
			e.target = 0
		}
	}
	return e.estimate != before
}

// NextStep returns the time at which Advance has to be called; ok is false if the estimate does not move.
func (e *SizeEstimator) NextStep() (time.Duration, bool) {
	switch {
	case e.target == 0 || e.target == e.estimate:
		return 0, false
	case e.target > e.estimate:
		return max(e.targetSince+GrowDelay, e.lastStep+StepInterval), true
	}
	return max(e.targetSince+ShrinkDelay, e.lastStep+StepInterval), true
}
