package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["displace"] = displacedCalls }

// displacedCalls names calls that stand at a node that has started again. Their caller's connection is closed after 8 s without use. Then a
// bad client names made-up calls, each on a connection of its own that it closes.
func displacedCalls(w *world) {
	const calls, clients, perClient = 5, 8, 1500
	w.memoryMB = 32
	s := settings([]map[string]any{class("balance-check", 1200, 9000, 1, "read_like")}, nil)
	server := w.newCallServer("s-1", 0, 24*time.Second)
	channel := w.newChannel()
	channel.publish(true, server.member("up"))
	listen := w.freeAddr()
	n := w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c := w.newCaller("caller-1", listen)
	var placed []*call
	for i := range calls {
		placed = append(placed, c.place("balance-check", numberOf(i), 3*time.Second, ""))
	}
	time.Sleep(time.Second)
	n.signal(syscall.SIGKILL)
	<-n.exited
	w.startNode("n1", listen, channel.addr(), channel.known(), s)
	c.connect()
	for _, cl := range placed {
		c.nameCall(cl, "balance-check", "s-1")
	}
	c.mu.Lock()
	c.reconnects = true
	c.mu.Unlock()
	time.Sleep(9 * time.Second)
	var all sync.WaitGroup
	for client := range clients {
		all.Go(func() {
			for i := range perClient {
				conn, err := net.Dial("tcp", listen)
				if err != nil || !w.hasFault {
					return
				}
				fmt.Fprintf(conn, "INVITE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: bad%x%012x\r\nCSeq: 1 INVITE\r\n"+
					"X-Tier: balance-check\r\nX-Attrs: at:s-1\r\nContent-Length: 0\r\n\r\n", numberOf(0), client, i)
				time.Sleep(2 * time.Millisecond)
				conn.Close()
			}
		})
	}
	all.Wait()
	for i := 0; w.now() < 34*time.Second; i++ { // the caller has a connection and places calls
		c.place("balance-check", numberOf(calls+i), 3*time.Second, "")
		time.Sleep(time.Second)
	}
	w.checkReleases(c, placed, server)
}
