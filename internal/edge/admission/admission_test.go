package admission

import (
	"testing"
	"time"
)

// TestCloseAndEviction checks the timeouts of idle connections, the order of eviction, and the limits.
func TestCloseAndEviction(t *testing.T) {
	const s = time.Second
	for name, tc := range map[string]struct {
		conn Conn
		at   time.Duration
		want CloseReason
	}{
		"silent, young":        {Conn{OpenedAt: s, LastUsed: s}, 3 * s, NoCloseReason},
		"silent":               {Conn{OpenedAt: s, LastUsed: s}, 3*s + s/2, NoAnsweredCall},
		"busy":                 {Conn{OpenedAt: s, LastUsed: s, PartialSince: s, OpenCalls: 1}, 60 * s, NoCloseReason},
		"proven, briefly idle": {Conn{OpenedAt: s, LastUsed: s, Proven: true}, 8 * s, NoCloseReason},
		"proven, idle":         {Conn{OpenedAt: s, LastUsed: s, Proven: true}, 9 * s, Idle},
		"incomplete message":   {Conn{OpenedAt: s, LastUsed: 9 * s, PartialSince: 8 * s, Proven: true}, 10 * s, IncompleteMessage},
	} {
		if got := tc.conn.CloseReason(tc.at); got != tc.want {
			t.Errorf("%s: close reason %d, want %d", name, got, tc.want)
		}
	}
	proven, fresh, old := &Conn{Proven: true, LastUsed: s}, &Conn{LastUsed: 3 * s}, &Conn{LastUsed: 2 * s}
	if !fresh.EvictBefore(proven) || proven.EvictBefore(fresh) || !old.EvictBefore(fresh) || fresh.EvictBefore(old) {
		t.Error("EvictBefore: want unproven connections first, then the least recently used")
	}
	if (&Conn{OpenCalls: maxOpenCalls}).CanOpenCall() || !(&Conn{OpenCalls: maxOpenCalls - 1}).CanOpenCall() {
		t.Error("CanOpenCall does not limit the open set-ups of a connection")
	}
	if callers, all := ConnLimits(300); callers*3 < 300 || all <= callers || all >= 300 {
		t.Errorf("ConnLimits(300): got %d for callers, %d in total; want callers >= 100 and less than the total, below 300", callers, all)
	}
}
