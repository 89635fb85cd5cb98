package store

import (
	"context"
	"fmt"

	"larkrouter/internal/store/vfs"
)

// Verify reads every file of a store from end to end and reports all damage. It takes no lock, so it can run beside the
// process that has the store open. progress, if not nil, is called for each segment.
func Verify(fs vfs.FS, progress func(name string, bytes int64)) (RecoveryReport, error) {
	s, recovery, err := Open(fs, Options{ReadOnly: true, ignoreHints: true})
	if err != nil {
		return recovery, err
	}
	defer s.Close()
	snap, err := s.Snapshot()
	if err != nil {
		return recovery, err
	}
	defer snap.Close()
	for _, seg := range snap.segments {
		if progress != nil {
			progress(seg.name, seg.size)
		}
	}
	for coll, tree := range snap.index {
		tree.Scan(func(key string, loc location) bool {
			if _, err := s.readRecord(coll, key, loc); err != nil {
				recovery.Damage = append(recovery.Damage, Damage{File: loc.seg.name, FromOffset: loc.offset,
					ToOffset: loc.offset + int64(loc.frameSize), AfterSeq: loc.seq - 1,
					BeforeSeq: loc.seq + 1, Reason: err.Error()})
			}
			return true
		})
	}
	return recovery, nil
}

// Backup copies a consistent snapshot of all records into an empty folder, which becomes a store of its own. progress, if
// not nil, is called with the number of records copied so far.
func (s *Store) Backup(ctx context.Context, to vfs.FS, progress func(records int)) error {
	names, err := to.List()
	if err != nil {
		return err
	}
	if len(names) > 0 {
		return fmt.Errorf("backup: the target folder must be empty, it contains %s", names[0])
	}
	snap, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer snap.Close()
	copied, _, err := Open(to, Options{SegmentSize: s.options.SegmentSize, Now: s.options.Now, ManualCompaction: true})
	if err != nil {
		return err
	}
	if snap.NextSeq > 1 && len(snap.Collections()) > 0 {
		// The copy continues the original's sequence numbers: Append derives keys from them, and keys must not repeat.
		copied.nextAssignedSeq = snap.NextSeq
	}
	count := 0
	var batch WriteBatch
	flush := func() error {
		_, err := copied.Write(ctx, &batch, BufferedWrite)
		batch = WriteBatch{}
		return err
	}
	for coll, tree := range snap.index {
		var scanErr error
		tree.Scan(func(key string, loc location) bool {
			if loc.expires != 0 && snap.now >= loc.expires {
				return true
			}
			value, err := s.readRecord(coll, key, loc)
			if err != nil {
				scanErr = err
				return false
			}
			batch.add(op{kind: opPut, coll: coll, key: key, expires: loc.expires, value: value})
			if count++; count%512 == 0 || batch.size > 1<<20 {
				if scanErr = flush(); progress != nil {
					progress(count)
				}
			}
			return scanErr == nil
		})
		if scanErr != nil {
			copied.Close()
			return fmt.Errorf("backup: %w", scanErr)
		}
	}
	if err := flush(); err != nil {
		copied.Close()
		return fmt.Errorf("backup: %w", err)
	}
	if progress != nil {
		progress(count)
	}
	return copied.Close()
}
