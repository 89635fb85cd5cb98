package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larkrouter/internal/standin"
)

// testProcess is a node in a process of its own, with a simulated call server and simulated callers in the test process.
type testProcess struct {
	t          *testing.T
	dir        string
	path       string // of the configuration file
	text       string
	address    netip.AddrPort
	server     *standin.CallServer
	serverLoop *Loop
	callers    *standin.Callers
	callerLoop *Loop
	cmd        *exec.Cmd
	log        *lockedBuffer
}

// newTestProcess prepares a process with calls that stand for the time hold; extra is appended to its configuration.
func newTestProcess(t *testing.T, extra string, hold time.Duration) *testProcess {
	t.Helper()
	runLoop := loopRunner(t)
	p := &testProcess{t: t, dir: t.TempDir(), address: freePort(t), log: &lockedBuffer{}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(p.log.String())
		}
	})
	var serverAddr, callerAddr netip.AddrPort
	var err error
	if p.serverLoop, serverAddr, err = NewLoopbackLoop(); err != nil {
		t.Fatal(err)
	}
	p.server = standin.NewCallServer(standin.ServerConfig{Seed: 1, Address: serverAddr, SetUpWork: time.Millisecond,
		ReleaseWork: 100 * time.Microsecond})
	p.serverLoop.Actor = p.server
	runLoop(p.serverLoop)
	if p.callerLoop, callerAddr, err = NewLoopbackLoop(); err != nil {
		t.Fatal(err)
	}
	p.callers = standin.NewCallers(standin.CallersConfig{Seed: 2, Address: callerAddr, Node: p.address, TCPShare: 0.3,
		Classes: []standin.CallerClass{{Name: "voice", Prefix: "1", Share: 1, Aim: 5 * time.Second, Deadline: 30 * time.Second,
			TryTimeout: 30 * time.Second, MeanHoldTime: hold, Worth: 1}}})
	p.callerLoop.Actor = p.callers
	runLoop(p.callerLoop)
	p.path = filepath.Join(p.dir, "node.toml")
	p.text = fmt.Sprintf(`
[listen]
udp = %q
tcp = %q
[control]
socket = %q
[calls]
stop_wait = "20s"
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
%s`, p.address, p.address, filepath.Join(p.dir, "control"), serverAddr, extra)
	p.write(p.text)
	return p
}

// write replaces the configuration file.
func (p *testProcess) write(text string) {
	p.t.Helper()
	if err := os.WriteFile(p.path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts the process and waits until it serves.
func (p *testProcess) start() {
	p.t.Helper()
	p.startCommand(nodeCommand(p.t, p.path, p.log))
	waitFor(p.t, "the node to serve", func() bool { return strings.Contains(p.log.String(), "serving") })
}

// startCommand starts a process with the given command.
func (p *testProcess) startCommand(cmd *exec.Cmd) {
	p.t.Helper()
	p.cmd = cmd
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmd.WaitDelay = time.Second
	p.t.Cleanup(func() { // kill the process that serves by now, and the first one
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var s Status
		if b, err := SendControl(ctx, filepath.Join(p.dir, "control"), "GET", "status"); err == nil && json.Unmarshal(b, &s) == nil &&
			s.Process > 1 {
			_ = syscall.Kill(s.Process, syscall.SIGKILL)
		}
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
}

// control sends a command to the control socket and returns the response.
func (p *testProcess) control(method, command string) (string, error) {
	ctx, cancel := context.WithTimeout(p.t.Context(), 30*time.Second)
	defer cancel()
	b, err := SendControl(ctx, filepath.Join(p.dir, "control"), method, command)
	return string(b), err
}

func (p *testProcess) status() (s Status) {
	p.t.Helper()
	b, err := p.control("GET", "status")
	if err == nil {
		err = json.Unmarshal([]byte(b), &s)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	return s
}

// counts returns the callers' counts and the number of open calls.
func (p *testProcess) counts() (c standin.ClassCounts, open int) {
	p.callerLoop.PostAndWait(func(time.Duration) { c, open = p.callers.Counts[0], p.callers.OpenCalls() })
	return c, open
}

// dial places n calls, each after the previous one has been answered.
func (p *testProcess) dial(n int) {
	p.t.Helper()
	for range n {
		before, _ := p.counts()
		p.callerLoop.PostAndWait(func(time.Duration) { p.callers.Dial(0) })
		waitFor(p.t, "an answer", func() bool {
			c, _ := p.counts()
			return c.InAim+c.Late+c.Refused+c.Failed+c.Unanswered > before.InAim+before.Late+before.Refused+before.Failed+before.Unanswered
		})
	}
}

// dialDuring places calls at a rate while action runs. All calls must stand within their aim, except at most maxRefused that
// may be refused, and none may be cut.
func (p *testProcess) dialDuring(rate float64, maxRefused uint64, action func()) {
	p.t.Helper()
	p.dial(40) // warm up: a node that has just started admits no burst
	p.callerLoop.PostAndWait(func(time.Duration) { p.callers.SetRate(rate) })
	action()
	p.callerLoop.PostAndWait(func(time.Duration) { p.callers.Stop() })
	waitFor(p.t, "all calls to end", func() bool { _, open := p.counts(); return open == 0 })
	if c, _ := p.counts(); c.InAim+c.Refused != c.Offered || c.Refused > maxRefused || c.Cut != 0 || c.Offered < 60 {
		p.t.Errorf("%+v: want at least 60 calls, all standing in aim and ending by themselves\n%s", c, p.log.String())
	}
}

// TestReloadUnderLoad reloads under load with a new listener and a new class: no call may be lost, and the old listener must
// close once its transactions have ended. A faulty file and a change of a restart-only section must be rejected.
func TestReloadUnderLoad(t *testing.T) {
	p := newTestProcess(t, "[timers]\nt1 = \"100ms\"\n", 200*time.Millisecond)
	p.start()
	newAddr := freePort(t)
	// Calls that reach the old listener between the reload and the callers' move may be refused.
	p.dialDuring(100, 40, func() {
		p.write(strings.Replace(p.text, `level = "info"`, "", 1) + "[[class]]\nname = 5\n[calls2]\n")
		if _, err := p.control("POST", "reload"); err == nil || !strings.Contains(err.Error(), "class.name") {
			t.Errorf("reload of a faulty file: %v, want an error that names class.name", err)
		}
		p.write(strings.Replace(p.text, "stop_wait", "refuse_with = 480\nstop_wait", 1) + "[store]\ndir = \"x\"\n")
		if _, err := p.control("POST", "reload"); err == nil || !strings.Contains(err.Error(), "store has changed") {
			t.Errorf("reload that adds a store: %v, want \"store has changed\"", err)
		}
		time.Sleep(200 * time.Millisecond)
		p.write(strings.ReplaceAll(p.text, p.address.String(), newAddr.String()) +
			"[[class]]\nname = \"text\"\nprefixes = [\"9\"]\naim = \"1s\"\ndeadline = \"2s\"\nworth = 2.0\n")
		if _, err := p.control("POST", "reload"); err != nil {
			t.Error(err)
		}
		p.callerLoop.PostAndWait(func(time.Duration) { p.callers.SetNode(newAddr) })
		waitFor(t, "the reload to be logged", func() bool { return strings.Contains(p.log.String(), "msg=reloaded") })
		time.Sleep(300 * time.Millisecond)
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
	})
	// Transactions on the old listener last up to 32 s; it must stay open until then.
	c, err := net.Dial("tcp", p.address.String())
	if err != nil {
		t.Errorf("the old listener closed before its transactions ended: %v", err)
	} else {
		c.Close()
	}
	waitFor(t, "the old listener to close", func() bool { return strings.Contains(p.log.String(), "closed the previous listeners") })
	if c, err := net.Dial("tcp", p.address.String()); err == nil {
		c.Close()
		t.Error("the old listener still accepts connections")
	}
	p.dialOne()
}

// dialOne places one call and checks that it stands within its aim.
func (p *testProcess) dialOne() {
	p.t.Helper()
	before, _ := p.counts()
	p.dial(1)
	if c, _ := p.counts(); c.InAim != before.InAim+1 {
		p.t.Errorf("the call did not stand in aim: %+v", c)
	}
}

// TestUpgradeUnderLoad upgrades under load: the new process takes over the sockets while the old one finishes its calls. No
// call of either process may be lost, refused or cut.
func TestUpgradeUnderLoad(t *testing.T) {
	p := newTestProcess(t, fmt.Sprintf("[store]\ndir = %q\n", filepath.Join(t.TempDir(), "store")), 400*time.Millisecond)
	p.start()
	first := p.status().Process
	p.dialDuring(100, 0, func() {
		time.Sleep(300 * time.Millisecond)
		if _, err := p.control("POST", "upgrade"); err != nil {
			t.Fatalf("%v\n%s", err, p.log.String())
		}
		waitFor(t, "the new process to answer", func() bool { return p.status().Process != first })
		time.Sleep(500 * time.Millisecond)
	})
	waitFor(t, "the old process to end", func() bool { return strings.Contains(p.log.String(), "predecessor process has ended") })
	if !strings.Contains(p.log.String(), "clean=true") {
		t.Errorf("the predecessor did not end cleanly:\n%s", p.log.String())
	}
	p.dialOne() // on sockets that the new process reads by now
	if _, err := p.control("POST", "stop"); err != nil {
		t.Error(err)
	}
}

// TestFailedUpgrade upgrades with a configuration file that has become faulty: the new process fails to start, and the old
// one must continue to serve, with its store, and be able to upgrade later.
func TestFailedUpgrade(t *testing.T) {
	p := newTestProcess(t, fmt.Sprintf("[store]\ndir = %q\n", filepath.Join(t.TempDir(), "store")), 100*time.Millisecond)
	p.start()
	first := p.status().Process
	p.write(p.text + "[nonsense]\n")
	if _, err := p.control("POST", "upgrade"); err == nil {
		t.Error("upgrade with a faulty configuration succeeded")
	}
	p.dialOne()
	if now := p.status().Process; now != first {
		t.Errorf("process %d serves after a failed upgrade, want the first one", now)
	}
	p.write(p.text)
	if _, err := p.control("POST", "upgrade"); err != nil {
		t.Errorf("upgrade after the configuration was repaired: %v\n%s", err, p.log.String())
	}
	p.dialOne()
}

// TestPredecessorEndsDuringUpgrade ends the old process during an upgrade while it has standing calls, by a kill and by a
// signal to stop: the new process must read the sockets. It guards against calls that no process has any more and that stay at
// their call servers: a killed process leaves them to the journal of the store, a stopped one releases them itself. A signal that
// asks for a reload or an upgrade ends no call.
func TestPredecessorEndsDuringUpgrade(t *testing.T) {
	store := func(t *testing.T) string {
		return fmt.Sprintf("[store]\ndir = %q\n", filepath.Join(t.TempDir(), "store"))
	}
	t.Run("killed", func(t *testing.T) { testPredecessorEnd(t, store(t), syscall.SIGKILL) })
	t.Run("stopped", func(t *testing.T) { testPredecessorEnd(t, store(t), syscall.SIGTERM) })
	t.Run("stopped without a store", func(t *testing.T) { testPredecessorEnd(t, "", syscall.SIGTERM) })
}

func testPredecessorEnd(t *testing.T, store string, signal syscall.Signal) {
	p := newTestProcess(t, store, time.Hour)
	p.start()
	p.dial(6)
	if _, err := p.control("POST", "upgrade"); err != nil {
		t.Fatalf("%v\n%s", err, p.log.String())
	}
	p.dial(2)
	for _, harmless := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR2} {
		if err := p.cmd.Process.Signal(harmless); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond) // the journal is sent at the end of the turn and written up to 50 ms later
	released, standing := uint64(0), 0
	p.serverLoop.PostAndWait(func(time.Duration) { released = p.server.Counts.Released })
	if released > 0 {
		t.Errorf("%d calls are released after signals that ask for a reload and an upgrade, want none\n%s", released, p.log.String())
	}
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
	// The old process may still have read the calls that were placed after the upgrade.
	waitFor(t, "the six calls to be released", func() bool {
		p.serverLoop.PostAndWait(func(time.Duration) { released, standing = p.server.Counts.Released, p.server.StandingCalls() })
		return released >= 6 && standing == p.status().Standing
	})
	if released+uint64(standing) != 8 {
		t.Errorf("%d calls are released, and %d stand at the server and at the new process; want 8 together\n%s", released, standing,
			p.log.String())
	}
	waitFor(t, "calls to be taken again", func() bool { p.dial(1); c, _ := p.counts(); return c.InAim >= 9 })
	if _, err := p.control("POST", "stop"); err != nil {
		t.Error(err)
	}
}

// TestPredecessorStoppedBeforeReady guards against calls that stay at their call servers, and against an upgrade that leaves no
// process serving: the signal to stop comes while the predecessor waits for its successor, which has no list of servers yet.
func TestPredecessorStoppedBeforeReady(t *testing.T) {
	p := newTestProcess(t, "", time.Hour)
	p.start()
	p.dial(6)
	poolFile := filepath.Join(p.dir, "pool.toml")
	head, rest, _ := strings.Cut(p.text, "[[server]]")
	server, classes, _ := strings.Cut(rest, "[[class]]")
	p.write(fmt.Sprintf("%s[pool]\nfile = %q\n[[class]]%s", head, poolFile, classes))
	upgraded := make(chan error, 1)
	go func() {
		_, err := p.control("POST", "upgrade")
		upgraded <- err
	}()
	waitFor(t, "the successor to wait for a list", func() bool { return strings.Contains(p.log.String(), "reading the pool file failed") })
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(p.log.String(), "handed over") {
		t.Error("the successor was ready before the signal")
	}
	if err := os.WriteFile(poolFile, []byte("[[server]]"+server), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := <-upgraded; err != nil {
		t.Errorf("the upgrade failed: %v", err)
	}
	waitFor(t, "the six calls to be released", func() bool {
		released := uint64(0)
		p.serverLoop.PostAndWait(func(time.Duration) { released = p.server.Counts.Released })
		return released == 6
	})
	waitFor(t, "calls to be taken again", func() bool { p.dial(1); c, _ := p.counts(); return c.InAim >= 7 })
}

// TestPredecessorGoneBeforeReady guards against an upgrade that leaves no process serving: the predecessor has closed its
// store and ends before the successor is ready. The successor must serve alone.
func TestPredecessorGoneBeforeReady(t *testing.T) {
	p := newTestProcess(t, fmt.Sprintf("[store]\ndir = %q\n", filepath.Join(t.TempDir(), "store")), time.Second)
	cmd := nodeCommand(t, p.path, p.log, takeoverEnv+"=1", "LISTEN_FDS=1", "LISTEN_FDNAMES=takeover")
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	inherited, local := os.NewFile(uintptr(fds[0]), "takeover"), os.NewFile(uintptr(fds[1]), "handover")
	cmd.ExtraFiles = []*os.File{inherited}
	p.startCommand(cmd)
	inherited.Close()
	conn, err := net.FileConn(local)
	if err != nil {
		t.Fatal(err)
	}
	local.Close()
	predecessor := newHandover(conn)
	if err := predecessor.expectFrame(framePrepared, time.Minute); err != nil {
		t.Fatal(err)
	}
	if err := predecessor.writeFrame(frame{Kind: frameGo}); err != nil {
		t.Fatal(err)
	}
	predecessor.conn.Close()
	waitFor(t, "the successor to see the end of the predecessor", func() bool {
		return strings.Contains(p.log.String(), "predecessor process has ended")
	})
	p.dialOne()
}

// TestControlSocket checks that only the owner can open the control socket, that it reports the status and rejects unknown
// commands, and that a second node with the same socket does not start.
func TestControlSocket(t *testing.T) {
	p := newTestProcess(t, "", time.Second)
	p.start()
	info, err := os.Stat(filepath.Join(p.dir, "control"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("control socket: %v, mode %v, want 0600", err, info.Mode())
	}
	if s := p.status(); s.List != 1 || s.EffectiveFleetSize != 1 || s.Process != p.cmd.Process.Pid {
		t.Errorf("status %+v, want 1 server, a fleet of 1 and the process id of the node", s)
	}
	if _, err := p.control("POST", "nonsense"); err == nil {
		t.Error("an unknown command was accepted")
	}
	occupied := filepath.Join(p.dir, "occupied")
	if err := os.MkdirAll(filepath.Join(occupied, "file"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := (&Daemon{}).openControl(occupied, true); err == nil {
		t.Error("a folder was replaced by a control socket")
	}
	if _, err := os.Stat(occupied + ".new"); !os.IsNotExist(err) {
		t.Errorf("a socket that could not be renamed is left: %v", err)
	}
	second := exec.Command(os.Args[0])
	second.Env = append(os.Environ(), "LARKROUTER_TEST_SERVE="+p.path+"2")
	if err := os.WriteFile(p.path+"2", []byte(strings.ReplaceAll(p.text, p.address.String(), freePort(t).String())), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := second.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "another node answers there") {
		t.Errorf("second node with the same socket: %v, want an error: %s", err, out)
	}
}
