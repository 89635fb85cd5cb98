package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// request is a batch, or a request to seal the active segment, in the queue of the committer.
type request struct {
	ops        []op
	durability Durability
	size       int           // in bytes
	seq        uint64        // result: sequence number of the last change
	err        error         // result
	done       chan struct{} // closed when the results are set; nil for asynchronous writes
	seal       bool          // seal the active segment for a compaction, whose segment ID is returned in seq
}

// Limits of the write queue, in bytes.
const (
	maxAsyncQueueBytes = 8 << 20   // above this size asynchronous writes fail with ErrBusy instead of waiting
	asyncFlushBytes    = 256 << 10 // from this size on queued asynchronous writes are written before FlushEvery has passed
)

// Write applies a batch and returns the sequence number of its last change, or 0 if the batch is empty or the write is
// AsyncWrite. If ctx ends first, the outcome is unknown: the batch may still be written, completely or not at all.
func (s *Store) Write(ctx context.Context, batch *WriteBatch, durability Durability) (uint64, error) {
	if len(batch.ops) == 0 {
		return 0, nil
	}
	if batch.size > maxFramePayload/2 {
		return 0, fmt.Errorf("writing a batch of %d bytes: %w", batch.size, ErrTooLarge)
	}
	for _, o := range batch.ops {
		if o.coll == "" {
			return 0, errors.New("writing a batch: change without a collection name")
		}
	}
	req := &request{ops: batch.ops, durability: durability}
	if durability != AsyncWrite {
		req.done = make(chan struct{})
	}
	if err := s.enqueue(req); err != nil {
		return 0, err
	}
	if durability == AsyncWrite {
		return 0, nil
	}
	select {
	case <-req.done:
		return req.seq, req.err
	case <-ctx.Done():
		return 0, fmt.Errorf("waiting for a write to finish: %w", ctx.Err())
	}
}

// enqueue adds a request to the queue of the committer and wakes the committer. For asynchronous writes it is woken by a timer
// until asyncFlushBytes are queued.
func (s *Store) enqueue(req *request) error {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	switch {
	case s.options.ReadOnly:
		return ErrReadOnly
	case s.closed:
		return ErrClosed
	case s.writeErr != nil:
		return fmt.Errorf("%w: %w", ErrFailed, s.writeErr)
	}
	for _, o := range req.ops {
		req.size += len(o.coll) + len(o.key) + len(o.value) + 32
	}
	if req.durability == AsyncWrite && s.queuedBytes > maxAsyncQueueBytes {
		return ErrBusy
	}
	s.queuedBytes += req.size
	s.queue = append(s.queue, req)
	if req.durability == AsyncWrite && s.queuedBytes < asyncFlushBytes { // collect asynchronous writes into fewer, larger writes to disk
		if !s.asyncTimerSet {
			s.asyncTimerSet = true
			time.AfterFunc(s.options.FlushEvery, func() {
				select {
				case s.wakeCommitter <- struct{}{}:
				default:
				}
			})
		}
		return nil
	}
	select {
	case s.wakeCommitter <- struct{}{}:
	default:
	}
	return nil
}

// WriteError returns the error because of which the store accepts no more writes, or nil.
func (s *Store) WriteError() error {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.writeErr
}

// runCommitter is the loop of the committer goroutine. Each turn takes all queued requests, writes them together and syncs
// at most once per segment for all of them (group commit). It returns once the store is closed.
func (s *Store) runCommitter() {
	defer close(s.committerDone)
	for range s.wakeCommitter {
		s.queueMu.Lock()
		requests := s.queue
		s.queue, s.queuedBytes, s.asyncTimerSet = nil, 0, false
		closed, ioErr := s.closed, s.writeErr
		s.queueMu.Unlock()
		if ioErr == nil {
			ioErr = s.writeRequests(requests)
		}
		if ioErr != nil {
			s.queueMu.Lock()
			if s.writeErr == nil {
				s.writeErr = ioErr
			}
			requests = append(requests, s.queue...)
			s.queue = nil
			s.queueMu.Unlock()
			for _, req := range requests {
				if req.err == nil && (req.seq == 0 || req.seal) {
					req.err = fmt.Errorf("%w: %w", ErrFailed, ioErr)
				}
			}
		}
		for _, req := range requests {
			if req.done != nil {
				close(req.done)
			}
		}
		if closed {
			return
		}
	}
}

// writtenRequest is a request and the place of its frame in the active segment.
type writtenRequest struct {
	request     *request
	offset      int64
	size        int64
	firstSeq    uint64 // sequence number of the first change
	frameHeader [frameHeaderSize]byte
}

// writeRequests writes and, where required, syncs a list of requests, sealing the active segment as it fills up. The
// returned error is an I/O error; errors of a single request are stored in the request.
func (s *Store) writeRequests(requests []*request) error {
	for len(requests) > 0 || s.hasUnsynced {
		var buf []byte
		var written []writtenRequest
		seg := s.active
		needSync := s.hasUnsynced && time.Since(s.unsyncedSince) >= s.options.SyncEvery // syncTimer fires at this time
		seal, sealRequested := false, false
		for len(requests) > 0 {
			req := requests[0]
			if req.seal {
				requests, seal, sealRequested = requests[1:], true, true
				// The ID for the compaction's segment is allocated before that of the next active segment: the segments
				// that it replaces have lower IDs, those written from now on have higher ones.
				s.indexMu.Lock()
				req.seq = s.nextID
				s.nextID++
				s.indexMu.Unlock()
				break
			}
			firstSeq := s.nextAssignedSeq
			now := s.now()
			for i := range req.ops {
				if req.ops[i].expires < 0 { // still a time to live, see PutTTL
					req.ops[i].expires = now - req.ops[i].expires
				}
				if req.ops[i].kind == opPut && req.ops[i].key == "" { // see Append
					req.ops[i].key = SeqKey(firstSeq + uint64(i))
				}
			}
			start := len(buf)
			offset := seg.size + int64(start)
			buf = appendFrame(buf, seg.id, offset, firstSeq, req.ops)
			if s.exceedsQuota(int64(len(buf)), req.ops) {
				buf = buf[:start]
				req.err = ErrQuota
				requests = requests[1:]
				continue
			}
			s.nextAssignedSeq += uint64(len(req.ops))
			requests = requests[1:]
			written = append(written, writtenRequest{req, offset, int64(len(buf) - start), firstSeq, [frameHeaderSize]byte(buf[start:])})
			needSync = needSync || req.durability == SyncWrite
			if seg.size+int64(len(buf)) >= s.options.SegmentSize {
				seal = true
				break
			}
		}
		if len(buf) > 0 {
			if !s.hasUnsynced {
				s.hasUnsynced, s.unsyncedSince = true, time.Now()
				s.syncTimer.Reset(s.options.SyncEvery)
			}
			if _, err := seg.file.Write(buf); err != nil {
				return fmt.Errorf("writing %s: %w", seg.name, err)
			}
			s.stats.Writes.Add(1)
		}
		if (needSync || seal) && s.hasUnsynced {
			if err := seg.file.Sync(); err != nil {
				return fmt.Errorf("syncing %s: %w", seg.name, err)
			}
			s.stats.Syncs.Add(1)
			s.hasUnsynced = false
		}
		s.publish(seg, written, int64(len(buf)))
		if seal && (seg.frameCount > 0 || sealRequested) {
			if err := s.rollSegment(); err != nil {
				return err
			}
		}
		if len(requests) == 0 {
			return nil
		}
	}
	return nil
}

// exceedsQuota reports whether writing added bytes for ops would exceed the quota. Batches that only delete may exceed it
// by 1/16, at least 64 KiB, so that records can be deleted from a full store.
func (s *Store) exceedsQuota(added int64, ops []op) bool {
	if s.options.Quota <= 0 {
		return false
	}
	available := s.options.Quota - s.Size()
	if !slices.ContainsFunc(ops, func(o op) bool { return o.kind != opDelete }) {
		available += max(64<<10, s.options.Quota/16)
	}
	return added+footerSize > available
}

// publish makes written requests visible to readers.
func (s *Store) publish(seg *segment, written []writtenRequest, bytes int64) {
	s.indexMu.Lock()
	defer s.indexMu.Unlock()
	seg.size += bytes
	if s.nextVisibleSeq = s.nextAssignedSeq; !s.hasUnsynced {
		s.nextDurableSeq = s.nextAssignedSeq
	}
	for _, placed := range written {
		seg.frameCount++
		seg.contentSum = addToContentSum(seg.contentSum, placed.frameHeader[:])
		for i, change := range placed.request.ops {
			loc := location{seg: seg, offset: placed.offset, seq: placed.firstSeq + uint64(i), expires: change.expires,
				frameSize: uint32(placed.size), opIndex: uint32(i), size: indexedSize(change)}
			s.updateIndex(change, loc)
			change.value = nil
			seg.hintOps = append(seg.hintOps, loadedOp{change, loc})
		}
		placed.request.seq = placed.firstSeq + uint64(len(placed.request.ops)) - 1
		seg.lastSeq = placed.request.seq
		if seg.firstSeq == 0 {
			seg.firstSeq = placed.firstSeq
		}
	}
}
