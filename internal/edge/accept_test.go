package edge

import (
	"testing"
	"time"
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
