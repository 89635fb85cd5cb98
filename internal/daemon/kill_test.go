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

// The test's own binary serves as the node that is killed.
func TestMain(m *testing.M) {
	if path := os.Getenv("LARKROUTER_TEST_SERVE"); path != "" {
		f, err := config.Load(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		log, flush := Logger(f.Log, os.Stderr)
		defer flush()
		_, err = Serve(context.Background(), f, 5, log, Signals())
		if err == nil {
			flush()
			os.Exit(0)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// A node is killed with calls standing. Its next life says which were cut, and releases them at the server before it
// takes new ones; the list is there at once though its source is gone.
func TestKillAndRestart(t *testing.T) {
	nodeAt := freePort(t)
	run := loops(t)
	srv, srvAt, err := NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewServer(standin.ServerConfig{Seed: 1, Address: srvAt, SetUp: time.Millisecond, Release: time.Millisecond})
	srv.Actor = server
	run(srv)
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
`, nodeAt, nodeAt, filepath.Join(dir, "store"), srvAt), 0o600); err != nil {
		t.Fatal(err)
	}
	life := func(name string) (*exec.Cmd, *lockedBuffer) {
		log := &lockedBuffer{}
		cmd := spawn(t, path, log)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
		waitFor(t, name+" to serve", func() bool { return strings.Contains(log.String(), "serving") })
		return cmd, log
	}
	first, _ := life("the first life")
	cl, callerAt, err := NewLoopback()
	if err != nil {
		t.Fatal(err)
	}
	callers := standin.NewCallers(standin.CallersConfig{Seed: 2, Address: callerAt, Node: nodeAt, TCP: 0.5,
		Classes: []standin.CallerClass{{Name: "voice",
			Prefix: "1", Share: 1, Aim: 5 * time.Second, Deadline: 30 * time.Second, Try: 30 * time.Second, Hold: time.Hour, Worth: 1}}})
	cl.Actor = callers
	run(cl)
	stand := func(from, to int) {
		for i := from; i < to; i++ {
			cl.Call(func(time.Duration) { callers.Dial(0) })
			waitFor(t, "a call to stand", func() bool {
				n := 0
				cl.Call(func(time.Duration) { n = int(callers.Counts[0].InAim) })
				return n == i+1
			})
		}
	}
	const ended, calls = 5, 12
	stand(0, ended) // those that had ended were not cut
	cl.Call(func(time.Duration) { callers.HangUpAll() })
	waitFor(t, "calls to end", func() bool {
		n := uint64(0)
		srv.Call(func(time.Duration) { n = server.Count.Released })
		return n == ended
	})
	stand(ended, ended+calls)
	time.Sleep(1500 * time.Millisecond) // the journal is written off the call path, 50 ms late
	_ = first.Process.Kill()
	_ = first.Wait()
	_, log := life("the second life")
	if !strings.Contains(log.String(), fmt.Sprintf("calls=%d standing=%d", calls, calls)) {
		t.Errorf("the log says nothing of %d calls:\n%s", calls, log.String())
	}
	waitFor(t, "the server to be released", func() bool {
		left, released := 0, uint64(0)
		srv.Call(func(time.Duration) { left, released = server.Standing(), server.Count.Released })
		return left == 0 && released == ended+calls
	})
	waitFor(t, "new calls to be taken", func() bool {
		n := uint64(0)
		cl.Call(func(time.Duration) { callers.Dial(0); n = callers.Counts[0].InAim })
		time.Sleep(50 * time.Millisecond)
		return n > ended+calls
	})
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(40 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// When the store fails, the node's turn neither waits nor fails: the log says what would be lost.
func TestStoreFailsAndCallsGoOn(t *testing.T) {
	disk := vfs.NewSim()
	s, _, err := store.Open(disk, store.Options{FlushEvery: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	k := &keeper{store: s, run: 1, log: slog.New(slog.NewTextHandler(&out, nil))}
	disk.Fail = func(int, string) error { return errors.New("input/output error") }
	waitFor(t, "the failure to be seen", func() bool {
		k.note(&node.Journal{Call: 1, State: node.Accepted})
		k.turn()
		return k.missed > 0
	})
	for i := range uint64(1000) {
		k.note(&node.Journal{Call: i, State: node.Ended})
		k.turn()
	}
	if n := strings.Count(out.String(), "journal not written"); n != 1 || k.missed < 1000 {
		t.Errorf("%d lines, %d missed\n%s", n, k.missed, out.String())
	}
	k.close()
}

// The pool list of an earlier life is handed on, its servers' ages going on while the node was away.
func TestKeptList(t *testing.T) {
	dir := t.TempDir()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	k, err := openKeeper(config.Store{Dir: dir, Segment: 1 << 20}, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openKeeper(config.Store{Dir: dir, Segment: 1 << 20}, quiet); !errors.Is(err, vfs.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	var b store.WriteBatch
	b.Put(collNode, "list", fmt.Appendf(nil,
		`{"at_ms":%d,"version":4,"servers":[{"id":1,"number":0,"address":"127.0.0.1:5060","run":2,"age_ms":1000},`+
			`{"id":2,"number":1,"address":"127.0.0.1:5061"}]}`, time.Now().Add(-time.Hour).UnixMilli()))
	if _, err := k.store.Write(context.Background(), &b, store.Sync); err != nil {
		t.Fatal(err)
	}
	list, _ := k.earlier(true)
	if len(list) != 2 || list[0].AgeMs < 3600_000 || list[1].AgeMs != 0 {
		t.Errorf("%+v", list)
	}
	id, boots, err := k.engine()
	again, boots2, err2 := k.engine()
	if err != nil || err2 != nil || boots != 1 || boots2 != 2 || !bytes.Equal(id, again) {
		t.Errorf("%x %d %v, %x %d %v", id, boots, err, again, boots2, err2)
	}
	k.close()
}
