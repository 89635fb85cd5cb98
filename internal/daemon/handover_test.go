package daemon

import (
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

// handoverFile returns the two ends of an upgrade channel, one as a file.
func handoverFile(t *testing.T) (file *os.File, other *handover) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	return os.NewFile(uintptr(fds[0]), "takeover"), fileHandover(t, os.NewFile(uintptr(fds[1]), "handover"))
}

func fileHandover(t *testing.T, file *os.File) *handover {
	t.Helper()
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return newHandover(conn)
}

// TestYieldStore guards against an upgrade that the successor rejects because a journal entry comes before "go", and against a
// predecessor that loses entries when the successor dies before "ready". Turns with journal entries and lists are queued
// around the turn that yields the store, the successor dies, and the upgrade is tried again at once.
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
		calls++
		entry := &node.JournalEntry{Call: calls, State: node.StateStanding}
		loop.Post(func(time.Duration) { d.state.record(&pool.Update{}); d.state.record(entry) })
	}
	for range tries {
		file, predecessor := handoverFile(t)
		successor := fileHandover(t, file)
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
			if err := successor.expectFrame(map[bool]string{true: "go", false: "journal"}[i == 0], time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		successor.conn.Close()
		if err := predecessor.expectFrame("ready", time.Minute); err == nil {
			t.Fatal("the predecessor has read \"ready\" from a successor that has ended")
		}
		d.reopenAfterFailure(t.Context())
	}
	loop.PostAndWait(func(time.Duration) { d.state.flush() })
	inStore := uint64(0)
	count := func(string, []byte) error { inStore++; return nil }
	waitFor(t, "the entries to be in the store", func() bool {
		snapshot, err := d.state.store.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		defer snapshot.Close()
		inStore = 0
		return snapshot.Range(t.Context(), collectionCalls, "", "", count) == nil && inStore == calls
	})
}
