package store

import (
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	bolt "go.etcd.io/bbolt"

	"larkrouter/internal/store/vfs"
)

// writers runs b.N writes from several goroutines.
func writers(b *testing.B, n int, write func(i int) error) {
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if err := write(int(i)); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
}

var value200 = make([]byte, 200)

// BenchmarkSyncWrites sets acknowledged, synced writes beside bbolt's, one record of 200 bytes each.
func BenchmarkSyncWrites(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("store/%d", n), func(b *testing.B) {
			fs, err := vfs.OS(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := Open(fs, Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			writers(b, n, func(i int) error {
				var w WriteBatch
				w.Put("c", fmt.Sprintf("%016d", i), value200)
				_, err := s.Write(bg, &w, Sync)
				return err
			})
		})
		for _, way := range []string{"Update", "Batch"} { // a transaction each, or its own way of grouping
			benchBolt(b, n, way)
		}
	}
}

func benchBolt(b *testing.B, n int, way string) {
	b.Run(fmt.Sprintf("bbolt-%s/%d", way, n), func(b *testing.B) {
		db, err := bolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		if err := db.Update(func(tx *bolt.Tx) error { _, err := tx.CreateBucket([]byte("c")); return err }); err != nil {
			b.Fatal(err)
		}
		write := db.Update
		if way == "Batch" {
			write = db.Batch
		}
		writers(b, n, func(i int) error {
			return write(func(tx *bolt.Tx) error {
				return tx.Bucket([]byte("c")).Put(fmt.Appendf(nil, "%016d", i), value200)
			})
		})
	})
}

const million = 1_000_000

// BenchmarkMillion loads a million records of 200 bytes, opens them again, and reads.
func BenchmarkMillion(b *testing.B) {
	dir := b.TempDir()
	fs, err := vfs.OS(dir)
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := Open(fs, Options{})
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < million; i += 1000 {
		var w WriteBatch
		for j := range 1000 {
			w.Put("c", fmt.Sprintf("%016d", (i+j)*7919%million), value200)
		}
		if _, err := s.Write(bg, &w, Batch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(s.Size())/million, "B/record")
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		begin := time.Now()
		s, rec, err := Open(fs, Options{})
		if err != nil || len(rec.Damage) > 0 || s.Info().Records["c"] != million {
			b.Fatal(err, rec, s.Info())
		}
		b.ReportMetric(time.Since(begin).Seconds(), "s/recovery")
		begin = time.Now()
		const reads = 20000
		for i := range reads {
			if _, err := s.Get(bg, "c", fmt.Sprintf("%016d", i*7%million)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(reads/time.Since(begin).Seconds(), "reads/s")
		s.Close()
	}
}

// BenchmarkPause measures how long writers that do not sync wait while a compaction runs beside them.
func BenchmarkPause(b *testing.B) {
	for _, compact := range []bool{false, true} {
		b.Run(fmt.Sprintf("compacting=%v", compact), func(b *testing.B) {
			fs, err := vfs.OS(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := Open(fs, Options{Manual: true})
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			for i := 0; i < 200_000; i += 500 {
				var w WriteBatch
				for j := range 500 {
					w.Put("c", fmt.Sprintf("%016d", i+j), value200)
				}
				if _, err := s.Write(bg, &w, Batch); err != nil {
					b.Fatal(err)
				}
			}
			h := hdrhistogram.New(1, 60_000_000, 3)
			var stop atomic.Bool
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := 0; !stop.Load(); i++ {
					var w WriteBatch
					w.Put("d", fmt.Sprint(i%1000), value200)
					begin := time.Now()
					if _, err := s.Write(bg, &w, Batch); err != nil {
						b.Error(err)
						return
					}
					_ = h.RecordValue(max(1, time.Since(begin).Microseconds()))
				}
			}()
			for b.Loop() {
				if compact {
					if err := s.Compact(bg); err != nil {
						b.Fatal(err)
					}
				} else {
					time.Sleep(500 * time.Millisecond)
				}
			}
			stop.Store(true)
			<-done
			b.ReportMetric(float64(h.ValueAtQuantile(99.9))/1000, "p99.9-ms")
			b.ReportMetric(float64(h.Max())/1000, "max-ms")
		})
	}
}
