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

// freePort finds a port that both transports have.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	at, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// loops runs loops until the test ends.
func loops(t *testing.T) func(*Loop) {
	ctx, cancel := context.WithCancel(t.Context())
	return func(l *Loop) {
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
}

// spawn starts the test's own binary as a node.
func spawn(t *testing.T, path string, log *lockedBuffer, env ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "LARKROUTER_TEST_SERVE="+path), env...)
	cmd.Stderr = log
	return cmd
}

// served is a node served as the program does it, with a call server and callers.
type served struct {
	server  *standin.CallServer
	callers *standin.Callers
	loop    *Loop // of the callers
	signals chan os.Signal
	end     chan bool
	log     *lockedBuffer
	file    string
}

func serve(t *testing.T, hold time.Duration, stopWait string, extra ...string) *served {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	run := loops(t)
	open := func() (*Loop, netip.AddrPort) {
		l, at, err := NewLoopback()
		if err != nil {
			t.Fatal(err)
		}
		return l, at
	}
	s := &served{signals: make(chan os.Signal, 2), end: make(chan bool, 1), log: &lockedBuffer{}}
	srv, srvAt := open()
	s.server = standin.NewServer(standin.ServerConfig{Seed: 1, Address: srvAt, SetUp: time.Millisecond, Release: time.Millisecond})
	srv.Actor = s.server
	run(srv)
	nodeAt := freePort(t)
	s.file = filepath.Join(t.TempDir(), "servers.toml")
	if err := os.WriteFile(s.file, fmt.Appendf(nil, "[[server]]\nid = 1\nnumber = 0\naddress = %q\n", srvAt), 0o600); err != nil {
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
%s`, nodeAt, nodeAt, s.file, stopWait, strings.Join(extra, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(s.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	go func() {
		clean, err := Serve(ctx, f, 7, log, s.signals)
		if err != nil {
			t.Error(err)
		}
		s.end <- clean
	}()
	s.await(t, "serving")
	s.await(t, "server") // the file has been read
	l, at := open()
	s.callers = standin.NewCallers(standin.CallersConfig{Seed: 2, Address: at, Node: nodeAt, TCP: 0.5,
		Classes: []standin.CallerClass{{Name: "voice", Prefix: "1", Share: 1, Aim: 5 * time.Second, Deadline: 30 * time.Second,
			Try: 30 * time.Second, Hold: hold, Worth: 1}}})
	s.loop, l.Actor = l, s.callers
	run(l)
	return s
}

func (s *served) await(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !strings.Contains(s.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %q in the log:\n%s", text, s.log.String())
		}
	}
}

func (s *served) counts(t *testing.T, want func(c standin.ClassCounts) bool) standin.ClassCounts {
	t.Helper()
	var c standin.ClassCounts
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s.loop.Call(func(time.Duration) { c = s.callers.Counts[0] })
		if want(c) {
			return c
		}
		if time.Now().After(deadline) {
			t.Fatalf("callers counted %+v\n%s", c, s.log.String())
		}
	}
}

// dial places calls one by one, each when the one before has its answer: at its start the module lets no burst through.
func (s *served) dial(t *testing.T, n int) {
	t.Helper()
	answered := func(c standin.ClassCounts) uint64 { return c.InAim + c.Late + c.Refused + c.Failed + c.Unanswered }
	before := answered(s.counts(t, func(standin.ClassCounts) bool { return true }))
	for i := range n {
		s.loop.Call(func(time.Duration) { s.callers.Dial(0) })
		s.counts(t, func(c standin.ClassCounts) bool { return answered(c) == before+uint64(i)+1 })
	}
}

// A stop takes nothing new, lets what stands end by itself, and says so.
func TestStopIsClean(t *testing.T) {
	s := serve(t, 300*time.Millisecond, "60s")
	s.dial(t, 10)
	s.counts(t, func(c standin.ClassCounts) bool { return c.InAim == 10 })
	s.signals <- syscall.SIGTERM
	s.await(t, "stopping")
	select {
	case clean := <-s.end:
		if !clean {
			t.Errorf("not clean:\n%s", s.log.String())
		}
	case <-time.After(60 * time.Second):
		t.Fatal("no end")
	}
	if c := s.counts(t, func(standin.ClassCounts) bool { return true }); c.Cut != 0 {
		t.Errorf("%+v", c)
	}
}

// Past the wait the rest is released: the callers get a BYE, and calls that come meanwhile a 503.
func TestStopReleasesTheRest(t *testing.T) {
	s := serve(t, time.Hour, "1s")
	s.dial(t, 5)
	s.counts(t, func(c standin.ClassCounts) bool { return c.InAim == 5 })
	s.signals <- syscall.SIGTERM
	s.await(t, "stopping")
	s.dial(t, 3)
	s.counts(t, func(c standin.ClassCounts) bool { return c.Refused == 3 })
	select {
	case clean := <-s.end:
		if clean {
			t.Error("clean, with five calls standing")
		}
	case <-time.After(60 * time.Second):
		t.Fatal("no end")
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		open := 0
		s.loop.Call(func(time.Duration) { open = s.callers.Open() })
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d calls still stand at their callers", open)
		}
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	s := serve(t, time.Hour, "1h")
	s.dial(t, 1)
	s.counts(t, func(c standin.ClassCounts) bool { return c.InAim == 1 })
	s.signals <- syscall.SIGTERM
	s.await(t, "stopping")
	s.signals <- syscall.SIGTERM
	select {
	case <-s.end:
	case <-time.After(60 * time.Second):
		t.Fatal("no end")
	}
}

// The list file is taken when it changes; a faulty one is kept out and said to be.
func TestPoolFileInService(t *testing.T) {
	s := serve(t, 100*time.Millisecond, "60s")
	if err := os.WriteFile(s.file, []byte("[[server]]\nid = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.await(t, "pool file kept out")
	s.dial(t, 2)
	s.counts(t, func(c standin.ClassCounts) bool { return c.InAim == 2 })
	if err := os.WriteFile(s.file, []byte("[[server]]\nid = 1\nnumber = 0\naddress = \"127.0.0.1:9\"\nphase = \"draining\"\n"),
		0o600); err != nil {
		t.Fatal(err)
	}
	s.await(t, "draining")
}
