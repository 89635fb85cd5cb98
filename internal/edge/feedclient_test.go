package edge

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/standin"
)

// TestSlowCommandChannel guards against a channel that is never heard because its first byte needs longer than the first request
// waits: its events arrive, a drain that is told after a break too, and so do those of another slow channel that a reload has
// moved to while a request waits.
func TestSlowCommandChannel(t *testing.T) {
	const firstByteDelay = 2300 * time.Millisecond
	state := &sharedState{events: make(chan loopEvent), done: make(chan struct{}), startedAt: time.Now(),
		log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	defer close(state.done)
	cursor, previous := &feed.Cursor{}, (*standin.Feed)(nil)
	for _, want := range []uint64{2, 3} { // event 1 comes on the first channel, as the last one before its break
		channel, err := standin.NewFeed("node", standin.NewRecorder())
		if err != nil {
			t.Fatal(err)
		}
		defer channel.Close()
		channel.SetFirstByteDelay(firstByteDelay)
		if previous != nil {
			channel.ContinueFrom(previous)
		}
		previous = channel
		publish := func(phase string) { channel.Publish(false, nil, standin.Member("s-0", "127.0.0.1:9", 0, phase)) }
		publish("up")
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			state.followFeed(ctx, channel.Addr(), cursor)
		}()
		receive := func(limit time.Duration) {
			t.Helper()
			select {
			case event := <-state.events:
				close(event.listApplied)
			case <-time.After(limit):
				t.Errorf("no event after %d in %v", cursor.Last, limit)
			}
		}
		receive(30 * time.Second)
		if want == 2 {
			channel.BreakConnections(false)
			publish("draining")
			receive(2 * firstByteDelay) // with the first request, as the channel's delay is known
			channel.BreakConnections(false)
			time.Sleep(200 * time.Millisecond) // the next request waits for its first byte when the reload comes
		}
		cancel()
		<-stopped
		if cursor.Last != want {
			t.Errorf("the last event received is %d, want %d", cursor.Last, want)
		}
	}
}

// TestConnectTimeoutRaisesLimit guards against a channel that is never reached because its connection opens late.
func TestConnectTimeoutRaisesLimit(t *testing.T) {
	client := &feedClient{limits: feed.NewRequestLimits()}
	_, err := (&net.Dialer{Timeout: 1}).Dial("tcp", "127.0.0.1:9")
	before := client.limits
	if client.adjustLimits(err); client.limits.Connect <= before.Connect || client.limits.FirstByte != before.FirstByte {
		t.Errorf("after %v the limits are %+v, want a longer one on connecting only; before %+v", err, client.limits, before)
	}
}
