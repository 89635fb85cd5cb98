package edge

import (
	"context"
	"os"
	"syscall"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/settings"
)

// After SIGTERM, the time during which calls are still accepted, and the limits on when the last answer is
// sent. The platform sends SIGKILL no sooner than the longest deadline (at most 3 s) plus 0.7 s after SIGTERM.
const (
	stopAcceptPeriod = 900 * time.Millisecond
	stopMargin       = 350 * time.Millisecond
	maxStopDeadline  = 3 * time.Second
	stopPollInterval = 20 * time.Millisecond
)

// maxBatch is the number of events that one turn of the loop handles at most.
const maxBatch = 512

// eventLoop is the state of the event loop.
type eventLoop struct {
	*sharedState
	cfg           *settings.Config
	path          string
	node          *access.Node
	sockets       map[access.ConnID]*socket
	wantedDials   map[access.ConnID]bool // dials in progress; false: the connection is no longer wanted
	unflushed     []*socket              // with unsent bytes or to be closed at the end of the turn
	maxSockets    int64                  // limit on open connections of all kinds
	cursor        *feed.Cursor           // used only by the command channel's goroutine
	lastListEvent uint64                 // number of the last event with a server list
	channelAddr   string
	stopFeed      context.CancelFunc // stops the command channel's goroutine
	feedStopped   chan struct{}      // closed when that goroutine has ended
	stats         loopStats
	stopStarted   time.Duration // when a signal began to stop the node; 0: it has not

	reloadRetry      <-chan time.Time // fires when an invalid configuration is to be read again
	reloadRetryUntil time.Duration
}

// run is the event loop, the only goroutine that uses the node.
func (el *eventLoop) run(signals <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	statusTicker := time.NewTicker(time.Second)
	defer statusTicker.Stop()
	var batch []loopEvent
	el.execute()
	for !el.canStop() {
		if next, ok := el.node.NextTimer(); ok {
			timer.Reset(max(0, next-el.clock()))
		}
		batch = batch[:0]
		var stopPoll <-chan time.Time
		if el.stopStarted > 0 {
			stopPoll = time.After(stopPollInterval)
		}
		select {
		case ev := <-el.events:
			batch = append(batch, ev)
		case <-timer.C:
		case <-stopPoll:
		case <-statusTicker.C:
			el.logStatus()
		case <-el.reloadRetry:
			el.reloadRetry = nil
			el.reload()
		case sig := <-signals:
			el.handleSignal(sig)
		}
		turnStarted := el.clock()
		batch = el.receiveWaiting(batch)
		el.handleBatch(batch)
		el.node.Advance(el.clock())
		el.execute()
		el.stats.record(el.clock() - turnStarted)
	}
	el.closeAll()
}

// canStop reports whether a signal has stopped the node, and all calls have their answer.
func (el *eventLoop) canStop() bool {
	return el.stopStarted > 0 && el.clock()-el.stopStarted > stopAcceptPeriod && el.node.OpenCalls() == 0
}

// handleSignal handles a signal that asks for a reload or for the end of the process.
func (el *eventLoop) handleSignal(sig os.Signal) {
	if sig == syscall.SIGHUP {
		el.reloadRetryUntil = el.clock() + reloadRetryPeriod
		el.reload()
		return
	}
	if el.stopStarted > 0 {
		return
	}
	el.stopStarted = el.clock()
	maxDeadline := time.Duration(0)
	for _, class := range el.cfg.Module.Classes {
		maxDeadline = max(maxDeadline, class.Deadline)
	}
	el.node.Stop(el.stopStarted, el.stopStarted+min(maxDeadline, maxStopDeadline)+stopMargin)
	el.log.Info("stopping", "signal", sig.String(), "open", el.node.OpenCalls())
}

// receiveWaiting appends the events that wait to a batch, up to its limit.
func (el *eventLoop) receiveWaiting(batch []loopEvent) []loopEvent {
	for len(batch) < maxBatch {
		select {
		case ev := <-el.events:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

// handleBatch passes events to the node. List updates go first: after a stall, draining servers are known before anything is sent.
func (el *eventLoop) handleBatch(batch []loopEvent) {
	for _, ev := range batch {
		if ev.kind == listReceived {
			el.node.UpdateServers(el.clock(), ev.list, false)
			el.lastListEvent = ev.eventNumber
			close(ev.listApplied)
		}
	}
	for i := range batch {
		el.handle(&batch[i])
		batch[i] = loopEvent{}
	}
}

// closeAll closes all connections in such a way that peers can still read what was written.
func (el *eventLoop) closeAll() {
	for _, sock := range el.sockets {
		sock.closeConn(false)
	}
	time.Sleep(100 * time.Millisecond)
	el.log.Info("stopped", "clean", true)
}
