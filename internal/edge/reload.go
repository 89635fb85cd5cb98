package edge

import (
	"context"
	"time"
)

// After SIGHUP, how often and for how long an invalid configuration is read again. Updates of the new command
// channel count as received 4 s after the signal.
const (
	reloadRetryInterval = 50 * time.Millisecond
	reloadRetryPeriod   = 4 * time.Second
)

// startFeed starts the goroutine that reads the command channel. It begins once the previous one, if any, has ended, because both use
// the cursor.
func (el *eventLoop) startFeed() {
	ctx, cancel := context.WithCancel(context.Background())
	addr, previousStopped, stopped := el.channelAddr, el.feedStopped, make(chan struct{})
	el.stopFeed, el.feedStopped = cancel, stopped
	go func() {
		defer close(stopped)
		if previousStopped != nil {
			<-previousStopped
		}
		el.followFeed(ctx, addr, el.cursor)
	}()
}

// reload reads the configuration again and switches to its command channel. Calls are not affected. An invalid
// file may be half written, so it is read again for as long as updates of the old channel may still arrive.
func (el *eventLoop) reload() {
	cfg, err := Load(el.path)
	if err != nil {
		el.log.Error("reload: keeping the previous configuration", "cause", err.Error())
		if now := el.clock(); now < el.reloadRetryUntil {
			el.reloadRetry = time.After(reloadRetryInterval)
		}
		return
	}
	el.log.Info("reload", "channel", cfg.ChannelAddr, "cursor", el.lastListEvent)
	el.reloadRetry = nil
	el.channelAddr = cfg.ChannelAddr
	el.stopFeed()
	el.startFeed()
}
