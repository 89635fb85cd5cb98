package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
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
	dial   func(ctx context.Context, network, addr string) (net.Conn, error) // nil: over TCP
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
	client.follow(ctx)
}

// follow reads the command channel until the context ends.
func (c *feedClient) follow(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		hasReceived, err := c.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if hasReceived {
			failures = 0
		}
		c.logBroken(err)
		select {
		case <-ctx.Done():
		case <-time.After(feed.Backoff(failures)):
		}
		failures++
	}
}

func (c *feedClient) logBroken(cause error) {
	c.log.Warn("command channel broken", "address", c.addr, "cursor", c.cursor.Last, "cause", fmt.Sprint(cause),
		"first_byte_limit", c.limit.Duration().String())
}

// readOnce requests the events and handles them until the connection ends, takes too long, or has a gap in its events.
// hasReceived reports whether a new event was received.
func (c *feedClient) readOnce(ctx context.Context) (hasReceived bool, err error) {
	response, err := c.firstResponse(ctx)
	if err != nil {
		return false, err
	}
	defer response.close()
	c.limit.Received(response.firstByteAfter)
	return c.readEvents(response)
}

// requestResult is the outcome of one request.
type requestResult struct {
	number   int
	response *feedResponse
	err      error
}

// firstResponse requests the events, and again at intervals for as long as no request has been answered, as a request made while the
// channel was silent may never be. It returns the first response, or the last error once no request is left.
func (c *feedClient) firstResponse(ctx context.Context) (*feedResponse, error) {
	requests := &feedRequests{client: c, results: make(chan requestResult), waiting: map[int]context.CancelFunc{}}
	ctx, cancel := context.WithCancel(ctx)
	requests.start(ctx)
	again := time.NewTicker(feed.RepeatInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			cancel()
			return nil, ctx.Err()
		case <-again.C:
			requests.giveUpOldest()
			requests.start(ctx)
		case result := <-requests.results:
			if end := requests.remove(result.number); result.err == nil {
				requests.giveUpAll()
				result.response.end = func() { end(); cancel() }
				return result.response, nil
			}
			if errors.Is(result.err, errSilent) {
				c.limit.TimedOut()
			}
			if len(requests.waiting) == 0 {
				cancel()
				return nil, result.err
			}
			c.logBroken(result.err)
		}
	}
}

// feedRequests are the requests that wait for the first byte of their response.
type feedRequests struct {
	client  *feedClient
	results chan requestResult
	waiting map[int]context.CancelFunc // by number, in order of their start
	next    int
}

// start makes a request in a goroutine, which sends its result unless the request is given up.
func (r *feedRequests) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	number, last, limit := r.next, r.client.cursor.Last, r.client.limit.Duration()
	r.waiting[number] = cancel
	r.next++
	go func() {
		response, err := r.client.request(ctx, last, limit)
		select {
		case r.results <- requestResult{number, response, err}:
		case <-ctx.Done():
			if err == nil {
				response.close()
			}
		}
	}()
}

// remove removes a request that has ended, and returns the function that ends its context.
func (r *feedRequests) remove(number int) context.CancelFunc {
	cancel := r.waiting[number]
	delete(r.waiting, number)
	return cancel
}

// giveUpOldest makes room for another request.
func (r *feedRequests) giveUpOldest() {
	for len(r.waiting) >= feed.MaxRequests {
		r.remove(slices.Min(slices.Collect(maps.Keys(r.waiting))))()
	}
}

func (r *feedRequests) giveUpAll() {
	for _, cancel := range r.waiting {
		cancel()
	}
	clear(r.waiting)
}

// request asks for the events after the given one, and returns the response once its first byte has arrived. limit is the time for that.
func (c *feedClient) request(ctx context.Context, last uint64, limit time.Duration) (response *feedResponse, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	silence := time.AfterFunc(feed.ConnectTimeout+limit, func() { cancel(errSilent) })
	defer func() {
		if err != nil {
			silence.Stop()
			err = causeOf(ctx, err)
			cancel(nil)
		}
	}()
	connectedAt := time.Now()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connectedAt = time.Now()
		silence.Reset(limit)
	}})
	req, err := http.NewRequestWithContext(traced, http.MethodGet, "http://"+c.addr+"/cmd/next", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	req.Header.Set("Accept", "text/event-stream")
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: c.dial}
	if c.dial == nil {
		transport.DialContext = (&net.Dialer{Timeout: feed.ConnectTimeout, KeepAlive: -1}).DialContext
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	response = &feedResponse{ctx: ctx, cancel: cancel, body: resp.Body, silence: silence}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("GET /cmd/next: status must be 200, got %s", resp.Status)
	}
	if response.first, err = response.read(); err != nil {
		resp.Body.Close()
		return nil, err
	}
	response.firstByteAfter = time.Since(connectedAt)
	return response, nil
}

// causeOf returns the cause of a canceled context, or else err.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// readEvents handles the events of a response until it ends, is silent for too long, or has a gap in its events.
func (c *feedClient) readEvents(response *feedResponse) (hasReceived bool, err error) {
	var stream feed.Stream
	for data := response.first; ; {
		isNew, hasGap, parseErr := c.handleBytes(&stream, data)
		hasReceived = hasReceived || isNew
		if parseErr != nil {
			return hasReceived, parseErr
		}
		if hasGap {
			return hasReceived, errGap
		}
		response.silence.Reset(feed.SilenceTimeout)
		if data, err = response.read(); err != nil {
			return hasReceived, causeOf(response.ctx, err)
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
