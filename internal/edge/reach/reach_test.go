package reach

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Scripts of what connections show, and when the calls of a server count as over.
func TestDead(t *testing.T) {
	type step struct {
		at   time.Duration
		what string // open, heard, closed, refused, unanswered, left
		dead bool   // as the list has it up
		gone bool   // as the list has it gone
	}
	for name, script := range map[string][]step{
		"one reset and up again": {{0, "open", false, false}, {100 * ms, "closed", false, false}, {140 * ms, "open", false, false},
			{20 * time.Second, "heard", false, false}},
		"killed": {{0, "open", false, false}, {100 * ms, "closed", false, false}, {140 * ms, "refused", false, false}, {220 * ms,
			"refused", false, true},
			{1200 * ms, "refused", true, true}, {1300 * ms, "open", false, false}},
		"vanished": {{0, "open", false, false}, {2 * time.Second, "unanswered", false, false}, {3 * time.Second, "unanswered", false, true},
			{5900 * ms, "unanswered", false, true}, {6100 * ms, "unanswered", true, true}},
		"refuses, old connections mute": {{0, "open", false, false}, {2 * time.Second, "refused", false, false}, {3 * time.Second,
			"refused", false, true},
			{3100 * ms, "left", false, true}, {3100 * ms, "closed", false, true}, {5 * time.Second, "refused", false, true},
			{6 * time.Second, "refused", true, true}},
		"refuses, old connections in use": {{0, "open", false, false}, {2 * time.Second, "refused", false, false}, {2100 * ms,
			"heard", false, false},
			{3 * time.Second, "refused", false, false}, {3200 * ms, "heard", false, false}},
	} {
		s := New(Settings{}, 0)
		for _, st := range script {
			switch st.what {
			case "open":
				s.Open(st.at)
			case "heard":
				s.Heard(st.at)
			case "closed":
				s.Closed(st.at)
			case "left":
				s.Leave()
			default:
				s.Failed(st.at, st.what == "refused")
			}
			_, dead := s.Dead(st.at, false)
			_, gone := s.Dead(st.at, true)
			if dead != st.dead || gone != st.gone {
				t.Errorf("%s, at %v (%s): dead %v, and if the list has it gone %v; %v and %v are right", name, st.at, st.what, dead, gone,
					st.dead, st.gone)
			}
		}
	}
}

// Tries come apart further and further, up to a bound, and a quiet connection is checked.
func TestRetries(t *testing.T) {
	s := New(Settings{}, 0)
	now, last := time.Duration(0), time.Duration(0)
	for range 20 {
		s.Failed(now, true)
		wait := s.Retry() - now
		if wait < last || wait > 500*ms || wait <= 0 {
			t.Fatalf("after %v a wait of %v, %v before", now, wait, last)
		}
		now, last = s.Retry(), wait
	}
	s.Open(now)
	if s.Check(now+time.Second) || !s.Check(now+2*time.Second) || s.Mute(now+2*time.Second) {
		t.Error("a connection is to be checked after 1.6 s of silence, and is not mute before tries have failed")
	}
}

// A connection for each set-up out at once lately, one at the least.
func TestDemand(t *testing.T) {
	var d Demand
	for _, c := range []struct {
		at   time.Duration
		out  int
		want int
	}{{0, 0, 1}, {time.Second, 3, 3}, {2 * time.Second, 9, 4}, {9 * time.Second, 0, 4}, {11 * time.Second, 2, 4}, {21 * time.Second, 0, 2},
		{42 * time.Second, 0, 1}} {
		if d.Note(c.at, c.out); d.Connections(4) != c.want {
			t.Errorf("at %v with %d out: %d, %d is right", c.at, c.out, d.Connections(4), c.want)
		}
	}
}
