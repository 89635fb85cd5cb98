package edge

import (
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"larkrouter/internal/edge/standin"
	"larkrouter/internal/edge/trunk"
)

// TestMain serves as a node of its own process where a test has started one.
func TestMain(m *testing.M) {
	path := os.Getenv("EDGE_NODE_OF_A_TEST")
	if path == "" {
		os.Exit(m.Run())
	}
	signals := Signals()
	cfg, err := Load(path)
	if err == nil {
		err = Serve(cfg, path, slog.New(slog.NewTextHandler(io.Discard, nil)), signals)
	}
	if err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		os.Exit(1)
	}
}

// A node is killed with two calls standing, one of which ends while it is away, and starts again under its name and
// address: the server tells that end on the connection that the new process opens, before the callers have named their
// calls, and both callers are told the end of their own call, once.
func TestKilledWithCallsStanding(t *testing.T) {
	srv := listen(t)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := &stage{t: t, rec: standin.NewRecorder(), addr: free.Addr().String(), path: filepath.Join(t.TempDir(), "config.json")}
	free.Close()
	if st.feed, err = standin.NewFeed(st.addr, st.rec); err != nil {
		t.Fatal(err)
	}
	defer st.feed.Close()
	st.known = append(st.known, st.feed.Tell(true, nil, standin.Member("s-x", srv.Addr().String(), 0, "up")))
	st.configure()
	run := func() (kill func()) {
		cmd := exec.Command(os.Args[0])
		cmd.Env, cmd.Stderr = append(os.Environ(), "EDGE_NODE_OF_A_TEST="+st.path), os.Stderr
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // it was killed
		}
	}

	kill := run()
	stop := kill
	defer func() { stop() }()
	conn := srv.accept()
	st.callers(0xab0000)
	c := st.caller()
	for _, n := range []int{1, 2} {
		c.say(invite(n))
		for m := conn.got(); ; m = conn.got() {
			if m == nil {
				t.Fatal("the node left the server")
			}
			if m.Type == trunk.SetUp {
				conn.answer(m.Call)
				break
			}
		}
		want(t, "before the kill", c.heard(), "200 INVITE")
	}
	kill()
	want(t, "the caller's connection", c.heard(), "end")

	stop = run()
	conn = srv.accept()
	conn.tell(trunk.Release, 2, causeOf(trunk.CauseNormal))
	if m := conn.got(); m == nil || m.Type != trunk.Heard || m.Call != 2 {
		t.Fatalf("the server got %+v for its release", m)
	}
	c = st.caller()
	c.say(request("INVITE", 1, "", "X-Tier: voice\r\nX-Attrs: at:s-x\r\n") + request("INVITE", 2, "", "X-Tier: voice\r\nX-Attrs: at:s-x\r\n"))
	want(t, "the call that has ended", c.heard(), "BYE")
	c.say(options(3))
	want(t, "the call that stands", c.heard(), "200 OPTIONS")
	conn.tell(trunk.Release, 1, causeOf(trunk.CauseNormal))
	want(t, "its end", c.heard(), "BYE")
	c.say(options(4))
	want(t, "and nothing more", c.heard(), "200 OPTIONS")
}
