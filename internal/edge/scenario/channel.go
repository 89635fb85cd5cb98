package scenario

import (
	"fmt"
	"time"

	"larkrouter/internal/edge/feed"
	"larkrouter/internal/rules"
)

// slowChannelTold is when an event counts as told on a channel that needs up to 9 s for its first byte: the limits for the first byte
// of up to four requests, and the time between them.
const slowChannelTold = 30 * time.Second

// channel is the command channel together with the node's client, which uses the limits of package feed.
type channel struct {
	w              *world
	clockAhead     time.Duration     // how far the clock of the listed starts is ahead of the node's; may be negative
	members        map[string]string // list entries by server id, as JSON
	events         []string          // of the node's run, as JSON
	cursor         feed.Cursor
	limit          feed.FirstByteLimit
	failures       int
	firstByteDelay time.Duration
	request        int // number of the current request; events of older ones are ignored
	isConnected    bool
	applied        int // events that the node has been given
}

// restart begins the event numbers anew, with the whole list as the first event, which the node's configuration holds.
func (c *channel) restart() {
	var members string
	for _, id := range sortedKeys(c.members) {
		if members != "" {
			members += ","
		}
		members += c.members[id]
	}
	c.events = []string{formatListEvent(1, true, members)}
	c.cursor, c.limit, c.failures, c.applied = feed.Cursor{Last: 1}, feed.FirstByteLimit{}, 0, 1
	c.applyEvent(c.events[0], true)
	c.connect()
}

// stop ends the client with its node.
func (c *channel) stop() {
	c.request++
	c.isConnected = false
}

// connect makes a request, which is given up if its first byte takes too long.
func (c *channel) connect() {
	c.request++
	request := c.request
	c.w.after(latency+c.firstByteDelay, func() { c.firstByte(request, c.firstByteDelay) })
	c.w.after(latency+c.limit.Duration(), func() {
		if c.request == request && !c.isConnected {
			c.limit.TimedOut()
			c.retry()
		}
	})
}

// firstByte handles the begin of an answer. Events that are missing follow at once.
func (c *channel) firstByte(request int, took time.Duration) {
	if c.request != request {
		return
	}
	c.limit.Received(took)
	c.isConnected, c.failures = true, 0
	c.deliver()
}

// breakOff ends the connection. Later requests need the given time for their first byte.
func (c *channel) breakOff(firstByteDelay time.Duration) {
	c.isConnected, c.firstByteDelay = false, firstByteDelay
	c.retry()
}

func (c *channel) retry() {
	c.request++
	request := c.request
	c.w.after(feed.Backoff(c.failures), func() {
		if c.request == request {
			c.connect()
		}
	})
	c.failures++
}

// deliver gives the node the events that it does not have.
func (c *channel) deliver() {
	for c.isConnected && c.applied < len(c.events) {
		event := c.events[c.applied]
		c.applied++
		c.applyEvent(event, false)
	}
}

// applyEvent passes an event to the node.
func (c *channel) applyEvent(text string, isCached bool) {
	event, err := feed.ParseEvent([]byte(text))
	if err != nil {
		panic(err) // written by formatListEvent
	}
	if isNew, _ := c.cursor.Accept(event.Number); isNew || isCached {
		c.w.node.UpdateServers(c.w.now, event.List, isCached)
	}
}

// publish changes the entry of a server in the list.
func (c *channel) publish(server *callServer, phase string) {
	c.members[server.id] = c.formatMember(server, phase)
	c.recordChange(server, phase)
	c.send(c.members[server.id])
}

// publishReplacement removes a server from the list and adds another one at its address, in one event.
func (c *channel) publishReplacement(old, replacement *callServer) {
	removed := c.formatMember(old, feed.PhaseRemoved)
	delete(c.members, old.id)
	c.members[replacement.id] = c.formatMember(replacement, feed.PhaseUp)
	c.recordChange(replacement, feed.PhaseUp)
	c.send(removed + "," + c.members[replacement.id])
}

// recordChange adds a change of the list to the capture, at the time at which it counts as told.
func (c *channel) recordChange(server *callServer, phase string) {
	told := c.w.now
	if c.firstByteDelay > 0 {
		told += slowChannelTold
	}
	record := rules.Record{Kind: "list", Owner: nodeName, List: []rules.ListEntry{{Address: server.addr.String(),
		Phase: map[string]string{feed.PhaseUp: "ready", feed.PhaseDraining: "draining", feed.PhaseRemoved: "gone"}[phase]}}}
	c.w.after(told-c.w.now, func() {
		record.Time = c.w.now
		c.w.rules.Add(record)
	})
}

// send adds an event with changed members. A node that is down gets the whole list when it starts.
func (c *channel) send(members string) {
	if c.w.node == nil {
		return
	}
	c.events = append(c.events, formatListEvent(len(c.events)+1, false, members))
	c.w.after(latency, func() {
		if c.w.node != nil {
			c.deliver()
		}
	})
}

// formatMember returns the entry of a server.
func (c *channel) formatMember(server *callServer, phase string) string {
	started := (server.startedAt + server.listedAhead + c.clockAhead).Milliseconds()
	if server.startedAt == worldStart {
		started = 0 // long ago
	}
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","cell":0,"phase":%q,"size":1,"up_since_ms":%d}`,
		server.id, server.addr, phase, started)
}

func formatListEvent(number int, isComplete bool, members string) string {
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, isComplete, members)
}
