package main

import "time"

func init() { cases["forgotten"] = forgottenConnection }

// forgottenConnection lets a call server forget its idle connections: it says nothing, and resets one when bytes come on it. Then callers
// release calls that stand there.
func forgottenConnection(w *world) {
	const calls = 4
	s := settings([]map[string]any{class("balance-check", 1200, 9000, 1, "read_like")}, nil)
	forgets, other := w.newCallServer("s-1", 0, 100*time.Second), w.newCallServer("s-2", 1, 100*time.Second)
	channel := w.newChannel()
	channel.publish(true, forgets.member("up"), other.member("up"))
	listen := w.freeAddr()
	w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c := w.newCaller("caller-1", listen)
	var placed []*call
	for i := range calls {
		placed = append(placed, c.place("balance-check", numberOf(i), 3*time.Second, ""))
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for _, cl := range placed {
		time.Sleep(3 * time.Second) // the connection to the call server rests
		if w.hasFault {
			forgets.forgetConnections()
		}
		c.bye(cl)
	}
	time.Sleep(10*time.Second + slack)
	for _, su := range append(forgets.seen(), other.seen()...) {
		w.logf("call %016x: ended at its call server at %.3f (0: it stands)", su.call, su.endedAt.Seconds())
		if su.isAnswered && su.endedAt == 0 {
			w.breakf("call %016x still stands at its call server 10 s after its caller has released it", su.call)
		}
	}
}
