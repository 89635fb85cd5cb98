package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"larkrouter/internal/edge/feed"
)

// feedClient reads the command channel at one address.
type feedClient struct {
	*sharedState
	addr   string
	cursor *feed.Cursor
	limit  feed.FirstByteLimit

	// State of the current request.
	connectedAt  time.Time
	hasFirstByte bool
	silence      *time.Timer // ends the request
}

var (
	errGap    = errors.New("gap in the event numbers")
	errSilent = errors.New("silent for too long")
)

// followFeed reads the command channel at an address until the context ends. It passes the events to the event
// loop one at a time and waits until each is applied. If the channel breaks or falls silent, it reconnects and
// continues after the last accepted event.
func (s *sharedState) followFeed(ctx context.Context, addr string, cursor *feed.Cursor) {
	client := &feedClient{sharedState: s, addr: addr, cursor: cursor}
	for failures := 0; ctx.Err() == nil; {
		hasReceived, err := client.request(ctx)
		if ctx.Err() != nil {
			return
		}
		if hasReceived {
			failures = 0
		}
		if errors.Is(err, errSilent) && !client.hasFirstByte {
			client.limit.TimedOut()
		}
		s.log.Warn("command channel broken", "address", addr, "cursor", cursor.Last, "cause", fmt.Sprint(err),
			"first_byte_limit", client.limit.Duration().String())
		select {
		case <-ctx.Done():
		case <-time.After(feed.Backoff(failures)):
		}
		failures++
	}
}

// request makes one request to the command channel and handles its events until the connection ends, takes too long, or has
// a gap in its events. hasReceived reports whether a new event was received.
func (c *feedClient) request(ctx context.Context) (hasReceived bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.hasFirstByte = false
	c.silence = time.AfterFunc(feed.ConnectTimeout+c.limit.Duration(), func() { cancel(errSilent) })
	defer c.silence.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		c.connectedAt = time.Now()
		c.silence.Reset(c.limit.Duration())
	}})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+c.addr+"/cmd/next", nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(c.cursor.Last, 10))
	req.Header.Set("Accept", "text/event-stream")
	dialer := &net.Dialer{Timeout: feed.ConnectTimeout, KeepAlive: -1}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false, causeOf(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("GET /cmd/next: status must be 200, got %s", resp.Status)
	}
	hasReceived, err = c.readEvents(resp.Body)
	return hasReceived, causeOf(ctx, err)
}

// causeOf returns the cause of a canceled context, or else err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// readEvents handles the events of a response until it ends, is silent for too long, or has a gap in its events.
func (c *feedClient) readEvents(body io.Reader) (hasReceived bool, err error) {
	var stream feed.Stream
	var buf [4096]byte
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			if !c.hasFirstByte {
				c.hasFirstByte = true
				c.limit.Received(time.Since(c.connectedAt))
			}
			c.silence.Reset(feed.SilenceTimeout)
			isNew, hasGap, parseErr := c.handleBytes(&stream, buf[:n])
			hasReceived = hasReceived || isNew
			if parseErr != nil {
				return hasReceived, parseErr
			}
			if hasGap {
				return hasReceived, errGap
			}
		}
		if err != nil {
			return hasReceived, err
		}
	}
}

// handleBytes parses received bytes and has each new event applied, up to a gap in the event numbers.
func (c *feedClient) handleBytes(stream *feed.Stream, data []byte) (hasReceived, hasGap bool, err error) {
	err = stream.Feed(data, func(received feed.Event) {
		isNew, isGap := c.cursor.Accept(received.Number)
		if hasGap = hasGap || isGap; hasGap || !isNew {
			return
		}
		hasReceived = true
		if received.List != nil {
			c.applyList(received)
		}
	})
	return hasReceived, hasGap, err
}

// applyList passes a server list to the event loop and waits until it is applied.
func (c *feedClient) applyList(received feed.Event) {
	applied := make(chan struct{})
	c.post(loopEvent{kind: listReceived, list: received.List, eventNumber: received.Number, listApplied: applied})
	select {
	case <-applied:
	case <-c.done:
	}
}
