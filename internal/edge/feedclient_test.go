package edge

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/standin"
)

// TestSlowCommandChannel guards against a channel that is never heard because its first byte needs longer than the first
// request waits: its events arrive, a drain that is told after a break too, and so do those of another slow channel that a
// reload has moved to while a request waits.
func TestSlowCommandChannel(t *testing.T) {
	const firstByteDelay = 2300 * time.Millisecond
	newFeed := func() *standin.Feed {
		channel, err := standin.NewFeed("node", standin.NewRecorder())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(channel.Close)
		channel.SetFirstByteDelay(firstByteDelay)
		return channel
	}
	state := &sharedState{events: make(chan loopEvent), done: make(chan struct{}), startedAt: time.Now(),
		log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	defer close(state.done)
	cursor := &feed.Cursor{}
	follow := func(addr string) (stop func()) {
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			state.followFeed(ctx, addr, cursor)
		}()
		return func() { cancel(); <-stopped }
	}
	expectEvent := func(what string, number uint64) {
		t.Helper()
		select {
		case event := <-state.events:
			close(event.listApplied)
			if event.eventNumber != number {
				t.Fatalf("%s: received event %d, want %d", what, event.eventNumber, number)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%s: event %d was not received in 30 s", what, number)
		}
	}

	first := newFeed()
	first.Publish(true, nil, standin.Member("s-0", "127.0.0.1:9", 0, "up"))
	stop := follow(first.Addr())
	expectEvent("slow channel", 1)
	first.BreakConnections(false)
	first.Publish(false, nil, standin.Member("s-0", "127.0.0.1:9", 0, "draining"))
	brokenAt := time.Now()
	expectEvent("after a break", 2)
	if took := time.Since(brokenAt); took > 2*firstByteDelay {
		t.Errorf("the drain was received after %v, want it with the first request, as the channel's delay is known", took)
	}
	first.BreakConnections(false)
	time.Sleep(200 * time.Millisecond) // the next request waits for its first byte
	second := newFeed()
	second.ContinueFrom(first)
	second.Publish(false, nil, standin.Member("s-0", "127.0.0.1:9", 0, "removed"))
	stop()
	stop = follow(second.Addr())
	expectEvent("channel that a reload has moved to", 3)
	stop()
}
