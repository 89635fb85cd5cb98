package edge

import "time"

// A reader whose connection always has more input never waits for the network, and neither does the event loop, which it wakes again
// and again. The Go scheduler looks for other sockets that are ready only when nothing else can run, or every 10 ms, and serves
// goroutines that wake one another first. With one processor, the clients on these sockets would wait for that at each step of a call. So
// readers with a persistent backlog pause between two reads, one after the other. While they pause, all others are served, and the
// scheduler has nothing to run and looks for sockets that are ready.
const (
	persistentBacklog = 4                // reads in a row after which more input waits; an honest client's burst takes fewer
	backlogPause      = time.Millisecond // the shortest sleep of an idle process
)

// backlog counts the reads of a connection after which more input was waiting.
type backlog int

// observe records whether more input waits after a read has been handled.
func (b *backlog) observe(isWaiting bool) {
	if isWaiting {
		*b++
		return
	}
	*b = 0
}

// isPersistent reports whether input has arrived faster than it was handled for a while.
func (b backlog) isPersistent() bool { return b >= persistentBacklog }

// backlogGate lets readers with a persistent backlog continue one at a time. The channel holds the turn while no reader has it.
type backlogGate chan struct{}

func newBacklogGate() backlogGate {
	gate := make(backlogGate, 1)
	gate <- struct{}{}
	return gate
}

// wait waits for a turn and pauses. It returns false if done is closed meanwhile.
func (g backlogGate) wait(done <-chan struct{}) bool {
	select {
	case <-g:
	case <-done:
		return false
	}
	time.Sleep(backlogPause)
	g <- struct{}{}
	return true
}
