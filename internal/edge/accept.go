package edge

import (
	"errors"
	"net"
	"time"

	"larkrouter/internal/edge/admission"
)

// accept accepts connections from callers until the listener is closed.
func (el *eventLoop) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors: connections wait in the kernel's queue
			continue
		}
		_ = conn.SetKeepAlive(false)
		if !el.waitForSocket() {
			conn.Close()
			continue
		}
		if !el.post(loopEvent{kind: callerAccepted, conn: conn}) {
			conn.Close()
			return
		}
	}
}

// waitForSocket counts one more socket. At the limit it waits for the event loop to close others, so that a request that has
// arrived on the new connection is not lost with it. It returns false if none was closed in time.
func (el *eventLoop) waitForSocket() bool {
	for deadline := time.Now().Add(admission.MaxAcceptWait); ; time.Sleep(admission.AcceptRetryInterval) {
		if el.socketCount.Add(1) <= el.maxSockets {
			return true
		}
		el.socketCount.Add(-1)
		if time.Now().After(deadline) {
			return false
		}
	}
}
