package edge

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/trunk"
)

// TestAcceptWaitsForSocket guards against requests that are lost because their connection is closed as soon as it is accepted,
// while the sockets of other clients are being closed. The wait is bounded.
func TestAcceptWaitsForSocket(t *testing.T) {
	loop := &eventLoop{sharedState: &sharedState{}, maxSockets: 1}
	loop.socketCount.Store(1)
	time.AfterFunc(20*time.Millisecond, func() { loop.socketCount.Add(-1) })
	if !loop.waitForSocket() || loop.waitForSocket() || loop.socketCount.Load() != 1 {
		t.Errorf("%d sockets are counted; want the first connection to wait, the second to be refused, and 1", loop.socketCount.Load())
	}
}

// connectedPair returns the two ends of a connection.
func connectedPair(t *testing.T) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	server := newScriptedServer(t)
	client, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return client, server.acceptTrunk().TCPConn
}

// TestUnreadInput guards against a connection that is evicted although its request has arrived, and one that is spared because its
// client has closed it.
func TestUnreadInput(t *testing.T) {
	client, conn := connectedPair(t)
	sock, err := newSocket(1, conn, false)
	loop := &eventLoop{sockets: map[access.ConnID]*socket{1: sock}}
	if err != nil || loop.hasUnreadInput(1) {
		t.Errorf("a silent connection has unread input, or %v", err)
	}
	_, _ = client.Write([]byte("INVITE"))
	waitFor(t, "unread input", func() bool { return loop.hasUnreadInput(1) })
	client.Close()
	waitFor(t, "the end of the connection", func() bool { return !loop.hasUnreadInput(1) })
}

// TestClosedByPeer guards against a connection that counts as open although its peer has closed it: its reader has ended, and the event
// loop has not been told yet.
func TestClosedByPeer(t *testing.T) {
	client, conn := connectedPair(t)
	state := &sharedState{events: make(chan loopEvent, 1), done: make(chan struct{}), backlogGate: newBacklogGate()}
	loop := &eventLoop{sharedState: state, sockets: map[access.ConnID]*socket{}}
	sock := loop.startSocket(1, conn, true)
	if sock == nil || loop.hasPeerClosed(1) {
		t.Fatal("an open connection counts as closed by its peer")
	}
	client.Close()
	waitFor(t, "the end of the connection", func() bool { return loop.hasPeerClosed(1) })
	waitFor(t, "the end of the reader", func() bool { return state.socketCount.Load() < 0 })
	if !loop.hasPeerClosed(1) {
		t.Error("the connection counts as open once its reader has ended")
	}
}

// TestSlowMessageOnSockets guards against a call server that is taken for silent while one long message arrives slowly: the node
// opens no connection to look whether it is alive.
func TestSlowMessageOnSockets(t *testing.T) {
	env, listener, server := newScriptedEnv(t)
	report := trunk.Message{Type: trunk.TypeState, Params: []trunk.Param{{Code: trunk.ParamNote, Value: make([]byte, 200)}}}
	data, err := report.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2200 * time.Millisecond); time.Now().Before(end) && len(data) > 1; time.Sleep(40 * time.Millisecond) {
		server.send(string(data[:1]))
		data = data[1:]
	}
	_ = listener.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := listener.Accept(); !os.IsTimeout(err) {
		t.Errorf("after a slow message of 2.2 s: a second connection came (%v), want none", err)
	}
	env.stopNode()
}

// TestStoppedConnectionOnSockets guards against a call that is never released because an answer stops short on its connection, which
// stays open, while the node has another connection to the same call server.
func TestStoppedConnectionOnSockets(t *testing.T) {
	env, server, stopped := newScriptedEnv(t)
	caller := env.dialCaller()
	caller.send(formatInvite(1))
	stopped.answerCall(stopped.nextSetUp().Call)
	expect(t, "answer", caller.nextFromNode(), "200 INVITE")
	caller.send(formatInvite(2))
	answer := answerMessage(stopped.nextSetUp().Call)
	stopped.send(string(answer[:len(answer)/2]))

	works := server.acceptTrunk()
	state, err := (&trunk.Message{Type: trunk.TypeState}).Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { // until the end of the connection
		for {
			if _, err := works.Write(state); err != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	next := server.acceptTrunk() // on this one the server repeats the release that was lost
	next.sendTrunkMessage(trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	for message := caller.nextFromNode(); message != "BYE"; message = caller.nextFromNode() {
		expect(t, "before the release", message, "503 INVITE")
	}
	for message := stopped.nextTrunkMessage(); message != nil; message = stopped.nextTrunkMessage() {
		expect(t, "messages on the stopped connection", message.Type, fmt.Sprint(trunk.TypeRelease))
	}
	env.stopNode()
}
