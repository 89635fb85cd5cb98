package edge

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larkrouter/internal/edge/feed"
)

// silentChannel is a command channel that accepts connections and never answers on those that were opened before it is back.
type silentChannel struct {
	mu          sync.Mutex
	backAt      time.Time
	requestedAt []time.Time
	open        int
	maxOpen     int
}

// dial opens a connection to the channel.
func (c *silentChannel) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go c.serve(server)
	return client, nil
}

func (c *silentChannel) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	c.mu.Lock()
	now := time.Now()
	isBack := !now.Before(c.backAt)
	c.requestedAt = append(c.requestedAt, now)
	c.open++
	c.mu.Unlock()
	time.AfterFunc(time.Millisecond, c.countOpen) // one that gives way closes at the same time
	if isBack {
		go answerFeed(conn)
	}
	_, _ = reader.ReadByte() // until the client closes the connection
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

// answerFeed answers a request of the command channel, with a comment each second until the connection is closed.
func answerFeed(conn net.Conn) {
	_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n"))
	for err == nil {
		time.Sleep(time.Second)
		_, err = conn.Write([]byte(": \n\n"))
	}
}

func (c *silentChannel) countOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = max(c.maxOpen, c.open)
}

// TestChannelIsAskedAtSteadyPace guards against changes of the server list that are heard late, because a command channel that had
// been silent for long is not asked for many seconds after its return, while older requests wait.
func TestChannelIsAskedAtSteadyPace(t *testing.T) {
	const slack = 1100 * time.Millisecond // longest pause after a round of requests has failed, and a little
	for seconds := 1; seconds <= 300; seconds += 1 + seconds/60 {
		silence := time.Duration(seconds) * time.Second
		synctest.Test(t, func(t *testing.T) {
			state := newFeedState(t)
			channel := &silentChannel{backAt: time.Now().Add(silence)}
			client := &feedClient{sharedState: state, addr: "192.0.2.1:80", cursor: &feed.Cursor{}, dial: channel.dial}
			ctx, cancel := context.WithCancel(t.Context())
			var following sync.WaitGroup
			following.Go(func() { client.follow(ctx) })
			time.Sleep(silence + 30*time.Second)
			cancel()
			following.Wait()
			time.Sleep(2 * time.Second) // the connections end
			channel.mu.Lock()
			defer channel.mu.Unlock()
			longest, last := time.Duration(0), channel.requestedAt[0]
			for _, at := range channel.requestedAt {
				longest, last = max(longest, at.Sub(last)), at
			}
			if longest > feed.RepeatInterval+slack || last.Before(channel.backAt) || channel.maxOpen > feed.MaxRequests {
				t.Errorf("silence of %v: up to %v between requests, %d at a time; want at most %v, and %d", silence, longest, channel.maxOpen,
					feed.RepeatInterval+slack, feed.MaxRequests)
			}
		})
	}
}
