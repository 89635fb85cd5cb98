// Package edge is the shell of the access node on the platform: listener, connections, command channel, signals, clock,
// limits and log around internal/edge/access. It holds no rule.
package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/admit"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/settings"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

// zero is what the node's clock shows at the start: the module's zero means long ago, and servers started before.
const zero = time.Hour

// How long calls may still come after a SIGTERM, and when the last answer must be out: a SIGKILL comes no sooner than
// the longest deadline, 3 s at the most, and 0.7 s.
const (
	stopTakes  = 900 * time.Millisecond
	stopLonger = 350 * time.Millisecond
	stopMost   = 3 * time.Second
)

// After a SIGHUP, how often and how long a configuration that can't be taken is read again: what the new channel has to
// tell counts as told 4 s after the signal.
const (
	rereadEvery = 50 * time.Millisecond
	rereadFor   = 4 * time.Second
)

type eventKind uint8

const (
	accepted eventKind = iota
	fromCaller
	fromTrunk
	dialed
	fromFeed
	unstuck
)

// event is what a goroutine hands to the loop.
type event struct {
	kind   eventKind
	sock   *socket
	conn   *net.TCPConn // accepted or dialed
	id     access.Conn  // dialed
	at     time.Duration
	calls  []*sip.Message
	lines  []*trunk.Message
	part   bool
	fault  error // what came can't be read
	lost   error // the connection has ended
	list   *feed.List
	listed chan struct{}
	number uint64 // of the event that brought the list
}

// hub is what the goroutines share.
type hub struct {
	events  chan event
	done    chan struct{}
	begin   time.Time
	log     *slog.Logger
	sockets atomic.Int64
}

func (h *hub) clock() time.Duration { return zero + time.Since(h.begin) }

// post hands an event to the loop; false when that has ended.
func (h *hub) post(ev event) bool {
	select {
	case h.events <- ev:
		return true
	case <-h.done:
		return false
	}
}

// Signals are those that Serve takes, from now on.
func Signals() <-chan os.Signal {
	c := make(chan os.Signal, 8)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}

// Load reads the configuration.
func Load(path string) (*settings.Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w; EDGE_CONFIG names the file", err)
	}
	c, err := settings.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// shell is the loop's state.
type shell struct {
	*hub
	cfg     *settings.Config
	path    string
	node    *access.Node
	conns   map[access.Conn]*socket
	dials   map[access.Conn]bool // under way; false: no longer wanted
	dirty   []*socket
	most    int64        // descriptors for connections, in all
	cursor  *feed.Cursor // of the command channel's goroutine
	told    uint64       // number of the last event that brought a list
	channel string
	unread  context.CancelFunc // ends the command channel's goroutine
	quit    chan struct{}      // closed when that has ended
	meter   meter

	reread      <-chan time.Time // when a configuration that could not be taken is read again
	rereadUntil time.Duration
}

// Serve runs the access node until it is told to stop. It returns nil once all that was taken is answered.
func Serve(cfg *settings.Config, path string, log *slog.Logger, signals <-chan os.Signal) error {
	limit(cfg.Limits)
	h := &hub{events: make(chan event, 1024), done: make(chan struct{}), begin: time.Now(), log: log}
	defer close(h.done)
	sh := &shell{hub: h, cfg: cfg, path: path, conns: map[access.Conn]*socket{}, dials: map[access.Conn]bool{}, channel: cfg.Channel,
		cursor: &feed.Cursor{Last: cfg.Cursor}}
	descriptors := cfg.Limits.Sockets
	if descriptors == 0 {
		descriptors = 1024
	}
	callers, all := admit.Shares(descriptors)
	sh.most = int64(all)
	node, err := access.New(access.Config{Module: cfg.Module, Figures: cfg.Figures, Seed: cfg.Seed, Callers: callers, Lines: 4,
		Trunks: all - callers, Wall: h.begin.Add(-zero).UnixMilli(), Gone: sh.gone}, h.clock())
	if err != nil {
		return err
	}
	sh.node = node
	for i, raw := range cfg.Known {
		ev, err := feed.ParseEvent(raw)
		if err != nil {
			return fmt.Errorf("configuration %s: known, event %d: %w", path, i, err)
		}
		if ev.List != nil {
			node.List(h.clock(), ev.List, i == 0)
		}
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return fmt.Errorf("listening for callers on %s: %w; a free address of this machine is right", cfg.Listen, err)
	}
	defer l.Close()
	go sh.accept(l)
	sh.followFeed()
	defer func() { sh.unread() }()
	log.Info("serving", "name", cfg.Name, "listen", cfg.Listen.String(), "channel", cfg.Channel, "cursor", cfg.Cursor,
		"classes", cfg.Module.Classes, "release_guard", cfg.Module.ReleaseGuard.String(), "retransmit", cfg.Module.Retransmit.String(),
		"ramp", cfg.Module.RampTime.String(), "instances", cfg.Module.Instances, "report", cfg.Module.ReportFields,
		"memory_mb", cfg.Limits.Memory>>20, "sockets", cfg.Limits.Sockets, "cores", cfg.Limits.Cores)
	sh.run(signals)
	return nil
}

// gone says whether a caller has ended its connection.
func (sh *shell) gone(c access.Conn) bool {
	s := sh.conns[c]
	return s != nil && s.gone()
}

// limit holds the process to what the platform lets it have.
func limit(l settings.Limits) {
	if l.Cores > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.Memory > 0 {
		debug.SetMemoryLimit(l.Memory * 6 / 10)
	}
	debug.SetGCPercent(50)
}

func (sh *shell) followFeed() {
	ctx, cancel := context.WithCancel(context.Background())
	sh.unread, sh.quit = cancel, make(chan struct{})
	go func(addr string, cursor *feed.Cursor, quit chan struct{}) {
		defer close(quit)
		sh.follow(ctx, addr, cursor)
	}(sh.channel, sh.cursor, sh.quit)
}

// reload takes the command channel's address from the configuration as it is now. Calls go on untouched. A file that can't
// be taken may be half written: it is read again until it can be, for as long as news of the old channel may be late.
func (sh *shell) reload() {
	cfg, err := Load(sh.path)
	if err != nil {
		sh.log.Error("reload: the configuration before stays", "cause", err.Error())
		if now := sh.clock(); now < sh.rereadUntil {
			sh.reread = time.After(rereadEvery)
		}
		return
	}
	sh.log.Info("reload", "channel", cfg.Channel, "cursor", sh.told)
	sh.reread = nil
	sh.channel = cfg.Channel
	sh.unread()
	before := sh.quit
	ctx, cancel := context.WithCancel(context.Background())
	sh.unread, sh.quit = cancel, make(chan struct{})
	go func(addr string, quit chan struct{}) { // the cursor is the one goroutine's or the other's
		defer close(quit)
		<-before
		sh.follow(ctx, addr, sh.cursor)
	}(sh.channel, sh.quit)
}

func (sh *shell) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors: connections wait in the kernel's queue
			continue
		}
		_ = c.SetKeepAlive(false)
		if sh.sockets.Add(1) > sh.most {
			sh.sockets.Add(-1)
			c.Close()
			continue
		}
		if !sh.post(event{kind: accepted, conn: c}) {
			c.Close()
			return
		}
	}
}

// run is the loop: it alone touches the node.
func (sh *shell) run(signals <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lines := time.NewTicker(time.Second)
	defer lines.Stop()
	var batch []event
	var stopping time.Duration
	sh.carryOut()
	for {
		if at, ok := sh.node.Next(); ok {
			timer.Reset(max(0, at-sh.clock()))
		}
		batch = batch[:0]
		var tick <-chan time.Time
		if stopping > 0 {
			tick = time.After(20 * time.Millisecond)
		}
		select {
		case ev := <-sh.events:
			batch = append(batch, ev)
		case <-timer.C:
		case <-tick:
		case <-lines.C:
			sh.line()
		case <-sh.reread:
			sh.reread = nil
			sh.reload()
		case s := <-signals:
			if s == syscall.SIGHUP {
				sh.rereadUntil = sh.clock() + rereadFor
				sh.reload()
			} else if stopping == 0 {
				stopping = sh.clock()
				longest := time.Duration(0)
				for _, c := range sh.cfg.Module.Classes {
					longest = max(longest, c.Deadline)
				}
				sh.node.Stop(stopping, stopping+min(longest, stopMost)+stopLonger)
				sh.log.Info("stopping", "signal", s.String(), "open", sh.node.Open())
			}
		}
		began := sh.clock()
	more:
		for len(batch) < 512 {
			select {
			case ev := <-sh.events:
				batch = append(batch, ev)
			default:
				break more
			}
		}
		for _, ev := range batch { // after a stall, what is to drain is known before anything is sent
			if ev.kind == fromFeed {
				sh.node.List(sh.clock(), ev.list, false)
				sh.told = ev.number
				close(ev.listed)
			}
		}
		for i := range batch {
			sh.take(&batch[i])
			batch[i] = event{}
		}
		sh.node.Advance(sh.clock())
		sh.carryOut()
		sh.meter.turn(sh.clock() - began)
		if stopping > 0 && sh.clock()-stopping > stopTakes && sh.node.Open() == 0 {
			sh.end()
			return
		}
	}
}

// end closes what is open so that all that was written can be read.
func (sh *shell) end() {
	for _, s := range sh.conns {
		s.shut(false)
	}
	time.Sleep(100 * time.Millisecond)
	sh.log.Info("stopped", "clean", true)
}

// adopt begins to read a connection; nil where it has broken already.
func (sh *shell) adopt(id access.Conn, c *net.TCPConn, isTrunk bool) *socket {
	s, err := newSocket(id, c, isTrunk)
	if err != nil {
		sh.sockets.Add(-1)
		c.Close()
		return nil
	}
	sh.conns[id] = s
	go s.read(sh.hub)
	return s
}

func (sh *shell) take(ev *event) {
	now := sh.clock()
	switch ev.kind {
	case accepted:
		s := sh.adopt(sh.node.NewConn(), ev.conn, false)
		if s == nil {
			return
		}
		sh.node.CallerOpen(now, s.id)
	case dialed:
		wanted := sh.dials[ev.id]
		delete(sh.dials, ev.id)
		if ev.conn == nil {
			if wanted {
				sh.node.TrunkFailed(now, ev.id, errors.Is(ev.lost, syscall.ECONNREFUSED))
			}
			return
		}
		if !wanted {
			sh.sockets.Add(-1)
			ev.conn.Close()
			return
		}
		s := sh.adopt(ev.id, ev.conn, true)
		if s == nil {
			sh.node.TrunkFailed(now, ev.id, false)
			return
		}
		sh.node.TrunkUp(now, s.id)
	case unstuck:
		sh.unstuck(ev)
	case fromCaller, fromTrunk:
		s := ev.sock
		if sh.conns[s.id] != s {
			return
		}
		if s.trunk {
			if len(ev.lines) > 0 {
				sh.node.TrunkHeard(now, s.id)
			}
			for _, m := range ev.lines {
				sh.node.TrunkMessage(sh.clock(), s.id, m)
			}
			if ev.fault != nil {
				sh.node.TrunkFault(now, s.id, ev.fault)
			}
			if ev.lost != nil {
				sh.node.TrunkClosed(now, s.id, ev.lost.Error())
			}
		} else {
			for _, m := range ev.calls {
				sh.node.CallerMessage(sh.clock(), ev.at, s.id, m)
			}
			sh.node.CallerPart(now, s.id, ev.part)
			if ev.fault != nil {
				sh.node.CallerFault(now, s.id, ev.fault)
			}
			if ev.lost != nil {
				sh.node.CallerClosed(now, s.id)
			}
		}
		if ev.lost != nil {
			s.ended.Store(true)
			delete(sh.conns, s.id)
		}
		select {
		case s.taken <- struct{}{}:
		default:
		}
	}
}

// carryOut does what the node wants done. Bytes for one connection go out together.
func (sh *shell) carryOut() {
	for again := true; again; {
		again = false
		sh.node.Take(func(e access.Effect) {
			switch e.Kind {
			case access.Write:
				if s := sh.conns[e.Conn]; s != nil && !s.closing {
					if s.out = append(s.out, e.Bytes...); !s.dirty {
						s.dirty, sh.dirty = true, append(sh.dirty, s)
					}
				}
			case access.Close:
				if _, dialing := sh.dials[e.Conn]; dialing {
					sh.dials[e.Conn] = false
				} else if s := sh.conns[e.Conn]; s != nil {
					s.closing = true
					if !s.dirty {
						s.dirty, sh.dirty = true, append(sh.dirty, s)
					}
				}
			case access.Dial:
				sh.dials[e.Conn] = true
				go sh.dial(e.Conn, e.Addr.String())
			case access.Logged:
				sh.note(e.Note)
			}
		})
		for _, s := range sh.dirty {
			s.dirty = false
			again = sh.flush(s) || again
		}
		sh.dirty = sh.dirty[:0]
	}
}

// flush writes what is to go out on a connection; true where that told the node something.
func (sh *shell) flush(s *socket) bool {
	if s.stuck || sh.conns[s.id] != s {
		if len(s.out) > pendingMost {
			return sh.broken(s)
		}
		return false
	}
	if len(s.out) > 0 {
		if err := s.write(); err != nil {
			return sh.broken(s)
		}
	}
	if len(s.out) > 0 {
		if s.trunk { // a call server that reads nothing: a release that can't be written ends the connection
			return sh.broken(s)
		}
		s.stuck = true
		go func(b []byte) {
			_ = s.conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, err := s.conn.Write(b)
			sh.post(event{kind: unstuck, sock: s, lost: err})
		}(s.out)
		s.out = nil
		return false
	}
	if s.closing {
		delete(sh.conns, s.id)
		s.shut(s.trunk || sh.sockets.Load() > sh.most*4/5)
	}
	return false
}

func (sh *shell) unstuck(ev *event) {
	s := ev.sock
	s.stuck = false
	if ev.lost != nil {
		sh.broken(s)
		return
	}
	sh.flush(s)
}

// broken ends a connection that can't be written to.
func (sh *shell) broken(s *socket) bool {
	if sh.conns[s.id] != s {
		return false
	}
	delete(sh.conns, s.id)
	s.shut(true)
	if s.trunk {
		sh.node.TrunkClosed(sh.clock(), s.id, "it can't be written to")
	} else {
		sh.node.CallerClosed(sh.clock(), s.id)
	}
	return true
}

func (sh *shell) dial(id access.Conn, addr string) {
	d := net.Dialer{Timeout: sh.cfg.Figures.ConnectTimeout, KeepAlive: -1}
	c, err := d.Dial("tcp", addr)
	ev := event{kind: dialed, id: id, lost: err}
	if err == nil {
		sh.sockets.Add(1)
		ev.conn = c.(*net.TCPConn)
	}
	if !sh.post(ev) && err == nil {
		c.Close()
	}
}
