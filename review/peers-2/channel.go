package peers

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// channel is the command channel.
type channel struct {
	w        *world
	listener net.Listener

	mu       sync.Mutex
	events   []string
	updated  chan struct{} // closed when an event is added, or when the channel stops or goes on
	isSilent bool
}

func (w *world) newChannel() *channel {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("command channel: %v", err)
	}
	c := &channel{w: w, listener: listener, updated: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", c.serve)
	go func() { _ = http.Serve(listener, mux) }()
	return c
}

func (c *channel) addr() string { return c.listener.Addr().String() }

// publish adds an event. From now on it counts as told.
func (c *channel) publish(complete bool, members ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := len(c.events) + 1
	c.events = append(c.events, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, complete,
		strings.Join(members, ",")))
	c.w.logf("channel: event %d: %s", number, strings.Join(members, ", "))
	close(c.updated)
	c.updated = make(chan struct{})
}

// known returns the events up to now.
func (c *channel) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.events...)
}

// setSilent makes the channel stop while it stays open: what is open or comes meanwhile is never answered, also not later.
func (c *channel) setSilent(isSilent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSilent = isSilent
	c.w.logf("channel silent: %v", isSilent)
	close(c.updated)
	c.updated = make(chan struct{})
}

func (c *channel) serve(rw http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	c.w.logf("channel: asked for what follows event %d", last)
	flush := rw.(http.Flusher).Flush
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	isNew := true
	for {
		c.mu.Lock()
		isSilent, updated, event := c.isSilent, c.updated, ""
		if last < len(c.events) {
			event = c.events[last]
		}
		c.mu.Unlock()
		if isSilent {
			c.w.logf("channel: this connection is silent from now on")
			<-r.Context().Done()
			return
		}
		if isNew {
			isNew = false
			rw.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(rw, ": \n\n")
			flush()
		}
		if event != "" {
			last++
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", last, event)
			flush()
			c.w.logf("channel: event %d sent", last)
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-updated:
		case <-comment.C:
			fmt.Fprint(rw, ": \n\n")
			flush()
		}
	}
}
