package peers

import (
	"syscall"
	"time"
)

func init() { cases["stall"] = stallOnRest }

// stallOnRest lets a node stall for 1.5 s. Callers place calls meanwhile, on connections on which a call of theirs stands.
func stallOnRest(w *world) {
	const stallAt, stall, callers, deadline = 9 * time.Second, 1500 * time.Millisecond, 12, 3 * time.Second
	s := settings([]map[string]any{class("balance-check", 1200, 9000, 1, "read_like")}, nil)
	one, two := w.newCallServer("s-1", 0, 14*time.Second), w.newCallServer("s-2", 1, 14*time.Second)
	channel := w.newChannel()
	channel.publish(true, one.member("up"), two.member("up"))
	listen := w.freeAddr()
	n := w.startNode("n1", listen, channel.addr(), channel.known(), s)
	start := w.now()
	var all []*caller
	for i := range callers { // two calls a second, each by a caller of its own
		w.sleepUntil(start + time.Duration(i)*500*time.Millisecond)
		c := w.newCaller(callerName(i), listen)
		c.place("balance-check", numberOf(i), deadline, "")
		all = append(all, c)
	}
	w.sleepUntil(start + stallAt)
	if w.hasFault {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	placed := map[*caller]*call{}
	for i, c := range all {
		if c.isOpen() { // the node has closed those that rested for 8 s
			placed[c] = c.place("balance-check", numberOf(callers+i), deadline, "")
		}
	}
	time.Sleep(stall - 100*time.Millisecond)
	if w.hasFault {
		n.signal(syscall.SIGCONT)
	}
	time.Sleep(deadline + time.Second) // more than the deadline and half a second
	for c, cl := range placed {
		state := c.state(cl)
		switch {
		case state.status == 0:
			w.breakf("%s: the set-up %016x was taken at %.3f and has no answer; its connection ended at %.3f", c.name, state.id,
				state.sentAt.Seconds(), c.ended().Seconds())
		case state.answers > 1:
			w.breakf("%s: call %016x has %d answers", c.name, state.id, state.answers)
		}
	}
}
