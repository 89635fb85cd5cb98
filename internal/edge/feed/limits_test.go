package feed

import (
	"testing"
	"time"
)

// TestSlowFirstByteIsHeard guards against a limit that is the same at every retry, so that a channel whose first byte takes longer
// is never heard. The delays follow one another on one channel; the limit stays within its bounds.
func TestSlowFirstByteIsHeard(t *testing.T) {
	var limit FirstByteLimit
	for _, tc := range []struct{ delay, heardAfter, nextLimit time.Duration }{ // in milliseconds
		{100, 100, 2000}, {2500, 4500, 5000}, {10, 10, 2000}, {5000, 11000, 10000}, {10, 10, 2000}, {9000, 23000, 16000}, {15000, 15000, 16000},
	} {
		delay, waited := tc.delay*time.Millisecond, time.Duration(0)
		for ; delay > limit.Duration() && waited < time.Minute; limit.TimedOut() {
			waited += limit.Duration()
		}
		limit.Received(delay)
		if waited += delay; waited != tc.heardAfter*time.Millisecond || limit.Duration() != tc.nextLimit*time.Millisecond {
			t.Errorf("delay of %v: heard after %v, then limit %v; want %d ms, %d ms", delay, waited, limit.Duration(), tc.heardAfter, tc.nextLimit)
		}
	}
}
