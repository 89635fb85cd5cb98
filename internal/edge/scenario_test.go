package edge

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"larkrouter/internal/edge/standin"
	"larkrouter/internal/rules"
)

const settingsText = `{"groupSize":1,"rank":0,"tickUs":5000,"discovery":"push","zones":["z"],"hostTypes":["k"],
	"allowed":{"cancel":true,"maxAttempts":4,"maxRetryAfterUs":2000000,"retryAfter":true,"connectTimeoutUs":500000,
		"connIdleUs":600000000,"openCap":20000},
	"classes":[{"name":"voice","deadlineUs":2000000,"promiseUs":300000,"points":1,"repeat":"read_like","lateShare":0.25}],
	"extra":{"shape":"pools","homeNo":-1,"releaseGuardUs":250000,"retransmitUs":100000,"widths":[1]},
	"report":{"fields":["free","size","lat_ms"]},
	"rules":{"answerSlackUs":20000,"coldShare":0.3,"drainGraceUs":1000000,"overloadForUs":2000000,"rampTimeUs":13000000,"tipMultiple":2}}`

// defaultLimits are the limits in the configuration of a node.
const defaultLimits = `{"sockets":1024}`

// testEnv is a node on loopback sockets with simulated callers, call servers and command channel.
type testEnv struct {
	t           *testing.T
	rec         *standin.Recorder
	nodeAddr    string
	configPath  string
	feed        *standin.Feed
	servers     []*standin.Server
	knownEvents []string
	node        *process // if it runs as a process
	limits      string   // of the node's configuration, as JSON; "": defaultLimits
	signals     chan os.Signal
	nodeExited  chan error
}

func newTestEnv(t *testing.T, servers int) *testEnv {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	env := &testEnv{t: t, rec: standin.NewRecorder(), nodeAddr: listener.Addr().String(),
		configPath: filepath.Join(t.TempDir(), "config.json")}
	listener.Close()
	if env.feed, err = standin.NewFeed(env.nodeAddr, env.rec); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.feed.Close)
	var members []string
	var entries []rules.ListEntry
	for i := range servers {
		server, err := standin.NewServer("127.0.0.1:0", env.nodeAddr, env.rec, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Kill)
		env.servers = append(env.servers, server)
		members = append(members, standin.Member(fmt.Sprint("s-", i), server.Addr(), i, "up"))
		entries = append(entries, rules.ListEntry{Address: server.Addr(), Phase: "ready"})
	}
	env.knownEvents = append(env.knownEvents, env.feed.Publish(true, entries, members...))
	env.rec.RecordList(env.nodeAddr, true, entries...)
	env.startNode()
	return env
}

func (env *testEnv) writeConfig() {
	env.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":%s,"channel":%q,`+
		`"known":{"cursor":%d,"cmds":[%s]},"settings":%s}`, env.nodeAddr, cmp.Or(env.limits, defaultLimits), env.feed.Addr(),
		len(env.knownEvents), strings.Join(env.knownEvents, ","), settingsText)
	if err := os.WriteFile(env.configPath, []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

func (env *testEnv) startNode() {
	env.t.Helper()
	env.writeConfig()
	cfg, err := Load(env.configPath)
	if err != nil {
		env.t.Fatal(err)
	}
	env.signals, env.nodeExited = make(chan os.Signal, 4), make(chan error, 1)
	go func() {
		env.nodeExited <- Serve(cfg, env.configPath, slog.New(slog.NewTextHandler(io.Discard, nil)), env.signals)
	}()
}

// newCallers waits until the node is ready and returns callers that call it.
func (env *testEnv) newCallers(firstID uint64) *standin.Callers {
	env.t.Helper()
	callers := standin.NewCallers(env.nodeAddr, env.rec, firstID)
	env.t.Cleanup(callers.Close)
	if err := callers.WaitReady(5 * time.Second); err != nil {
		env.t.Fatal(err)
	}
	return callers
}

// stopNode sends SIGTERM and waits until the node has ended.
func (env *testEnv) stopNode() {
	env.t.Helper()
	env.signals <- syscall.SIGTERM
	select {
	case err := <-env.nodeExited:
		if err != nil {
			env.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		env.t.Fatal("the node did not end within 10 s of SIGTERM")
	}
}

// waitFor waits for a condition, up to a limit far above the expected time.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("%s: not fulfilled within 10 s", what)
}

// TestFaultScenarioOnSockets runs the node through faults on both sides, a broken and a silent command channel, a
// reload, a drain, a dead server and a restart. internal/rules then checks the five rules on what the simulated peers
// recorded.
func TestFaultScenarioOnSockets(t *testing.T) {
	env := newTestEnv(t, 3)
	callers := env.newCallers(0xaa0000)
	place := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(12 * time.Millisecond) {
			callers.Place("dest:0;width:1;via:-1")
		}
	}
	place(400 * time.Millisecond)
	for _, server := range env.servers {
		server.SetFaults(standin.Faults{Full: 0.05, Error: 0.02, Silent: 0.02, Garbled: 0.02, Reset: 0.02, Duplicate: 0.1, UnknownFirst: 0.1})
	}
	go sendMalformedInput(env.nodeAddr)
	place(time.Second)
	env.feed.BreakConnections(true)
	env.knownEvents = append(env.knownEvents, env.feed.Publish(false, []rules.ListEntry{{Address: env.servers[1].Addr(), Phase: "draining"}},
		standin.Member("s-1", env.servers[1].Addr(), 1, "draining")))
	place(time.Second)
	newFeed, err := standin.NewFeed(env.nodeAddr, env.rec) // a new channel that continues the event numbers
	if err != nil {
		t.Fatal(err)
	}
	defer newFeed.Close()
	newFeed.ContinueFrom(env.feed)
	env.feed.SetSilent(true)
	env.feed = newFeed
	env.writeConfig()
	env.signals <- syscall.SIGHUP
	env.signals <- syscall.SIGHUP
	place(300 * time.Millisecond)
	env.knownEvents = append(env.knownEvents, env.feed.Publish(false, []rules.ListEntry{{Address: env.servers[1].Addr(), Phase: "gone"}},
		standin.Member("s-1", env.servers[1].Addr(), 1, "removed")))
	place(500 * time.Millisecond)
	env.servers[2].Kill()
	place(time.Second)
	for _, server := range env.servers {
		server.SetFaults(standin.Faults{})
	}
	if requested := env.feed.RequestedCursors(); len(requested) == 0 || requested[0] != 2 {
		t.Errorf("requests to the new channel: got cursors %v, want 2 first", requested)
	}
	env.stopNode()
	env.startNode()
	if err := callers.WaitReady(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	place(500 * time.Millisecond)
	waitFor(t, "answers and releases of all calls", func() bool {
		overdue, standing := callers.Outstanding()
		// Calls from before the restart still stand for their callers, which have not named them again.
		return overdue == 0 && standing <= callers.Counts().Stood/5
	})
	report := rules.Check(env.rec.Records(), rules.Parameters{TryTimeouts: []rules.TryTimeout{{Wait: time.Second}},
		AnswerSlack:  500 * time.Millisecond,
		ReleaseGuard: 250 * time.Millisecond, DrainGrace: time.Second, ColdShare: 0.3, RampTime: 13 * time.Second, TipMultiple: 2,
		OverloadFor: 2 * time.Second, Slack: 100 * time.Millisecond})
	for i, rule := range report.Verdicts {
		if rule.Violations > 0 || rule.Checks == 0 && i != 3 {
			t.Errorf("rule %d: %s, %d checks, %v; want no violation and, except for rule 4, a check", i+1, rule, rule.Checks, rule.Examples)
		}
	}
	counts := callers.Counts()
	t.Logf("%+v; %s", counts, report.Summary())
	if counts.Unexpected > 0 || counts.Placed < 200 || counts.Stood < counts.Placed/2 {
		t.Errorf("got %+v, want at least 200 calls placed, half of them standing, and nothing unexpected", counts)
	}
	env.stopNode()
}

// sendMalformedInput acts as a misbehaving client: it sends invalid input, wrong lengths, missing ids and incomplete
// messages, and stays silent.
func sendMalformedInput(addr string) {
	for _, text := range []string{"\x00\x01\x02\r\n\r\n", strings.Repeat("A", 200000),
		"INVITE sip:x@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n",
		"INVITE sip:x@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: -1\r\n\r\n", "INVITE sip:7f3a", ""} {
		for range 20 {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(text))
			time.AfterFunc(5*time.Second, func() { conn.Close() })
		}
	}
}

// TestSilentConnectionFloodOnSockets checks that clients cannot exhaust the connection limit: hundreds of silent
// connections are closed, each within 6 s (the node closes them after at most 3 s), and calls of conforming callers
// are set up throughout.
func TestSilentConnectionFloodOnSockets(t *testing.T) {
	env := newTestEnv(t, 1)
	callers := env.newCallers(0xbb0000)
	closed := make(chan time.Duration, 700)
	for range 700 {
		conn, err := net.Dial("tcp", env.nodeAddr)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			connectedAt := time.Now()
			_ = conn.SetReadDeadline(connectedAt.Add(8 * time.Second))
			var buf [1]byte
			if _, err := conn.Read(buf[:]); err != nil && !os.IsTimeout(err) {
				closed <- time.Since(connectedAt)
			} else {
				closed <- time.Hour
			}
			conn.Close()
		}()
	}
	for range 50 {
		callers.Place("dest:0;width:1;via:-1")
		time.Sleep(10 * time.Millisecond)
	}
	for range 700 {
		if d := <-closed; d > 6*time.Second {
			t.Fatalf("a silent connection was closed after %v, want at most 6 s", d)
		}
	}
	waitFor(t, "calls of conforming callers", func() bool {
		overdue, _ := callers.Outstanding()
		return overdue == 0 && callers.Counts().Stood >= 48
	})
	env.stopNode()
}

// TestInvalidConfiguration checks that an invalid configuration is rejected with a one-line error that names the
// invalid part and the file, and that on a reload the previous configuration stays in force.
func TestInvalidConfiguration(t *testing.T) {
	env := newTestEnv(t, 1)
	valid, err := os.ReadFile(env.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range [][3]string{{`"listen":"`, `"listen":"nowhere`, "listen"}, {`"seed":"8`, `"seed":"x`, "seed"},
		{`"name"`, `name`, "byte"},
		{`"channel":"`, `"channel":"x`, "channel"}, {`"sockets":1024`, `"sockets":-1`, "limits"},
		{`"repeat":"read_like"`, `"repeat":"often"`, "repeat"},
		{`"classes":[{`, `"classes":[],"others":[{`, "classes: none"}, {`"name":"voice"`, `"label":"voice"`, "no name"},
		{`"lateShare":0.25}`, `"lateShare":0.25},{"name":"voice","deadlineUs":1,"repeat":"read_like"}`, "both named"},
		{`"deadlineUs":2000000`, `"deadlineUs":null`, "deadlineUs"}, {`"deadlineUs":2000000`, `"deadlineUs":4611686018427387904`, "deadlineUs"},
		{`"settings":{`, `"settings":null,"others":{`, "classes: none"},
		{`"connectTimeoutUs":500000`, `"connectTimeoutUs":-5`, "connectTimeoutUs"}} {
		if err := os.WriteFile(env.configPath, []byte(strings.Replace(string(valid), change[0], change[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(env.configPath)
		if err == nil || !strings.Contains(err.Error(), change[2]) || !strings.Contains(err.Error(), env.configPath) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with the invalid part and the file", change[1], err)
		}
	}
	env.signals <- syscall.SIGHUP // reads the last invalid configuration
	callers := env.newCallers(0xcc0000)
	callers.Place("dest:0;width:1;via:-1")
	waitFor(t, "call after a rejected reload", func() bool {
		overdue, _ := callers.Outstanding()
		return overdue == 0 && callers.Counts().Stood == 1
	})
	env.stopNode()
}

// TestCallerThatDoesNotRead checks that a caller that does not read affects only its own connection: other calls are
// answered all the time, and that connection is closed.
func TestCallerThatDoesNotRead(t *testing.T) {
	env := newTestEnv(t, 1)
	callers := env.newCallers(0xdd0000)
	conn, err := net.Dial("tcp", env.nodeAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ended := make(chan bool, 1)
	go func() {
		requests := []byte(strings.Repeat("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 0000000000000001\r\nCSeq: 1 OPTIONS\r\nContent-Length: "+
			"0\r\n\r\n", 100))
		_ = conn.SetWriteDeadline(time.Now().Add(30 * time.Second))
		for {
			if _, err := conn.Write(requests); err != nil {
				ended <- !os.IsTimeout(err)
				return
			}
		}
	}()
	for range 50 {
		callers.Place("dest:0;width:1;via:-1")
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, "calls of conforming callers", func() bool {
		overdue, _ := callers.Outstanding()
		return overdue == 0 && callers.Counts().Stood >= 45
	})
	if !<-ended {
		t.Error("the connection of a caller that does not read stays open")
	}
	env.stopNode()
}
