package larkrouter

import (
	"testing"
	"time"
)

// TestAnswerDue guards against a call that is refused, which tells its caller to try again, although an attempt of it may have run and
// must not run twice. The answer comes at once, and nothing is sent or answered after it.
func TestAnswerDue(t *testing.T) {
	const repeatable, notRepeatable, keyed, keyedEverywhere = 0, 2, 3, 4
	settings := testSettings()
	settings.Classes = append(settings.Classes, Class{Name: "e", Aim: 1200 * ms, Deadline: 9 * time.Second, Worth: 2, Repeat: Keyed,
		Scope: ScopeAll, Window: 2 * time.Second})
	for _, tc := range []struct {
		name         string
		class        int
		isSent       bool    // the attempt that is outstanding when the answer is due
		firstOutcome Outcome // of an attempt before it; NotSent: there was none
		isAlerting   bool
		want         string
	}{
		{"repeatable, out", repeatable, true, NotSent, false, "refused"},
		{"not repeatable, waiting to be sent", notRepeatable, false, NotSent, false, "refused"},
		{"not repeatable, out", notRepeatable, true, NotSent, false, "abandoned"},
		{"not repeatable, reset before", notRepeatable, false, Reset, false, "abandoned"},
		{"not repeatable, rejected before", notRepeatable, false, Rejected, false, "refused"},
		{"recognised at its server, out", keyed, true, NotSent, false, "abandoned"},
		{"recognised everywhere, out", keyedEverywhere, true, NotSent, false, "refused"},
		{"not repeatable, rings", notRepeatable, true, NotSent, true, "abandoned"},
		{"repeatable, rings", repeatable, true, NotSent, true, "refused"},
	} {
		node := newTestNode(t, settings, 2)
		id, server := node.newCall(0, func(call *Call) { call.Class = tc.class })
		if tc.firstOutcome != NotSent {
			node.handle(AttemptResult{Call: id, Outcome: tc.firstOutcome, Server: server, Elapsed: 10 * ms})
		}
		if tc.isAlerting {
			node.reportStanding(id, server, 10*ms)
		}
		actions := node.handle(AnswerDue{Call: id, AttemptSent: tc.isSent, IsAlerting: tc.isAlerting, Class: tc.class})
		if got := finalAnswer(actions, id); got != tc.want {
			t.Errorf("%s: answer %q, want %q", tc.name, got, tc.want)
		}
		after := append(node.handle(AnswerDue{Call: id}), node.advance(10*time.Second)...)
		if got, to := finalAnswer(after, id), sentTo(after, id); got != "" || to != 0 {
			t.Errorf("%s: after its answer the call is %q and sent to server %d, want neither", tc.name, got, to)
		}
	}
}
