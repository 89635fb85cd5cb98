package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/standin"
	"larkrouter/internal/store"
	"larkrouter/internal/store/vfs"
)

// TestMain makes the test binary a node if LARKROUTER_TEST_SERVE names a configuration, so that tests can kill, signal and
// upgrade a real process.
func TestMain(m *testing.M) {
	if path := os.Getenv("LARKROUTER_TEST_SERVE"); path != "" {
		f, err := config.Load(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		log, flush := NewLogger(f.Log, os.Stderr)
		defer flush()
		_, err = Serve(context.Background(), f, 5, log, NotifySignals())
		if err == nil {
			flush()
			os.Exit(0)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// TestKillAndRestart kills a node with standing calls. The next process run must log the interrupted calls, release them
// at the server, and take new calls. Calls that had ended before the kill must not count as interrupted.
func TestKillAndRestart(t *testing.T) {
	nodeAddr := freePort(t)
	runLoop := loopRunner(t)
	serverLoop, serverAddr, err := NewLoopbackLoop()
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewCallServer(standin.ServerConfig{Seed: 1, Address: serverAddr, SetUpWork: time.Millisecond,
		ReleaseWork: time.Millisecond})
	serverLoop.Actor = server
	runLoop(serverLoop)
	dir := t.TempDir()
	path := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, `
[listen]
udp = %q
tcp = %q
[store]
dir = %q
[log]
format = "text"
[[server]]
id = 1
number = 0
address = %q
[[class]]
name = "voice"
aim = "5s"
deadline = "30s"
worth = 1.0
`, nodeAddr, nodeAddr, filepath.Join(dir, "store"), serverAddr), 0o600); err != nil {
		t.Fatal(err)
	}
	startProcess := func(name string) (*exec.Cmd, *lockedBuffer) {
		log := &lockedBuffer{}
		cmd := nodeCommand(t, path, log)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		waitFor(t, name+" to serve", func() bool { return strings.Contains(log.String(), "serving") })
		return cmd, log
	}
	first, _ := startProcess("the first process")
	callerLoop, callerAddr, err := NewLoopbackLoop()
	if err != nil {
		t.Fatal(err)
	}
	callers := standin.NewCallers(standin.CallersConfig{Seed: 2, Address: callerAddr, Node: nodeAddr, TCPShare: 0.5,
		Classes: []standin.CallerClass{{Name: "voice",
			Prefix: "1", Share: 1, Aim: 5 * time.Second, Deadline: 30 * time.Second, TryTimeout: 30 * time.Second, MeanHoldTime: time.Hour,
			Worth: 1}}})
	callerLoop.Actor = callers
	runLoop(callerLoop)
	dialAndAwait := func(from, to int) {
		for i := from; i < to; i++ {
			callerLoop.PostAndWait(func(time.Duration) { callers.Dial(0) })
			waitFor(t, "a call to stand", func() bool {
				n := 0
				callerLoop.PostAndWait(func(time.Duration) { n = int(callers.Counts[0].InAim) })
				return n == i+1
			})
		}
	}
	const ended, calls = 5, 12
	dialAndAwait(0, ended) // these end before the kill and must not be reported as interrupted
	callerLoop.PostAndWait(func(time.Duration) { callers.HangUpAll() })
	waitFor(t, "calls to end", func() bool {
		n := uint64(0)
		serverLoop.PostAndWait(func(time.Duration) { n = server.Counts.Released })
		return n == ended
	})
	dialAndAwait(ended, ended+calls)
	time.Sleep(1500 * time.Millisecond) // the journal is written asynchronously, normally within journalInterval (50 ms)
	_ = first.Process.Kill()
	_ = first.Wait()
	_, log := startProcess("the second process")
	if !strings.Contains(log.String(), fmt.Sprintf("calls=%d standing=%d", calls, calls)) {
		t.Errorf("the log does not report %d interrupted calls:\n%s", calls, log.String())
	}
	waitFor(t, "the calls to be released at the server", func() bool {
		left, released := 0, uint64(0)
		serverLoop.PostAndWait(func(time.Duration) { left, released = server.StandingCalls(), server.Counts.Released })
		return left == 0 && released == ended+calls
	})
	waitFor(t, "new calls to be taken", func() bool {
		n := uint64(0)
		callerLoop.PostAndWait(func(time.Duration) { callers.Dial(0); n = callers.Counts[0].InAim })
		time.Sleep(50 * time.Millisecond)
		return n > ended+calls
	})
}

// waitFor polls a condition and fails the test if it is not met within 40 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(40 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// TestStoreFailureDoesNotBlockNode guards against a failing store that blocks the node. The failure must be
// logged once per interval, with the number of lost entries counted.
func TestStoreFailureDoesNotBlockNode(t *testing.T) {
	disk := vfs.NewSimFS()
	s, _, err := store.Open(disk, store.Options{FlushEvery: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	state := &stateStore{store: s, run: 1, log: slog.New(slog.NewTextHandler(&out, nil))}
	disk.FailOp = func(int, string) error { return errors.New("input/output error") }
	waitFor(t, "the failure to be seen", func() bool {
		state.record(&node.JournalEntry{Call: 1, State: node.StateAccepted})
		state.flush()
		return state.lostEntries > 0
	})
	for i := range uint64(1000) {
		state.record(&node.JournalEntry{Call: i, State: node.StateEnded})
		state.flush()
	}
	if n := strings.Count(out.String(), "journal not written"); n != 1 || state.lostEntries < 1000 {
		t.Errorf("%d log lines, want 1; %d lost entries, want at least 1000\n%s", n, state.lostEntries, out.String())
	}
	state.close()
}

// TestStateStoreRestore checks that the pool list of a previous process run is restored, with the servers' ages increased by
// the time since it was saved, that a store can't be opened twice, and that the SNMP engine id stays while boots increase.
func TestStateStoreRestore(t *testing.T) {
	dir := t.TempDir()
	discard := slog.New(slog.NewTextHandler(io.Discard, nil))
	state, err := openStateStore(config.Store{Dir: dir, Segment: 1 << 20}, discard)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openStateStore(config.Store{Dir: dir, Segment: 1 << 20}, discard); !errors.Is(err, vfs.ErrLocked) {
		t.Errorf("opening the store a second time: %v, want vfs.ErrLocked", err)
	}
	var batch store.WriteBatch
	batch.Put(collectionNode, "list", fmt.Appendf(nil,
		`{"at_ms":%d,"version":4,"servers":[{"id":1,"number":0,"address":"127.0.0.1:5060","run":2,"age_ms":1000},`+
			`{"id":2,"number":1,"address":"127.0.0.1:5061"}]}`, time.Now().Add(-time.Hour).UnixMilli()))
	if _, err := state.store.Write(context.Background(), &batch, store.SyncWrite); err != nil {
		t.Fatal(err)
	}
	list, _ := state.restore(true)
	if len(list) != 2 || list[0].AgeMs < 3600_000 || list[1].AgeMs != 0 {
		t.Errorf("restored list %+v, want 2 servers, the first aged by an hour", list)
	}
	var faulty store.WriteBatch
	faulty.Put(collectionNode, "list", []byte(`{"at_ms":1,"version":4,"servers":[{"id":1,"number":0,"address":"127.0.0.1:5060"},{"id":"2"}]}`))
	if _, err := state.store.Write(context.Background(), &faulty, store.SyncWrite); err != nil {
		t.Fatal(err)
	}
	if list, _ := state.restore(true); len(list) != 0 {
		t.Errorf("restored list %+v from one that cannot be decoded, want none of it", list)
	}
	id, boots, err := state.nextEngine()
	again, boots2, err2 := state.nextEngine()
	if err != nil || err2 != nil || boots != 1 || boots2 != 2 || !bytes.Equal(id, again) {
		t.Errorf("engine %x, boots %d, %v; then %x, %d, %v; want the same id and boots 1, 2", id, boots, err, again, boots2, err2)
	}
	state.close()
}
