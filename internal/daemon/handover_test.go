package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/standin"
)

// handoverPair returns the two ends of an upgrade channel.
func handoverPair(t *testing.T) (predecessor, successor *handover) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*handover
	for i, fd := range fds {
		file := os.NewFile(uintptr(fd), "handover")
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		ends[i] = newHandover(conn)
	}
	return ends[0], ends[1]
}

// newTestDaemon returns a daemon with a store and a running loop, without a node.
func newTestDaemon(t *testing.T) *Daemon {
	t.Helper()
	d := &Daemon{log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	file := &config.File{Store: config.Store{Dir: filepath.Join(t.TempDir(), "store"), Segment: 1 << 20}}
	d.file.Store(file)
	var err error
	if d.state, err = openStateStore(file.Store, d.log); err != nil || d.state == nil {
		t.Fatalf("opening the store: %v, %v", d.state, err)
	}
	d.state.poolList = func(int64) pool.PersistedList { return pool.PersistedList{} }
	loop, address, err := NewLoopbackLoop()
	if err != nil {
		t.Fatal(err)
	}
	d.loop = loop
	loop.Actor = standin.NewCallServer(standin.ServerConfig{Seed: 1, Address: address})
	loop.AfterTurn = func() { d.state.flush() }
	loopRunner(t)(loop)
	return d
}

// TestGoPrecedesJournal guards against an upgrade that the successor rejects because a journal entry comes before "go":
// turns with journal entries, a list and entries of a drain are queued around the turn that yields the store.
func TestGoPrecedesJournal(t *testing.T) {
	for range 20 {
		d := newTestDaemon(t)
		predecessor, successor := handoverPair(t)
		recordCall := func(call uint64) {
			d.loop.Post(func(time.Duration) {
				d.state.record(&pool.Update{})
				d.state.record(&node.JournalEntry{Call: call, State: node.StateStanding})
			})
		}
		unblock, blocked := make(chan struct{}), make(chan struct{})
		d.loop.Post(func(time.Duration) { close(blocked); <-unblock })
		<-blocked
		recordCall(1)
		yielded := make(chan error, 1)
		go func() { yielded <- d.yieldStore(predecessor) }()
		waitFor(t, "the turn that yields the store to be queued", func() bool { return len(d.loop.funcs) == 2 })
		for call := uint64(2); call <= 20; call++ {
			recordCall(call)
		}
		close(unblock)
		if err := successor.expectFrame("go", time.Minute); err != nil {
			t.Fatal(err)
		}
		if err := <-yielded; err != nil {
			t.Fatal(err)
		}
		for range 19 { // the entry of call 1 is in the store
			if err := successor.expectFrame("journal", time.Minute); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// TestSuccessorEndsBeforeReady guards against a predecessor that loses its store when the successor dies between "go" and
// "ready": the entries of that time must be in the store, and an upgrade tried again at once must work.
func TestSuccessorEndsBeforeReady(t *testing.T) {
	d := newTestDaemon(t)
	for try := range uint64(3) {
		predecessor, successor := handoverPair(t)
		if err := d.yieldStore(predecessor); err != nil {
			t.Fatal(err)
		}
		d.loop.PostAndWait(func(time.Duration) { d.state.record(&node.JournalEntry{Call: try, State: node.StateStanding}) })
		if err := successor.expectFrame("go", time.Minute); err != nil {
			t.Fatalf("try %d: %v", try, err)
		}
		successor.conn.Close()
		if err := predecessor.expectFrame("ready", time.Minute); err == nil {
			t.Fatal("the predecessor has read \"ready\" from a successor that has ended")
		}
		d.reopenAfterFailure(context.Background())
	}
	calls := 0
	d.loop.PostAndWait(func(time.Duration) {
		d.state.flush()
		d.state.run++ // as the next process does
		d.state.close()
	})
	reopened, err := openStateStore(d.file.Load().Store, d.log)
	if err != nil || reopened == nil {
		t.Fatalf("opening the store again: %v", err)
	}
	defer reopened.close()
	snapshot, err := reopened.store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer snapshot.Close()
	if err := snapshot.Range(context.Background(), collectionCalls, "", "", func(string, []byte) error { calls++; return nil }); err != nil {
		t.Fatal(err)
	}
	if calls != 3 {
		t.Errorf("the store has %d calls, want the 3 of the failed upgrades", calls)
	}
}
