package edge

import (
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"larkrouter/internal/edge/standin"
)

// Environment variables by which a test starts its own program as another process.
const (
	nodeProcessEnv   = "EDGE_NODE_OF_A_TEST"   // path of the configuration: run a node
	serverProcessEnv = "EDGE_SERVER_OF_A_TEST" // address: run a call server
	nodeLogEnv       = "EDGE_LOG_OF_A_TEST"    // path of a file that the node's log is appended to; unset: no log
)

// processCallHold is how long calls stand at a call server in a process of its own, far longer than any test.
const processCallHold = time.Hour

// TestMain runs a node or a call server instead of the tests in a process that a test has started.
func TestMain(m *testing.M) {
	var err error
	switch {
	case os.Getenv(nodeProcessEnv) != "":
		err = runNodeProcess(os.Getenv(nodeProcessEnv))
	case os.Getenv(serverProcessEnv) != "":
		err = runServerProcess(os.Getenv(serverProcessEnv))
	default:
		os.Exit(m.Run())
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

func runNodeProcess(configPath string) error {
	signals := NotifySignals()
	cfg, err := Load(configPath)
	if err != nil {
		return err
	}
	out := io.Discard
	if path := os.Getenv(nodeLogEnv); path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer file.Close()
		out = file
	}
	return Serve(cfg, configPath, slog.New(slog.NewJSONHandler(out, nil)), signals)
}

// runServerProcess runs a call server until the process is killed or its standard input ends.
func runServerProcess(addr string) error {
	server, err := standin.NewServer(addr, "", standin.NewRecorder(), 1)
	if err != nil {
		return err
	}
	server.SetHold(processCallHold)
	_, _ = io.Copy(io.Discard, os.Stdin) // the end of the test that has started this process
	return nil
}

// newProcessEnv returns an environment whose node is to be started as a process, and knows the given servers.
func newProcessEnv(t *testing.T, members ...string) *testEnv {
	t.Helper()
	env := &testEnv{t: t, rec: standin.NewRecorder(), nodeAddr: reserveAddr(t), configPath: filepath.Join(t.TempDir(), "config.json")}
	feed, err := standin.NewFeed(env.nodeAddr, env.rec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(feed.Close)
	env.feed = feed
	env.knownEvents = append(env.knownEvents, feed.Publish(true, nil, members...))
	env.writeConfig()
	return env
}

// reserveAddr returns an address that was free a moment ago.
func reserveAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startNodeProcess starts the node of an environment as a process, which is killed at the end of the test.
func (env *testEnv) startNodeProcess() *process {
	env.t.Helper()
	env.node = startProcess(env.t, nodeProcessEnv+"="+env.configPath)
	return env.node
}

// startServerProcess starts a call server at an address, and waits until it accepts connections.
func startServerProcess(t *testing.T, addr string) *process {
	t.Helper()
	server := startProcess(t, serverProcessEnv+"="+addr)
	waitFor(t, "call server at "+addr, func() bool {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return false
		}
		conn.Close()
		return true
	})
	return server
}

// process is a process that a test has started.
type process struct {
	cmd  *exec.Cmd
	once sync.Once
}

func startProcess(t *testing.T, role string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), role), os.Stderr
	if _, err := cmd.StdinPipe(); err != nil { // it ends with the test, whatever ends that
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started := &process{cmd: cmd}
	t.Cleanup(started.kill)
	return started
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// signal sends a signal to the process.
func (p *process) signal(sig os.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.once.Do(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait() // the error is expected: the process was killed
	})
}
