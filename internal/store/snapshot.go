package store

import (
	"context"
	"fmt"
	"sync"

	"github.com/tidwall/btree"
)

// Snapshot is a consistent, read-only view of the store at one moment. Later writes and compactions do not affect it. It
// must be closed.
type Snapshot struct {
	store     *Store
	index     map[string]*btree.Map[string, location]
	segments  []*segment
	now       int64
	NextSeq   uint64 // sequence number of the first change that the snapshot does not include
	closeOnce sync.Once
}

// Snapshot returns a snapshot of the store. It is cheap to take, but segments it refers to stay on disk until it is closed.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.indexMu.Lock() // a write lock, because Copy modifies the tree
	defer s.indexMu.Unlock()
	if s.index == nil {
		return nil, ErrClosed
	}
	snap := &Snapshot{store: s, index: map[string]*btree.Map[string, location]{}, now: s.now(), NextSeq: s.nextVisibleSeq}
	for name, tree := range s.index {
		snap.index[name] = tree.Copy()
	}
	for _, seg := range s.segments {
		seg.refs.Add(1)
		snap.segments = append(snap.segments, seg)
	}
	return snap, nil
}

// Close releases the segments that the snapshot refers to. It may be called more than once.
func (n *Snapshot) Close() {
	n.closeOnce.Do(func() {
		for _, seg := range n.segments {
			n.store.release(seg)
		}
	})
}

// Get returns the value of a record. The error wraps ErrNotFound if there is no such record or it has expired.
func (n *Snapshot) Get(coll, key string) ([]byte, error) {
	if tree := n.index[coll]; tree != nil {
		if loc, ok := tree.Get(key); ok && (loc.expires == 0 || n.now < loc.expires) {
			return n.store.readRecord(coll, key, loc)
		}
	}
	return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
}

// Range calls visit for the records of a collection with from <= key < to, in order of their keys. An empty to means no
// upper bound. Range stops at the first error of visit, at a damaged record or when ctx ends, and returns the error.
func (n *Snapshot) Range(ctx context.Context, coll, from, to string, visit func(key string, value []byte) error) error {
	tree := n.index[coll]
	if tree == nil {
		return nil
	}
	var err error
	tree.Ascend(from, func(key string, loc location) bool {
		if to != "" && key >= to {
			return false
		}
		if loc.expires != 0 && n.now >= loc.expires {
			return true
		}
		if err = ctx.Err(); err != nil {
			return false
		}
		var value []byte
		if value, err = n.store.readRecord(coll, key, loc); err == nil {
			err = visit(key, value)
		}
		return err == nil
	})
	return err
}

// RangePrefix calls visit for the records of a collection whose keys begin with prefix. It behaves as Range does.
func (n *Snapshot) RangePrefix(ctx context.Context, coll, prefix string, visit func(key string, value []byte) error) error {
	return n.Range(ctx, coll, prefix, prefixEnd(prefix), visit)
}

// prefixEnd returns the smallest key that is greater than every key with the prefix, or "" if there is none.
func prefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ""
}

// Collections returns the names of the collections that are not empty, in no particular order.
func (n *Snapshot) Collections() []string {
	var names []string
	for name, tree := range n.index {
		if tree.Len() > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Change is a change to one record, as reported by Changes.
type Change struct {
	Seq             uint64
	Collection, Key string
	Value           []byte // new value; empty if Deleted
	Deleted         bool
}

// Changes calls visit for the changes with sequence numbers of at least from, in order, up to the latest one. Changes
// before the last compaction are not available: the error then wraps ErrCompacted and contains the oldest number.
func (s *Store) Changes(ctx context.Context, from uint64, visit func(Change) error) error {
	s.indexMu.RLock()
	if from < s.feedStart {
		s.indexMu.RUnlock()
		return fmt.Errorf("reading changes from %d, the oldest available is %d: %w", from, s.feedStart, ErrCompacted)
	}
	var segments []*segment
	sizes := map[*segment]int64{}
	for _, seg := range s.segments {
		if seg.replacesUpTo == 0 && seg.lastSeq >= from {
			seg.refs.Add(1)
			segments = append(segments, seg)
			sizes[seg] = seg.size
		}
	}
	s.indexMu.RUnlock()
	defer func() {
		for _, seg := range segments {
			s.release(seg)
		}
	}()
	for _, seg := range segments {
		content := make([]byte, sizes[seg])
		if _, err := seg.file.ReadAt(content, 0); err != nil {
			return fmt.Errorf("reading %s: %w", seg.name, err)
		}
		var err error
		scanFrames(content, seg.id, func(off int64, payload []byte) {
			if err != nil {
				return
			}
			readErr := readOps(payload, func(change op) {
				if err == nil && change.seq >= from {
					if err = ctx.Err(); err == nil {
						err = visit(Change{change.seq, change.coll, change.key, change.value, change.kind == opDelete})
					}
				}
			})
			if err == nil {
				err = readErr
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}
