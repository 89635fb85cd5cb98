package measure

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"larkrouter/internal/daemon"
	"larkrouter/internal/spawn"
	"larkrouter/internal/standin"
)

// environment holds the participants of a measurement: simulated callers and call servers on loopback in this process,
// and nodes in processes of their own.
type environment struct {
	ctx       context.Context
	cancel    context.CancelFunc
	clock     func() time.Duration
	loopsDone []chan struct{}
	nodes     []*spawn.Process
	dirs      []string
}

// newEnvironment returns an environment without participants; its loops end with ctx at the latest.
func newEnvironment(ctx context.Context) *environment {
	e := &environment{clock: daemon.MonotonicClock()}
	e.ctx, e.cancel = context.WithCancel(ctx)
	return e
}

// shutdown ends all nodes and loops, waits for them, and removes the nodes' directories.
func (e *environment) shutdown() {
	for _, process := range e.nodes {
		process.Kill()
	}
	e.cancel()
	for _, done := range e.loopsDone {
		<-done
	}
	for _, dir := range e.dirs {
		os.RemoveAll(dir)
	}
}

// openLoop opens a loop on a free address. All loops share one clock.
func (e *environment) openLoop() (*daemon.Loop, netip.AddrPort, error) {
	loop, address, err := daemon.NewLoopbackLoop()
	if err == nil {
		loop.Clock = e.clock
	}
	return loop, address, err
}

// runLoop runs a loop in the background until the environment is shut down.
func (e *environment) runLoop(loop *daemon.Loop) {
	done := make(chan struct{})
	e.loopsDone = append(e.loopsDone, done)
	go func() { defer close(done); loop.Run(e.ctx) }()
}

// runLoad runs a load until the given number of calls have ended, and returns the time it took. It returns an error if that
// exceeds the limit.
func (e *environment) runLoad(loop *daemon.Loop, load *standin.Load, calls int, limit time.Duration) (time.Duration, error) {
	loop.Actor = load
	start := time.Now()
	e.runLoop(loop)
	for {
		ended := 0
		loop.PostAndWait(func(time.Duration) { ended = load.Ended })
		if ended >= calls || e.ctx.Err() != nil {
			return time.Since(start), e.ctx.Err()
		}
		if time.Since(start) > limit {
			return time.Since(start), fmt.Errorf("only %d of %d calls ended within %v", ended, calls, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// startNode starts a program with a configuration in a directory of its own, and polls its output at the given interval until
// it serves.
func (e *environment) startNode(program, config string, interval time.Duration, args ...string) (*spawn.Process, error) {
	dir, err := os.MkdirTemp("", "larkrouter-measure")
	if err != nil {
		return nil, err
	}
	e.dirs = append(e.dirs, dir)
	file := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	process, err := spawn.Start(program, file, args...)
	if err != nil {
		return nil, err
	}
	e.nodes = append(e.nodes, process)
	return process, process.WaitReady(interval, func() bool { return strings.Contains(process.Output(), "serving") })
}
