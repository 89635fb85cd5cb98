package main

import (
	"net"
	"time"
)

func init() { cases["guard"] = resetInWait }

// resetInWait lets a call server reset the connection under the third set-up, and answer the second one 50 ms later. The aim is long.
func resetInWait(w *world) {
	const guard = 500 * time.Millisecond
	s := settings([]map[string]any{class("balance-check", 8000, 30000, 1, "read_like")}, nil)
	server := w.newCallServer("s-1", 0, 4*time.Second)
	count := 0
	server.onSetUp = func(conn net.Conn, pending map[uint64]*setUp, su *setUp) {
		after := 10 * time.Millisecond
		switch count++; {
		case count == 1:
			after = 100 * time.Millisecond
		case count == 2:
			after = 150 * time.Millisecond
		case count == 3 && w.hasFault:
			w.logf("s-1: resets the connection under %016x", su.call)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			return
		}
		time.AfterFunc(after, func() { server.answer(conn, pending, su) })
	}
	channel := w.newChannel()
	channel.publish(true, server.member("up"))
	listen := w.freeAddr()
	w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c := w.newCaller("caller-1", listen)
	for i := range 4 { // at once
		c.place("balance-check", numberOf(i), 9*time.Second, "")
	}
	time.Sleep(3 * time.Second)
	resetAt := map[uint64]time.Duration{}
	for _, su := range server.seen() {
		if at, wasReset := resetAt[su.call]; wasReset && su.at < at+guard-slack {
			w.breakf("call %016x was sent again %.3f s after its set-up was reset", su.call, (su.at - at).Seconds())
		}
		if su.givenUpAt > 0 {
			resetAt[su.call] = su.givenUpAt
		}
	}
}
