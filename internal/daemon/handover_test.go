package daemon

import (
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/standin"
)

// TestYieldStore guards against an upgrade that the successor rejects because a journal entry comes before "go", and against a
// predecessor that loses entries when the successor dies before "ready". Turns with journal entries and lists are queued
// around the turn that yields the store, the successor dies, and the upgrade is tried again at once. A successor
// that cannot be started leaves nothing behind.
func TestYieldStore(t *testing.T) {
	const tries, entriesPerTry = 20, 20
	file := &config.File{Store: config.Store{Dir: filepath.Join(t.TempDir(), "store"), Segment: 1 << 20}}
	d := &Daemon{log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	d.file.Store(file)
	var err error
	if d.state, err = openStateStore(file.Store, d.log); err != nil {
		t.Fatal(err)
	}
	d.state.poolList = func(int64) pool.PersistedList { return pool.PersistedList{} }
	loop, address, err := NewLoopbackLoop()
	if err != nil {
		t.Fatal(err)
	}
	d.loop, loop.Actor = loop, standin.NewCallServer(standin.ServerConfig{Seed: 1, Address: address})
	loop.AfterTurn = func() { d.state.flush() }
	loopRunner(t)(loop)
	calls := uint64(0)
	queueEntry := func() {
		loop.Post(func(time.Duration) {
			calls++
			d.state.record(&pool.Update{})
			d.state.record(&node.JournalEntry{Call: calls, State: node.StateStanding})
		})
	}
	for range tries {
		local, remote := net.Pipe()
		predecessor, successor := newHandover(local), newHandover(remote)
		unblock, blocked := make(chan struct{}), make(chan struct{})
		loop.Post(func(time.Duration) { close(blocked); <-unblock })
		<-blocked
		queueEntry()
		go func() { _ = d.yieldStore(predecessor) }()
		waitFor(t, "the turn that yields the store to be queued", func() bool { return len(loop.funcs) == 2 })
		for range entriesPerTry - 1 {
			queueEntry()
		}
		close(unblock)
		for i := range entriesPerTry { // the first entry is in the store
			if err := successor.expectFrame(map[bool]frameKind{true: frameGo, false: frameJournal}[i == 0], time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		successor.conn.Close()
		if err := predecessor.expectFrame(frameReady, time.Minute); err == nil {
			t.Fatal("the predecessor has read \"ready\" from a successor that has ended")
		}
		d.reopenAfterFailure(t.Context())
	}
	goroutines := runtime.NumGoroutine()
	d.path = "node.toml"
	t.Setenv("LARGE", strings.Repeat("x", 1<<20)) // no process can be started with it
	if _, err := d.startSuccessor(t.Context()); err == nil {
		t.Error("a process was started with an environment that is too large")
	}
	waitFor(t, "the goroutine of the upgrade channel to end", func() bool { return runtime.NumGoroutine() <= goroutines })
	loop.PostAndWait(func(time.Duration) { d.state.flush() })
	waitFor(t, "the entries to be in the store", func() bool {
		inStore := uint64(0)
		snapshot, err := d.state.store.Snapshot()
		if err == nil {
			defer snapshot.Close()
			err = snapshot.Range(t.Context(), collectionCalls, "", "", func(string, []byte) error { inStore++; return nil })
		}
		return err == nil && inStore == calls
	})
}
