package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/btree"

	"larkrouter/internal/store/vfs"
)

// Durability selects when a write is acknowledged.
type Durability uint8

// Levels of durability, from strongest to weakest.
const (
	SyncWrite     Durability = iota // once synced to disk: survives a crash of the machine
	BufferedWrite                   // once passed to the operating system: survives a crash of the process; synced within Options.SyncEvery
	AsyncWrite                      // at once, while queued in memory: the latest writes may be lost when the process crashes
)

// Options configure a store. A zero value selects the default, which the comments give.
type Options struct {
	SegmentSize      int64            // size in bytes from which the active segment is sealed; default 16 MiB
	Quota            int64            // max total size of the segments in bytes; 0 means no limit
	FlushEvery       time.Duration    // max time until an asynchronous write is passed to the operating system; default 20 ms
	SyncEvery        time.Duration    // max time until written data is synced to disk; default FlushEvery
	CompactDeadShare float64          // share of dead bytes in the sealed segments that starts a compaction; default 0.5
	Now              func() time.Time // clock for expiry times; default time.Now
	ReadOnly         bool             // takes no lock and writes nothing; may run beside the process that has the store open
	ManualCompaction bool             // compacts only when Compact is called
	ignoreHints      bool             // reads every segment in full instead of its hint file
}

// Errors of the store. Returned errors wrap them.
var (
	ErrNotFound  = errors.New("record not found")
	ErrClosed    = errors.New("store is closed")
	ErrFailed    = errors.New("store accepts no writes after a write error until it is reopened")
	ErrQuota     = errors.New("store quota exceeded")
	ErrDamaged   = errors.New("record is damaged on disk")
	ErrCompacted = errors.New("changes have been removed by compaction")
	ErrReadOnly  = errors.New("store is open read-only")
	ErrBusy      = errors.New("write queue is full: the disk is too slow")
	ErrTooLarge  = errors.New("batch is too large")
)

// Store is an open store. Its methods may be called from several goroutines.
//
// One goroutine, the committer, does all writes to the active segment. compactMu is taken before the other mutexes;
// indexMu and queueMu are never held together.
type Store struct {
	fs      vfs.FS
	options Options
	unlock  func() error // releases the lock of the folder; nil if read-only

	indexMu        sync.RWMutex // protects the fields below up to lastTimeMs, which is atomic
	index          map[string]*btree.Map[string, location]
	segments       []*segment // ordered by the age of their records
	active         *segment
	nextID         uint64 // ID of the next segment
	nextVisibleSeq uint64 // next sequence number as readers see it
	nextDurableSeq uint64 // nextVisibleSeq as of the last sync to disk
	feedStart      uint64 // oldest sequence number that Changes can report
	lastTimeMs     int64  // highest time seen, in Unix milliseconds; keeps time from going back

	queueMu         sync.Mutex
	queue           []*request
	queuedBytes     int           // size of the queue in bytes
	asyncTimerSet   bool          // a timer for the queued asynchronous writes is running
	wakeCommitter   chan struct{} // buffered with one element: the queue is not empty, a sync is due or Close was called
	writeErr        error         // first I/O error; no more writes are accepted
	closed          bool          // Close was called
	committerDone   chan struct{} // closed when the committer has ended
	syncTimer       *time.Timer   // wakes the committer when a sync is due
	hasUnsynced     bool          // data was written but not synced; used by the committer only
	unsyncedSince   time.Time     // when hasUnsynced was set
	nextAssignedSeq uint64        // next sequence number to assign; used by the committer only

	compactMu             sync.Mutex // held during a compaction
	backgroundCompactions sync.WaitGroup
	stats                 Stats
}

// Stats counts operations of a store.
type Stats struct {
	Writes, Syncs, Compactions atomic.Uint64
}

// indexedSize returns the number of bytes that an op counts for in segment.liveBytes.
func indexedSize(o op) uint32 { return uint32(len(o.coll) + len(o.key) + len(o.value) + 8) }

// updateIndex applies a change to the index. The caller holds indexMu.
func (s *Store) updateIndex(change op, loc location) {
	tree := s.index[change.coll]
	if tree == nil {
		tree = &btree.Map[string, location]{}
		s.index[change.coll] = tree
	}
	if change.kind == opDelete {
		if old, ok := tree.Delete(change.key); ok {
			old.seg.liveBytes -= int64(old.size)
		}
		return
	}
	if old, ok := tree.Set(change.key, loc); ok {
		old.seg.liveBytes -= int64(old.size)
	}
	loc.seg.liveBytes += int64(loc.size)
}

// now returns the current time in Unix milliseconds. It never goes back, even if the clock does, so that an expired record
// does not reappear.
func (s *Store) now() int64 {
	now := s.options.Now().UnixMilli()
	for {
		latest := atomic.LoadInt64(&s.lastTimeMs)
		if now <= latest {
			return latest
		}
		if atomic.CompareAndSwapInt64(&s.lastTimeMs, latest, now) {
			return now
		}
	}
}

// Get returns the value of a record. The error wraps ErrNotFound if there is no such record or it has expired, and
// ErrDamaged if it cannot be read.
func (s *Store) Get(ctx context.Context, coll, key string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.indexMu.RLock()
	if s.index == nil {
		s.indexMu.RUnlock()
		return nil, ErrClosed
	}
	tree := s.index[coll]
	if tree == nil {
		s.indexMu.RUnlock()
		return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
	}
	loc, ok := tree.Get(key)
	if ok {
		loc.seg.refs.Add(1)
	}
	s.indexMu.RUnlock()
	if !ok {
		return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
	}
	defer s.release(loc.seg)
	if loc.expires != 0 && s.now() >= loc.expires {
		return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
	}
	return s.readRecord(coll, key, loc)
}

// readRecord reads the value of a record from its segment. It validates the frame's checksum on each read, so that damage
// leads to an error instead of a wrong value.
func (s *Store) readRecord(coll, key string, loc location) ([]byte, error) {
	frame := make([]byte, loc.frameSize)
	damagedErr := func(cause error) error {
		return fmt.Errorf("reading %s/%q from %s at offset %d: %w: %v", coll, key, loc.seg.name, loc.offset, ErrDamaged, cause)
	}
	if _, err := loc.seg.file.ReadAt(frame, loc.offset); err != nil {
		return nil, damagedErr(err)
	}
	payloadSize := int64(binary.LittleEndian.Uint32(frame))
	if payloadSize != int64(len(frame)-frameHeaderSize) ||
		binary.LittleEndian.Uint32(frame[4:]) != checksum(loc.seg.id, loc.offset, frame[frameHeaderSize:]) {
		return nil, damagedErr(errors.New("frame checksum mismatch"))
	}
	var value []byte
	found, opIndex := false, uint32(0)
	err := readOps(frame[frameHeaderSize:], func(o op) {
		if opIndex == loc.opIndex && o.kind == opPut && o.coll == coll && o.key == key {
			value, found = o.value, true
		}
		opIndex++
	})
	if err != nil || !found {
		return nil, damagedErr(errors.New("frame does not contain the record"))
	}
	return value, nil
}

// Size returns the total size of all segments in bytes.
func (s *Store) Size() int64 {
	s.indexMu.RLock()
	defer s.indexMu.RUnlock()
	var total int64
	for _, seg := range s.segments {
		total += seg.size
	}
	return total
}

// Info summarizes the content of a store.
type Info struct {
	Segments              int
	TotalBytes, LiveBytes int64          // size of all segments, and of the newest versions of records in them
	RecordCounts          map[string]int // number of records by collection, expired ones included
	NextSeq               uint64         // sequence number of the next change
	OldestChangeSeq       uint64         // oldest sequence number that Changes can report
}

// Info returns a summary of the content.
func (s *Store) Info() Info {
	s.indexMu.RLock()
	defer s.indexMu.RUnlock()
	info := Info{Segments: len(s.segments), RecordCounts: map[string]int{}, NextSeq: s.nextVisibleSeq, OldestChangeSeq: s.feedStart}
	for _, seg := range s.segments {
		info.TotalBytes += seg.size
		info.LiveBytes += seg.liveBytes
	}
	for name, tree := range s.index {
		if tree.Len() > 0 {
			info.RecordCounts[name] = tree.Len()
		}
	}
	return info
}

// Close writes and syncs the queued requests, closes all files and unlocks the folder. Open snapshots become unusable. If
// the store had failed, the error wraps ErrFailed.
func (s *Store) Close() error {
	s.queueMu.Lock()
	if s.closed {
		s.queueMu.Unlock()
		return nil
	}
	s.closed = true
	ioErr := s.writeErr
	s.queueMu.Unlock()
	var err error
	if !s.options.ReadOnly {
		s.backgroundCompactions.Wait()
		select {
		case s.wakeCommitter <- struct{}{}:
		default:
		}
		<-s.committerDone
		s.syncTimer.Stop()
		s.queueMu.Lock()
		ioErr = s.writeErr
		s.queueMu.Unlock()
		if ioErr == nil {
			if s.hasUnsynced {
				err = s.active.file.Sync()
			}
			if err == nil {
				s.indexMu.Lock()
				s.nextDurableSeq = s.nextVisibleSeq
				s.indexMu.Unlock()
				err = s.writeManifest()
			}
		}
	}
	s.indexMu.Lock()
	for _, seg := range s.segments {
		seg.file.Close()
	}
	s.index = nil
	s.indexMu.Unlock()
	if s.unlock != nil {
		if unlockErr := s.unlock(); err == nil {
			err = unlockErr
		}
	}
	if ioErr != nil {
		return fmt.Errorf("%w: %w", ErrFailed, ioErr)
	}
	return err
}
