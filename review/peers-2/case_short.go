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
	c.reconnects = true
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
