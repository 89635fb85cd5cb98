package edge

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"larkrouter/internal/edge/standin"
)

const (
	callInterval      = 8 * time.Millisecond
	silentEndLimit    = 8*time.Second + 50*time.Millisecond // from the death of a process to the release of its calls at their callers
	listNotice        = 450 * time.Millisecond              // from the start of a process, as listed, to its entry in the list
	timeBeforeReplace = 700 * time.Millisecond
	readTime          = 30 * time.Millisecond // until the callers have read what the dead process has answered
)

// TestReplacedProcessOnSockets guards against calls that are never released because their call server's process was replaced, and the
// start that the list gives for the next one is a time of another clock.
func TestReplacedProcessOnSockets(t *testing.T) {
	for name, r := range map[string]replacement{
		"start listed before the death": {listedAhead: 60 * time.Millisecond},
		"start listed at the death":     {},
		"start listed after the death":  {listedAhead: -300 * time.Millisecond},
		"stalled node":                  {listedAhead: 60 * time.Millisecond, nodeStalls: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.run(t)
		})
	}
}

// replacement is a case of TestReplacedProcessOnSockets.
type replacement struct {
	listedAhead time.Duration // from the start that the list gives for the new process to the death of the old one
	nodeStalls  bool          // from before the death until after the list has told the replacement
}

// run kills a call server's process under load, starts another one at its address, and lists it. All calls of the old process must be
// released, and none of the new one.
func (r replacement) run(t *testing.T) {
	addr := reserveAddr(t)
	env := newProcessEnv(t, standin.Member("s-old", addr, 0, "up"))
	old := startServerProcess(t, addr)
	node := env.startNodeProcess()
	callers := env.newCallers(0xab0000)
	placeCalls := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(callInterval) {
			callers.Place("dest:0;width:1;via:-1")
		}
	}

	placeCalls(timeBeforeReplace)
	if r.nodeStalls {
		node.signal(syscall.SIGSTOP)
	}
	old.kill()
	died := time.Now()
	time.Sleep(readTime)
	callsOfOld := callers.StandingCalls()
	maxReleased := len(callsOfOld)
	if r.nodeStalls {
		maxReleased = callers.Counts().Placed // the callers have not read all answers of the old process
	}
	startServerProcess(t, addr)
	started := died.Add(-r.listedAhead)
	placeCalls(time.Until(started.Add(listNotice + max(0, -r.listedAhead))))
	env.feed.Publish(false, nil, standin.Member("s-old", addr, 0, "removed"),
		standin.StartedMember("s-new", addr, 0, "up", started.UnixMilli()))
	if r.nodeStalls {
		time.Sleep(readTime)
		node.signal(syscall.SIGCONT)
	}

	var left []uint64
	for time.Since(died) < silentEndLimit {
		placeCalls(callInterval)
		standing := callers.StandingCalls()
		left = slices.DeleteFunc(slices.Clone(callsOfOld), func(id uint64) bool { return !slices.Contains(standing, id) })
		if len(left) == 0 {
			break
		}
	}
	if len(left) > 0 {
		t.Errorf("%d of %d calls of the old process are not released within %v: %x", len(left), len(callsOfOld), silentEndLimit, left)
	}
	if counts := callers.Counts(); counts.Released > maxReleased {
		t.Errorf("%d calls are released, want at most the %d of the old process", counts.Released, maxReleased)
	}
	if len(callsOfOld) < 20 {
		t.Errorf("%d calls stood at the old process, want at least 20", len(callsOfOld))
	}
}
