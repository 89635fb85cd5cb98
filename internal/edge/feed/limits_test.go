package feed

import (
	"testing"
	"time"
)

// TestSlowFirstByteIsHeard guards against a limit that is the same at every retry, so that a channel whose first byte takes
// longer is never heard.
func TestSlowFirstByteIsHeard(t *testing.T) {
	for _, tc := range []struct {
		delay, wantWithin time.Duration
		wantNext          time.Duration // limit of the request after the one that was answered
	}{
		{100 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
		{2500 * time.Millisecond, 5 * time.Second, 5 * time.Second},
		{5 * time.Second, 12 * time.Second, 10 * time.Second},
		{9 * time.Second, 24 * time.Second, 16 * time.Second},
	} {
		limits := NewRequestLimits()
		waited := time.Duration(0)
		for tries := 0; tc.delay > limits.FirstByte; tries++ {
			if tries > 10 {
				t.Fatalf("delay of %v: not heard in %d tries, limit %v", tc.delay, tries, limits.FirstByte)
			}
			waited += limits.FirstByte
			limits.FirstByteTimedOut()
		}
		waited += tc.delay
		limits.FirstByteReceived(tc.delay)
		if waited > tc.wantWithin || limits.FirstByte != tc.wantNext {
			t.Errorf("delay of %v: heard after %v, next limit %v; want within %v, %v", tc.delay, waited, limits.FirstByte, tc.wantWithin,
				tc.wantNext)
		}
	}
}

// TestRequestLimitsAreBounded checks that the limits grow up to their bounds, and that a fast answer resets them.
func TestRequestLimitsAreBounded(t *testing.T) {
	limits := NewRequestLimits()
	for range 100 {
		limits.ConnectTimedOut()
		limits.FirstByteTimedOut()
	}
	if limits != (RequestLimits{Connect: maxConnectTimeout, FirstByte: maxFirstByteTimeout}) {
		t.Errorf("after 100 failures the limits are %+v, want the bounds", limits)
	}
	if limits.FirstByteReceived(time.Millisecond); limits != NewRequestLimits() {
		t.Errorf("after a fast answer the limits are %+v, want those of a first request", limits)
	}
}
