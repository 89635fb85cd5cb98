package store

import (
	"context"
	"fmt"
)

// A compaction runs in small steps so that concurrent writers are not held up.
const (
	compactWriteBytes = 256 << 10 // bytes per write
	compactSyncBytes  = 1 << 20   // bytes between syncs; one large sync at the end would delay the writers' own syncs
	compactIndexBatch = 256       // index entries updated per lock acquisition, some tens of microseconds
)

// relocation is a record that compaction copies from one location to another. For an expired record, which is not
// copied, to is unset.
type relocation struct {
	coll, key string
	from, to  location
}

// Compact rewrites all sealed segments into a single one that holds only the newest version of each record, then removes
// the old ones. Reads and writes continue; they wait at most for one step of the index update. If Compact fails, the old
// segments stay in place. It refuses to run while a segment is damaged.
func (s *Store) Compact(ctx context.Context) error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	id, err := s.sealActive(ctx)
	if err != nil {
		return err
	}
	snap, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer snap.Close()
	var old []*segment
	newestOldID, lastSeq := uint64(0), uint64(0)
	for _, seg := range snap.segments {
		if !seg.sealed { // the active segment, or one whose end is damaged
			continue
		}
		if seg.damaged {
			return fmt.Errorf("compacting: segment %s is damaged and is not rewritten; verify the store, then restore a backup", seg.name)
		}
		old = append(old, seg)
		newestOldID, lastSeq = max(newestOldID, seg.id), max(lastSeq, seg.lastSeq)
	}
	for _, seg := range snap.segments {
		if !seg.sealed && seg.id < id {
			return fmt.Errorf("compacting: segment %s is damaged and is not rewritten; verify the store, then restore a backup", seg.name)
		}
	}
	if len(old) == 0 {
		return nil
	}
	out := &segment{id: id, replacesUpTo: newestOldID, name: segName(id), lastSeq: lastSeq}
	relocated, expired, err := s.rewrite(ctx, snap, out, old)
	if err != nil {
		if out.file != nil {
			out.file.Close()
			_ = s.fs.Remove(out.name)
		}
		return fmt.Errorf("compacting: %w", err)
	}
	for i := range relocated {
		relocated[i].to.seg = out
	}
	s.indexMu.Lock()
	s.segments = append([]*segment{out}, s.segments...) // segments are ordered by the age of their records
	s.feedStart = max(s.feedStart, lastSeq+1)
	s.indexMu.Unlock()
	for len(relocated) > 0 {
		n := min(len(relocated), compactIndexBatch)
		s.indexMu.Lock()
		for _, move := range relocated[:n] {
			if tree := s.index[move.coll]; tree != nil {
				if current, ok := tree.Get(move.key); ok && current.seq == move.from.seq {
					tree.Set(move.key, move.to)
					move.from.seg.liveBytes -= int64(move.from.size)
					out.liveBytes += int64(move.to.size)
				}
			}
		}
		s.indexMu.Unlock()
		relocated = relocated[n:]
	}
	for len(expired) > 0 { // expired records were not copied
		n := min(len(expired), compactIndexBatch)
		s.indexMu.Lock()
		for _, move := range expired[:n] {
			if tree := s.index[move.coll]; tree != nil {
				if current, ok := tree.Get(move.key); ok && current.seq == move.from.seq {
					tree.Delete(move.key)
				}
			}
		}
		s.indexMu.Unlock()
		expired = expired[n:]
	}
	s.indexMu.Lock()
	remaining := s.segments[:0:0]
	for _, seg := range s.segments {
		if seg == out || seg.id > newestOldID || !seg.sealed {
			remaining = append(remaining, seg)
		}
	}
	s.segments = remaining
	s.indexMu.Unlock()
	if err := s.writeManifest(); err != nil {
		return err
	}
	for _, seg := range old {
		seg.refs.Add(1)
		seg.superseded.Store(true)
		s.release(seg)
	}
	s.stats.Compactions.Add(1)
	return nil
}

// sealActive asks the committer to seal the active segment. It returns the ID of the segment to compact into.
func (s *Store) sealActive(ctx context.Context) (id uint64, err error) {
	req := &request{seal: true, done: make(chan struct{})}
	if err := s.enqueue(req); err != nil {
		return 0, err
	}
	select {
	case <-req.done:
		return req.seq, req.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// rewrite copies the live records of the old segments into out, then seals and syncs it. It returns the records that were
// copied and those that were dropped because they have expired.
func (s *Store) rewrite(ctx context.Context, snap *Snapshot, out *segment, old []*segment) (relocated, expired []relocation, err error) {
	isOld := map[*segment]bool{}
	for _, seg := range old {
		isOld[seg] = true
	}
	file, err := s.fs.Create(out.name)
	if err != nil {
		return nil, nil, err
	}
	out.file = file
	buf := appendHeader(nil, out.id, out.replacesUpTo, s.now())
	size, unsynced := int64(0), 0
	flush := func() error {
		n, err := file.Write(buf)
		size += int64(n)
		buf = buf[:0]
		if unsynced += n; err == nil && unsynced >= compactSyncBytes {
			unsynced = 0
			err = file.Sync()
		}
		return err
	}
	var scanErr error
	for coll, tree := range snap.index {
		tree.Scan(func(key string, from location) bool {
			if !isOld[from.seg] {
				return true
			}
			if from.expires != 0 && snap.now >= from.expires {
				expired = append(expired, relocation{coll, key, from, location{}})
				return true
			}
			if scanErr = ctx.Err(); scanErr != nil {
				return false
			}
			value, err := s.readRecord(coll, key, from)
			if err != nil {
				scanErr = err
				return false
			}
			start := len(buf)
			put := op{kind: opPut, coll: coll, key: key, expires: from.expires, value: value}
			to := from
			to.offset, to.opIndex = size+int64(start), 0
			buf = appendFrame(buf, out.id, to.offset, from.seq, []op{put})
			to.frameSize = uint32(len(buf) - start)
			out.contentSum = addToContentSum(out.contentSum, buf[start:])
			relocated = append(relocated, relocation{coll, key, from, to})
			out.frameCount++
			if len(buf) >= compactWriteBytes {
				// While both copies exist, a compaction may exceed the quota by up to a quarter.
				if s.options.Quota > 0 && s.Size()+size+int64(len(buf)) > s.options.Quota+s.options.Quota/4 {
					scanErr = ErrQuota
					return false
				}
				scanErr = flush()
			}
			return scanErr == nil
		})
		if scanErr != nil {
			return nil, nil, scanErr
		}
	}
	footerBytes := appendFooter(nil, out.id, size+int64(len(buf)),
		footer{out.frameCount, out.lastSeq, out.replacesUpTo, s.now(), out.contentSum})
	buf = append(buf, footerBytes...)
	if err := flush(); err != nil {
		return nil, nil, err
	}
	if err := file.Sync(); err != nil {
		return nil, nil, err
	}
	if err := s.fs.SyncDir(); err != nil {
		return nil, nil, err
	}
	out.size, out.sealed = size, true
	ops := make([]loadedOp, len(relocated))
	for i, move := range relocated {
		if ops[i] = (loadedOp{op{kind: opPut, coll: move.coll, key: move.key}, move.to}); out.firstSeq == 0 || move.to.seq < out.firstSeq {
			out.firstSeq = move.to.seq
		}
	}
	s.writeHint(out, ops, footerBytes)
	return relocated, expired, nil
}
