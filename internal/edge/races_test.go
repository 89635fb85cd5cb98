package edge

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/standin"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

// peer is the far end of a connection to the node, controlled step by step by a test.
type peer struct {
	t *testing.T
	*net.TCPConn
	callerStream sip.Stream
	trunkStream  trunk.Stream
}

func newPeer(t *testing.T, conn net.Conn) *peer {
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &peer{t: t, TCPConn: conn.(*net.TCPConn), callerStream: sip.Stream{Limits: codec.Limits}}
}

// dialCaller opens a connection from a caller to the node.
func (env *testEnv) dialCaller() *peer {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.nodeAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	return newPeer(env.t, conn)
}

func (p *peer) send(text string) {
	p.t.Helper()
	if _, err := p.Write([]byte(text)); err != nil {
		p.t.Fatal(err)
	}
}

// reset closes the connection with a reset.
func (p *peer) reset() {
	_ = p.SetLinger(0)
	p.Close()
}

// nextFromNode returns the next message that the node wrote to a caller: status and method of a response,
// method of a request, or "end" if the connection has ended.
func (p *peer) nextFromNode() string {
	p.t.Helper()
	var buf [4096]byte
	for {
		msg, err := p.callerStream.Next()
		if err != nil {
			p.t.Fatal(err)
		}
		if msg != nil && msg.Status > 0 {
			_, method, _ := msg.CSeq()
			return fmt.Sprint(msg.Status, " ", method)
		} else if msg != nil {
			return msg.Method
		}
		n, err := p.Read(buf[:])
		if os.IsTimeout(err) {
			p.t.Fatal("no message from the node")
		}
		if err != nil {
			return "end"
		}
		p.callerStream.Feed(buf[:n])
	}
}

// nextTrunkMessage returns the next message that the node wrote to a call server, or nil if the connection has
// ended.
func (p *peer) nextTrunkMessage() *trunk.Message {
	var buf [4096]byte
	for {
		if msg, err := p.trunkStream.Next(); msg != nil || err != nil {
			return msg
		}
		n, err := p.Read(buf[:])
		if err != nil {
			return nil
		}
		p.trunkStream.Feed(buf[:n])
	}
}

// nextSetUp returns the next message, which must be a set-up.
func (p *peer) nextSetUp() *trunk.Message {
	p.t.Helper()
	msg := p.nextTrunkMessage()
	if msg == nil || msg.Type != trunk.TypeSetUp {
		p.t.Fatalf("the node wrote %+v, want a set-up", msg)
	}
	return msg
}

func (p *peer) sendTrunkMessage(typ byte, call uint64, params ...trunk.Param) {
	p.t.Helper()
	data, err := (&trunk.Message{Type: typ, Call: call, Params: params}).Append(nil)
	if err != nil {
		p.t.Fatal(err)
	}
	p.send(string(data))
}

func (p *peer) answerCall(call uint64) {
	p.t.Helper()
	p.send(string(answerMessage(call)))
}

func causeParam(cause byte) trunk.Param {
	return trunk.Param{Code: trunk.ParamCause, Value: []byte{cause}}
}

// scriptedServer is a call server that does nothing unless the test does it.
type scriptedServer struct {
	t *testing.T
	*net.TCPListener
}

func newScriptedServer(t *testing.T) scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return scriptedServer{t, listener.(*net.TCPListener)}
}

func (s scriptedServer) acceptTrunk() *peer {
	s.t.Helper()
	_ = s.SetDeadline(time.Now().Add(10 * time.Second))
	conn, err := s.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	return newPeer(s.t, conn)
}

// newScriptedEnv returns a node that knows one scripted server and has a connection open to it.
func newScriptedEnv(t *testing.T) (*testEnv, scriptedServer, *peer) {
	t.Helper()
	server, env := newScriptedServer(t), newTestEnv(t, 0)
	env.knownEvents = append(env.knownEvents, env.feed.Publish(false, nil, standin.Member("s-x", server.Addr().String(), 0, "up")))
	return env, server, server.acceptTrunk()
}

func formatRequest(method string, n int, body string, fields ...string) string {
	return standin.FormatRequest(method, n, body, fields...)
}

func formatInvite(n int) string { return standin.FormatInvite(n) }

func formatOptions(n int) string { return formatRequest("OPTIONS", n, "") }

func expect(t *testing.T, what string, got any, want string) {
	t.Helper()
	if text := fmt.Sprint(got); text != want {
		t.Errorf("%s: got %s, want %s", what, text, want)
	}
}

// TestCallerRacesOnSockets checks requests and closes of a caller in unusual order. A request that arrives byte by
// byte is one request. A CANCEL in the segment of its INVITE leaves no open or standing call. When a connection ends
// after several requests, the set-ups already sent are released and no further one is sent. An incomplete request
// before the end of a connection is not forwarded.
func TestCallerRacesOnSockets(t *testing.T) {
	env, _, server := newScriptedEnv(t)
	caller := env.dialCaller()
	_ = caller.SetNoDelay(true)
	for _, b := range []byte(formatInvite(1)) {
		caller.send(string(b))
	}
	server.answerCall(server.nextSetUp().Call)
	expect(t, "request byte by byte", caller.nextFromNode(), "200 INVITE")

	caller.send(formatInvite(2) + formatRequest("CANCEL", 2, "") + formatOptions(3))
	expect(t, "after INVITE and CANCEL in one segment", caller.nextFromNode(), "200 OPTIONS")
	caller.send(formatInvite(4))
	var msg *trunk.Message
	// Skip the cancelled call: a set-up and its release, or neither.
	for msg = server.nextTrunkMessage(); msg != nil && msg.Call == 2; msg = server.nextTrunkMessage() {
	}
	if msg == nil || msg.Type != trunk.TypeSetUp || msg.Call != 4 {
		t.Fatalf("the server received %+v, want the set-up of the next call", msg)
	}
	server.answerCall(4)
	expect(t, "the next call", caller.nextFromNode(), "200 INVITE")

	closing := env.dialCaller()
	closing.send(formatInvite(5) + formatInvite(6) + formatInvite(7))
	first := server.nextSetUp().Call
	closing.Close()
	unreleased := map[uint64]bool{first: true}
	for len(unreleased) > 0 {
		msg := server.nextTrunkMessage()
		switch {
		case msg == nil:
			t.Fatal("the node closed the connection to the server")
		case msg.Type == trunk.TypeSetUp:
			unreleased[msg.Call] = true
		case msg.Type == trunk.TypeRelease:
			delete(unreleased, msg.Call)
		}
	}
	incomplete := env.dialCaller()
	incomplete.send(formatInvite(8)[:100])
	incomplete.Close()
	caller.send(formatOptions(9))
	expect(t, "after the incomplete request", caller.nextFromNode(), "200 OPTIONS")
	caller.send(formatInvite(10))
	for msg = server.nextTrunkMessage(); msg != nil && msg.Type == trunk.TypeRelease; msg = server.nextTrunkMessage() {
	}
	if msg == nil || msg.Call != 10 {
		t.Errorf("the server received %+v, want only the set-up of the last call", msg)
	}
	env.stopNode()
}

// TestServerRacesOnSockets checks resets and repeated messages of a server. After a reset during a set-up, the set-up
// is sent again, but not before the release guard has passed, and the caller gets one answer. A duplicate answer some
// milliseconds later, and an answer that is complete before its connection is reset, count once. A release that
// crosses the BYE does not end the call twice. A server that refuses connections and then accepts them is used again
// without a list update.
func TestServerRacesOnSockets(t *testing.T) {
	env, listener, first := newScriptedEnv(t)
	caller := env.dialCaller()
	caller.send(formatInvite(1))
	first.nextSetUp()
	resetAt := time.Now()
	first.reset()
	second := listener.acceptTrunk()
	second.nextSetUp()
	if d := time.Since(resetAt); d < 250*time.Millisecond {
		t.Errorf("set-up sent again %v after a reset, want at least the release guard of 250 ms", d)
	}
	second.answerCall(1)
	expect(t, "after the reset", caller.nextFromNode(), "200 INVITE")
	second.answerCall(1)
	caller.send(formatOptions(2))
	expect(t, "after a second answer", caller.nextFromNode(), "200 OPTIONS")

	caller.send(formatRequest("BYE", 1, ""))
	second.sendTrunkMessage(trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	// The release that the BYE causes may come first.
	for msg := second.nextTrunkMessage(); msg == nil || msg.Type != trunk.TypeReleaseAck; msg = second.nextTrunkMessage() {
		if msg == nil {
			t.Fatal("the node closed the connection to the server")
		}
	}
	caller.send(formatOptions(3))
	byes := map[string]int{}
	for got := caller.nextFromNode(); got != "200 OPTIONS"; got = caller.nextFromNode() {
		byes[got]++
	}
	if byes["200 BYE"] != 1 || byes["BYE"] > 1 || len(byes) > 2 {
		t.Errorf("release and BYE crossing: the caller received %v, want one 200 and at most one BYE", byes)
	}

	caller.send(formatInvite(4))
	second.answerCall(second.nextSetUp().Call)
	second.reset()
	expect(t, "complete answer, then reset", caller.nextFromNode(), "200 INVITE")
	addr := listener.Addr().String()
	listener.Close()
	relisten, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer relisten.Close()
	third := scriptedServer{t, relisten.(*net.TCPListener)}.acceptTrunk()
	caller.send(formatInvite(5))
	msg := third.nextTrunkMessage()
	for msg != nil && msg.Type != trunk.TypeSetUp { // skips releases of calls that stood
		msg = third.nextTrunkMessage()
	}
	if msg == nil || msg.Call != 5 {
		t.Fatalf("the server received %+v after its return, want the set-up", msg)
	}
	third.answerCall(5)
	for got := caller.nextFromNode(); got != "200 INVITE"; got = caller.nextFromNode() {
		if got != "BYE" {
			t.Errorf("after the server's return: got %s, want BYE or 200 INVITE", got)
		}
	}
	env.stopNode()
}

// TestDeadlineRacesOnSockets checks that an unanswered set-up ends with one refusal by the call's deadline and a
// release, and that its late answer has no effect. An answer that crosses the CANCEL leaves no standing call,
// whichever of the two the node reads first.
func TestDeadlineRacesOnSockets(t *testing.T) {
	env, _, server := newScriptedEnv(t)
	caller := env.dialCaller()
	begin := time.Now()
	caller.send(strings.Replace(formatInvite(1), "X-Deadline: 2000", "X-Deadline: 400", 1))
	server.nextSetUp()
	got, took := caller.nextFromNode(), time.Since(begin)
	if got != "503 INVITE" && got != "504 INVITE" || took < 300*time.Millisecond {
		t.Errorf("got %s after %v, want one refusal at the deadline of 400 ms", got, took)
	}
	if msg := server.nextTrunkMessage(); msg == nil || msg.Type != trunk.TypeRelease || msg.Call != 1 {
		t.Fatalf("the server received %+v, want the release", msg)
	}
	server.answerCall(1)
	caller.send(formatOptions(2))
	expect(t, "after a late answer", caller.nextFromNode(), "200 OPTIONS")
	env.stopNode()

	env, _, server = newScriptedEnv(t)
	caller = env.dialCaller()
	caller.send(formatInvite(1))
	server.nextSetUp()
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(answerMessage(1))
		written <- err
	}()
	caller.send(formatRequest("CANCEL", 1, ""))
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	if msg := server.nextTrunkMessage(); msg == nil || msg.Type != trunk.TypeRelease || msg.Call != 1 {
		t.Fatalf("answer and CANCEL: the server received %+v, want the release", msg)
	}
	caller.send(formatOptions(2))
	received := []string{caller.nextFromNode()}
	for received[len(received)-1] != "200 OPTIONS" {
		received = append(received, caller.nextFromNode())
	}
	if text := fmt.Sprint(received); text != "[200 OPTIONS]" && text != "[200 INVITE BYE 200 OPTIONS]" {
		t.Errorf("answer and CANCEL: the caller received %s, want 200 OPTIONS alone or after 200 INVITE and BYE", text)
	}
	env.stopNode()
}

// TestListRacesOnSockets checks that a server that is removed and listed again in one event stays in use, and that a
// draining server gets no new set-up.
func TestListRacesOnSockets(t *testing.T) {
	env, serverX, trunkX := newScriptedEnv(t)
	serverY, serverZ := newScriptedServer(t), newScriptedServer(t)
	caller := env.dialCaller()
	member := func(server scriptedServer, id string, cell int, phase string) string {
		return standin.Member(id, server.Addr().String(), cell, phase)
	}
	env.feed.Publish(false, nil, member(serverX, "s-x", 0, "removed"), member(serverX, "s-x", 0, "up"), member(serverY, "s-y", 1, "up"))
	trunkY := serverY.acceptTrunk() // the node has applied the list
	caller.send(formatInvite(1))
	trunkX.answerCall(trunkX.nextSetUp().Call)
	expect(t, "removed and listed again", caller.nextFromNode(), "200 INVITE")

	env.feed.Publish(false, nil, member(serverX, "s-x", 0, "draining"), member(serverZ, "s-z", 2, "up"))
	trunkZ := serverZ.acceptTrunk()
	for _, server := range []*peer{trunkY, trunkZ} {
		go func() {
			for msg := server.nextTrunkMessage(); msg != nil; msg = server.nextTrunkMessage() {
				if msg.Type == trunk.TypeSetUp {
					_, _ = server.Write(answerMessage(msg.Call))
				}
			}
		}()
	}
	caller.send(formatInvite(2))
	expect(t, "with its server draining", caller.nextFromNode(), "200 INVITE")
	_ = trunkX.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // anything sent to it has arrived by now
	if msg := trunkX.nextTrunkMessage(); msg != nil {
		t.Errorf("the draining server received %+v, want nothing", msg)
	}
	env.stopNode()
}

// TestStopRacesOnSockets checks a SIGTERM while one connection is accepted and unread, one has a set-up pending, and
// one has a retry that waits for the release guard; another connection opens afterwards. Further SIGTERM and SIGHUP
// signals have no effect. Each call gets one answer, calls accepted before the signal get the server's, and the node
// ends by itself.
func TestStopRacesOnSockets(t *testing.T) {
	env, _, server := newScriptedEnv(t)
	unread, setUpSent, retryWaiting := env.dialCaller(), env.dialCaller(), env.dialCaller()
	for _, caller := range []*peer{unread, setUpSent, retryWaiting} { // the node has accepted the connections
		caller.send(formatOptions(1))
		expect(t, "before", caller.nextFromNode(), "200 OPTIONS")
	}
	retryWaiting.send(formatInvite(1))
	server.nextSetUp()
	server.sendTrunkMessage(trunk.TypeRelease, 1, causeParam(trunk.CauseReset))
	setUpSent.send(formatInvite(2))
	for msg := server.nextTrunkMessage(); msg == nil || msg.Call != 2; msg = server.nextTrunkMessage() {
		if msg == nil {
			t.Fatal("the node closed the connection to the server")
		}
	}
	env.signals <- syscall.SIGTERM
	env.signals <- syscall.SIGHUP
	env.signals <- syscall.SIGTERM
	unread.send(formatInvite(3))
	newConn := env.dialCaller()
	newConn.send(formatInvite(4))
	done := make(chan map[uint64]bool, 1)
	go func() { // the server answers every set-up from now on
		seen := map[uint64]bool{2: true}
		_, _ = server.Write(answerMessage(2))
		for msg := server.nextTrunkMessage(); msg != nil; msg = server.nextTrunkMessage() {
			if msg.Type == trunk.TypeSetUp {
				seen[msg.Call] = true
				_, _ = server.Write(answerMessage(msg.Call))
			}
		}
		done <- seen
	}()
	for name, caller := range map[string]*peer{"with nothing read": unread, "with a set-up out": setUpSent,
		"with a retry waiting": retryWaiting, "on a new connection": newConn} {
		got := caller.nextFromNode()
		// The module may refuse calls that arrive after the signal.
		if got != "200 INVITE" && (got != "503 INVITE" || caller == setUpSent || caller == retryWaiting) {
			t.Errorf("%s: got %s, want 200 or, if it may be refused, 503", name, got)
		}
		if got := caller.nextFromNode(); got != "end" {
			t.Errorf("%s: got %s after the answer, want the end of the connection", name, got)
		}
	}
	if err := <-env.nodeExited; err != nil {
		t.Error(err)
	}
	if seen := <-done; !seen[1] || !seen[2] {
		t.Errorf("the server received set-ups %v, want those of the waiting retry and of the pending call", seen)
	}
}

// TestStopBeforeReadyOnSockets checks that a node that receives SIGTERM before it is ready serves the calls of its
// stop period and ends.
func TestStopBeforeReadyOnSockets(t *testing.T) {
	env := newTestEnv(t, 1)
	env.newCallers(0xff0000)
	env.stopNode()
	env.writeConfig()
	cfg, err := Load(env.configPath)
	if err != nil {
		t.Fatal(err)
	}
	signals, exited := make(chan os.Signal, 1), make(chan error, 1)
	signals <- syscall.SIGTERM
	go func() { exited <- Serve(cfg, env.configPath, slog.New(slog.NewTextHandler(io.Discard, nil)), signals) }()
	callers := env.newCallers(0xff1000)
	callers.Place("dest:0;width:1;via:-1")
	if err := <-exited; err != nil {
		t.Error(err)
	}
	if counts := callers.Counts(); counts.Stood+counts.Refused != 1 || counts.Unexpected > 0 {
		t.Errorf("got %+v, want one call that stood or was refused and nothing unexpected", counts)
	}
}

// TestSilentFeedOnSockets checks a command channel that is silent from its first byte, then one that stops in the
// middle of its first event, then one that delivers the event. The node leaves each silent one within seconds and
// requests events from the same cursor again, and the event is applied once it is complete.
func TestSilentFeedOnSockets(t *testing.T) {
	feed, other, env := newScriptedServer(t), newScriptedServer(t), newTestEnv(t, 1)
	text, err := os.ReadFile(env.configPath)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), env.feed.Addr(), feed.Addr().String(), 1)
	if err := os.WriteFile(env.configPath, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	env.signals <- syscall.SIGHUP
	event := fmt.Sprintf("id: 2\ndata: {\"cursor\":2,\"nodes\":{\"revision\":2,\"complete\":false,\"members\":[%s]}}\n\n",
		standin.Member("s-new", other.Addr().String(), 1, "up"))
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, response := range []string{"", head + event[:len(event)/2], head + event} {
		conn := feed.acceptTrunk()
		var request [4096]byte
		n, err := conn.Read(request[:])
		if err != nil || !bytes.Contains(request[:n], []byte("Last-Event-Id: 1\r\n")) {
			t.Fatalf("request %q, error %v; want cursor 1", request[:n], err)
		}
		conn.send(response)
		if response != head+event {
			expect(t, "silent channel closed", conn.isClosedByNode(), "true")
		}
	}
	other.acceptTrunk() // the server listed by the event
	env.stopNode()
}

// isClosedByNode reports whether the node closes the connection.
func (p *peer) isClosedByNode() bool {
	var b [1]byte
	_, err := p.Read(b[:])
	return err != nil && !os.IsTimeout(err)
}

func answerMessage(call uint64) []byte {
	data, _ := (&trunk.Message{Type: trunk.TypeAnswer, Call: call, Params: []trunk.Param{{Code: trunk.ParamDescription,
		Value: []byte(standin.Description(call))}}}).Append(nil)
	return data
}
