package feed

import (
	"testing"
	"time"
)

// TestSlowFirstByteIsHeard guards against a limit that is the same at every retry, so that a channel whose first byte takes longer
// is never heard. The delays follow one another on one channel; the limit stays within its bounds.
func TestSlowFirstByteIsHeard(t *testing.T) {
	limits := NewRequestLimits()
	for _, tc := range []struct{ delay, heardAfter, nextLimit time.Duration }{ // in milliseconds
		{100, 100, 2000}, {2500, 4500, 5000}, {10, 10, 2000}, {5000, 11000, 10000}, {10, 10, 2000}, {9000, 23000, 16000}, {15000, 15000, 16000},
	} {
		waited := time.Duration(0)
		for delay := tc.delay * time.Millisecond; ; limits.FirstByteTimedOut() {
			if limits.ConnectTimedOut(); delay <= limits.FirstByte {
				waited += delay
				limits.FirstByteReceived(delay)
				break
			}
			if waited += limits.FirstByte; waited > time.Minute {
				t.Fatalf("delay of %v: not heard in a minute, limit %v", delay, limits.FirstByte)
			}
		}
		want := RequestLimits{Connect: minConnectTimeout, FirstByte: tc.nextLimit * time.Millisecond}
		if waited != tc.heardAfter*time.Millisecond || limits != want {
			t.Errorf("delay of %d ms: heard after %v, then %+v; want %d ms, %+v", tc.delay, waited, limits, tc.heardAfter, want)
		}
	}
	for range 100 {
		limits.ConnectTimedOut()
	}
	if limits.Connect != maxConnectTimeout {
		t.Errorf("the limit on connecting has grown to %v, want %v", limits.Connect, maxConnectTimeout)
	}
}
