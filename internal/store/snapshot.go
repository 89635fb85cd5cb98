package store

import (
	"context"
	"fmt"
	"sync"

	"github.com/tidwall/btree"
)

// Snapshot is the store at one moment. What it shows stays, whatever is written and compacted meanwhile, until Close.
type Snapshot struct {
	s     *Store
	trees map[string]*btree.Map[string, loc]
	segs  []*segment
	now   int64
	Seq   uint64 // the first change that it does not hold
	once  sync.Once
}

// Snapshot takes one; it costs little, and holds segments on the disk until it is closed.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.mu.Lock() // Copy marks the tree
	defer s.mu.Unlock()
	if s.trees == nil {
		return nil, ErrClosed
	}
	n := &Snapshot{s: s, trees: map[string]*btree.Map[string, loc]{}, now: s.now(), Seq: s.nextSeq}
	for name, t := range s.trees {
		n.trees[name] = t.Copy()
	}
	for _, g := range s.segs {
		g.refs.Add(1)
		n.segs = append(n.segs, g)
	}
	return n, nil
}

// Close lets go of what the snapshot holds.
func (n *Snapshot) Close() {
	n.once.Do(func() {
		for _, g := range n.segs {
			n.s.release(g)
		}
	})
}

// Get reads a record.
func (n *Snapshot) Get(coll, key string) ([]byte, error) {
	if t := n.trees[coll]; t != nil {
		if l, ok := t.Get(key); ok && (l.expires == 0 || n.now < l.expires) {
			return n.s.read(coll, key, l)
		}
	}
	return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
}

// Range goes through the records of a collection in order of keys, from and before to ("": to the end), until each
// returns an error, which Range returns. A damaged record is an error too.
func (n *Snapshot) Range(ctx context.Context, coll, from, to string, each func(key string, value []byte) error) error {
	t := n.trees[coll]
	if t == nil {
		return nil
	}
	var err error
	t.Ascend(from, func(key string, l loc) bool {
		if to != "" && key >= to {
			return false
		}
		if l.expires != 0 && n.now >= l.expires {
			return true
		}
		if err = ctx.Err(); err != nil {
			return false
		}
		var value []byte
		if value, err = n.s.read(coll, key, l); err == nil {
			err = each(key, value)
		}
		return err == nil
	})
	return err
}

// Prefix goes through the records whose keys begin so.
func (n *Snapshot) Prefix(ctx context.Context, coll, prefix string, each func(key string, value []byte) error) error {
	return n.Range(ctx, coll, prefix, after(prefix), each)
}

// after is the first key behind all that begin with a prefix; "" where there is none.
func after(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ""
}

// Collections are the names in use.
func (n *Snapshot) Collections() []string {
	var all []string
	for name, t := range n.trees {
		if t.Len() > 0 {
			all = append(all, name)
		}
	}
	return all
}

// Change is one change of the feed.
type Change struct {
	Seq       uint64
	Coll, Key string
	Value     []byte // of a put
	Deleted   bool
}

// Changes tells the changes from a sequence number on, in order, as far as they go now. Those before the last
// compaction are gone: ErrCompacted says from where they can be had.
func (s *Store) Changes(ctx context.Context, from uint64, each func(Change) error) error {
	s.mu.RLock()
	if from < s.feed {
		s.mu.RUnlock()
		return fmt.Errorf("from %d, the oldest is %d: %w", from, s.feed, ErrCompacted)
	}
	var segs []*segment
	sizes := map[*segment]int64{}
	for _, g := range s.segs {
		if g.base == 0 && g.last >= from {
			g.refs.Add(1)
			segs = append(segs, g)
			sizes[g] = g.size
		}
	}
	s.mu.RUnlock()
	defer func() {
		for _, g := range segs {
			s.release(g)
		}
	}()
	for _, g := range segs {
		b := make([]byte, sizes[g])
		if _, err := g.file.ReadAt(b, 0); err != nil {
			return fmt.Errorf("reading %s: %w", g.name, err)
		}
		var err error
		scan(b, g.id, func(off int64, payload []byte) {
			if err != nil {
				return
			}
			e := readOps(payload, func(o op) {
				if err == nil && o.seq >= from {
					if err = ctx.Err(); err == nil {
						err = each(Change{o.seq, o.coll, o.key, o.value, o.kind == opDelete})
					}
				}
			})
			if err == nil {
				err = e
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}
