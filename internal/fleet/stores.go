package fleet

import (
	"cmp"
	"slices"
	"sync"

	"larkrouter/internal/node"
	"larkrouter/internal/pool"
)

// stores holds what the stores of nodes in this process would hold: the journal of open calls and the server list. It
// makes restarts realistic: the calls that a killed node left standing have to be released by its next run.
type stores struct {
	mu    sync.Mutex
	calls map[string]map[callKey]*node.JournalEntry // by node name
	lists map[string]pool.PersistedList             // by node name
}

// callKey identifies a call across the runs of a node.
type callKey struct {
	session string
	number  uint64
}

// newStores returns empty stores.
func newStores() *stores {
	return &stores{calls: map[string]map[callKey]*node.JournalEntry{}, lists: map[string]pool.PersistedList{}}
}

// record saves a journal entry of a node. The entry of a call that has ended removes it.
func (s *stores) record(name string, entry *node.JournalEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[name] == nil {
		s.calls[name] = map[callKey]*node.JournalEntry{}
	}
	key := callKey{entry.Session, entry.Call}
	if entry.State == node.StateEnded {
		delete(s.calls[name], key)
	} else {
		s.calls[name][key] = entry
	}
}

// takeStandingDialogs removes and returns the dialogs of the calls that the previous run of a node left standing.
func (s *stores) takeStandingDialogs(name string) []node.StoredDialog {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*node.JournalEntry
	for _, entry := range s.calls[name] {
		if entry.State == node.StateStanding && entry.Dialog != nil {
			open = append(open, entry)
		}
	}
	delete(s.calls, name)
	slices.SortFunc(open, func(a, b *node.JournalEntry) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Session, b.Session))
	})
	var legs []node.StoredDialog
	for _, entry := range open {
		legs = append(legs, *entry.Dialog)
	}
	return legs
}

// saveList saves the server list of a node.
func (s *stores) saveList(name string, list pool.PersistedList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[name] = list
}

// loadList returns the saved server list of a node with its ages advanced to now, or nil if there is none.
func (s *stores) loadList(name string, wall int64) []pool.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, ok := s.lists[name]
	if !ok || len(list.Servers) == 0 {
		return nil
	}
	return list.ServersAt(wall)
}
