package rules

import (
	"testing"
	"time"
)

// TestStandingChecker checks when the caller of a call that stands must have heard of its end.
func TestStandingChecker(t *testing.T) {
	const call = 7
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	mayEnd := func(play func(c *StandingChecker)) func(c *StandingChecker) {
		return func(c *StandingChecker) { c.MayNodeEnd = true; play(c) }
	}
	for name, tc := range map[string]struct {
		play func(c *StandingChecker)
		want int
	}{
		// The node may end a call that stands.
		"both are told":        {mayEnd(func(c *StandingChecker) { c.ReleasedAtCaller(at(5), call); c.ReleasedByNode(at(6), call) }), 0},
		"the server late":      {mayEnd(func(c *StandingChecker) { c.ReleasedAtCaller(at(5), call); c.ReleasedByNode(at(6.1), call) }), 1},
		"the server never":     {mayEnd(func(c *StandingChecker) { c.ReleasedAtCaller(at(5), call) }), 1},
		"the server first":     {mayEnd(func(c *StandingChecker) { c.ReleasedByNode(at(5), call); c.ReleasedAtCaller(at(6), call) }), 0},
		"the caller late":      {mayEnd(func(c *StandingChecker) { c.ReleasedByNode(at(5), call); c.ReleasedAtCaller(at(6.1), call) }), 1},
		"the caller never":     {mayEnd(func(c *StandingChecker) { c.ReleasedByNode(at(5), call) }), 1},
		"the process dies too": {mayEnd(func(c *StandingChecker) { c.ReleasedAtCaller(at(5), call); c.EndedSilently(at(5.5), call) }), 0},

		"in time":             {func(c *StandingChecker) { c.ReleasedByServer(at(5), call); c.ReleasedAtCaller(at(6), call) }, 0},
		"late":                {func(c *StandingChecker) { c.ReleasedByServer(at(5), call); c.ReleasedAtCaller(at(6.1), call) }, 1},
		"never":               {func(c *StandingChecker) { c.ReleasedByServer(at(5), call) }, 1},
		"before the end":      {func(c *StandingChecker) { c.ReleasedAtCaller(at(5), call); c.ReleasedByServer(at(6), call) }, 1},
		"silent end":          {func(c *StandingChecker) { c.EndedSilently(at(5), call); c.ReleasedAtCaller(at(13), call) }, 0},
		"silent end, late":    {func(c *StandingChecker) { c.EndedSilently(at(5), call); c.ReleasedAtCaller(at(13.1), call) }, 1},
		"ended by the caller": {func(c *StandingChecker) { c.ReleasedByCaller(call); c.ReleasedByServer(at(5), call) }, 0},
		"named later": {func(c *StandingChecker) {
			c.ReleasedByServer(at(5), call)
			c.Stands(at(8), call)
			c.ReleasedAtCaller(at(9), call)
		}, 0},
		"no connection from callers meanwhile": {func(c *StandingChecker) {
			c.SetCallerConns(at(4), 0)
			c.ReleasedByServer(at(5), call)
			c.SetCallerConns(at(9), 1)
			c.ReleasedAtCaller(at(10), call)
		}, 0},
		"ends before it is answered": {func(c *StandingChecker) { c.EndedSilently(at(5), call+1); c.ReleasedAtCaller(at(5), call+1) }, 0},
	} {
		checker := NewStandingChecker()
		checker.SetCallerConns(0, 1)
		checker.Stands(at(1), call)
		tc.play(checker)
		checker.Finish(at(30))
		if got, examples := checker.Violations(); got != tc.want {
			t.Errorf("%s: %d violations %q, want %d", name, got, examples, tc.want)
		}
	}
}
