package peers

import (
	"syscall"
	"time"
)

func init() { cases["stalldrain"] = stallAtDrain }

// stallAtDrain lets a node stall for 2 s. A call server drains from early in that time on, and callers place calls in the rest of it.
func stallAtDrain(w *world) {
	const grace, stall, callers = time.Second, 2 * time.Second, 4
	s := settings([]map[string]any{class("balance-check", 1200, 9000, 1, "read_like")}, nil)
	drains, stays := w.newCallServer("s-1", 0, 4*time.Second), w.newCallServer("s-2", 1, 4*time.Second)
	channel := w.newChannel()
	channel.publish(true, drains.member("up"), stays.member("up"))
	listen := w.freeAddr()
	n := w.startNode("n1", listen, channel.addr(), channel.known(), s)
	var all []*caller
	for i := range callers {
		all = append(all, w.newCaller(callerName(i), listen))
	}
	k := 0
	place := func() { // four calls a second
		all[k%callers].place("balance-check", numberOf(k), 3*time.Second, "")
		k++
		time.Sleep(250 * time.Millisecond)
	}
	for range 8 {
		place()
	}
	stalledAt := w.now()
	if w.hasFault {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	channel.publish(false, drains.member("draining"))
	told := w.now()
	for w.now() < stalledAt+stall-250*time.Millisecond {
		place()
	}
	w.sleepUntil(stalledAt + stall)
	if w.hasFault {
		n.signal(syscall.SIGCONT)
	}
	for range 8 {
		place()
	}
	for _, su := range drains.seen() {
		if su.at > told+grace+slack {
			w.breakf("s-1 got the set-up of %016x %.3f s after it was told to drain", su.call, (su.at - told).Seconds())
		}
	}
}
