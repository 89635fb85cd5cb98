package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/daemon"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transport"
	"larkrouter/internal/virtual"
)

// Party is somebody on the stage.
type Party struct {
	Name string
	Kind string // "caller", "server", "node", "list": whose socket a capture shows
	Addr netip.AddrPort
	Act  actor.Actor
	Tap  actor.Tap // sees what its socket does, beside the capture; nil: nobody
}

// Stage is where the parties meet: sockets or the virtual network.
type Stage interface {
	// Address reserves an address for a party, UDP and TCP.
	Address(name string) (netip.AddrPort, error)
	// Boot starts a party, or starts it again at its address.
	Boot(p Party) error
	// Kill ends a party without a word.
	Kill(name string)
	// Do runs a function in a party's turn.
	Do(name string, fn func(now time.Duration))
	// Look runs a function that changes nothing beside a party's turns, if it is up: in virtual time it does not even show.
	Look(name string, fn func(now time.Duration))
	// Stall lets a party stand still for a while: it reads nothing and does nothing.
	Stall(name string, d time.Duration)
	// Play runs the script: each step at its time after the start, until the end.
	Play(ctx context.Context, steps []Step, end time.Duration)
	Now() time.Duration
}

// Step is one thing that happens on the day.
type Step struct {
	At   time.Duration
	What string
	Do   func()
}

// Recorder collects a capture.
type Recorder struct {
	mu  sync.Mutex
	all []rules.Record
	// Each, if set, takes the records one by one in place of keeping them.
	Each func(rules.Record)
	// Log sees the nodes' notes other than list news, if set.
	Log func(name string, now time.Duration, note any)
}

// Records are all so far.
func (r *Recorder) Records() []rules.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all
}

// Add takes a record.
func (r *Recorder) Add(rec rules.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Each != nil {
		r.Each(rec)
		return
	}
	r.all = append(r.all, rec)
}

func (r *Recorder) tap(p Party) actor.Tap {
	if p.Kind != "caller" && p.Kind != "server" {
		return p.Tap
	}
	self := p.Addr.String()
	return func(now time.Duration, dir actor.Direction, peer sip.Peer, m *sip.Message) {
		if p.Tap != nil {
			p.Tap(now, dir, peer, m)
		}
		r.Add(rules.Record{Time: now, Kind: "msg", At: p.Kind, Dir: string(dir), Self: self, Peer: peer.String(), Msg: m.Clone()})
	}
}

func (r *Recorder) note(p Party) func(time.Duration, any) {
	self := p.Addr.String()
	return func(now time.Duration, note any) {
		news, ok := note.(*pool.News)
		if !ok {
			if r.Log != nil {
				r.Log(p.Name, now, note)
			}
			return
		}
		r.Add(ListRecord(now, self, news))
	}
}

// ListRecord is the record of news that a node was told.
func ListRecord(now time.Duration, self string, news *pool.News) rules.Record {
	rec := rules.Record{Time: now, Kind: "list", Self: self, Full: news.Full()}
	for _, k := range news.Changed {
		rec.List = append(rec.List, rules.ListEntry{Address: k.Address, Phase: node.PhaseName(k.Phase), Started: k.Started})
	}
	return rec
}

// Virtual is the stage in virtual time.
type Virtual struct {
	Net     *virtual.Net
	rec     *Recorder
	parties map[string]Party
	port    uint16
	begin   time.Duration
	// Wrap, if set, stands between a party and the network, as a fault.
	Wrap func(p Party) actor.Actor
}

// NewVirtual makes a virtual stage.
func NewVirtual(seed uint64, rec *Recorder) *Virtual {
	v := &Virtual{Net: virtual.New(seed), rec: rec, parties: map[string]Party{}, port: 5060}
	v.begin = v.Net.Now()
	v.Net.Missed = func(now, until time.Duration, from netip.AddrPort, to sip.Peer, m *sip.Message) {
		rec.Add(rules.Record{Time: now, Kind: "lost", Until: until, Self: from.String(), Peer: to.String(), Msg: m.Clone()})
	}
	return v
}

// Address implements Stage.
func (v *Virtual) Address(string) (netip.AddrPort, error) {
	v.port++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), v.port), nil
}

// Boot implements Stage.
func (v *Virtual) Boot(p Party) error {
	v.parties[p.Name] = p
	act := p.Act
	if v.Wrap != nil {
		act = v.Wrap(p)
	}
	v.Net.Add(p.Name, act, v.rec.tap(p), v.rec.note(p), p.Addr)
	return nil
}

// Kill implements Stage.
func (v *Virtual) Kill(name string) {
	v.rec.Add(downRecord(v.Net.Now(), v.parties[name]))
	v.Net.Kill(name)
}

func downRecord(now time.Duration, p Party) rules.Record {
	kind := "down"
	if p.Kind == "node" {
		kind = "killed"
	}
	return rules.Record{Time: now, Kind: kind, Self: p.Addr.String()}
}

// Do implements Stage.
func (v *Virtual) Do(name string, fn func(time.Duration)) { v.Net.Do(name, fn) }

// Look implements Stage.
func (v *Virtual) Look(name string, fn func(time.Duration)) { v.Net.Look(name, fn) }

// Stall implements Stage.
func (v *Virtual) Stall(name string, d time.Duration) { v.Net.Stall(name, d) }

// Now implements Stage.
func (v *Virtual) Now() time.Duration { return v.Net.Now() }

// Play implements Stage.
func (v *Virtual) Play(ctx context.Context, steps []Step, end time.Duration) {
	for _, s := range steps {
		v.Net.At(v.begin+s.At, s.Do)
	}
	for at := v.begin; at < v.begin+end && ctx.Err() == nil; at += time.Second {
		v.Net.Run(min(at+time.Second, v.begin+end))
	}
}

// Sockets is the stage on loopback sockets.
type Sockets struct {
	rec     *Recorder
	clock   func() time.Duration
	begin   time.Duration
	ctx     context.Context
	mu      sync.Mutex
	parties map[string]*running
	wg      sync.WaitGroup
}

type running struct {
	Party
	loop *daemon.Loop // opened, perhaps not yet running
	stop context.CancelFunc
	end  chan struct{}
}

// NewSockets makes a stage on loopback; all parties end with the context.
func NewSockets(ctx context.Context, rec *Recorder) *Sockets {
	s := &Sockets{rec: rec, ctx: ctx, clock: daemon.Monotonic(), parties: map[string]*running{}}
	s.begin = s.clock()
	return s
}

// Address implements Stage: it opens the sockets.
func (s *Sockets) Address(name string) (netip.AddrPort, error) {
	l, addr, err := daemon.NewLoopback()
	if err != nil {
		return addr, err
	}
	l.Clock = s.clock
	s.mu.Lock()
	s.parties[name] = &running{Party: Party{Name: name, Addr: addr}, loop: l}
	s.mu.Unlock()
	return addr, nil
}

// Boot implements Stage.
func (s *Sockets) Boot(p Party) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.parties[p.Name]
	if r == nil || r.loop == nil {
		l, err := daemon.NewLoop(transport.Config{UDP: p.Addr, TCP: p.Addr})
		if err != nil {
			return err
		}
		l.Clock = s.clock
		r = &running{loop: l}
		s.parties[p.Name] = r
	}
	ctx, cancel := context.WithCancel(s.ctx)
	r.Party, r.stop, r.end = p, cancel, make(chan struct{})
	r.loop.Actor, r.loop.Tap, r.loop.Note = p.Act, s.rec.tap(p), s.rec.note(p)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer close(r.end)
		r.loop.Run(ctx)
	}()
	return nil
}

// Kill implements Stage.
func (s *Sockets) Kill(name string) {
	s.mu.Lock()
	r := s.parties[name]
	s.mu.Unlock()
	if r == nil || r.loop == nil {
		return
	}
	r.stop()
	<-r.end
	s.rec.Add(downRecord(s.clock(), r.Party))
	s.mu.Lock()
	r.loop = nil
	s.mu.Unlock()
}

// Do implements Stage.
func (s *Sockets) Do(name string, fn func(time.Duration)) {
	s.mu.Lock()
	r := s.parties[name]
	s.mu.Unlock()
	if r != nil && r.loop != nil {
		r.loop.Call(fn)
	}
}

// Look implements Stage.
func (s *Sockets) Look(name string, fn func(time.Duration)) { s.Do(name, fn) }

// Stall implements Stage.
func (s *Sockets) Stall(name string, d time.Duration) {
	s.mu.Lock()
	r := s.parties[name]
	s.mu.Unlock()
	if r != nil && r.loop != nil {
		r.loop.Do(func(time.Duration) { time.Sleep(d) })
	}
}

// Now implements Stage.
func (s *Sockets) Now() time.Duration { return s.clock() }

// Play implements Stage.
func (s *Sockets) Play(ctx context.Context, steps []Step, end time.Duration) {
	for _, st := range append(steps, Step{At: end, Do: func() {}}) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.begin + st.At - s.clock()):
		}
		st.Do()
	}
}

// Wait waits until all parties have ended, after the context has.
func (s *Sockets) Wait() { s.wg.Wait() }
