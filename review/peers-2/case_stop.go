package peers

import (
	"syscall"
	"time"
)

func init() { cases["stop"] = stopWithHungServer }

// stopWithHungServer stops a node by SIGTERM while a call server hangs that has taken set-ups of a class that may not be repeated. Such a
// call may have run, so that its caller must not be told that trying again is harmless.
func stopWithHungServer(w *world) {
	const tries = 4
	s := settings([]map[string]any{class("meter", 2000, 15000, 1, "read_like"),
		class("shut-valve", 1500, 12000, 5, "non_idempotent")},
		map[string]any{"allowed.retryAfter": false, "allowed.maxRetryAfterUs": 0, "rules.drainGraceUs": 1500000, "rules.tipMultiple": 2.5})
	hangs, sound := w.newCallServer("s-1", 0, 20*time.Second), w.newCallServer("s-2", 1, 20*time.Second)
	hangs.work = 300 * time.Millisecond
	channel := w.newChannel()
	channel.publish(true, hangs.member("up"), sound.member("up"))
	listen := w.freeAddr()
	n := w.startNode("n1", listen, channel.addr(), channel.known(), s)
	before := w.newCaller("caller-1", listen)
	var placed []*call
	for i := range tries {
		placed = append(placed, before.place("shut-valve", numberOf(i), 4500*time.Millisecond, ""))
	}
	// The call server has read the set-ups whole, and works on them.
	w.waitFor(2*time.Second, "all set-ups at a call server", func() bool { return len(hangs.seen())+len(sound.seen()) == tries })
	if w.hasFault {
		hangs.setHung(true)
	}
	time.Sleep(500 * time.Millisecond)
	n.signal(syscall.SIGTERM)
	kill := time.AfterFunc(3700*time.Millisecond, func() { n.signal(syscall.SIGKILL) }) // the longest deadline counts as 3 s, plus 0.7 s
	<-n.exited
	kill.Stop()
	time.Sleep(100 * time.Millisecond)

	ran := append(hangs.seen(), sound.seen()...)
	for _, cl := range placed {
		state := before.state(cl)
		w.logf("call %016x, number %s: answered %d at %.3f", state.id, state.number, state.status, state.statusAt.Seconds())
		if state.status == 0 {
			w.breakf("call %016x was taken and not answered", state.id)
		}
		for _, su := range ran {
			if su.call == state.id && !su.isAnswered && isHarmless(state.status) {
				w.breakf("call %016x may have run at a call server, and its caller was told %d: trying again is harmless", state.id, state.status)
			}
		}
	}

	// The caller of a refused call dials again; the node has started again from nothing.
	n = w.startNode("n1", listen, channel.addr(), channel.known(), s)
	after := w.newCaller("caller-2", listen)
	var again []*call
	for _, cl := range placed {
		if isHarmless(before.state(cl).status) {
			again = append(again, after.place("shut-valve", cl.number, 4500*time.Millisecond, "X-Resent: 1\r\n"))
		}
	}
	time.Sleep(2 * time.Second)
	hangs.setHung(false)
	time.Sleep(500 * time.Millisecond)
	for _, cl := range again {
		count := 0
		for _, su := range append(hangs.seen(), sound.seen()...) {
			if su.number == cl.number {
				count++
			}
		}
		w.logf("number %s, which may not be repeated, has reached call servers %d times; its second try was answered %d", cl.number, count,
			after.state(cl).status)
	}
}

// isHarmless reports whether an answer tells that trying again is harmless.
func isHarmless(status int) bool { return status == 503 || status == 480 }
