package edge

import (
	"testing"
	"time"
)

// TestAcceptWaitsForSocket guards against requests that are lost because their connection is closed as soon as it is accepted,
// while the sockets of other clients are being closed. The wait is bounded.
func TestAcceptWaitsForSocket(t *testing.T) {
	loop := &eventLoop{sharedState: &sharedState{}, maxSockets: 2}
	loop.socketCount.Store(2)
	closing := time.AfterFunc(20*time.Millisecond, func() { loop.socketCount.Add(-1) })
	defer closing.Stop()
	if !loop.waitForSocket() {
		t.Error("the connection was refused although another one was closed 20 ms later")
	}
	if loop.waitForSocket() {
		t.Error("a connection beyond the limit was accepted")
	}
	if count := loop.socketCount.Load(); count != 2 {
		t.Errorf("%d sockets are counted, want 2", count)
	}
}
