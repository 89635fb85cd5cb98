package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"larkrouter/internal/store/vfs"
)

// location is the place of a record version in the log.
type location struct {
	seg       *segment
	offset    int64  // of the frame in the segment
	seq       uint64 // sequence number of the change
	expires   int64  // as in op
	frameSize uint32 // size of the frame in bytes
	opIndex   uint32 // index of the change within the frame
	size      uint32 // bytes that the record counts for in segment.liveBytes
	deleted   bool   // marks a deletion; used only while loading
}

// segment is one file of the log. All but the active one are sealed, unless they are damaged.
type segment struct {
	id, replacesUpTo uint64 // replacesUpTo: highest ID of the segments that a compaction replaced with this one; 0 otherwise
	file             vfs.File
	name             string
	size             int64 // in bytes; fixed once sealed, until then changed only by the committer
	sealed           bool
	damaged          bool
	frameCount       uint64
	contentSum       uint32       // checksum over the headers of all frames
	lastSeq          uint64       // highest sequence number in the segment
	firstSeq         uint64       // lowest sequence number in the segment; 0 if it is empty
	liveBytes        int64        // bytes of the records whose newest version is in this segment
	hintOps          []loadedOp   // content of the future hint file; used by the committer only
	refs             atomic.Int32 // number of readers and snapshots
	superseded       atomic.Bool  // replaced by a compaction; removed when refs drops to 0
	removeOnce       sync.Once
}

// segName and hintName return the file names of a segment and its hint file.
func segName(id uint64) string  { return fmt.Sprintf("%08d.log", id) }
func hintName(id uint64) string { return fmt.Sprintf("%08d.hint", id) }

// release drops a reference to a segment. The last release of a superseded segment removes it.
func (s *Store) release(seg *segment) {
	if seg.refs.Add(-1) == 0 && seg.superseded.Load() {
		s.removeSegment(seg)
	}
}

// removeSegment deletes the files of a superseded segment that has no readers left.
func (s *Store) removeSegment(seg *segment) {
	seg.removeOnce.Do(func() {
		seg.file.Close()
		_ = s.fs.Remove(seg.name) // if this fails, the next Open recognizes the file as superseded and removes it
		_ = s.fs.Remove(hintName(seg.id))
	})
}

// loadedOp is a change read from a segment or hint file, without its value, and its location.
type loadedOp struct {
	op
	location
}

// loadedSegment is the result of reading one segment file. empty means that the file was left by a crash while it was being
// created and contains no change.
type loadedSegment struct {
	seg          *segment
	replacesUpTo uint64
	sealed       bool
	empty        bool
	sealedAt     int64
	ops          []loadedOp
	damage       []Damage
}

// readSegment loads one segment, from its hint file if that is valid, otherwise frame by frame. After damage it continues
// with the next valid frame. A torn end of an unsealed segment is truncated, unless the store is read-only.
func (s *Store) readSegment(id uint64) (_ *loadedSegment, err error) {
	name := segName(id)
	file, err := s.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			file.Close()
		}
	}()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	seg := &segment{id: id, name: name, file: file, size: size}
	loading := &loadedSegment{seg: seg}
	if s.loadHint(loading, size) {
		return loading, nil
	}
	content := make([]byte, size)
	if size > 0 {
		if _, err := file.ReadAt(content, 0); err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
	}
	var headerErr error // evaluated at the end: a valid footer identifies the segment even if its header is damaged
	if loading.replacesUpTo, headerErr = readHeader(content, id); headerErr != nil && !errors.Is(headerErr, errBadHeader) {
		return nil, fmt.Errorf("%s: %w", name, headerErr)
	}
	offset, end := int64(headerSize), int64(0)
	lastSeq, footerLastSeq := uint64(0), uint64(0)
	addDamage := func(from, to int64, beforeSeq uint64, reason string) {
		loading.damage = append(loading.damage, Damage{name, from, to, lastSeq, beforeSeq, reason})
	}
	for offset < size {
		if foot, ok := readFooter(content[offset:min(size, offset+footerSize)], id, offset); ok && offset+footerSize == size {
			loading.sealed, loading.replacesUpTo, loading.sealedAt, end, footerLastSeq = true, foot.replacesUpTo, foot.sealedAt, size, foot.lastSeq
			if (foot.frameCount != seg.frameCount || foot.contentSum != seg.contentSum) && len(loading.damage) == 0 {
				addDamage(offset, size, foot.lastSeq+1, fmt.Sprintf(
					"frames do not match the footer: %d frames, footer has %d or another checksum", seg.frameCount, foot.frameCount))
			}
			break
		}
		payload, ok := frameAt(content, id, offset)
		if !ok {
			next := findNextFrame(content, id, offset+1)
			if next < 0 {
				break
			}
			beforeSeq := uint64(0)
			if p, ok := frameAt(content, id, next); ok {
				beforeSeq, _ = binary.Uvarint(p)
			} else if foot, ok := readFooter(content[next:], id, next); ok {
				beforeSeq = foot.lastSeq + 1
			}
			addDamage(offset, next, beforeSeq, "invalid frames")
			offset = next
			continue
		}
		opIndex := uint32(0)
		frameSize := uint32(frameHeaderSize + len(payload))
		if err := readOps(payload, func(change op) {
			size := indexedSize(change)
			change.value = nil
			loading.ops = append(loading.ops, loadedOp{change, location{seg: seg, offset: offset, seq: change.seq, expires: change.expires,
				frameSize: frameSize, opIndex: opIndex, size: size}})
			lastSeq = max(lastSeq, change.seq)
			if seg.firstSeq == 0 || change.seq < seg.firstSeq {
				seg.firstSeq = change.seq
			}
			opIndex++
		}); err != nil {
			return nil, fmt.Errorf("reading %s at offset %d: %w", name, offset, err)
		}
		seg.frameCount++
		seg.contentSum = addToContentSum(seg.contentSum, content[offset:])
		offset += int64(frameSize)
		end = offset
	}
	seg.replacesUpTo, seg.sealed, seg.lastSeq = loading.replacesUpTo, loading.sealed, max(lastSeq, footerLastSeq)
	if headerErr != nil {
		if seg.frameCount == 0 && !loading.sealed {
			// Left by a crash while it was being created: no change in this file was ever acknowledged.
			loading.empty = size <= headerSize || allZero(content)
		}
		if !loading.empty {
			addDamage(0, min(size, headerSize), lastSeq+1, "invalid header")
			loading.damage[len(loading.damage)-1].AfterSeq = lastSeq
		}
	}
	if loading.sealed || loading.empty {
		seg.damaged = len(loading.damage) > 0
		return loading, nil
	}
	end = max(end, headerSize)
	if end < size { // a torn write, or damage with no valid frame after it
		addDamage(end, size, 0, "invalid frames at the end of the file")
		if len(loading.damage) == 1 && headerErr == nil && loading.replacesUpTo == 0 && !s.options.ReadOnly {
			if err := file.Truncate(end); err != nil {
				return nil, fmt.Errorf("truncating the damaged end of %s: %w", name, err)
			}
			if err := file.Sync(); err != nil {
				return nil, fmt.Errorf("truncating the damaged end of %s: %w", name, err)
			}
			seg.size = end
			return loading, nil
		}
	}
	seg.damaged = len(loading.damage) > 0
	return loading, nil
}

// allZero reports whether b contains only zero bytes.
func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// findNextFrame returns the offset of the first valid frame or footer at or after from, or -1 if there is none.
func findNextFrame(content []byte, id uint64, from int64) int64 {
	for offset := from; offset+frameHeaderSize < int64(len(content)); offset++ {
		payloadSize := int64(binary.LittleEndian.Uint32(content[offset:]))
		if payloadSize == footerMarker {
			if _, ok := readFooter(content[offset:], id, offset); ok {
				return offset
			}
			continue
		}
		if payloadSize == 0 || offset+frameHeaderSize+payloadSize > int64(len(content)) {
			continue
		}
		if _, ok := frameAt(content, id, offset); ok {
			return offset
		}
	}
	return -1
}

// scanFrames calls visit for each valid frame of a segment and skips damaged parts.
func scanFrames(content []byte, id uint64, visit func(off int64, payload []byte)) {
	for offset := int64(headerSize); offset < int64(len(content)); {
		payload, ok := frameAt(content, id, offset)
		if !ok {
			if offset = findNextFrame(content, id, offset+1); offset < 0 {
				return
			}
			continue
		}
		visit(offset, payload)
		offset += int64(frameHeaderSize + len(payload))
	}
}

// createSegment creates the next segment, makes it the active one and lists it in the manifest.
func (s *Store) createSegment() error {
	seg := &segment{id: s.nextID, name: segName(s.nextID)}
	file, err := s.fs.Create(seg.name)
	if err != nil {
		return fmt.Errorf("creating %s: %w", seg.name, err)
	}
	seg.file = file
	if _, err := file.Write(appendHeader(nil, seg.id, 0, s.now())); err != nil {
		return fmt.Errorf("creating %s: %w", seg.name, err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("creating %s: %w", seg.name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("creating %s: %w", seg.name, err)
	}
	seg.size = headerSize
	s.indexMu.Lock()
	s.nextID++
	s.segments = append(s.segments, seg)
	s.active = seg
	s.indexMu.Unlock()
	return s.writeManifest()
}

// rollSegment seals the active segment, creates the next one and starts a background compaction if one is due.
func (s *Store) rollSegment() error {
	seg := s.active
	footerBytes := appendFooter(nil, seg.id, seg.size, footer{seg.frameCount, seg.lastSeq, 0, s.now(), seg.contentSum})
	if _, err := seg.file.Write(footerBytes); err != nil {
		return fmt.Errorf("sealing %s: %w", seg.name, err)
	}
	if err := seg.file.Sync(); err != nil {
		return fmt.Errorf("sealing %s: %w", seg.name, err)
	}
	s.indexMu.Lock()
	seg.size += footerSize
	seg.sealed = true
	s.indexMu.Unlock()
	s.writeHint(seg, seg.hintOps, footerBytes)
	seg.hintOps = nil
	if err := s.createSegment(); err != nil {
		return err
	}
	if !s.options.ManualCompaction && s.shouldCompact() {
		s.backgroundCompactions.Add(1)
		go func() {
			defer s.backgroundCompactions.Done()
			_ = s.Compact(context.Background()) // on failure the old segments stay; the next roll tries again
		}()
	}
	return nil
}

// shouldCompact reports whether the share of dead bytes in the sealed segments has reached CompactDeadShare.
func (s *Store) shouldCompact() bool {
	s.indexMu.RLock()
	defer s.indexMu.RUnlock()
	var total, live int64
	for _, seg := range s.segments {
		if seg.sealed {
			total += seg.size
			live += seg.liveBytes
		}
	}
	return total > 0 && float64(total-live)/float64(total) >= s.options.CompactDeadShare
}
