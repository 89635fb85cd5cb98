package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"larkrouter/internal/edge/feed"
)

// follow reads the command channel at an address until the context ends: events go to the loop one by one, each taken
// before the next. A channel that breaks off or falls silent is asked again from the last event taken.
func (h *hub) follow(ctx context.Context, addr string, cursor *feed.Cursor) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext}}
	for failures := 0; ctx.Err() == nil; {
		got, err := h.listen(ctx, client, addr, cursor)
		if ctx.Err() != nil {
			return
		}
		if got {
			failures = 0
		}
		h.log.Warn("command channel broken", "address", addr, "cursor", cursor.Last, "cause", fmt.Sprint(err))
		select {
		case <-ctx.Done():
		case <-time.After(feed.Backoff(failures)):
		}
		failures++
	}
}

var errGap = errors.New("events are missing")

func (h *hub) listen(ctx context.Context, client *http.Client, addr string, cursor *feed.Cursor) (got bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(feed.Silence, cancel)
	defer quiet.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/cmd/next", nil)
	if err != nil {
		return false, err
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(cursor.Last, 10))
	req.Header.Set("Accept", "text/event-stream")
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %s, 200 is right", resp.Status)
	}
	var stream feed.Stream
	var buf [4096]byte
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			quiet.Reset(feed.Silence)
			gap := false
			fault := stream.Feed(buf[:n], func(ev feed.Event) {
				news, missing := cursor.Take(ev.Number)
				gap = gap || missing
				if !gap && news {
					got = true
					if ev.List != nil {
						taken := make(chan struct{})
						h.post(event{kind: fromFeed, list: ev.List, number: ev.Number, listed: taken})
						select {
						case <-taken:
						case <-h.done:
						}
					}
				}
			})
			if fault != nil {
				return got, fault
			}
			if gap {
				return got, errGap
			}
		}
		if err != nil {
			return got, err
		}
	}
}
