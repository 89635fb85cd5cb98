package membership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "larkrouter/internal/seed"
)

const sec = time.Second

// TestRegistryRanks checks that, whatever joins, leaves and expires, ranks are unique and have no gaps, and a rank changes
// only when another lease ends.
func TestRegistryRanks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		registry := NewRegistry()
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond
			name := fmt.Sprintf("n%d", rapid.IntRange(0, 12).Draw(rt, "node"))
			before := map[string]int{}
			for n, m := range registry.byName {
				before[n] = m.rank
			}
			ended := false
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0, 1:
				registry.Join(name, now+10*sec)
			case 2:
				registry.Unsubscribe(now, name)
			default:
				ended = registry.Expire(now)
			}
			seen := map[int]bool{}
			for n, m := range registry.byName {
				if seen[m.rank] || m.rank < 0 || m.rank >= registry.Size() || registry.ranks[m.rank] != n {
					rt.Fatalf("rank %d of %s among %d members is out of range or used twice", m.rank, n, registry.Size())
				}
				seen[m.rank] = true
				if r, was := before[n]; was && r != m.rank && !ended {
					rt.Fatalf("%s moved from rank %d to %d although no lease ended", n, r, m.rank)
				}
			}
		}
	})
}

// TestRegistryLeases checks that a node that restarts within its lease, or unsubscribes and subscribes again within
// LeaseGrace, stays the same member, and that one that does not is removed.
func TestRegistryLeases(t *testing.T) {
	registry := NewRegistry()
	for i := range 5 {
		registry.Join(fmt.Sprint(i), 60*sec)
	}
	registry.Unsubscribe(10*sec, "1")
	registry.Expire(20 * sec)
	registry.Join("1", 80*sec)
	if r, _ := registry.Rank("1"); registry.Size() != 5 || r != 1 {
		t.Errorf("after a rolling restart: %d members, rank %d; want 5, rank 1", registry.Size(), r)
	}
	registry.Unsubscribe(20*sec, "0")
	if registry.Expire(20*sec+LeaseGrace-1) || !registry.Expire(20*sec+LeaseGrace) || registry.Size() != 4 {
		t.Errorf("the lease does not end %v after Unsubscribe", LeaseGrace)
	}
	if r, _ := registry.Rank("4"); r != 0 {
		t.Errorf("the free rank was not reused: got rank %d, want 0", r)
	}
	leases := registry.Leases(30 * sec)
	restored := NewRegistry()
	if err := restored.Restore(0, leases); err != nil || restored.Size() != 4 {
		t.Errorf("restoring the leases: %v, %d members, want 4", err, restored.Size())
	}
	for n, m := range registry.byName {
		if r, _ := restored.Rank(n); r != m.rank {
			t.Errorf("%s: rank %d, after a restart of the list server %d", n, m.rank, r)
		}
	}
	if at, _ := restored.NextExpiry(); at != 30*sec+LeaseGrace {
		t.Errorf("the first restored lease ends at %v", at)
	}
	faulty := NewRegistry()
	if err := faulty.Restore(0, []Lease{{Name: "a"}, {Name: "a"}}); err == nil || faulty.Size() != 0 {
		t.Errorf("a duplicate name: %v, %d members; want an error and none", err, faulty.Size())
	}
}

// reportSizes reports the sizes at intervals of a second and then advances the time.
func reportSizes(estimator *SizeEstimator, sizes []int, after time.Duration) {
	now := sec
	advanceTo := func(until time.Duration) {
		for ; now < until; now += 50 * time.Millisecond {
			estimator.Advance(now)
		}
	}
	for _, n := range sizes {
		estimator.Report(now, n)
		advanceTo(now + sec)
	}
	advanceTo(now + after)
}

// TestSizeEstimator checks the estimate after sequences of reported sizes.
func TestSizeEstimator(t *testing.T) {
	alternating := []int{40}
	for range 60 {
		alternating = append(alternating, 10_000, 1)
	}
	var growing []int
	for n := 40; n <= 267; n += 10 {
		growing = append(growing, n)
	}
	for _, c := range []struct {
		name             string
		size             int
		minSize, maxSize int
		reported         []int
		after            time.Duration
		want, slack      float64
	}{
		{"correct size", 40, 0, 0, []int{40}, 60 * sec, 40, 0},
		{"sizes below 1 are ignored", 40, 0, 0, []int{40, 0, -3}, 60 * sec, 40, 0},
		{"larger, after GrowDelay", 40, 0, 0, []int{40, 60}, 4 * sec, 60, 0},
		{"smaller, before ShrinkDelay", 40, 0, 0, []int{40, 20}, 8 * sec, 40, 0},
		{"smaller, while shrinking", 40, 0, 0, []int{40, 20}, 14 * sec, 40 * math.Exp(-0.5), 1},
		{"smaller, after shrinking", 40, 0, 0, []int{40, 20}, 30 * sec, 20, 0},
		{"alternating each second", 40, 0, 0, alternating, 0, 40, 0},
		{"growing fleet", 40, 0, 0, growing, 12 * sec, 260, 0},
		{"limited by the operator", 40, 20, 80, []int{40, 10_000}, 60 * sec, 80, 0},
		{"limited from below", 40, 20, 80, []int{40, 1}, 60 * sec, 20, 0},
		{"first report, larger than configured", 1, 0, 0, []int{40}, 0, 40, 0},
		{"first report, smaller than configured", 64, 0, 0, []int{3}, 5 * sec, 64, 0},
		{"single wrong report", 40, 0, 0, []int{40, 1, 40}, 60 * sec, 40, 0},
	} {
		estimator := NewSizeEstimator(c.size, c.minSize, c.maxSize)
		reportSizes(estimator, c.reported, c.after)
		if math.Abs(estimator.Estimate()-c.want) > c.slack+1e-9 {
			t.Errorf("%s: estimate %.1f, want %.1f", c.name, estimator.Estimate(), c.want)
		}
	}
}

// TestEstimateChangesGradually checks that for any sequence of reported sizes the estimate jumps at most once, at the first
// report and upwards, and stays within the range of the reported and configured sizes.
func TestEstimateChangesGradually(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		estimator := NewSizeEstimator(rapid.IntRange(1, 300).Draw(rt, "size"), 0, 0)
		low, high := estimator.Estimate(), estimator.Estimate()
		now, last := sec, estimator.Estimate()
		jumps := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			n := rapid.IntRange(-5, 10_000).Draw(rt, "reported")
			if n >= 1 {
				low, high = min(low, float64(n)), max(high, float64(n))
			}
			if estimator.Report(now, n) { // only the first report may change the estimate
				if jumps++; jumps > 1 || estimator.Estimate() < last {
					rt.Fatalf("jumped from %v to %v", last, estimator.Estimate())
				}
				last = estimator.Estimate()
			}
			for range rapid.IntRange(0, 20).Draw(rt, "turns") {
				now += time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond
				estimator.Advance(now)
				if f := estimator.Estimate() / last; f > 1.106 || f < 0.99 {
					rt.Fatalf("from %v to %v in one step", last, estimator.Estimate())
				}
				last = estimator.Estimate()
			}
		}
		if last < low || last > high {
			rt.Fatalf("estimate %v outside of the reported range %v to %v", last, low, high)
		}
	})
}
