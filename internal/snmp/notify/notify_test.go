package notify

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "larkrouter/internal/seed"
)

// seconds converts a number of seconds to a duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// withServerState returns an observation of one server.
func withServerState(st State) Observation { return Observation{Servers: map[uint32]State{1: st}} }

// expectKinds checks the kinds of the events that were returned.
func expectKinds(t *testing.T, desc string, got []Event, want ...Kind) {
	t.Helper()
	var kinds []Kind
	for _, e := range got {
		kinds = append(kinds, e.Kind)
	}
	if !slices.Equal(kinds, want) {
		t.Errorf("%s: got %v, want %v", desc, kinds, want)
	}
}

// expectSuppressed checks the number of suppressed notifications, of whatever kind.
func expectSuppressed(t *testing.T, d *Decider, want uint64) {
	t.Helper()
	if d.Suppressed != want {
		t.Errorf("suppressed notifications: got %d, want %d", d.Suppressed, want)
	}
}

// TestServerNotifications checks that a server is reported as back only after Settle, and that a change within MinGap is
// reported when that has passed.
func TestServerNotifications(t *testing.T) {
	d := New(DefaultSettings)
	expectKinds(t, "normal server", d.Observe(0, withServerState(Normal)))
	expectKinds(t, "suspended", d.Observe(seconds(1), withServerState(Suspended)), ServerClosed)
	expectKinds(t, "still suspended", d.Observe(seconds(2), withServerState(Suspended)))
	expectKinds(t, "normal again, for less than Settle", d.Observe(seconds(3), withServerState(Normal)))
	expectKinds(t, "suspended again, already reported", d.Observe(seconds(4), withServerState(Suspended)))
	expectKinds(t, "normal", d.Observe(seconds(14), withServerState(Normal)))
	expectKinds(t, "normal for Settle", d.Observe(seconds(19), withServerState(Normal)), ServerBack)
	expectKinds(t, "cold, within MinGap", d.Observe(seconds(20), withServerState(Cold)))
	expectKinds(t, "cold, after MinGap", d.Observe(seconds(29), withServerState(Cold)), ServerCold)
	expectSuppressed(t, d, 1)
}

// TestOverloadHysteresis checks that overload begins at the enter threshold and ends only after the share has been below the
// leave threshold for Settle.
func TestOverloadHysteresis(t *testing.T) {
	d := New(DefaultSettings)
	var offered, refused uint64
	observe := func(at float64, share float64) []Event {
		offered += 100
		refused += uint64(100 * share)
		return d.Observe(seconds(at), Observation{Offered: offered, Refused: refused})
	}
	observe(0, 0)
	expectKinds(t, "below the enter threshold", observe(5, 0.05))
	expectKinds(t, "above the enter threshold", observe(10, 0.12), OverloadEntered)
	expectKinds(t, "between the thresholds", observe(15, 0.05))
	expectKinds(t, "below the leave threshold", observe(20, 0.01))
	expectKinds(t, "above the enter threshold again, already reported", observe(25, 0.2))
	expectKinds(t, "below the leave threshold", observe(30, 0))
	expectKinds(t, "below the leave threshold for Settle", observe(35, 0), OverloadLeft)
	expectKinds(t, "above the enter threshold, within MinGap", observe(40, 0.2))
	expectKinds(t, "above the enter threshold, after MinGap", observe(45, 0.2), OverloadEntered)
	expectSuppressed(t, d, 1)
	d = New(DefaultSettings)
	d.Observe(0, Observation{})
	expectKinds(t, "too few calls in the window", d.Observe(seconds(5), Observation{Offered: 5, Refused: 5}))
}

// TestListNotifications checks that the list is reported as lost after ListAfter and as back when MinGap has passed.
func TestListNotifications(t *testing.T) {
	d := New(DefaultSettings)
	d.Observe(0, Observation{ListLost: true})
	expectKinds(t, "failing for less than ListAfter", d.Observe(seconds(9), Observation{ListLost: true}))
	expectKinds(t, "failing for ListAfter", d.Observe(seconds(10), Observation{ListLost: true}), ListLost)
	expectKinds(t, "back, within MinGap", d.Observe(seconds(12), Observation{}))
	expectKinds(t, "still within MinGap", d.Observe(seconds(13), Observation{}))
	expectKinds(t, "back, after MinGap", d.Observe(seconds(20), Observation{}), ListBack)
	expectSuppressed(t, d, 1)
}

// TestFlappingServer checks that a server causes at most one notification in MinGap, however its state changes, and that the
// last notification matches its state once that is stable.
func TestFlappingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(DefaultSettings)
		var announced State
		lastSent := -time.Hour
		now := time.Duration(0)
		state := Normal
		observe := func() {
			for _, e := range d.Observe(now, withServerState(state)) {
				if now-lastSent < DefaultSettings.MinGap {
					t.Fatalf("two notifications within %v, want at least MinGap between them", now-lastSent)
				}
				lastSent = now
				announced = map[Kind]State{ServerClosed: Suspended, ServerCold: Cold, ServerBack: Normal}[e.Kind]
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			state = rapid.SampledFrom([]State{Normal, Cold, Suspended}).Draw(t, "state")
			observe()
		}
		for range 100 {
			now += 250 * time.Millisecond
			observe()
		}
		if announced != state {
			t.Fatalf("last notification says state %v, want %v", announced, state)
		}
	})
}
