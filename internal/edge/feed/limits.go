package feed

import "time"

const (
	// ConnectTimeout is how long a connection to the command channel may take to open.
	ConnectTimeout = time.Second

	// SilenceTimeout is how long the command channel may be silent, once it has sent its first byte, before it counts as
	// broken. It sends at least a comment each second.
	SilenceTimeout = 2 * time.Second

	// RepeatInterval is the time between two requests while none has got its first byte. A change counts as told 6 s after the channel
	// is back, whatever a request that was made before is waiting for.
	RepeatInterval = 4 * time.Second

	// MaxRequests is the limit on requests that wait at the same time. At the limit the oldest gives way.
	MaxRequests = int(maxFirstByteTimeout / RepeatInterval)

	minFirstByteTimeout = 2 * time.Second
	maxFirstByteTimeout = 16 * time.Second
)

// FirstByteLimit is how long the next request to the command channel at one address waits for its first byte. It doubles with
// every request that gets none, up to a maximum, so that a slow channel is heard in the end. A channel that has answered gets
// twice the time that it took, and at least the minimum, so that a request that hangs is soon repeated.
type FirstByteLimit struct{ limit time.Duration }

// Duration returns the limit.
func (l *FirstByteLimit) Duration() time.Duration { return max(l.limit, minFirstByteTimeout) }

// TimedOut records a request that got no byte in time.
func (l *FirstByteLimit) TimedOut() { l.limit = min(2*l.Duration(), maxFirstByteTimeout) }

// Received records how long the first byte took since the connection opened.
func (l *FirstByteLimit) Received(took time.Duration) { l.limit = min(2*took, maxFirstByteTimeout) }
