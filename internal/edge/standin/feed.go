package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"larkrouter/internal/rules"
)

// Feed is a simulated command channel.
type Feed struct {
	Node string

	rec              *Recorder
	listener         net.Listener
	mu               sync.Mutex
	events           []feedEvent
	updated          chan struct{} // closed when an event is added
	broken           chan struct{} // closed to close the connections
	truncateNext     bool          // close the connection in the middle of the next event
	isSilent         bool
	firstByteDelay   time.Duration
	requestedCursors []uint64
}

type feedEvent struct {
	data    string
	entries []rules.ListEntry
	full    bool
}

// NewFeed starts a command channel on a free port.
func NewFeed(node string, rec *Recorder) (*Feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting the simulated command channel: %w", err)
	}
	feed := &Feed{Node: node, rec: rec, listener: listener, updated: make(chan struct{}), broken: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", feed.serve)
	go func() { _ = http.Serve(listener, mux) }() // returns when the listener is closed
	return feed, nil
}

// Addr returns the channel's address.
func (f *Feed) Addr() string { return f.listener.Addr().String() }

// Close stops the channel and closes its connections.
func (f *Feed) Close() { f.listener.Close(); f.BreakConnections(false) }

// Member returns a server entry of a list event in JSON. The server has been up for long.
func Member(id, addr string, cell int, phase string) string {
	return StartedMember(id, addr, cell, phase, 0)
}

// StartedMember returns a server entry of a list event in JSON, with the start of the server in Unix milliseconds.
func StartedMember(id, addr string, cell int, phase string, startedUnixMilli int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
		id, addr, cell, phase, startedUnixMilli)
}

// Publish adds an event and returns its data, which may also be used as a known event of a configuration.
func (f *Feed) Publish(complete bool, entries []rules.ListEntry, members ...string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.events) + 1
	data := fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, complete,
		strings.Join(members, ","))
	f.events = append(f.events, feedEvent{data, entries, complete})
	close(f.updated)
	f.updated = make(chan struct{})
	return data
}

// Events returns all events so far, including those taken over from a previous channel.
func (f *Feed) Events() []feedEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events
}

// RequestedCursors returns the cursors with which clients connected.
func (f *Feed) RequestedCursors() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]uint64(nil), f.requestedCursors...)
}

// ContinueFrom takes over the events of another channel, so that the numbers continue.
func (f *Feed) ContinueFrom(old *Feed) { f.events = old.Events() }

// BreakConnections closes the connections. If truncateNext is set, the next event is also cut off in its
// middle.
func (f *Feed) BreakConnections(truncateNext bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.truncateNext = truncateNext
	close(f.broken)
	f.broken = make(chan struct{})
}

// SetSilent makes the channel send nothing while its connections stay open, or makes it send again to clients
// that reconnect.
func (f *Feed) SetSilent(isSilent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isSilent = isSilent
}

// SetFirstByteDelay makes the channel wait before the first byte of each response from now on.
func (f *Feed) SetFirstByteDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstByteDelay = delay
}

func (f *Feed) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	f.mu.Lock()
	f.requestedCursors = append(f.requestedCursors, last)
	broken, delay := f.broken, f.firstByteDelay
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher).Flush
	flush()
	keepAlive := time.NewTicker(time.Second)
	defer keepAlive.Stop()
	for {
		f.mu.Lock()
		var event *feedEvent
		if int(last) < len(f.events) && !f.isSilent {
			event = &f.events[last]
		}
		truncate, updated, isSilent := f.truncateNext, f.updated, f.isSilent
		f.truncateNext = f.truncateNext && event == nil
		f.mu.Unlock()
		if event != nil {
			last++
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", last, event.data)
			if truncate {
				fmt.Fprint(w, text[:len(text)/2])
				flush()
				return
			}
			f.rec.RecordList(f.Node, event.full, event.entries...)
			fmt.Fprint(w, text)
			fmt.Fprint(w, text) // each event is sent twice: the client must ignore the copy
			flush()
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-broken:
			return
		case <-updated:
		case <-keepAlive.C:
			if !isSilent {
				fmt.Fprint(w, ": \n")
				flush()
			}
		}
	}
}
