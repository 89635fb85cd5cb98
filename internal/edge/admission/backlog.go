package admission

import "time"

// A reader whose connection always has more input never waits for the network, and neither does the event loop, which it wakes again
// and again. The Go scheduler looks for other sockets that are ready only when nothing else can run, or every 10 ms, and serves
// goroutines that wake one another first. With one processor, the clients on these sockets would wait for that at each step of a call. So
// readers with a persistent backlog pause between two reads, one after the other. While they pause, all others are served, and the
// scheduler has nothing to run and looks for sockets that are ready.

// BacklogPause is how long a reader with a persistent backlog pauses: the shortest sleep of an idle process.
const BacklogPause = time.Millisecond

// persistentBacklog is the number of reads in a row after which more input waits; an honest client's burst takes fewer.
const persistentBacklog = 4

// Backlog counts the reads of a connection in a row after which more input was waiting.
type Backlog int

// Observe records whether more input waits after a read has been handled.
func (b *Backlog) Observe(isWaiting bool) {
	if isWaiting {
		*b++
		return
	}
	*b = 0
}

// IsPersistent reports whether input has arrived faster than it was handled for a while.
func (b Backlog) IsPersistent() bool { return b >= persistentBacklog }
