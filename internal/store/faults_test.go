package store

import (
	"errors"
	"fmt"
	iofs "io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/store/vfs"
)

// TestFrameInsideValue checks that bytes in a value that look like a frame, for example a copy of a log, are not read as
// one, even when Open searches past damage for the next valid frame.
func TestFrameInsideValue(t *testing.T) {
	disk := vfs.NewSimFS()
	s, _ := openStore(t, disk, Options{ManualCompaction: true})
	putRecord(t, s, "first", "1")
	fakeFrame := appendFrame(nil, 1, 0, 99, []op{{kind: opPut, coll: "c", key: "ghost", value: []byte("boo")}})
	putRecord(t, s, "copy", string(fakeFrame))
	putRecord(t, s, "last", "3")
	s.Close()
	disk.Modify(segName(1), func(b []byte) []byte {
		at := strings.Index(string(b), "copy") - 10 // in the frame that contains the value
		b[at] ^= 0xff
		return b
	})
	s, rec := openStore(t, disk, Options{ManualCompaction: true})
	defer s.Close()
	got, _ := contents(t, s)
	if !maps.Equal(got, map[string]string{"c/first": "1", "c/last": "3"}) || len(rec.Damage) != 1 {
		t.Errorf("got %v, damage %v, want the records first and last and one damage", got, rec.Damage)
	}
}

// diskWithKeys returns a disk with a fixed layout; disks with different keys differ only in their keys and values.
func diskWithKeys(t *testing.T, key string) *vfs.SimFS {
	t.Helper()
	disk := vfs.NewSimFS()
	s, _ := openStore(t, disk, Options{ManualCompaction: true, SegmentSize: 200, Now: func() time.Time { return time.Unix(5, 0) }})
	for i := range 6 {
		putRecord(t, s, fmt.Sprint(key, i), strings.Repeat(key, 30))
	}
	s.Close()
	return disk
}

// TestHintFromOtherSegment checks that a hint file that belongs to another segment of the same size is ignored.
func TestHintFromOtherSegment(t *testing.T) {
	a, b := diskWithKeys(t, "a"), diskWithKeys(t, "b")
	var hint []byte
	a.Modify(hintName(1), func(content []byte) []byte { hint = content; return content })
	b.Modify(hintName(1), func([]byte) []byte { return hint })
	s, rec := openStore(t, b, Options{ManualCompaction: true})
	defer s.Close()
	got, damaged := contents(t, s)
	if len(got) != 6 || damaged != 0 || len(rec.Damage) != 0 || got["c/b0"] == "" {
		t.Errorf("got %v, %d damaged records, damage %v, want the six records of this disk and no damage", got, damaged, rec.Damage)
	}
}

// TestFooterFromOtherSegment checks that valid frames followed by the footer of another segment are reported as damage.
func TestFooterFromOtherSegment(t *testing.T) {
	a, b := diskWithKeys(t, "a"), diskWithKeys(t, "b")
	var foot []byte
	a.Modify(segName(1), func(content []byte) []byte { foot = content[len(content)-footerSize:]; return content })
	b.Modify(segName(1), func(content []byte) []byte { return append(content[:len(content)-footerSize], foot...) })
	_ = b.Remove(hintName(1))
	s, rec := openStore(t, b, Options{ManualCompaction: true})
	defer s.Close()
	if len(rec.Damage) != 1 || rec.Damage[0].File != segName(1) {
		t.Errorf("damage: got %v, want one in the first segment", rec.Damage)
	}
}

// TestSupersededSegmentReappears checks that a segment that a compaction has replaced is removed if it reappears, and that
// its deleted records stay deleted.
func TestSupersededSegmentReappears(t *testing.T) {
	disk := vfs.NewSimFS()
	s, _ := openStore(t, disk, Options{ManualCompaction: true})
	putRecord(t, s, "deleted", "old")
	s.Close()
	var old []byte
	disk.Modify(segName(1), func(b []byte) []byte { old = b; return b })
	s, _ = openStore(t, disk, Options{ManualCompaction: true})
	var b WriteBatch
	b.Delete("c", "deleted")
	if _, err := s.Write(ctx, &b, SyncWrite); err != nil {
		t.Fatal(err)
	}
	putRecord(t, s, "kept", "new")
	if err := s.Compact(ctx); err != nil {
		t.Fatal(err)
	}
	s.Close()
	file, err := disk.Create(segName(1))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = file.Write(old)
	s, rec := openStore(t, disk, Options{ManualCompaction: true})
	defer s.Close()
	if got, _ := contents(t, s); !maps.Equal(got, map[string]string{"c/kept": "new"}) || len(rec.Removed) != 1 {
		t.Errorf("got %v, removed files %v", got, rec.Removed)
	}
}

// TestNewestChangeWins checks that of two loaded changes of a record the one with the higher sequence number counts, even if
// it is loaded first.
func TestNewestChangeWins(t *testing.T) {
	s, _ := openStore(t, vfs.NewSimFS(), Options{ManualCompaction: true})
	defer s.Close()
	seg := &segment{}
	change := func(seq uint64, kind opKind) *loadedOp {
		return &loadedOp{op{kind: kind, coll: "x", key: "k"}, location{seg: seg, seq: seq, size: 10}}
	}
	s.indexLoadedOp(change(7, opDelete))
	s.indexLoadedOp(change(5, opPut))
	if l, _ := s.index["x"].Get("k"); l.seq != 7 || !l.deleted || seg.liveBytes != 0 {
		t.Errorf("got %+v with %d live bytes, want the deletion", l, seg.liveBytes)
	}
}

// TestAsyncWritesOnBadDisk checks that asynchronous writes neither block nor queue without limit while the disk stalls, but
// fail with ErrBusy, and that they fail with ErrFailed after the disk has failed.
func TestAsyncWritesOnBadDisk(t *testing.T) {
	disk := vfs.NewSimFS()
	s, _ := openStore(t, disk, Options{ManualCompaction: true, FlushEvery: time.Millisecond})
	unblock := make(chan struct{})
	disk.FailOp = func(int, string) error { <-unblock; return errors.New("input/output error") }
	var err error
	writes := 0
	for ; err == nil && writes < 1000; writes++ {
		var b WriteBatch
		b.Put("c", fmt.Sprint(writes), make([]byte, 64<<10))
		_, err = s.Write(ctx, &b, AsyncWrite)
	}
	if !errors.Is(err, ErrBusy) || writes < 100 {
		t.Errorf("stalled disk: after %d writes got %v, want ErrBusy after at least 100", writes, err)
	}
	close(unblock)
	for deadline := time.Now().Add(20 * time.Second); s.WriteError() == nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	var b WriteBatch
	b.Put("c", "k", nil)
	if _, err := s.Write(ctx, &b, AsyncWrite); !errors.Is(err, ErrFailed) {
		t.Error(err)
	}
	s.Close()
}

// TestBatchWritesAreSynced checks that buffered writes are synced, as SyncEvery requires, even while further writes arrive
// without a pause.
func TestBatchWritesAreSynced(t *testing.T) {
	disk := vfs.NewSimFS()
	s, _ := openStore(t, disk, Options{ManualCompaction: true, FlushEvery: 5 * time.Millisecond, SyncEvery: 20 * time.Millisecond})
	defer s.Close()
	syncs := func() uint64 { return s.stats.Syncs.Load() }
	before := syncs()
	for deadline := time.Now().Add(20 * time.Second); syncs() < before+3; {
		var b WriteBatch
		b.Put("c", "k", []byte("v"))
		if _, err := s.Write(ctx, &b, BufferedWrite); err != nil || time.Now().After(deadline) {
			t.Fatalf("got %d syncs, want 3: %v", syncs()-before, err)
		}
	}
}

// TestUnreadableDisk checks that read errors are reported, by Open and for each record, and never lead to values, to lasting
// damage, or to files that stay open.
func TestUnreadableDisk(t *testing.T) {
	disk, states := filledDisk(t)
	s, _ := openStore(t, disk, Options{ManualCompaction: true})
	eio := errors.New("input/output error")
	disk.FailRead = func(name string) error { return eio }
	got, damaged := contents(t, s)
	if len(got) != 0 || damaged != len(states[len(states)-1]) {
		t.Errorf("unreadable disk: got %v, %d damaged records, want %d", got, damaged, len(states[len(states)-1]))
	}
	s.Close()
	if s, _, err := Open(disk, Options{ManualCompaction: true}); err == nil {
		s.Close()
		t.Error("Open succeeded on an unreadable disk")
	}
	names, _ := disk.List()
	newest := slices.Max(slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, ".log") }))
	tries := 0
	disk.FailRead = func(name string) error { // the owner compacts while the newest segment is being read, at each try
		if name == newest {
			tries++
			return iofs.ErrNotExist
		}
		return nil
	}
	if s, _, err := Open(disk, Options{ReadOnly: true, ignoreHints: true}); err == nil {
		s.Close()
	}
	if tries < 2 || disk.OpenFiles != 0 {
		t.Errorf("%d files are open after %d tries to open an unreadable store, want none after several", disk.OpenFiles, tries)
	}
	disk.FailRead = nil
	s, rec := openStore(t, disk, Options{ManualCompaction: true})
	defer s.Close()
	if got, _ := contents(t, s); !maps.Equal(got, states[len(states)-1]) || len(rec.Damage) != 0 {
		t.Errorf("readable again: got %v, damage %v, want the final content and no damage", got, rec.Damage)
	}
}

// TestCrashesInRecovery checks that two further crashes during recovery from a first one lose no acknowledged write.
func TestCrashesInRecovery(t *testing.T) {
	for crash := 20; crash < 230; crash += 7 {
		disk := vfs.NewSimFS()
		disk.CrashAtOp = crash
		acked, writing, _ := runWorkload(disk, crash)
		rng := rand.New(rand.NewPCG(uint64(crash), 77))
		for range 2 {
			disk = disk.Restart(rng)
			disk.CrashAtOp = 1 + rng.IntN(4)
			if s, _, err := Open(disk, Options{SegmentSize: 400, ManualCompaction: true}); err == nil {
				s.Close()
			}
		}
		s, rec, err := Open(disk.Restart(rng), Options{SegmentSize: 400, ManualCompaction: true})
		if err != nil {
			t.Fatalf("crash at operation %d: %v", crash, err)
		}
		got, _ := contents(t, s)
		if !maps.Equal(got, acked) && (len(writing) == 0 || !maps.Equal(got, writing[0])) {
			t.Fatalf("crash at operation %d: got\n%v\nacknowledged\n%v\n%v", crash, got, acked, rec.Damage)
		}
		s.Close()
	}
}

// createHookFS calls onCreate before each file that it creates.
type createHookFS struct {
	vfs.FS
	onCreate func(name string)
}

// Create implements [vfs.FS].
func (h *createHookFS) Create(name string) (vfs.File, error) {
	h.onCreate(name)
	return h.FS.Create(name)
}

// TestWritesDuringCompaction checks that writes during a compaction take precedence over the older values that the
// compaction copies, and that the manifest written by the compaction does not count changes that are not synced, so that
// losing them in a crash is not reported as damage.
func TestWritesDuringCompaction(t *testing.T) {
	disk := vfs.NewSimFS()
	fs := &createHookFS{FS: disk, onCreate: func(string) {}}
	s, _ := openStore(t, fs, Options{ManualCompaction: true, FlushEvery: time.Hour})
	for i := range 5 {
		putRecord(t, s, fmt.Sprint("k", i), "old")
	}
	created := 0
	fs.onCreate = func(name string) {
		if strings.HasSuffix(name, ".log") {
			if created++; created == 2 { // the first one created is the next active segment
				var b WriteBatch
				b.Put("c", "k1", []byte("new"))
				b.Delete("c", "k2")
				if _, err := s.Write(ctx, &b, BufferedWrite); err != nil {
					t.Error(err)
				}
			}
		}
	}
	if err := s.Compact(ctx); err != nil || created != 2 {
		t.Fatal(created, err)
	}
	want := map[string]string{"c/k0": "old", "c/k1": "new", "c/k3": "old", "c/k4": "old"}
	if got, _ := contents(t, s); !maps.Equal(got, want) {
		t.Errorf("records after the compaction: got %v, want the values written during it", got)
	}
	lost := false
	for seed := range uint64(20) { // crash before the buffered write was synced
		restarted, rec := openStore(t, disk.Restart(rand.New(rand.NewPCG(seed, 3))), Options{ManualCompaction: true})
		got, _ := contents(t, restarted)
		if got["c/k1"] == "old" {
			lost = true
			if len(rec.Damage) != 0 {
				t.Errorf("damage reported although no synced change is lost: %v", rec.Damage)
			}
		}
		restarted.Close()
	}
	if !lost {
		t.Error("the unsynced write survived the crash with every seed")
	}
	s.Close()
}

// TestIncompleteCompaction checks that a compacted segment without a footer is removed and does not replace the old
// segments.
func TestIncompleteCompaction(t *testing.T) {
	disk := vfs.NewSimFS()
	s, _ := openStore(t, disk, Options{ManualCompaction: true, SegmentSize: 100})
	for i := range 5 {
		putRecord(t, s, fmt.Sprint("k", i), "value")
	}
	id, newestOldID := s.nextID, s.active.id-1
	s.Close()
	file, err := disk.Create(segName(id))
	if err != nil {
		t.Fatal(err)
	}
	b := appendHeader(nil, id, newestOldID, 1)
	_, _ = file.Write(appendFrame(b, id, int64(len(b)), 1, []op{{kind: opPut, coll: "c", key: "k0", value: []byte("value")}}))
	s, rec := openStore(t, disk, Options{ManualCompaction: true})
	defer s.Close()
	if got, _ := contents(t, s); len(got) != 5 || len(rec.Removed) != 1 {
		t.Errorf("got %v, removed files %v", got, rec.Removed)
	}
}

// TestCompactionRefusesDamagedSegments checks that a compaction refuses to run while a segment is damaged, because it would
// lose data that may still be recoverable.
func TestCompactionRefusesDamagedSegments(t *testing.T) {
	for _, what := range []string{"an entry", "the end"} {
		disk := vfs.NewSimFS()
		s, _ := openStore(t, disk, Options{ManualCompaction: true, SegmentSize: 120})
		for i := range 8 {
			putRecord(t, s, fmt.Sprint("k", i), "value")
		}
		s.Close()
		disk.Modify(segName(1), func(b []byte) []byte {
			if what == "the end" {
				return b[:len(b)-footerSize]
			}
			b[headerSize+frameHeaderSize+4] ^= 1
			return b
		})
		_ = disk.Remove(hintName(1))
		s, rec := openStore(t, disk, Options{ManualCompaction: true})
		before, _ := contents(t, s)
		if err := s.Compact(ctx); err == nil || len(rec.Damage) == 0 {
			t.Errorf("%s damaged: compaction succeeded or no damage reported: %v", what, rec.Damage)
		}
		if after, _ := contents(t, s); !maps.Equal(before, after) {
			t.Errorf("%s damaged: records changed from %v to %v", what, before, after)
		}
		s.Close()
	}
}
