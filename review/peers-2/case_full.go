package peers

import "time"

func init() { cases["full"] = fullServer }

// fullServer lets a call server refuse new connections for 7 s, as one that holds its maximum. What is open there stays open and works, and
// so do the calls that stand there.
func fullServer(w *world) {
	const calls, hold = 5, 16 * time.Second
	s := settings([]map[string]any{class("balance-check", 1200, 9000, 1, "read_like")}, nil)
	full, other := w.newCallServer("s-1", 0, hold), w.newCallServer("s-2", 1, hold)
	channel := w.newChannel()
	channel.publish(true, full.member("up"), other.member("up"))
	listen := w.freeAddr()
	w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c := w.newCaller("caller-1", listen)
	c.reconnects = true
	var placed []*call
	for i := range calls {
		placed = append(placed, c.place("balance-check", numberOf(i), 3*time.Second, ""))
		time.Sleep(50 * time.Millisecond)
	}
	w.sleepUntil(3 * time.Second)
	if w.hasFault {
		full.setFull(true)
	}
	w.sleepUntil(10 * time.Second)
	if w.hasFault {
		full.setFull(false)
	}
	w.sleepUntil(hold + 3*time.Second)
	w.checkReleases(c, placed, full, other)
}

// checkReleases checks that no caller is told the end of a call before it, and that a call that has ended is released within the limits.
func (w *world) checkReleases(c *caller, placed []*call, servers ...*callServer) {
	const silentLimit = 8 * time.Second
	var stood []setUp
	for _, s := range servers {
		stood = append(stood, s.seen()...)
	}
	for _, cl := range placed {
		state := c.state(cl)
		if state.status != 200 {
			w.logf("call %016x was answered %d", state.id, state.status)
			continue
		}
		for _, su := range stood {
			if su.call != state.id || !su.isAnswered {
				continue
			}
			w.logf("call %016x: at its call server it ended at %.3f (0: it stands), by the node: %v; release at its caller %.3f %s", su.call,
				su.endedAt.Seconds(), su.endedByNode, state.byeAt.Seconds(), state.byeCause)
			switch {
			case su.endedByNode && su.endedAt <= state.byeAt+time.Second+slack: // the node has ended it at both ends
			case su.endedByNode && state.byeAt == 0: // an attempt that the node gave up
			case state.byeAt > 0 && (su.endedAt == 0 || state.byeAt < su.endedAt):
				w.breakf("call %016x stood at its call server, and its caller was told that it is over", su.call)
			case su.endedAt > 0 && state.byeAt == 0 && w.now()-su.endedAt > silentLimit+slack:
				w.breakf("call %016x has ended, and its caller was not told within 8 s", su.call)
			}
		}
	}
}
