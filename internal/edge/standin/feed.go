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

// Feed is the command channel.
type Feed struct {
	Node string

	rec    *Recorder
	l      net.Listener
	mu     sync.Mutex
	events []feedEvent
	news   chan struct{} // closed when there is an event more
	broken chan struct{} // closed to break the connections off
	cut    bool          // in the middle of the next event
	silent bool
	asked  []uint64
}

type feedEvent struct {
	data    string
	entries []rules.ListEntry
	full    bool
}

// NewFeed listens on a free port.
func NewFeed(node string, rec *Recorder) (*Feed, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in command channel: %w", err)
	}
	f := &Feed{Node: node, rec: rec, l: l, news: make(chan struct{}), broken: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", f.serve)
	go func() { _ = http.Serve(l, mux) }() // until the listener is closed
	return f, nil
}

// Addr is where it listens.
func (f *Feed) Addr() string { return f.l.Addr().String() }

// Close ends it.
func (f *Feed) Close() { f.l.Close(); f.Break(false) }

// Member is a line of the list.
func Member(id, addr string, cell int, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"z","flavor":"k","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		id, addr, cell, phase)
}

// Tell adds an event. Its text is also how a configuration's known events are written.
func (f *Feed) Tell(complete bool, entries []rules.ListEntry, members ...string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.events) + 1
	data := fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, n, n, complete, strings.Join(members, ","))
	f.events = append(f.events, feedEvent{data, entries, complete})
	close(f.news)
	f.news = make(chan struct{})
	return data
}

// Events are all so far, from an earlier channel on.
func (f *Feed) Events() []feedEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events
}

// Asked are the cursors that it was asked with.
func (f *Feed) Asked() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]uint64(nil), f.asked...)
}

// Follow makes it go on from another channel's events.
func (f *Feed) Follow(old *Feed) { f.events = old.Events() }

// Break breaks the connections off, and the next event in its middle if cut is set.
func (f *Feed) Break(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	close(f.broken)
	f.broken = make(chan struct{})
}

// Silence stops it, its connections staying open, or lets it go on for those that ask anew.
func (f *Feed) Silence(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = on
}

func (f *Feed) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.ParseUint(r.Header.Get("Last-Event-ID"), 10, 64)
	f.mu.Lock()
	f.asked = append(f.asked, last)
	broken := f.broken
	f.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher).Flush
	flush()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		f.mu.Lock()
		var ev *feedEvent
		if int(last) < len(f.events) && !f.silent {
			ev = &f.events[last]
		}
		cut, news, silent := f.cut, f.news, f.silent
		f.cut = f.cut && ev == nil
		f.mu.Unlock()
		if ev != nil {
			last++
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", last, ev.data)
			if cut {
				fmt.Fprint(w, text[:len(text)/2])
				flush()
				return
			}
			f.rec.List(f.Node, ev.full, ev.entries...)
			fmt.Fprint(w, text)
			fmt.Fprint(w, text) // and twice
			flush()
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-broken:
			return
		case <-news:
		case <-tick.C:
			if !silent {
				fmt.Fprint(w, ": \n")
				flush()
			}
		}
	}
}
