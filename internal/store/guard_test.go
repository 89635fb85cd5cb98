package store

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/store/vfs"
)

// Bytes of an entry inside a value, as a copy of a log holds them, are no entry, also where the search for the next
// good one passes through them.
func TestEntryInsideValue(t *testing.T) {
	disk := vfs.NewSim()
	s, _ := open(t, disk, Options{Manual: true})
	put(t, s, "first", "1")
	ghost := appendFrame(nil, 1, 0, 99, []op{{kind: opPut, coll: "c", key: "ghost", value: []byte("boo")}})
	put(t, s, "copy", string(ghost))
	put(t, s, "last", "3")
	s.Close()
	disk.Change(segName(1), func(b []byte) []byte {
		at := strings.Index(string(b), "copy") - 10 // into the entry that holds the value
		b[at] ^= 0xff
		return b
	})
	s, rec := open(t, disk, Options{Manual: true})
	defer s.Close()
	got, _ := all(t, s)
	if !maps.Equal(got, map[string]string{"c/first": "1", "c/last": "3"}) || len(rec.Damage) != 1 {
		t.Errorf("%v, %v", got, rec.Damage)
	}
}

// alike is a disk that differs from others made so in its keys and values only.
func alike(t *testing.T, key string) *vfs.Sim {
	t.Helper()
	disk := vfs.NewSim()
	s, _ := open(t, disk, Options{Manual: true, SegmentSize: 200, Now: func() time.Time { return time.Unix(5, 0) }})
	for i := range 6 {
		put(t, s, fmt.Sprint(key, i), strings.Repeat(key, 30))
	}
	s.Close()
	return disk
}

// Hints of another file, however alike, are not believed.
func TestForeignHints(t *testing.T) {
	a, b := alike(t, "a"), alike(t, "b")
	var hint []byte
	a.Change(hintName(1), func(h []byte) []byte { hint = h; return h })
	b.Change(hintName(1), func([]byte) []byte { return hint })
	s, rec := open(t, b, Options{Manual: true})
	defer s.Close()
	got, damaged := all(t, s)
	if len(got) != 6 || damaged != 0 || len(rec.Damage) != 0 || got["c/b0"] == "" {
		t.Errorf("%v, %d damaged, %v", got, damaged, rec.Damage)
	}
}

// Entries that check, under a footer that another file was sealed with, are not what was sealed.
func TestForeignFooter(t *testing.T) {
	a, b := alike(t, "a"), alike(t, "b")
	var foot []byte
	a.Change(segName(1), func(f []byte) []byte { foot = f[len(f)-footerSize:]; return f })
	b.Change(segName(1), func(f []byte) []byte { return append(f[:len(f)-footerSize], foot...) })
	_ = b.Remove(hintName(1))
	s, rec := open(t, b, Options{Manual: true})
	defer s.Close()
	if len(rec.Damage) != 1 || rec.Damage[0].File != segName(1) {
		t.Errorf("%v", rec.Damage)
	}
}

// A file that a compaction replaced brings nothing back, should it turn up again.
func TestSupersededFile(t *testing.T) {
	disk := vfs.NewSim()
	s, _ := open(t, disk, Options{Manual: true})
	put(t, s, "deleted", "old")
	s.Close()
	var old []byte
	disk.Change(segName(1), func(b []byte) []byte { old = b; return b })
	s, _ = open(t, disk, Options{Manual: true})
	var b WriteBatch
	b.Delete("c", "deleted")
	if _, err := s.Write(bg, &b, Sync); err != nil {
		t.Fatal(err)
	}
	put(t, s, "kept", "new")
	if err := s.Compact(bg); err != nil {
		t.Fatal(err)
	}
	s.Close()
	f, err := disk.Create(segName(1))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.Write(old)
	s, rec := open(t, disk, Options{Manual: true})
	defer s.Close()
	if got, _ := all(t, s); !maps.Equal(got, map[string]string{"c/kept": "new"}) || len(rec.Removed) != 1 {
		t.Errorf("%v, removed %v", got, rec.Removed)
	}
}

// Of two changes of a record the later one counts, whichever is read first.
func TestLaterChangeCounts(t *testing.T) {
	s, _ := open(t, vfs.NewSim(), Options{Manual: true})
	defer s.Close()
	g := &segment{}
	at := func(seq uint64, kind opKind) *loadedOp {
		return &loadedOp{op{kind: kind, coll: "x", key: "k"}, loc{seg: g, seq: seq, size: 10}}
	}
	s.place(at(7, opDelete))
	s.place(at(5, opPut))
	if l, _ := s.trees["x"].Get("k"); l.seq != 7 || !l.deleted || g.live != 0 {
		t.Errorf("%+v, %d live", l, g.live)
	}
}

// A disk that stands still makes lazy writers neither wait nor fill the memory; one that failed tells them.
func TestLazyWritersOfABadDisk(t *testing.T) {
	disk := vfs.NewSim()
	s, _ := open(t, disk, Options{Manual: true, FlushEvery: time.Millisecond})
	stuck := make(chan struct{})
	disk.Fail = func(int, string) error { <-stuck; return errors.New("input/output error") }
	var err error
	n := 0
	for ; err == nil && n < 1000; n++ {
		var b WriteBatch
		b.Put("c", fmt.Sprint(n), make([]byte, 64<<10))
		_, err = s.Write(bg, &b, Lazy)
	}
	if !errors.Is(err, ErrBusy) || n < 100 {
		t.Errorf("after %d writes: %v", n, err)
	}
	close(stuck)
	for deadline := time.Now().Add(20 * time.Second); s.Failed() == nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	var b WriteBatch
	b.Put("c", "k", nil)
	if _, err := s.Write(bg, &b, Lazy); !errors.Is(err, ErrFailed) {
		t.Error(err)
	}
	s.Close()
}

// What was written without Sync is on the disk in time, however steadily more is written.
func TestBatchIsSyncedInTime(t *testing.T) {
	disk := vfs.NewSim()
	s, _ := open(t, disk, Options{Manual: true, FlushEvery: 5 * time.Millisecond, SyncEvery: 20 * time.Millisecond})
	defer s.Close()
	syncs := func() uint64 { return s.stats.Syncs.Load() }
	before := syncs()
	for deadline := time.Now().Add(20 * time.Second); syncs() < before+3; {
		var b WriteBatch
		b.Put("c", "k", []byte("v"))
		if _, err := s.Write(bg, &b, Batch); err != nil || time.Now().After(deadline) {
			t.Fatalf("%d syncs, %v", syncs()-before, err)
		}
	}
}

// A disk that can't be read is an error, at the start and for each record: nothing is made up for it.
func TestUnreadableDisk(t *testing.T) {
	disk, states := filled(t)
	s, _ := open(t, disk, Options{Manual: true})
	eio := errors.New("input/output error")
	disk.Unreadable = func(name string) error { return eio }
	got, damaged := all(t, s)
	if len(got) != 0 || damaged != len(states[len(states)-1]) {
		t.Errorf("%v, %d damaged of %d", got, damaged, len(states[len(states)-1]))
	}
	s.Close()
	if s, _, err := Open(disk, Options{Manual: true}); err == nil {
		s.Close()
		t.Error("opened a disk that can't be read")
	}
	disk.Unreadable = nil
	s, rec := open(t, disk, Options{Manual: true})
	defer s.Close()
	if got, _ := all(t, s); !maps.Equal(got, states[len(states)-1]) || len(rec.Damage) != 0 {
		t.Errorf("once it can be read: %v, %v", got, rec.Damage)
	}
}

// A second and a third crash while it recovers from the first.
func TestCrashesInRecovery(t *testing.T) {
	for crash := 20; crash < 230; crash += 7 {
		disk := vfs.NewSim()
		disk.Crash = crash
		acked, writing, _ := workload(disk, crash)
		rng := rand.New(rand.NewPCG(uint64(crash), 77))
		for range 2 {
			disk = disk.Restart(rng)
			disk.Crash = 1 + rng.IntN(4)
			if s, _, err := Open(disk, Options{SegmentSize: 400, Manual: true}); err == nil {
				s.Close()
			}
		}
		s, rec, err := Open(disk.Restart(rng), Options{SegmentSize: 400, Manual: true})
		if err != nil {
			t.Fatalf("crash at %d: %v", crash, err)
		}
		got, _ := all(t, s)
		if !maps.Equal(got, acked) && (len(writing) == 0 || !maps.Equal(got, writing[0])) {
			t.Fatalf("crash at %d: holds\n%v\nacknowledged\n%v\n%v", crash, got, acked, rec.Damage)
		}
		s.Close()
	}
}

// hooked is a file system that does something when a file is created.
type hooked struct {
	vfs.FS
	create func(name string)
}

func (h *hooked) Create(name string) (vfs.File, error) {
	h.create(name)
	return h.FS.Create(name)
}

// What is written while a compaction copies stays: the copy of an older value does not take its place. And a manifest
// written meanwhile promises nothing that is not on the disk.
func TestWritesDuringCompaction(t *testing.T) {
	disk := vfs.NewSim()
	fs := &hooked{FS: disk, create: func(string) {}}
	s, _ := open(t, fs, Options{Manual: true, FlushEvery: time.Hour})
	for i := range 5 {
		put(t, s, fmt.Sprint("k", i), "old")
	}
	step := 0
	fs.create = func(name string) {
		if strings.HasSuffix(name, ".log") {
			if step++; step == 2 { // the first is the next active segment
				var b WriteBatch
				b.Put("c", "k1", []byte("new"))
				b.Delete("c", "k2")
				if _, err := s.Write(bg, &b, Batch); err != nil {
					t.Error(err)
				}
			}
		}
	}
	if err := s.Compact(bg); err != nil || step != 2 {
		t.Fatal(step, err)
	}
	want := map[string]string{"c/k0": "old", "c/k1": "new", "c/k3": "old", "c/k4": "old"}
	if got, _ := all(t, s); !maps.Equal(got, want) {
		t.Errorf("%v", got)
	}
	lost := false
	for seed := range uint64(20) { // the machine goes down before what is only with the system was synced
		c, rec := open(t, disk.Restart(rand.New(rand.NewPCG(seed, 3))), Options{Manual: true})
		got, _ := all(t, c)
		if got["c/k1"] == "old" {
			lost = true
			if len(rec.Damage) != 0 {
				t.Errorf("damage is told where nothing that was promised is lost: %v", rec.Damage)
			}
		}
		c.Close()
	}
	if !lost {
		t.Error("no seed lost what was not synced")
	}
	s.Close()
}

// A compaction's file without its end does not take the place of what it was to replace.
func TestHalfCompaction(t *testing.T) {
	disk := vfs.NewSim()
	s, _ := open(t, disk, Options{Manual: true, SegmentSize: 100})
	for i := range 5 {
		put(t, s, fmt.Sprint("k", i), "value")
	}
	id, top := s.nextID, s.active.id-1
	s.Close()
	f, err := disk.Create(segName(id))
	if err != nil {
		t.Fatal(err)
	}
	b := appendHeader(nil, id, top, 1)
	_, _ = f.Write(appendFrame(b, id, int64(len(b)), 1, []op{{kind: opPut, coll: "c", key: "k0", value: []byte("value")}}))
	s, rec := open(t, disk, Options{Manual: true})
	defer s.Close()
	if got, _ := all(t, s); len(got) != 5 || len(rec.Removed) != 1 {
		t.Errorf("%v, removed %v", got, rec.Removed)
	}
}

// Damaged segments are kept as they are: a compaction would lose what may yet be read of them.
func TestDamagedSegmentsAreNotCompacted(t *testing.T) {
	for _, what := range []string{"an entry", "the end"} {
		disk := vfs.NewSim()
		s, _ := open(t, disk, Options{Manual: true, SegmentSize: 120})
		for i := range 8 {
			put(t, s, fmt.Sprint("k", i), "value")
		}
		s.Close()
		disk.Change(segName(1), func(b []byte) []byte {
			if what == "the end" {
				return b[:len(b)-footerSize]
			}
			b[headerSize+frameHead+4] ^= 1
			return b
		})
		_ = disk.Remove(hintName(1))
		s, rec := open(t, disk, Options{Manual: true})
		before, _ := all(t, s)
		if err := s.Compact(bg); err == nil || len(rec.Damage) == 0 {
			t.Errorf("%s damaged: compacted, damage %v", what, rec.Damage)
		}
		if after, _ := all(t, s); !maps.Equal(before, after) {
			t.Errorf("%s damaged: %v before, %v after", what, before, after)
		}
		s.Close()
	}
}
