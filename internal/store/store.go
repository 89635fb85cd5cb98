package store

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/btree"

	"larkrouter/internal/store/vfs"
)

// Durability says when a write is acknowledged.
type Durability uint8

// The kinds of durability.
const (
	Sync  Durability = iota // on the disk: survives the machine
	Batch                   // with the operating system: survives the process; on the disk within FlushEvery
	Lazy                    // in memory: may be lost with the process, in order from the end
)

// Options of a store. Zero values stand for the defaults.
type Options struct {
	SegmentSize int64            // bytes after which a segment is sealed; 16 MiB
	Quota       int64            // bytes that the folder may take; 0: no limit
	FlushEvery  time.Duration    // lazy writes go to the operating system so late; 20 ms
	SyncEvery   time.Duration    // what is with it goes to the disk so late; as FlushEvery
	CompactAt   float64          // share of dead bytes in sealed segments from which they are compacted; 0.5
	Now         func() time.Time // for time-to-live; time.Now
	ReadOnly    bool             // takes no lock and writes nothing: beside the process that has the store
	Manual      bool             // compaction only by Compact
	whole       bool             // read every segment, not its hints
}

// Errors of the store.
var (
	ErrNotFound  = errors.New("no such record")
	ErrClosed    = errors.New("the store is closed")
	ErrFailed    = errors.New("the store takes no writes until it is opened again")
	ErrQuota     = errors.New("the store is full: its quota is used up, what it holds stays")
	ErrDamaged   = errors.New("the record is damaged on the disk")
	ErrCompacted = errors.New("changes so old have been compacted away")
	ErrReadOnly  = errors.New("the store is open for reading only")
	ErrBusy      = errors.New("too much waits to be written: the disk does not keep up")
	ErrTooLarge  = errors.New("the batch is too large")
)

// Store is an open store, safe for several goroutines.
type Store struct {
	fs     vfs.FS
	opt    Options
	unlock func() error

	mu      sync.RWMutex // index and list of segments
	trees   map[string]*btree.Map[string, loc]
	segs    []*segment // by id
	active  *segment
	nextID  uint64
	nextSeq uint64 // what readers see
	durable uint64 // nextSeq as it is on the disk for sure
	feed    uint64 // changes from this sequence number on are still there
	clock   int64  // highest time seen, Unix milliseconds: time never goes back

	qmu     sync.Mutex
	queue   []*request
	waits   int  // bytes in it
	lazy    bool // its lazy writes have their time set
	wake    chan struct{}
	failed  error
	closed  bool
	done    chan struct{}
	flush   *time.Timer
	dirty   bool      // written and not synced; the committer's
	dirtyAt time.Time // since when
	given   uint64    // the next sequence number; the committer's

	compacting sync.Mutex
	background sync.WaitGroup
	stats      Stats
}

// Stats are the store's counters.
type Stats struct {
	Writes, Syncs, Compactions atomic.Uint64
}

// loc is where a record's newest version lies.
type loc struct {
	seg     *segment
	off     int64
	seq     uint64
	expires int64
	frame   uint32 // bytes of the frame
	op      uint32 // its place in the frame
	size    uint32 // its share of the segment
	deleted bool   // while loading only
}

// segment is a file of the log.
type segment struct {
	id, base   uint64
	file       vfs.File
	name       string
	size       int64 // the committer's, or fixed once sealed
	sealed     bool
	damaged    bool
	frames     uint64
	content    uint32 // sum over the entries' heads
	last       uint64 // highest sequence number in it
	first      uint64
	live       int64      // bytes of records that are the newest
	written    []loadedOp // what its hints will hold; the committer's
	refs       atomic.Int32
	doomed     atomic.Bool
	removeOnce sync.Once
}

func segName(id uint64) string  { return fmt.Sprintf("%08d.log", id) }
func hintName(id uint64) string { return fmt.Sprintf("%08d.hint", id) }

type request struct {
	ops  []op
	dur  Durability
	n    int // bytes
	seq  uint64
	err  error
	done chan struct{}
	seal bool // close the active segment, for a compaction, whose segment's number comes back in seq
}

// maxWaiting bounds what lazy writes may pile up in memory, bytes: past it they get ErrBusy, and nobody waits.
const (
	maxWaiting = 8 << 20
	lazyLump   = 256 << 10 // and so many are written before their time
)

// WriteBatch is a set of changes that happen together.
type WriteBatch struct {
	ops []op
	n   int
}

// Put sets a record.
func (b *WriteBatch) Put(coll, key string, value []byte) {
	b.add(op{kind: opPut, coll: coll, key: key, value: value})
}

// PutTTL sets a record that is gone after a time.
func (b *WriteBatch) PutTTL(coll, key string, value []byte, ttl time.Duration) {
	b.add(op{kind: opPut, coll: coll, key: key, value: value, expires: int64(max(ttl, time.Millisecond)) / 1e6 * -1}) // made absolute by Write
}

// Delete removes a record, there or not.
func (b *WriteBatch) Delete(coll, key string) { b.add(op{kind: opDelete, coll: coll, key: key}) }

// Append adds a record under the next number of the log, 8 bytes big-endian, so that a collection keeps their order.
func (b *WriteBatch) Append(coll string, value []byte) {
	b.add(op{kind: opPut, coll: coll, value: value})
}

func (b *WriteBatch) add(o op) {
	b.ops = append(b.ops, o)
	b.n += len(o.coll) + len(o.key) + len(o.value) + 32
}

// Len is how many changes the batch has.
func (b *WriteBatch) Len() int { return len(b.ops) }

// SeqKey is the key that Append gives the record of a sequence number.
func SeqKey(seq uint64) string { return string(binary.BigEndian.AppendUint64(nil, seq)) }

// Write does a batch and gives the sequence number of its last change. An error of the context means that the outcome
// is not known yet: the batch may still be written, whole.
func (s *Store) Write(ctx context.Context, b *WriteBatch, d Durability) (uint64, error) {
	if len(b.ops) == 0 {
		return 0, nil
	}
	if b.n > maxFrame/2 {
		return 0, fmt.Errorf("%d bytes: %w", b.n, ErrTooLarge)
	}
	for _, o := range b.ops {
		if o.coll == "" {
			return 0, errors.New("a change without a collection: a name is right")
		}
	}
	r := &request{ops: b.ops, dur: d}
	if d != Lazy {
		r.done = make(chan struct{})
	}
	if err := s.enqueue(r); err != nil {
		return 0, err
	}
	if d == Lazy {
		return 0, nil
	}
	select {
	case <-r.done:
		return r.seq, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("waiting for a write: %w", ctx.Err())
	}
}

func (s *Store) enqueue(r *request) error {
	s.qmu.Lock()
	defer s.qmu.Unlock()
	switch {
	case s.opt.ReadOnly:
		return ErrReadOnly
	case s.closed:
		return ErrClosed
	case s.failed != nil:
		return fmt.Errorf("%w: %w", ErrFailed, s.failed)
	}
	for _, o := range r.ops {
		r.n += len(o.coll) + len(o.key) + len(o.value) + 32
	}
	if r.dur == Lazy && s.waits > maxWaiting {
		return ErrBusy
	}
	s.waits += r.n
	s.queue = append(s.queue, r)
	if r.dur == Lazy && s.waits < lazyLump { // many lazy writes make one of the disk's
		if !s.lazy {
			s.lazy = true
			time.AfterFunc(s.opt.FlushEvery, func() {
				select {
				case s.wake <- struct{}{}:
				default:
				}
			})
		}
		return nil
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// Failed is why the store takes no more writes; nil while it does.
func (s *Store) Failed() error {
	s.qmu.Lock()
	defer s.qmu.Unlock()
	return s.failed
}

// commit is the one goroutine that writes: it takes all that wait, writes once and syncs once for all of them.
func (s *Store) commit() {
	defer close(s.done)
	for range s.wake {
		s.qmu.Lock()
		list := s.queue
		s.queue, s.waits, s.lazy = nil, 0, false
		closed, failed := s.closed, s.failed
		s.qmu.Unlock()
		if failed == nil {
			failed = s.round(list)
		}
		if failed != nil {
			s.qmu.Lock()
			if s.failed == nil {
				s.failed = failed
			}
			list = append(list, s.queue...)
			s.queue = nil
			s.qmu.Unlock()
			for _, r := range list {
				if r.err == nil && (r.seq == 0 || r.seal) {
					r.err = fmt.Errorf("%w: %w", ErrFailed, failed)
				}
			}
		}
		for _, r := range list {
			if r.done != nil {
				close(r.done)
			}
		}
		if closed {
			return
		}
	}
}

type placed struct {
	r     *request
	off   int64
	size  int64
	first uint64 // sequence number of its first change
	head  [frameHead]byte
}

// round does the writes of a list; an error is one of the disk.
func (s *Store) round(list []*request) error {
	for len(list) > 0 || s.dirty {
		var buf []byte
		var done []placed
		seg := s.active
		sync := s.dirty && time.Since(s.dirtyAt) >= s.opt.SyncEvery // as the timer that was set then says
		seal, force := false, false
		for len(list) > 0 {
			r := list[0]
			if r.seal {
				list, seal, force = list[1:], true, true
				// The compaction's file is numbered before the next active one: what it replaces has lower numbers,
				// what is written from now on has higher ones.
				s.mu.Lock()
				r.seq = s.nextID
				s.nextID++
				s.mu.Unlock()
				break
			}
			first := s.given
			now := s.now()
			for i := range r.ops {
				if r.ops[i].expires < 0 {
					r.ops[i].expires = now - r.ops[i].expires
				}
				if r.ops[i].kind == opPut && r.ops[i].key == "" {
					r.ops[i].key = SeqKey(first + uint64(i))
				}
			}
			at := len(buf)
			off := seg.size + int64(at)
			buf = appendFrame(buf, seg.id, off, first, r.ops)
			if s.overQuota(int64(len(buf)), r.ops) {
				buf = buf[:at]
				r.err = ErrQuota
				list = list[1:]
				continue
			}
			s.given += uint64(len(r.ops))
			list = list[1:]
			done = append(done, placed{r, off, int64(len(buf) - at), first, [frameHead]byte(buf[at:])})
			sync = sync || r.dur == Sync
			if seg.size+int64(len(buf)) >= s.opt.SegmentSize {
				seal = true
				break
			}
		}
		if len(buf) > 0 {
			if !s.dirty {
				s.dirty, s.dirtyAt = true, time.Now()
				s.flush.Reset(s.opt.SyncEvery)
			}
			if _, err := seg.file.Write(buf); err != nil {
				return fmt.Errorf("writing %s: %w", seg.name, err)
			}
			s.stats.Writes.Add(1)
		}
		if (sync || seal) && s.dirty {
			if err := seg.file.Sync(); err != nil {
				return fmt.Errorf("syncing %s: %w", seg.name, err)
			}
			s.stats.Syncs.Add(1)
			s.dirty = false
		}
		s.apply(seg, done, int64(len(buf)))
		if seal && (seg.frames > 0 || force) {
			if err := s.roll(); err != nil {
				return err
			}
		}
		if len(list) == 0 {
			return nil
		}
	}
	return nil
}

// overQuota lets deletions through past the quota, up to a little, so that a full store can be emptied.
func (s *Store) overQuota(more int64, ops []op) bool {
	if s.opt.Quota <= 0 {
		return false
	}
	room := s.opt.Quota - s.Size()
	if !slices.ContainsFunc(ops, func(o op) bool { return o.kind != opDelete }) {
		room += max(64<<10, s.opt.Quota/16)
	}
	return more+footerSize > room
}

// apply shows a round's changes to readers.
func (s *Store) apply(seg *segment, done []placed, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg.size += bytes
	if s.nextSeq = s.given; !s.dirty {
		s.durable = s.given
	}
	for _, p := range done {
		seg.frames++
		seg.content = headSum(seg.content, p.head[:])
		for i, o := range p.r.ops {
			l := loc{seg: seg, off: p.off, seq: p.first + uint64(i), expires: o.expires, frame: uint32(p.size), op: uint32(i), size: opSize(o)}
			s.set(o, l)
			o.value = nil
			seg.written = append(seg.written, loadedOp{o, l})
		}
		p.r.seq = p.first + uint64(len(p.r.ops)) - 1
		seg.last = p.r.seq
		if seg.first == 0 {
			seg.first = p.first
		}
	}
}

func opSize(o op) uint32 { return uint32(len(o.coll) + len(o.key) + len(o.value) + 8) }

// set changes the index; with mu held.
func (s *Store) set(o op, l loc) {
	t := s.trees[o.coll]
	if t == nil {
		t = &btree.Map[string, loc]{}
		s.trees[o.coll] = t
	}
	if o.kind == opDelete {
		if old, ok := t.Delete(o.key); ok {
			old.seg.live -= int64(old.size)
		}
		return
	}
	if old, ok := t.Set(o.key, l); ok {
		old.seg.live -= int64(old.size)
	}
	l.seg.live += int64(l.size)
}

// now is the time in Unix milliseconds; it never goes back, so that what has run out stays so.
func (s *Store) now() int64 {
	t := s.opt.Now().UnixMilli()
	for {
		seen := atomic.LoadInt64(&s.clock)
		if t <= seen {
			return seen
		}
		if atomic.CompareAndSwapInt64(&s.clock, seen, t) {
			return t
		}
	}
}

// Get reads a record.
func (s *Store) Get(ctx context.Context, coll, key string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.RLock()
	if s.trees == nil {
		s.mu.RUnlock()
		return nil, ErrClosed
	}
	t := s.trees[coll]
	if t == nil {
		s.mu.RUnlock()
		return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
	}
	l, ok := t.Get(key)
	if ok {
		l.seg.refs.Add(1)
	}
	s.mu.RUnlock()
	if !ok {
		return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
	}
	defer s.release(l.seg)
	if l.expires != 0 && s.now() >= l.expires {
		return nil, fmt.Errorf("%s/%q: %w", coll, key, ErrNotFound)
	}
	return s.read(coll, key, l)
}

// read fetches a record's value; its frame is checked each time, so that damage is an error and never a value.
func (s *Store) read(coll, key string, l loc) ([]byte, error) {
	b := make([]byte, l.frame)
	damaged := func(why error) error {
		return fmt.Errorf("%s/%q in %s at %d: %w: %v", coll, key, l.seg.name, l.off, ErrDamaged, why)
	}
	if _, err := l.seg.file.ReadAt(b, l.off); err != nil {
		return nil, damaged(err)
	}
	n := int64(binary.LittleEndian.Uint32(b))
	if n != int64(len(b)-frameHead) || binary.LittleEndian.Uint32(b[4:]) != sum(l.seg.id, l.off, b[frameHead:]) {
		return nil, damaged(errors.New("it does not check"))
	}
	var value []byte
	found, i := false, uint32(0)
	err := readOps(b[frameHead:], func(o op) {
		if i == l.op && o.kind == opPut && o.coll == coll && o.key == key {
			value, found = o.value, true
		}
		i++
	})
	if err != nil || !found {
		return nil, damaged(errors.New("the entry is another one"))
	}
	return value, nil
}

func (s *Store) release(seg *segment) {
	if seg.refs.Add(-1) == 0 && seg.doomed.Load() {
		s.drop(seg)
	}
}

// drop removes a segment that was compacted and that nobody reads any more.
func (s *Store) drop(seg *segment) {
	seg.removeOnce.Do(func() {
		seg.file.Close()
		_ = s.fs.Remove(seg.name) // a file that stays is found superseded at the next start, and removed then
		_ = s.fs.Remove(hintName(seg.id))
	})
}

// Size is the bytes of all segments.
func (s *Store) Size() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var n int64
	for _, g := range s.segs {
		n += g.size
	}
	return n
}

// Info is the store in figures.
type Info struct {
	Segments    int
	Bytes, Live int64
	Records     map[string]int
	NextSeq     uint64
	FeedFrom    uint64
}

// Info counts.
func (s *Store) Info() Info {
	s.mu.RLock()
	defer s.mu.RUnlock()
	in := Info{Segments: len(s.segs), Records: map[string]int{}, NextSeq: s.nextSeq, FeedFrom: s.feed}
	for _, g := range s.segs {
		in.Bytes += g.size
		in.Live += g.live
	}
	for name, t := range s.trees {
		if t.Len() > 0 {
			in.Records[name] = t.Len()
		}
	}
	return in
}

// Close writes what waits, syncs and lets the folder go.
func (s *Store) Close() error {
	s.qmu.Lock()
	if s.closed {
		s.qmu.Unlock()
		return nil
	}
	s.closed = true
	failed := s.failed
	s.qmu.Unlock()
	var err error
	if !s.opt.ReadOnly {
		s.background.Wait()
		select {
		case s.wake <- struct{}{}:
		default:
		}
		<-s.done
		s.flush.Stop()
		s.qmu.Lock()
		failed = s.failed
		s.qmu.Unlock()
		if failed == nil {
			if s.dirty {
				err = s.active.file.Sync()
			}
			if err == nil {
				s.mu.Lock()
				s.durable = s.nextSeq
				s.mu.Unlock()
				err = s.writeManifest()
			}
		}
	}
	s.mu.Lock()
	for _, g := range s.segs {
		g.file.Close()
	}
	s.trees = nil
	s.mu.Unlock()
	if s.unlock != nil {
		if e := s.unlock(); err == nil {
			err = e
		}
	}
	if failed != nil {
		return fmt.Errorf("%w: %w", ErrFailed, failed)
	}
	return err
}
