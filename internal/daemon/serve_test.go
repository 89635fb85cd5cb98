package daemon

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larkrouter/internal/config"
	"larkrouter/internal/standin"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// freePort returns a loopback address whose port is free for both UDP and TCP.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	at, err := FreeLoopbackAddress()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// loopRunner returns a function that runs a loop until the test ends.
func loopRunner(t *testing.T) func(*Loop) {
	ctx, cancel := context.WithCancel(t.Context())
	return func(l *Loop) {
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
}

// nodeCommand returns a command that runs the test binary as a node; see TestMain.
func nodeCommand(t *testing.T, path string, log *lockedBuffer, env ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "LARKROUTER_TEST_SERVE="+path), env...)
	cmd.Stderr = log
	return cmd
}

// testNode is a node run by Serve in the test process, with a simulated call server and simulated callers.
type testNode struct {
	server     *standin.CallServer
	callers    *standin.Callers
	callerLoop *Loop // loop of the simulated callers
	signals    chan os.Signal
	clean      chan bool
	log        *lockedBuffer
	poolFile   string
}

// startTestNode runs a node whose pool file lists a simulated call server. extra is appended to the configuration.
func startTestNode(t *testing.T, hold time.Duration, stopWait string, extra ...string) *testNode {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	runLoop := loopRunner(t)
	openLoop := func() (*Loop, netip.AddrPort) {
		loop, callerAddr, err := NewLoopbackLoop()
		if err != nil {
			t.Fatal(err)
		}
		return loop, callerAddr
	}
	n := &testNode{signals: make(chan os.Signal, 2), clean: make(chan bool, 1), log: &lockedBuffer{}}
	serverLoop, serverAddr := openLoop()
	n.server = standin.NewCallServer(standin.ServerConfig{Seed: 1, Address: serverAddr, SetUpWork: time.Millisecond,
		ReleaseWork: time.Millisecond})
	serverLoop.Actor = n.server
	runLoop(serverLoop)
	nodeAddr := freePort(t)
	n.poolFile = filepath.Join(t.TempDir(), "servers.toml")
	if err := os.WriteFile(n.poolFile, fmt.Appendf(nil, "[[server]]\nid = 1\nnumber = 0\naddress = %q\n", serverAddr), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := config.Parse("node.toml", fmt.Appendf(nil, `
[listen]
udp = %q
tcp = %q
[pool]
file = %q
file_every = "50ms"
[log]
level = "debug"
[calls]
stop_wait = %q
[[class]]
name = "voice"
aim = "5s"
deadline = "30s"
worth = 1.0
%s`, nodeAddr, nodeAddr, n.poolFile, stopWait, strings.Join(extra, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(n.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	go func() {
		clean, err := Serve(ctx, f, 7, log, n.signals)
		if err != nil {
			t.Error(err)
		}
		n.clean <- clean
	}()
	n.awaitLog(t, "serving")
	n.awaitLog(t, "server") // the pool file has been read
	loop, callerAddr := openLoop()
	n.callers = standin.NewCallers(standin.CallersConfig{Seed: 2, Address: callerAddr, Node: nodeAddr, TCPShare: 0.5,
		Classes: []standin.CallerClass{{Name: "voice", Prefix: "1", Share: 1, Aim: 5 * time.Second, Deadline: 30 * time.Second,
			TryTimeout: 30 * time.Second, MeanHoldTime: hold, Worth: 1}}})
	n.callerLoop, loop.Actor = loop, n.callers
	runLoop(loop)
	return n
}

// awaitLog waits until the node's log contains a text.
func (n *testNode) awaitLog(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !strings.Contains(n.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %q in the log:\n%s", text, n.log.String())
		}
	}
}

// awaitCounts waits until the callers' counts meet a condition, and returns them.
func (n *testNode) awaitCounts(t *testing.T, want func(c standin.ClassCounts) bool) standin.ClassCounts {
	t.Helper()
	var c standin.ClassCounts
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		n.callerLoop.PostAndWait(func(time.Duration) { c = n.callers.Counts[0] })
		if want(c) {
			return c
		}
		if time.Now().After(deadline) {
			t.Fatalf("callers counted %+v\n%s", c, n.log.String())
		}
	}
}

// dial places n calls, each after the previous one has been answered, because a node that has just started admits no burst.
func (node *testNode) dial(t *testing.T, n int) {
	t.Helper()
	answered := func(c standin.ClassCounts) uint64 { return c.InAim + c.Late + c.Refused + c.Failed + c.Unanswered }
	before := answered(node.awaitCounts(t, func(standin.ClassCounts) bool { return true }))
	for i := range n {
		node.callerLoop.PostAndWait(func(time.Duration) { node.callers.Dial(0) })
		node.awaitCounts(t, func(c standin.ClassCounts) bool { return answered(c) == before+uint64(i)+1 })
	}
}

// TestStopWaitsForCalls checks that a stopping node lets standing calls end by themselves and reports a clean end.
func TestStopWaitsForCalls(t *testing.T) {
	n := startTestNode(t, 300*time.Millisecond, "60s")
	n.dial(t, 10)
	n.awaitCounts(t, func(c standin.ClassCounts) bool { return c.InAim == 10 })
	n.signals <- syscall.SIGTERM
	n.awaitLog(t, "stopping")
	n.signals <- syscall.SIGHUP
	select {
	case clean := <-n.clean:
		if !clean {
			t.Errorf("the node did not end cleanly:\n%s", n.log.String())
		}
	case <-time.After(60 * time.Second):
		t.Fatal("the node did not end within 60 s")
	}
	if c := n.awaitCounts(t, func(standin.ClassCounts) bool { return true }); c.Cut != 0 {
		t.Errorf("callers counted %+v, want no cut call", c)
	}
}

// TestStopReleasesRemainingCalls checks that a stopping node refuses new calls with 503, and after calls.stop_wait releases
// the remaining calls with a BYE to the callers.
func TestStopReleasesRemainingCalls(t *testing.T) {
	n := startTestNode(t, time.Hour, "1s")
	n.dial(t, 5)
	n.awaitCounts(t, func(c standin.ClassCounts) bool { return c.InAim == 5 })
	n.signals <- syscall.SIGTERM
	n.awaitLog(t, "stopping")
	n.dial(t, 3)
	n.awaitCounts(t, func(c standin.ClassCounts) bool { return c.Refused == 3 })
	select {
	case clean := <-n.clean:
		if clean {
			t.Error("reported a clean end with five calls standing")
		}
	case <-time.After(60 * time.Second):
		t.Fatal("the node did not end within 60 s")
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		open := 0
		n.callerLoop.PostAndWait(func(time.Duration) { open = n.callers.OpenCalls() })
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d calls still open at the callers, want 0", open)
		}
	}
}

// TestSecondSignalStopsImmediately checks that a second signal ends a stopping node that still has a standing call.
func TestSecondSignalStopsImmediately(t *testing.T) {
	n := startTestNode(t, time.Hour, "1h")
	n.dial(t, 1)
	n.awaitCounts(t, func(c standin.ClassCounts) bool { return c.InAim == 1 })
	n.signals <- syscall.SIGTERM
	n.awaitLog(t, "stopping")
	n.signals <- syscall.SIGTERM
	select {
	case <-n.clean:
	case <-time.After(60 * time.Second):
		t.Fatal("the node did not end within 60 s")
	}
	if c := n.awaitCounts(t, func(standin.ClassCounts) bool { return true }); c.Cut != 0 || strings.Contains(n.log.String(), "releasing") {
		t.Errorf("callers counted %+v, want no call that is released at the second signal:\n%s", c, n.log.String())
	}
}

// TestPoolFileReload checks that a changed pool file is applied, and that a faulty one is rejected and logged.
func TestPoolFileReload(t *testing.T) {
	n := startTestNode(t, 100*time.Millisecond, "60s")
	if err := os.WriteFile(n.poolFile, []byte("[[server]]\nid = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.awaitLog(t, "pool file rejected, the previous list stays")
	n.dial(t, 2)
	n.awaitCounts(t, func(c standin.ClassCounts) bool { return c.InAim == 2 })
	if err := os.WriteFile(n.poolFile, []byte("[[server]]\nid = 1\nnumber = 0\naddress = \"127.0.0.1:9\"\nphase = \"draining\"\n"),
		0o600); err != nil {
		t.Fatal(err)
	}
	n.awaitLog(t, "draining")
	if err := os.Remove(n.poolFile); err != nil {
		t.Fatal(err)
	}
	n.awaitLog(t, "reading the pool file failed")
	if err := os.WriteFile(n.poolFile, []byte("missing"), 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the next faulty list to be rejected", func() bool { return strings.Count(n.log.String(), "pool file rejected") == 2 })
}
