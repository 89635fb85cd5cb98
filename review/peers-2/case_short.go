package peers

import "time"

func init() { cases["short"] = shortAnswer }

// shortAnswer lets one answer of a call server stop short: half of it arrives, and nothing more on that connection, which stays open. Calls
// stand that were set up on it before. The node's other connection to the call server works.
func shortAnswer(w *world) {
	const class1, deadline = "balance-check", 3 * time.Second
	s := settings([]map[string]any{class(class1, 1200, 9000, 1, "read_like")}, nil)
	server := w.newCallServer("s-1", 0, 6*time.Second)
	channel := w.newChannel()
	channel.publish(true, server.member("up"))
	listen := w.freeAddr()
	w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c := w.newCaller("caller-1", listen)
	c.mu.Lock()
	c.reconnects = true
	c.mu.Unlock()
	var placed []*call
	place := func() *call {
		cl := c.place(class1, numberOf(len(placed)), deadline, "")
		placed = append(placed, cl)
		return cl
	}
	for range 2 { // two at once: the node opens a second connection
		place()
	}
	time.Sleep(500 * time.Millisecond)
	for i := 0; w.now() < 24*time.Second; i++ { // four calls a second
		if i == 12 && w.hasFault {
			server.stopShort()
		}
		place()
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	w.checkReleases(c, placed, server)
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
