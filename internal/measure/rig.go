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

// rig is what measurements share: stand-ins on loopback in this process, and nodes in processes of their own.
type rig struct {
	ctx    context.Context
	cancel context.CancelFunc
	clock  func() time.Duration
	ends   []chan struct{}
	nodes  []*spawn.Node
	dirs   []string
}

func newRig(ctx context.Context) *rig {
	g := &rig{clock: daemon.Monotonic()}
	g.ctx, g.cancel = context.WithCancel(ctx)
	return g
}

// end ends all that was started, and waits for it.
func (g *rig) end() {
	for _, n := range g.nodes {
		n.Kill()
	}
	g.cancel()
	for _, e := range g.ends {
		<-e
	}
	for _, d := range g.dirs {
		os.RemoveAll(d)
	}
}

// open opens a loop on a free address, by the one clock of all.
func (g *rig) open() (*daemon.Loop, netip.AddrPort, error) {
	l, at, err := daemon.NewLoopback()
	if err == nil {
		l.Clock = g.clock
	}
	return l, at, err
}

func (g *rig) run(l *daemon.Loop) {
	end := make(chan struct{})
	g.ends = append(g.ends, end)
	go func() { defer close(end); l.Run(g.ctx) }()
}

// load runs a load until so many calls have ended, and says how long that took.
func (g *rig) load(l *daemon.Loop, act *standin.Load, calls int, limit time.Duration) (time.Duration, error) {
	l.Actor = act
	begin := time.Now()
	g.run(l)
	for {
		ended := 0
		l.Call(func(time.Duration) { ended = act.Ended })
		if ended >= calls || g.ctx.Err() != nil {
			return time.Since(begin), g.ctx.Err()
		}
		if time.Since(begin) > limit {
			return time.Since(begin), fmt.Errorf("%d of %d calls ended within %v", ended, calls, limit)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// node starts a program with a configuration, and waits until it says that it serves, looking every so often.
func (g *rig) node(program, config string, every time.Duration, args ...string) (*spawn.Node, error) {
	dir, err := os.MkdirTemp("", "larkrouter-measure")
	if err != nil {
		return nil, err
	}
	g.dirs = append(g.dirs, dir)
	file := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	n, err := spawn.Start(program, file, args...)
	if err != nil {
		return nil, err
	}
	g.nodes = append(g.nodes, n)
	return n, n.Await(every, func() bool { return strings.Contains(n.Wrote(), "serving") })
}
