package edge

import (
	"net"
	"testing"
	"time"

	"larkrouter/internal/edge/access"
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

// TestUnreadInput guards against a connection that is evicted although its request has arrived, and one that is spared because its
// client has closed it.
func TestUnreadInput(t *testing.T) {
	server := newScriptedServer(t)
	client, err := net.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := server.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
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
