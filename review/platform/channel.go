package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Member is an entry of the list of call servers.
type Member struct {
	ID, Addr   string
	Cell       int
	Phase      string // up, draining or removed
	UpSinceMs  int64  // Unix time of a late start in milliseconds, or 0
	ZoneOfSite string
}

func (m Member) json() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"standard-1core","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
		m.ID, m.Addr, m.ZoneOfSite, m.Cell, m.Phase, m.UpSinceMs)
}

// Events are the numbered events of the command channel. Several channels can serve the same events.
type Events struct {
	mu    sync.Mutex
	list  []string
	added chan struct{}
}

// NewEvents returns an empty list of events.
func NewEvents() *Events { return &Events{added: make(chan struct{})} }

// Publish adds an event with list entries and returns its number.
func (e *Events) Publish(complete bool, members ...Member) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	entries := make([]string, len(members))
	for i, m := range members {
		entries[i] = m.json()
	}
	n := len(e.list) + 1
	e.list = append(e.list, fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%v,"members":[%s]}}`, n, n, complete,
		strings.Join(entries, ",")))
	close(e.added)
	e.added = make(chan struct{})
	return n
}

// Known returns the part "known" of a configuration.
func (e *Events) Known() json.RawMessage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return json.RawMessage(fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(e.list), strings.Join(e.list, ",")))
}

func (e *Events) after(n int) ([]string, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list[min(n, len(e.list)):], e.added
}

// Channel is one address of the command channel.
type Channel struct {
	Name   string
	rec    *Record
	events *Events
	ln     net.Listener
}

// NewChannel starts a command channel on a free port.
func NewChannel(name string, rec *Record, events *Events) (*Channel, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ch := &Channel{Name: name, rec: rec, events: events, ln: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", ch.serve)
	go func() { _ = http.Serve(ln, mux) }()
	return ch, nil
}

// Addr returns the channel's address.
func (ch *Channel) Addr() string { return ch.ln.Addr().String() }

func (ch *Channel) serve(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	ch.rec.Add(ch.Name, "asked from event %d on, by %s", last, r.RemoteAddr)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	fmt.Fprint(w, ": here\n\n")
	_ = out.Flush()
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	for {
		list, added := ch.events.after(last)
		for _, data := range list {
			last++
			ch.rec.Add(ch.Name, "event %d to %s: %s", last, r.RemoteAddr, data)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last, data)
		}
		if err := out.Flush(); err != nil {
			return
		}
		select {
		case <-added:
		case <-comment.C:
			fmt.Fprint(w, ": here\n\n")
		case <-r.Context().Done():
			return
		}
	}
}
