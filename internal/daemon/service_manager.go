package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/coreos/go-systemd/v22/daemon"
	"golang.org/x/sys/unix"
)

// notifyManager reports a state to the service manager, if there is one, by the protocol of sd_notify(3).
func notifyManager(state string) { _, _ = daemon.SdNotify(false, state) }

// monotonicMicroseconds returns CLOCK_MONOTONIC in microseconds, as sd_notify(3) requires it for RELOADING=1.
func monotonicMicroseconds() string {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return fmt.Sprint(t.Nano() / 1000)
}

// watchdog sends WATCHDOG=1 to the service manager three times per configured watchdog interval, each time after the loop
// has completed a turn. If the loop is stuck no notification is sent, and the manager ends the process.
func (d *Daemon) watchdog(ctx context.Context) (stop func()) {
	interval, err := daemon.SdWatchdogEnabled(false)
	if err != nil || interval <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		for {
			if d.loop.PostAndWait(func(time.Duration) {}) {
				notifyManager("WATCHDOG=1")
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(interval / 3):
			}
		}
	}()
	return cancel
}
