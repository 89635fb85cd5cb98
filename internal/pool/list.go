package pool

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/sip"
)

// Server is one entry of the list, in a NOTIFY body (JSON), in a file or in the configuration (TOML).
type Server struct {
	ID        uint32 `json:"id" toml:"id"`                               // stays the same over restarts
	Number    int    `json:"number" toml:"number" validate:"gte=0"`      // referred to by Route.ServerNumber
	Address   string `json:"address" toml:"address" validate:"required"` // host:port, numeric
	Transport string `json:"transport,omitempty" toml:"transport"`       // "udp" (the default) or "tcp"
	Phase     string `json:"phase,omitempty" toml:"phase"`               // "ready" (the default), "draining" or "gone"
	Zone      int    `json:"zone,omitempty" toml:"zone" validate:"gte=0"`
	Capacity  int    `json:"lines,omitempty" toml:"lines" validate:"gte=0"` // maximum number of simultaneous calls; 0: 1,000
	RunNumber uint64 `json:"run,omitempty" toml:"run"`                      // counts the process runs of the server
	// AgeMs is the time since the server's last start when the document was sent; 0: long ago.
	AgeMs  int64   `json:"age_ms,omitempty" toml:"age_ms" validate:"gte=0"`
	Weight float64 `json:"weight,omitempty" toml:"weight" validate:"gte=0"`
}

// Document is the body of a NOTIFY: the whole list, or the entries that changed.
type Document struct {
	Version uint64   `json:"version"`
	State   string   `json:"state"` // "full" or "partial"
	Servers []Server `json:"servers"`
	Fleet   *Fleet   `json:"fleet,omitempty"` // nil: unchanged
}

// Fleet is the number of nodes that hold a subscription, and the rank of the node that the document is for.
type Fleet struct {
	Size int `json:"size"`
	Rank int `json:"rank"` // from 0
}

// ContentType is the media type of a Document, Event the event package (RFC 6665, section 7.2).
const (
	ContentType = "application/larkrouter-pool+json"
	Event       = "larkrouter-pool"
)

// Entry is a server of the list with its parsed fields.
type Entry struct {
	Server
	Peer      sip.Peer
	Phase     larkrouter.Phase
	Started   time.Duration // node's clock; 0: long ago
	goneSince time.Duration // when it was first reported gone
}

// Update is the change that a document makes to the list.
type Update struct {
	Kind    larkrouter.ListKind
	Version uint64
	Changed []Entry
	Fleet   *Fleet // nil: unchanged
}

// maxAgeMs is the age in milliseconds from which the start of a server no longer matters.
const maxAgeMs = 24 * 3600 * 1000

// goneRetention is how long a server that is gone stays in the list, in case it comes back. Without a limit the list
// would grow over the years, because replaced machines get new ids.
const goneRetention = 10 * time.Minute

// List is the current list of call servers.
type List struct {
	version uint64
	synced  bool // a full list has arrived since the last ResetVersion
	byID    map[uint32]*Entry
}

// NewList returns an empty list.
func NewList() *List { return &List{byID: map[uint32]*Entry{}} }

// ErrVersionGap means that updates between the known version and the document are missing, so the whole list is needed.
var ErrVersionGap = errors.New("pool list: updates are missing, the whole list is needed")

// ErrStaleVersion means that a document is not newer than the list.
var ErrStaleVersion = errors.New("pool list: document is not newer than the current list")

// ResetVersion discards the version of the list. A new subscription needs this because its list server may have restarted
// its version numbers.
func (l *List) ResetVersion() { l.synced = false }

// Parse reads a NOTIFY body.
func Parse(body []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(body, &document); err != nil {
		return document, fmt.Errorf("pool list: body is not a list document: %w", err)
	}
	if document.State != "full" && document.State != "partial" {
		return document, fmt.Errorf("pool list: state %q: must be \"full\" or \"partial\"", document.State)
	}
	return document, nil
}

// Apply applies a document to the list and returns the change. With an error (ErrVersionGap, ErrStaleVersion or
// an invalid document) the list is not changed.
func (l *List) Apply(now time.Duration, document Document) (Update, error) {
	isFull := document.State == "full"
	switch {
	case isFull && l.synced && document.Version < l.version, !isFull && l.synced && document.Version <= l.version:
		return Update{}, ErrStaleVersion
	case !isFull && (!l.synced || document.Version != l.version+1):
		return Update{}, ErrVersionGap
	}
	changed := make([]Entry, 0, len(document.Servers))
	seen := map[uint32]bool{}
	for i, s := range document.Servers {
		entry, err := l.resolve(now, s)
		if err != nil {
			return Update{}, fmt.Errorf("pool list: server %d of %d: %w", i+1, len(document.Servers), err)
		}
		if seen[s.ID] {
			return Update{}, fmt.Errorf("pool list: server id %d is used twice", s.ID)
		}
		seen[s.ID] = true
		changed = append(changed, entry)
	}
	kind := larkrouter.ListDelta
	if isFull {
		kind = larkrouter.ListFull
		for id, entry := range l.byID {
			if !seen[id] {
				entry.Phase = larkrouter.Gone
			}
		}
	}
	for i := range changed {
		entry := changed[i]
		l.byID[entry.ID] = &entry
	}
	for id, entry := range l.byID {
		switch {
		case entry.Phase != larkrouter.Gone:
			entry.goneSince = 0
		case entry.goneSince == 0:
			entry.goneSince = max(now, 1)
		case now-entry.goneSince > goneRetention:
			delete(l.byID, id)
		}
	}
	l.version, l.synced = document.Version, true
	update := Update{Kind: kind, Version: document.Version, Changed: changed}
	if fleet := document.Fleet; fleet != nil && fleet.Size >= 1 && fleet.Rank >= 0 && fleet.Rank < fleet.Size { // otherwise ignored
		update.Fleet = fleet
	}
	return update, nil
}

// resolve checks an entry of a document and converts it. A run that is already known keeps its start time.
func (l *List) resolve(now time.Duration, s Server) (Entry, error) {
	entry := Entry{Server: s}
	addr, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return entry, fmt.Errorf("address %q: must be a numeric host:port, such as 127.0.0.1:5060", s.Address)
	}
	entry.Peer = sip.Peer{Addr: addr}
	switch strings.ToLower(s.Transport) {
	case "", "udp":
	case "tcp":
		entry.Peer.Transport = sip.TCP
	default:
		return entry, fmt.Errorf("transport %q: must be \"udp\" or \"tcp\"", s.Transport)
	}
	switch s.Phase {
	case "", "ready":
		entry.Phase = larkrouter.Ready
	case "draining":
		entry.Phase = larkrouter.Draining
	case "gone":
		entry.Phase = larkrouter.Gone
	default:
		return entry, fmt.Errorf("phase %q: must be \"ready\", \"draining\" or \"gone\"", s.Phase)
	}
	if s.AgeMs < 0 || s.Capacity < 0 || s.Number < 0 {
		return entry, fmt.Errorf("age_ms %d, lines %d and number %d: must not be negative", s.AgeMs, s.Capacity, s.Number)
	}
	if s.Capacity == 0 {
		entry.Capacity = 1000
	}
	if previous := l.byID[s.ID]; previous != nil && previous.RunNumber == s.RunNumber {
		// One start has one time, however often and late it is reported.
		entry.Started, entry.goneSince = previous.Started, previous.goneSince
	} else if s.AgeMs > 0 && s.AgeMs < maxAgeMs {
		entry.Started = max(1, now-time.Duration(s.AgeMs)*time.Millisecond)
	}
	return entry, nil
}

// Get returns the server with the given id, even if it is gone.
func (l *List) Get(id uint32) (Entry, bool) {
	if entry := l.byID[id]; entry != nil {
		return *entry, true
	}
	return Entry{}, false
}

// Entries returns the servers, sorted by id.
func (l *List) Entries() []Entry {
	servers := make([]Entry, 0, len(l.byID))
	for _, entry := range l.byID {
		servers = append(servers, *entry)
	}
	slices.SortFunc(servers, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// Version returns the version of the last document applied.
func (l *List) Version() uint64 { return l.version }

// ModuleEvent converts the change to an event for the decision module.
func (u Update) ModuleEvent() larkrouter.ServerList {
	event := larkrouter.ServerList{Kind: u.Kind, Version: u.Version}
	for _, entry := range u.Changed {
		event.Servers = append(event.Servers, larkrouter.ServerInfo{ID: entry.ID, Zone: entry.Zone, Number: entry.Number,
			Phase: entry.Phase, Weight: entry.Weight, Started: entry.Started})
	}
	return event
}

// IsFull reports whether the update holds the whole list, so that servers that it does not name are gone.
func (u Update) IsFull() bool { return u.Kind != larkrouter.ListDelta }
