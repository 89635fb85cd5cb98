package feed

import "time"

const (
	// SilenceTimeout is how long the command channel may be silent, once it has sent its first byte, before it counts as
	// broken. It sends at least a comment each second.
	SilenceTimeout = 2 * time.Second

	minConnectTimeout   = time.Second
	maxConnectTimeout   = 4 * time.Second
	minFirstByteTimeout = 2 * time.Second
	maxFirstByteTimeout = 16 * time.Second
)

// RequestLimits are the time limits of the next request to the command channel at one address. Each doubles with every
// request that it ends, up to a maximum, so that a slow channel is heard in the end. A channel that has answered gets twice
// the time that it took, and at least the minimum, so that a request that hangs is soon repeated.
type RequestLimits struct {
	Connect   time.Duration // until the connection is open
	FirstByte time.Duration // from then on until the first byte of the events
}

// NewRequestLimits returns the limits of the first request to an address.
func NewRequestLimits() RequestLimits {
	return RequestLimits{Connect: minConnectTimeout, FirstByte: minFirstByteTimeout}
}

// ConnectTimedOut records a request whose connection did not open in time.
func (l *RequestLimits) ConnectTimedOut() { l.Connect = min(2*l.Connect, maxConnectTimeout) }

// FirstByteTimedOut records a request that got no byte in time.
func (l *RequestLimits) FirstByteTimedOut() { l.FirstByte = min(2*l.FirstByte, maxFirstByteTimeout) }

// FirstByteReceived records how long the first byte took since the connection opened.
func (l *RequestLimits) FirstByteReceived(took time.Duration) {
	l.Connect = minConnectTimeout
	l.FirstByte = min(max(2*took, minFirstByteTimeout), maxFirstByteTimeout)
}
