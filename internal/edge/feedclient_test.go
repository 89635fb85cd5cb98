package edge

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/standin"
)

// newFeedState returns what a client of the command channel needs of the event loop.
func newFeedState(t *testing.T) *sharedState {
	state := &sharedState{events: make(chan loopEvent), done: make(chan struct{}), startedAt: time.Now(),
		log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	t.Cleanup(func() { close(state.done) })
	return state
}

// TestSlowCommandChannel guards against a channel that is never heard because its first byte needs longer than the first request
// waits: its events arrive, and so do those of another slow channel that a reload has moved to while a request waits.
func TestSlowCommandChannel(t *testing.T) {
	const firstByteDelay = 2300 * time.Millisecond
	state := newFeedState(t)
	cursor, channel := &feed.Cursor{}, (*standin.Feed)(nil)
	publishAndExpect := func(phase string, limit time.Duration) {
		t.Helper()
		channel.Publish(false, nil, standin.Member("s-0", "127.0.0.1:9", 0, phase))
		select {
		case event := <-state.events:
			close(event.listApplied)
		case <-time.After(limit):
			t.Errorf("the event %q was not received in %v", phase, limit)
		}
	}
	for range 2 {
		next, err := standin.NewFeed("node", standin.NewRecorder())
		if err != nil {
			t.Fatal(err)
		}
		defer next.Close()
		next.SetFirstByteDelay(firstByteDelay)
		if channel != nil {
			next.ContinueFrom(channel)
		}
		channel = next
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() { state.followFeed(ctx, next.Addr(), cursor) })
		publishAndExpect("up", 30*time.Second)
		channel.BreakConnections(false)
		publishAndExpect("draining", 2*firstByteDelay) // with the first request, as the channel's delay is known
		channel.BreakConnections(false)
		time.Sleep(200 * time.Millisecond) // the next request waits for its first byte
		cancel()
		following.Wait()
	}
}

// TestChannelBackFromSilence guards against a change that is heard late, because the request that waits was made while the channel was
// silent, and the limit for its first byte has grown in a long silence.
func TestChannelBackFromSilence(t *testing.T) {
	const toldAfter = 6 * time.Second // the users' term: since the channel had the change and could be reached
	state := newFeedState(t)
	channel, err := standin.NewFeed("node", standin.NewRecorder())
	if err != nil {
		t.Fatal(err)
	}
	defer channel.Close()
	channel.SetFirstByteDelay(time.Minute)
	client := &feedClient{sharedState: state, addr: channel.Addr(), cursor: &feed.Cursor{}}
	for range 3 { // requests in the silence before
		client.limit.TimedOut()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() { client.follow(ctx) })
	waitFor(t, "request in the silence", func() bool { return len(channel.RequestedCursors()) > 0 })
	channel.SetFirstByteDelay(0)
	channel.Publish(false, nil, standin.Member("s-0", "127.0.0.1:9", 0, "draining"))
	select {
	case event := <-state.events:
		close(event.listApplied)
	case <-time.After(toldAfter):
		t.Errorf("the change was not heard within %v", toldAfter)
	}
	cancel()
	following.Wait()
}
