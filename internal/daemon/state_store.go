package daemon

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/serverstate"
	"larkrouter/internal/store"
	"larkrouter/internal/store/vfs"
)

// Collections in the node's store.
const (
	// collectionNode keys: run: number of the current process run; list: the pool list; gates: the persisted
	// server state; engine: SNMP engine id and boots.
	collectionNode  = "node"
	collectionCalls = "calls" // the journal: last state of each call, keyed by process run and call number
)

// endedTTL is how long an ended call stays in the journal.
const endedTTL = 10 * time.Minute

// journalInterval bounds the journal entries that a kill of the process loses; a machine failure loses up to five times
// as much.
const journalInterval = 50 * time.Millisecond

// stateStore persists what a node needs after a restart: the call journal, the pool list, and the state of the call
// servers (package serverstate). The call path only fills a batch in memory; the store's own goroutine writes it. If the store fails, calls
// continue without persistence and the log reports it.
type stateStore struct {
	store              *store.Store
	run                uint32 // number of this process run
	batch              store.WriteBatch
	journal            []*node.JournalEntry                // entries of this turn; only the last state of each call is written
	poolList           func(wall int64) pool.PersistedList // current pool list; called in the node's loop
	serverState        func(wall int64) serverstate.State  // current server state; called in the node's loop
	serverStateSavedAt time.Time                           // when serverState was last saved
	successor          *handover                           // receives the journal once the successor process has the store
	successorServes    bool                                // the successor serves and stores the journal; s.batch gets no entries
	successorDone      bool                                // no more frames are sent to the successor
	log                *slog.Logger
	errorLogged        time.Time // when a failed write was last logged
	lostEntries        int       // entries that could not be written
}

// openStateStore opens the store and counts a new process run. A folder in use by another process is an error; after any
// other error the node runs without a store, and the result is nil.
func openStateStore(cfg config.Store, log *slog.Logger) (*stateStore, error) {
	if cfg.Dir == "" {
		return nil, nil
	}
	fs, err := vfs.OpenDir(cfg.Dir)
	var opened *store.Store
	var recovery store.RecoveryReport
	if err == nil {
		opened, recovery, err = store.Open(fs, store.Options{Quota: cfg.Quota, SegmentSize: cfg.Segment, FlushEvery: journalInterval,
			SyncEvery: 5 * journalInterval})
	}
	switch {
	case errors.Is(err, vfs.ErrLocked):
		return nil, fmt.Errorf("store %s: %w: each node needs a folder of its own", cfg.Dir, err)
	case err != nil:
		log.Error("opening the store failed: calls continue, nothing survives a restart", "dir", cfg.Dir, "cause", err.Error())
		return nil, nil
	}
	for _, damage := range recovery.Damage {
		log.Warn("store damaged", "what", damage.String())
	}
	state := &stateStore{store: opened, log: log}
	ctx := context.Background()
	if runBytes, err := opened.Get(ctx, collectionNode, "run"); err == nil && len(runBytes) == 4 {
		state.run = binary.BigEndian.Uint32(runBytes)
	}
	state.run++
	var update store.WriteBatch
	update.Put(collectionNode, "run", binary.BigEndian.AppendUint32(nil, state.run))
	if _, err := opened.Write(ctx, &update, store.SyncWrite); err != nil {
		opened.Close()
		log.Error("writing to the store failed: calls continue, nothing survives a restart", "dir", cfg.Dir, "cause", err.Error())
		return nil, nil
	}
	return state, nil
}

// restore reads what previous process runs persisted: the pool list, aged by the time since it was saved, and the legs of
// calls that were standing. Calls that the end of such a run interrupted are logged and marked as ended.
func (s *stateStore) restore(noPredecessor bool) (list []pool.Server, dialogs []node.StoredDialog) {
	ctx := context.Background()
	if encoded, err := s.store.Get(ctx, collectionNode, "list"); err == nil {
		var persisted pool.PersistedList
		if err := json.Unmarshal(encoded, &persisted); err != nil {
			s.log.Warn("decoding the persisted pool list failed", "cause", err.Error())
		} else {
			list = persisted.ServersAt(time.Now().UnixMilli())
		}
	}
	if !noPredecessor { // the predecessor still serves its calls and sends their journal
		return list, nil
	}
	return list, s.interruptedCalls()
}

// interruptedCalls finds the calls that previous process runs left open, marks them as ended, and returns the legs of those
// that stood.
func (s *stateStore) interruptedCalls() (dialogs []node.StoredDialog) {
	ctx := context.Background()
	snapshot, err := s.store.Snapshot()
	if err != nil {
		return nil
	}
	defer snapshot.Close()
	var ended store.WriteBatch
	interrupted, standing := 0, 0
	writeEnded := func() {
		if _, err := s.store.Write(ctx, &ended, store.BufferedWrite); err != nil {
			s.log.Error("marking interrupted calls as ended failed", "cause", err.Error())
		}
		ended = store.WriteBatch{}
	}
	err = snapshot.Range(ctx, collectionCalls, "", "", func(key string, value []byte) error {
		var entry node.JournalEntry
		if err := cbor.Unmarshal(value, &entry); err != nil {
			return fmt.Errorf("journal entry %x: %w", key, err)
		}
		if entry.State == node.StateEnded || len(key) < 4 || binary.BigEndian.Uint32([]byte(key)) >= s.run {
			return nil
		}
		interrupted++
		s.log.Warn("call interrupted by the end of the previous process", "call", entry.Call, "session", entry.Session, "class", entry.Class,
			"server", entry.Server, "attempt", entry.Attempt, "state", string(entry.State))
		if entry.State == node.StateStanding && entry.Dialog != nil {
			standing++
			dialogs = append(dialogs, *entry.Dialog)
		}
		entry.State, entry.Outcome, entry.Dialog = node.StateEnded, "cut by the kill", nil
		if encoded, err := cbor.Marshal(entry); err == nil {
			ended.PutTTL(collectionCalls, key, encoded, endedTTL)
		}
		if ended.Len() >= 512 {
			writeEnded()
		}
		return nil
	})
	if ended.Len() > 0 {
		writeEnded()
	}
	if err != nil {
		s.log.Error("reading the journal failed before its end", "cause", err.Error())
	}
	if interrupted > 0 {
		s.log.Warn("calls were interrupted by the end of the previous process", "calls", interrupted, "standing", standing)
	}
	return dialogs
}

// serverStateInterval is how often the server state is saved.
const serverStateInterval = time.Second

// loadServerState returns the server state (gate rates and capacities) that a previous process run saved, or nil.
func (s *stateStore) loadServerState() *serverstate.State {
	encoded, err := s.store.Get(context.Background(), collectionNode, "gates")
	if err != nil {
		return nil
	}
	var persisted serverstate.State
	if err := json.Unmarshal(encoded, &persisted); err != nil {
		s.log.Warn("decoding the persisted server state failed", "cause", err.Error())
		return nil
	}
	return &persisted
}

// record stores a note of the node's current turn: a journal entry or a list update.
func (s *stateStore) record(note any) {
	switch note := note.(type) {
	case *node.JournalEntry:
		for i, pending := range s.journal {
			if pending.Call == note.Call {
				s.journal[i] = note
				return
			}
		}
		s.journal = append(s.journal, note)
	case *pool.Update:
		if list, err := json.Marshal(s.poolList(time.Now().UnixMilli())); err == nil {
			s.batch.Put(collectionNode, "list", list)
		}
	}
}

// flush hands the batch of a turn to the store, or its journal to the successor. It does not block.
func (s *stateStore) flush() {
	if now := time.Now(); s.serverState != nil && now.Sub(s.serverStateSavedAt) >= serverStateInterval {
		s.serverStateSavedAt = now
		if value, err := json.Marshal(s.serverState(now.UnixMilli())); err == nil {
			s.batch.Put(collectionNode, "gates", value)
		}
	}
	for _, entry := range s.journal {
		value, err := cbor.Marshal(entry)
		if err != nil {
			continue
		}
		key := string(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, s.run), entry.Call))
		if s.successor != nil && !s.successorDone {
			s.successor.sendJournal(key, value, entry.State == node.StateEnded)
		}
		if !s.successorServes {
			s.putEntry(key, value, entry.State == node.StateEnded)
		}
	}
	clear(s.journal)
	s.journal = s.journal[:0]
	if s.batch.Len() == 0 || s.successor != nil {
		return
	}
	batch := s.batch
	s.batch = store.WriteBatch{}
	_, err := s.store.Write(context.Background(), &batch, store.AsyncWrite)
	if err == nil {
		err = s.store.WriteError()
	}
	if err == nil {
		return
	}
	if s.lostEntries += batch.Len(); time.Since(s.errorLogged) > 5*time.Second {
		s.errorLogged = time.Now()
		s.log.Error("journal not written: calls continue, but a restart would not release them", "entries", s.lostEntries,
			"cause", err.Error())
	}
}

// yieldTo closes the store, sends "go" to the successor, and sends it the journal from then on.
func (s *stateStore) yieldTo(successor *handover) {
	s.flush()
	if err := s.store.Close(); err != nil {
		s.log.Error("closing the store failed", "cause", err.Error())
	}
	successor.enqueue(frame{Kind: frameGo})
	s.successor = successor
}

// successorReady records that the successor serves: the batch held back for a failed upgrade is dropped.
func (s *stateStore) successorReady() { s.successorServes, s.batch = true, store.WriteBatch{} }

// putEntry adds a journal entry, of this process or of the predecessor, to the batch.
func (s *stateStore) putEntry(key string, value []byte, ended bool) {
	if ended {
		s.batch.PutTTL(collectionCalls, key, value, endedTTL)
	} else {
		s.batch.Put(collectionCalls, key, value)
	}
}

// close closes the store, unless the successor has it.
func (s *stateStore) close() {
	if s == nil || s.successor != nil {
		return
	}
	if err := s.store.Close(); err != nil {
		s.log.Error("closing the store failed", "cause", err.Error())
	}
}

// nextEngine returns the SNMP engine's id and boot count from the store, used when no state file is configured. It counts
// this boot and writes it before returning.
func (s *stateStore) nextEngine() (id []byte, boots int32, err error) {
	ctx := context.Background()
	state, err := s.store.Get(ctx, collectionNode, "engine")
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, 0, fmt.Errorf("snmp engine: %w", err)
	}
	id, boots, state, err = nextEngineState("the store", state)
	if err != nil {
		return nil, 0, err
	}
	var update store.WriteBatch
	update.Put(collectionNode, "engine", state)
	if _, err := s.store.Write(ctx, &update, store.SyncWrite); err != nil {
		return nil, 0, fmt.Errorf("snmp engine: %w", err)
	}
	return id, boots, nil
}
