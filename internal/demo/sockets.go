package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"larkrouter/internal/daemon"
	"larkrouter/internal/sip/transport"
)

// SocketEnvironment is the environment on loopback sockets.
type SocketEnvironment struct {
	recorder     *Recorder
	clock        func() time.Duration
	start        time.Duration
	ctx          context.Context
	mu           sync.Mutex
	participants map[string]*socketParticipant
	wg           sync.WaitGroup
}

// socketParticipant is a participant with its event loop.
type socketParticipant struct {
	Participant
	loop *daemon.Loop // with open sockets, possibly not yet running; nil after Kill
	stop context.CancelFunc
	done chan struct{}
}

// NewSocketEnvironment returns an environment on loopback sockets. All participants end when the context is done.
func NewSocketEnvironment(ctx context.Context, recorder *Recorder) *SocketEnvironment {
	s := &SocketEnvironment{recorder: recorder, ctx: ctx, clock: daemon.MonotonicClock(), participants: map[string]*socketParticipant{}}
	s.start = s.clock()
	return s
}

// Address implements Environment. It opens the sockets.
func (e *SocketEnvironment) Address(name string) (netip.AddrPort, error) {
	loop, addr, err := daemon.NewLoopbackLoop()
	if err != nil {
		return addr, err
	}
	loop.Clock = e.clock
	e.mu.Lock()
	e.participants[name] = &socketParticipant{Participant: Participant{Name: name, Addr: addr}, loop: loop}
	e.mu.Unlock()
	return addr, nil
}

// Start implements Environment.
func (e *SocketEnvironment) Start(p Participant) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	participant := e.participants[p.Name]
	if participant == nil || participant.loop == nil {
		loop, err := daemon.NewLoop(transport.Config{UDP: p.Addr, TCP: p.Addr})
		if err != nil {
			return err
		}
		loop.Clock = e.clock
		participant = &socketParticipant{loop: loop}
		e.participants[p.Name] = participant
	}
	ctx, cancel := context.WithCancel(e.ctx)
	participant.Participant, participant.stop, participant.done = p, cancel, make(chan struct{})
	participant.loop.Actor, participant.loop.OnMessage, participant.loop.OnNote = p.Actor, e.recorder.captureHook(p), e.recorder.noteHook(p)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer close(participant.done)
		participant.loop.Run(ctx)
	}()
	return nil
}

// Kill implements Environment.
func (e *SocketEnvironment) Kill(name string) {
	e.mu.Lock()
	participant := e.participants[name]
	e.mu.Unlock()
	if participant == nil || participant.loop == nil {
		return
	}
	participant.stop()
	<-participant.done
	e.recorder.Add(downRecord(e.clock(), participant.Participant))
	e.mu.Lock()
	participant.loop = nil
	e.mu.Unlock()
}

// Do implements Environment.
func (e *SocketEnvironment) Do(name string, fn func(time.Duration)) {
	e.mu.Lock()
	participant := e.participants[name]
	e.mu.Unlock()
	if participant != nil && participant.loop != nil {
		participant.loop.PostAndWait(fn)
	}
}

// Inspect implements Environment.
func (e *SocketEnvironment) Inspect(name string, fn func(time.Duration)) { e.Do(name, fn) }

// Stall implements Environment.
func (e *SocketEnvironment) Stall(name string, d time.Duration) {
	e.mu.Lock()
	participant := e.participants[name]
	e.mu.Unlock()
	if participant != nil && participant.loop != nil {
		participant.loop.Post(func(time.Duration) { time.Sleep(d) })
	}
}

// Now implements Environment.
func (e *SocketEnvironment) Now() time.Duration { return e.clock() }

// Run implements Environment.
func (e *SocketEnvironment) Run(ctx context.Context, steps []Step, end time.Duration) {
	for _, step := range append(steps, Step{At: end, Do: func() {}}) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.start + step.At - e.clock()):
		}
		step.Do()
	}
}

// Wait waits until all participants have ended. The context must be done.
func (e *SocketEnvironment) Wait() { e.wg.Wait() }
