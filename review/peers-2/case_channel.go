package peers

import "time"

func init() { cases["channel"] = silentChannel }

// silentChannel lets the command channel stop for 38 s while it stays open. It answers again at once from then on, and 6.2 s later
// it tells that a call server drains.
func silentChannel(w *world) {
	const silentAt, backAt, drainAt, endAt = 3 * time.Second, 41 * time.Second, 47200 * time.Millisecond, 60 * time.Second
	const grace = time.Second
	s := settings([]map[string]any{class("balance-check", 1200, 9000, 1, "read_like")}, nil)
	drains, stays := w.newCallServer("s-1", 0, 2*time.Second), w.newCallServer("s-2", 1, 2*time.Second)
	channel := w.newChannel()
	channel.publish(true, drains.member("up"), stays.member("up"))
	listen := w.freeAddr()
	w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c := w.newCaller("caller-1", listen)
	if w.hasFault {
		time.AfterFunc(time.Until(w.startedAt.Add(silentAt)), func() { channel.setSilent(true) })
		time.AfterFunc(time.Until(w.startedAt.Add(backAt)), func() { channel.setSilent(false) })
	}
	told := make(chan time.Duration, 1)
	time.AfterFunc(time.Until(w.startedAt.Add(drainAt)), func() {
		channel.publish(false, drains.member("draining"))
		told <- w.now()
	})
	for i := 0; w.now() < endAt; i++ { // four calls a second, with either call server as their first choice
		c.place("balance-check", numberOf(i), 3*time.Second, "")
		time.Sleep(250 * time.Millisecond)
	}
	limit := <-told + grace + slack
	for _, su := range drains.seen() {
		if su.at > limit {
			w.breakf("s-1 got the set-up of %016x %.3f s after it was told to drain", su.call, (su.at - limit + grace + slack).Seconds())
		}
	}
}
