package daemon

import (
	"os"
	"syscall"
	"time"
)

// drainReason says why a process finishes its calls.
type drainReason int

const (
	drainForStop    drainReason = iota // a signal or command has asked it to stop: the next signal ends it at once
	drainForUpgrade                    // its successor serves: the first signal asks it to stop
)

// drainCalls waits until all calls have ended, then ends the list subscription. After the configured wait it releases the calls that
// are left. It reports whether all calls ended by themselves.
func (d *Daemon) drainCalls(reason drainReason) bool {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	deadline := time.After(time.Duration(d.file.Load().Calls.MaxStopWait))
	for {
		waiting, standing := 0, 0
		d.loop.PostAndWait(func(time.Duration) { waiting, standing = d.node.OpenCalls() })
		if waiting+standing == 0 {
			d.loop.PostAndWait(d.node.EndAllCalls) // ends the subscription
			time.Sleep(20 * time.Millisecond)      // time for the SUBSCRIBE that ends it to be sent
			d.log.Info("stopped", "clean", true)
			return true
		}
		select {
		case received := <-d.signals:
			switch {
			case !asksToStop(received):
				d.log.Warn("signal ignored: this process only finishes its calls", "signal", received.String())
			case reason == drainForStop:
				d.log.Warn("stopped immediately by a second signal", "unanswered", waiting, "standing", standing)
				return false
			default:
				d.releaseCalls(waiting, standing)
				return false
			}
		case <-deadline:
			d.releaseCalls(waiting, standing)
			return false
		case <-tick.C:
		}
	}
}

// asksToStop reports whether a signal asks the process to end.
func asksToStop(received os.Signal) bool {
	return received != syscall.SIGHUP && received != syscall.SIGUSR2
}

// releaseCalls ends the calls that are left.
func (d *Daemon) releaseCalls(waiting, standing int) {
	d.log.Warn("releasing the remaining calls", "unanswered", waiting, "standing", standing)
	d.loop.PostAndWait(d.node.EndAllCalls)
	d.waitForAnswers()
	d.log.Info("stopped", "clean", false)
}

// waitForAnswers gives the parties of released calls time to answer. A signal to stop ends the wait.
func (d *Daemon) waitForAnswers() {
	enough := time.After(time.Second)
	for {
		select {
		case <-enough:
			return
		case received := <-d.signals:
			if asksToStop(received) {
				return
			}
		}
	}
}
