package edge

import (
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

// stage is a node with stand-ins around it.
type stage struct {
	t       *testing.T
	rec     *standin.Recorder
	addr    string
	path    string
	feed    *standin.Feed
	servers []*standin.Server
	known   []string
	signals chan os.Signal
	ended   chan error
}

func newStage(t *testing.T, servers int) *stage {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := &stage{t: t, rec: standin.NewRecorder(), addr: l.Addr().String(), path: filepath.Join(t.TempDir(), "config.json")}
	l.Close()
	if st.feed, err = standin.NewFeed(st.addr, st.rec); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(st.feed.Close)
	var members []string
	var entries []rules.ListEntry
	for i := range servers {
		s, err := standin.NewServer("127.0.0.1:0", st.addr, st.rec, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Die)
		st.servers = append(st.servers, s)
		members = append(members, standin.Member(fmt.Sprint("s-", i), s.Addr(), i, "up"))
		entries = append(entries, rules.ListEntry{Address: s.Addr(), Phase: "ready"})
	}
	st.known = append(st.known, st.feed.Tell(true, entries, members...))
	st.rec.List(st.addr, true, entries...)
	st.start()
	return st
}

func (st *stage) configure() {
	st.t.Helper()
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"sockets":1024},"channel":%q,`+
		`"known":{"cursor":%d,"cmds":[%s]},"settings":%s}`, st.addr, st.feed.Addr(), len(st.known), strings.Join(st.known, ","), settingsText)
	if err := os.WriteFile(st.path, []byte(text), 0o600); err != nil {
		st.t.Fatal(err)
	}
}

func (st *stage) start() {
	st.t.Helper()
	st.configure()
	cfg, err := Load(st.path)
	if err != nil {
		st.t.Fatal(err)
	}
	st.signals, st.ended = make(chan os.Signal, 4), make(chan error, 1)
	go func() { st.ended <- Serve(cfg, st.path, slog.New(slog.NewTextHandler(io.Discard, nil)), st.signals) }()
}

// callers are such as call the node, which is ready.
func (st *stage) callers(first uint64) *standin.Callers {
	st.t.Helper()
	c := standin.NewCallers(st.addr, st.rec, first)
	st.t.Cleanup(c.Close)
	if err := c.Ready(5 * time.Second); err != nil {
		st.t.Fatal(err)
	}
	return c
}

// stop tells the node to end and waits for it.
func (st *stage) stop() {
	st.t.Helper()
	st.signals <- syscall.SIGTERM
	select {
	case err := <-st.ended:
		if err != nil {
			st.t.Error(err)
		}
	case <-time.After(10 * time.Second):
		st.t.Fatal("the node does not end")
	}
}

// eventually waits for something that must come true, for far longer than it takes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("%s: not within 10 s", what)
}

// A bad day on loopback: faults on both sides, a broken and a silent command channel, a reload, a drain, a death and a
// restart. The five rules are read off what the stand-ins saw.
func TestBadDayOnSockets(t *testing.T) {
	st := newStage(t, 3)
	callers := st.callers(0xaa0000)
	place := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(12 * time.Millisecond) {
			callers.Place("dest:0;width:1;via:-1")
		}
	}
	place(400 * time.Millisecond)
	for _, s := range st.servers {
		s.Set(standin.Faults{Full: 0.05, Error: 0.02, Silent: 0.02, Spoilt: 0.02, Reset: 0.02, Twice: 0.1, Ahead: 0.1})
	}
	go rude(st.addr)
	place(time.Second)
	st.feed.Break(true)
	st.known = append(st.known, st.feed.Tell(false, []rules.ListEntry{{Address: st.servers[1].Addr(), Phase: "draining"}},
		standin.Member("s-1", st.servers[1].Addr(), 1, "draining")))
	place(time.Second)
	next, err := standin.NewFeed(st.addr, st.rec) // a new channel, with the numbers going on
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	next.Follow(st.feed)
	st.feed.Silence(true)
	st.feed = next
	st.configure()
	st.signals <- syscall.SIGHUP
	st.signals <- syscall.SIGHUP
	place(300 * time.Millisecond)
	st.known = append(st.known, st.feed.Tell(false, []rules.ListEntry{{Address: st.servers[1].Addr(), Phase: "gone"}},
		standin.Member("s-1", st.servers[1].Addr(), 1, "removed")))
	place(500 * time.Millisecond)
	st.servers[2].Die()
	place(time.Second)
	for _, s := range st.servers {
		s.Set(standin.Faults{})
	}
	if asked := st.feed.Asked(); len(asked) == 0 || asked[0] != 2 {
		t.Errorf("the new channel was asked with %v, 2 is right", asked)
	}
	st.stop()
	st.start()
	if err := callers.Ready(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	place(500 * time.Millisecond)
	eventually(t, "calls ended and told", func() bool {
		overdue, standing := callers.Left()
		return overdue == 0 && standing <= callers.Counts().Stood/5 // those of before the restart no caller has named again
	})
	report := rules.Check(st.rec.Records(), rules.Figures{Tries: []rules.Try{{Wait: time.Second}}, AnswerSlack: 500 * time.Millisecond,
		ReleaseGuard: 250 * time.Millisecond, DrainGrace: time.Second, ColdShare: 0.3, RampTime: 13 * time.Second, TipMultiple: 2,
		OverloadFor: 2 * time.Second, Slack: 100 * time.Millisecond})
	for i, v := range report.Rules {
		if v.Breaks > 0 || v.Checks == 0 && i != 3 {
			t.Errorf("rule %d: %s, %d checks, %v", i+1, v, v.Checks, v.Examples)
		}
	}
	n := callers.Counts()
	t.Logf("%+v; %s", n, report.Line())
	if n.Wrong > 0 || n.Placed < 200 || n.Stood < n.Placed/2 {
		t.Errorf("%+v", n)
	}
	st.stop()
}

// rude is a bad client: what can't be read, lengths that are wrong, ids that are missing, half a message, silence.
func rude(addr string) {
	for _, text := range []string{"\x00\x01\x02\r\n\r\n", strings.Repeat("A", 200000),
		"INVITE sip:x@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n",
		"INVITE sip:x@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: -1\r\n\r\n", "INVITE sip:7f3a", ""} {
		for range 20 {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			_, _ = c.Write([]byte(text))
			time.AfterFunc(5*time.Second, func() { c.Close() })
		}
	}
}

// Hundreds of silent connections at the limit are closed within 3 s, and honest calls pass all the while.
func TestSilentCrowdOnSockets(t *testing.T) {
	st := newStage(t, 1)
	callers := st.callers(0xbb0000)
	closed := make(chan time.Duration, 700)
	for range 700 {
		c, err := net.Dial("tcp", st.addr)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			begin := time.Now()
			_ = c.SetReadDeadline(begin.Add(8 * time.Second))
			var b [1]byte
			if _, err := c.Read(b[:]); err != nil && !os.IsTimeout(err) {
				closed <- time.Since(begin)
			} else {
				closed <- time.Hour
			}
			c.Close()
		}()
	}
	for range 50 {
		callers.Place("dest:0;width:1;via:-1")
		time.Sleep(10 * time.Millisecond)
	}
	for range 700 {
		if d := <-closed; d > 6*time.Second {
			t.Fatalf("a silent connection was closed after %v", d)
		}
	}
	eventually(t, "honest calls", func() bool { overdue, _ := callers.Left(); return overdue == 0 && callers.Counts().Stood >= 48 })
	st.stop()
}

// A configuration that can't be taken is refused in one line that says what would be right; at a reload the one before stays.
func TestFaultyConfiguration(t *testing.T) {
	st := newStage(t, 1)
	good, err := os.ReadFile(st.path)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range [][3]string{{`"listen":"`, `"listen":"nowhere`, "listen"}, {`"seed":"8`, `"seed":"x`, "seed"},
		{`"name"`, `name`, "byte"},
		{`"channel":"`, `"channel":"x`, "channel"}, {`"sockets":1024`, `"sockets":-1`, "limits"},
		{`"repeat":"read_like"`, `"repeat":"often"`, "repeat"},
		{`"classes":[{`, `"classes":[],"others":[{`, "classes: none"}, {`"name":"voice"`, `"label":"voice"`, "no name"},
		{`"lateShare":0.25}`, `"lateShare":0.25},{"name":"voice","deadlineUs":1,"repeat":"read_like"}`, "both named"},
		{`"deadlineUs":2000000`, `"deadlineUs":null`, "deadlineUs"}, {`"deadlineUs":2000000`, `"deadlineUs":4611686018427387904`, "deadlineUs"},
		{`"settings":{`, `"settings":null,"others":{`, "classes: none"},
		{`"connectTimeoutUs":500000`, `"connectTimeoutUs":-5`, "connectTimeoutUs"}} {
		if err := os.WriteFile(st.path, []byte(strings.Replace(string(good), c[0], c[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(st.path)
		if err == nil || !strings.Contains(err.Error(), c[2]) || !strings.Contains(err.Error(), st.path) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c[1], err)
		}
	}
	st.signals <- syscall.SIGHUP // reads the last of them
	callers := st.callers(0xcc0000)
	callers.Place("dest:0;width:1;via:-1")
	eventually(t, "a call after a bad reload", func() bool {
		overdue, _ := callers.Left()
		return overdue == 0 &&
			callers.Counts().Stood == 1
	})
	st.stop()
}

// A caller that reads nothing costs its own connection and no more: others are answered all the while.
func TestCallerReadsNothing(t *testing.T) {
	st := newStage(t, 1)
	callers := st.callers(0xdd0000)
	c, err := net.Dial("tcp", st.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ended := make(chan bool, 1)
	go func() {
		ask := []byte(strings.Repeat("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 0000000000000001\r\nCSeq: 1 OPTIONS\r\nContent-Length: "+
			"0\r\n\r\n", 100))
		_ = c.SetWriteDeadline(time.Now().Add(30 * time.Second))
		for {
			if _, err := c.Write(ask); err != nil {
				ended <- !os.IsTimeout(err)
				return
			}
		}
	}()
	for range 50 {
		callers.Place("dest:0;width:1;via:-1")
		time.Sleep(10 * time.Millisecond)
	}
	eventually(t, "honest calls", func() bool { overdue, _ := callers.Left(); return overdue == 0 && callers.Counts().Stood >= 45 })
	if !<-ended {
		t.Error("a connection that reads nothing is kept")
	}
	st.stop()
}
