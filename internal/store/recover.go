package store

import (
	"cmp"
	"errors"
	"fmt"
	iofs "io/fs"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/btree"

	"larkrouter/internal/store/vfs"
)

// Damage describes a range of bytes in a file that cannot be read. The changes in it, which are lost, have sequence numbers
// above AfterSeq and below BeforeSeq. BeforeSeq is 0 if nothing readable follows; those changes may never have been
// acknowledged.
type Damage struct {
	File                 string
	FromOffset, ToOffset int64
	AfterSeq, BeforeSeq  uint64
	Reason               string
}

// String describes the damage in one line.
func (d Damage) String() string {
	lost := fmt.Sprintf("changes after %d", d.AfterSeq)
	if d.BeforeSeq > 0 {
		lost = fmt.Sprintf("changes %d to %d", d.AfterSeq+1, d.BeforeSeq-1)
	}
	return fmt.Sprintf("%s, bytes %d to %d: %s; lost: %s", d.File, d.FromOffset, d.ToOffset, d.Reason, lost)
}

// RecoveryReport reports what Open found and repaired.
type RecoveryReport struct {
	Damage  []Damage
	Removed []string // leftover files, incomplete or superseded by a compaction; a read-only store does not remove them
}

// Open opens the store in a folder, recovers its content and starts the committer. Damage is not an error: if the RecoveryReport
// reports any, the store is usable and contains all records that could be read.
func Open(fs vfs.FS, opt Options) (*Store, RecoveryReport, error) {
	if opt.SegmentSize <= 0 {
		opt.SegmentSize = 16 << 20
	}
	if opt.FlushEvery <= 0 {
		opt.FlushEvery = 20 * time.Millisecond
	}
	if opt.SyncEvery <= 0 {
		opt.SyncEvery = opt.FlushEvery
	}
	if opt.CompactDeadShare <= 0 {
		opt.CompactDeadShare = 0.5
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	s := &Store{fs: fs, options: opt, index: map[string]*btree.Map[string, location]{}, wakeCommitter: make(chan struct{}, 1),
		committerDone: make(chan struct{}), nextID: 1, nextVisibleSeq: 1, feedStart: 1}
	if !opt.ReadOnly {
		var err error
		if s.unlock, err = fs.Lock("LOCK"); err != nil {
			return nil, RecoveryReport{}, fmt.Errorf("opening the store: %w", err)
		}
	}
	recovery, err := s.load()
	// A read-only store tries again if the owner of the store removed a file by compaction while it was being read.
	for try := 0; opt.ReadOnly && errors.Is(err, iofs.ErrNotExist) && try < 5; try++ {
		s.index = map[string]*btree.Map[string, location]{}
		recovery, err = s.load()
	}
	s.nextAssignedSeq, s.nextDurableSeq = s.nextVisibleSeq, s.nextVisibleSeq
	if err != nil {
		if s.unlock != nil {
			_ = s.unlock()
		}
		return nil, recovery, fmt.Errorf("opening the store: %w", err)
	}
	if opt.ReadOnly {
		return s, recovery, nil
	}
	s.syncTimer = time.AfterFunc(time.Hour, func() {
		select {
		case s.wakeCommitter <- struct{}{}:
		default:
		}
	})
	s.syncTimer.Stop()
	go s.runCommitter()
	return s, recovery, nil
}

// closeSegments closes the files of segments.
func closeSegments(segments []*loadedSegment) {
	for _, loading := range segments {
		loading.seg.file.Close()
	}
}

// load reads all segments, builds the index, removes leftover files and prepares the active segment. For a read-only store
// it only reads.
func (s *Store) load() (recovery RecoveryReport, err error) {
	names, err := s.fs.List()
	if err != nil {
		return recovery, err
	}
	saved, manifestErr := readManifest(s.fs)
	hasManifest := slices.Contains(names, manifestName)
	if errors.Is(manifestErr, errNewerFormat) {
		return recovery, manifestErr
	}
	if hasManifest && manifestErr != nil {
		recovery.Damage = append(recovery.Damage, Damage{File: manifestName, Reason: manifestErr.Error() + "; rebuilt from the log"})
	}
	if manifestErr == nil {
		s.nextID, s.nextVisibleSeq, s.feedStart, s.lastTimeMs = saved.NextID, max(1, saved.NextSeq), max(1, saved.Feed), saved.Now
	}
	remove := func(name string) error {
		recovery.Removed = append(recovery.Removed, name)
		if s.options.ReadOnly {
			return nil
		}
		return s.fs.Remove(name)
	}
	var segments []*loadedSegment
	defer func() {
		if err != nil {
			closeSegments(segments)
			s.segments = nil
		}
	}()
	supersededUpTo := uint64(0) // segments with IDs up to this one are superseded
	for _, name := range names {
		if strings.HasSuffix(name, ".new") {
			if err := remove(name); err != nil {
				return recovery, err
			}
			continue
		}
		stem, ok := strings.CutSuffix(name, ".log")
		id, err := strconv.ParseUint(stem, 10, 64)
		if !ok || err != nil || segName(id) != name {
			continue
		}
		loading, err := s.readSegment(id)
		if err != nil {
			return recovery, err
		}
		s.nextID = max(s.nextID, id+1)
		segments = append(segments, loading)
	}
	listed := func(id uint64) bool { return manifestErr == nil && slices.Contains(saved.Segments, id) }
	var usable []*loadedSegment
	for _, loading := range segments {
		// A compaction's segment without a footer is incomplete and can be removed, unless the manifest lists it or the
		// segments that it replaces are gone. A segment without a valid frame was left by a crash while it was being
		// created; if the manifest lists it, it is damaged instead.
		replacedExists := slices.ContainsFunc(segments, func(other *loadedSegment) bool { return other.seg.id <= loading.replacesUpTo })
		incomplete := loading.replacesUpTo > 0 && !loading.sealed && !listed(loading.seg.id) && replacedExists
		if incomplete || loading.empty && !listed(loading.seg.id) {
			loading.seg.file.Close()
			if err := remove(loading.seg.name); err != nil {
				return recovery, err
			}
			continue
		}
		if loading.empty {
			loading.seg.damaged = true
			loading.damage = append(loading.damage, Damage{File: loading.seg.name, ToOffset: loading.seg.size,
				Reason: "no frame in the file is readable"})
		}
		supersededUpTo = max(supersededUpTo, loading.replacesUpTo)
		usable = append(usable, loading)
	}
	segments = usable
	slices.SortFunc(segments, func(a, b *loadedSegment) int { return cmp.Compare(a.seg.id, b.seg.id) })
	var lastOps []loadedOp // changes in the newest segment, for its hint file
	lastSeq := uint64(0)   // highest sequence number read so far
	for i, loading := range segments {
		if loading.seg.id <= supersededUpTo {
			loading.seg.file.Close()
			if err := remove(loading.seg.name); err != nil {
				return recovery, err
			}
			if slices.Contains(names, hintName(loading.seg.id)) {
				_ = remove(hintName(loading.seg.id))
			}
			continue
		}
		s.segments = append(s.segments, loading.seg)
		if loading.empty {
			loading.damage[0].AfterSeq = lastSeq
		}
		if !loading.sealed && loading.replacesUpTo == 0 && i < len(segments)-1 && len(loading.damage) == 0 {
			loading.seg.damaged = true
			loading.damage = append(loading.damage, Damage{File: loading.seg.name, FromOffset: loading.seg.size, ToOffset: loading.seg.size,
				AfterSeq: max(lastSeq, loading.seg.lastSeq),
				Reason:   "footer is missing although a newer segment exists"})
		}
		for damageIndex := range loading.damage {
			for _, next := range segments[i+1:] {
				if loading.damage[damageIndex].BeforeSeq == 0 && next.replacesUpTo == 0 && next.seg.firstSeq > 0 {
					loading.damage[damageIndex].BeforeSeq = next.seg.firstSeq
				}
			}
		}
		lastSeq = max(lastSeq, loading.seg.lastSeq)
		recovery.Damage = append(recovery.Damage, loading.damage...)
		if loading.replacesUpTo > 0 {
			s.feedStart = max(s.feedStart, loading.seg.lastSeq+1)
		}
		s.nextVisibleSeq = max(s.nextVisibleSeq, loading.seg.lastSeq+1)
		s.lastTimeMs = max(s.lastTimeMs, loading.sealedAt)
		for i := range loading.ops {
			s.indexLoadedOp(&loading.ops[i])
		}
		lastOps = loading.ops
		loading.ops = nil
	}
	if manifestErr == nil {
		for _, id := range saved.Segments {
			if id > supersededUpTo && !slices.ContainsFunc(s.segments, func(g *segment) bool { return g.id == id }) &&
				!slices.Contains(recovery.Removed, segName(id)) {
				recovery.Damage = append(recovery.Damage, Damage{File: segName(id), Reason: "file is missing"})
			}
		}
		if lastSeq+1 < saved.NextSeq { // the manifest is written only after these changes were synced
			recovery.Damage = append(recovery.Damage, Damage{File: "newest segment", AfterSeq: lastSeq, BeforeSeq: saved.NextSeq,
				Reason: "end of file is missing"})
		}
	}
	for name, tree := range s.index {
		var deleted []string
		tree.Scan(func(key string, loc location) bool {
			if loc.deleted {
				deleted = append(deleted, key)
			}
			return true
		})
		for _, key := range deleted {
			tree.Delete(key)
		}
		if tree.Len() == 0 {
			delete(s.index, name)
		}
	}
	if s.options.ReadOnly {
		return recovery, nil
	}
	if n := len(s.segments); n > 0 && !s.segments[n-1].sealed && !s.segments[n-1].damaged && s.segments[n-1].replacesUpTo == 0 {
		s.active = s.segments[n-1]
		s.active.hintOps = lastOps
		return recovery, nil
	}
	return recovery, s.createSegment()
}

// indexLoadedOp adds a loaded change to the index if it is the newest change of its record. Segments may be loaded in any
// order, so deletions stay in the index until all are loaded.
func (s *Store) indexLoadedOp(loaded *loadedOp) {
	tree := s.index[loaded.coll]
	if tree == nil {
		tree = &btree.Map[string, location]{}
		s.index[loaded.coll] = tree
	}
	loc := loaded.location
	loc.deleted = loaded.kind == opDelete
	if old, ok := tree.Get(loaded.key); ok {
		if old.seq >= loc.seq {
			return
		}
		if !old.deleted {
			old.seg.liveBytes -= int64(old.size)
		}
	}
	tree.Set(loaded.key, loc)
	if !loc.deleted {
		loc.seg.liveBytes += int64(loc.size)
	}
}
