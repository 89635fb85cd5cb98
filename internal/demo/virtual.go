package demo

import (
	"context"
	"net/netip"
	"time"

	"larkrouter/internal/actor"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
	"larkrouter/internal/virtual"
)

// VirtualEnvironment is the environment in virtual time.
type VirtualEnvironment struct {
	Net          *virtual.Net
	recorder     *Recorder
	participants map[string]Participant
	lastPort     uint16
	start        time.Duration
	// WrapActor, if set, returns the actor to run in place of a participant's own, to inject faults.
	WrapActor func(p Participant) actor.Actor
}

// NewVirtualEnvironment returns an environment in virtual time.
func NewVirtualEnvironment(seed uint64, recorder *Recorder) *VirtualEnvironment {
	v := &VirtualEnvironment{Net: virtual.New(seed), recorder: recorder, participants: map[string]Participant{}, lastPort: 5060}
	v.start = v.Net.Now()
	v.Net.OnMissed = func(now, until time.Duration, from netip.AddrPort, to sip.Peer, m *sip.Message) {
		recorder.Add(rules.Record{Time: now, Kind: "lost", Until: until, Owner: from.String(), Peer: to.String(), Msg: m.Clone()})
	}
	return v
}

// Address implements Environment.
func (e *VirtualEnvironment) Address(string) (netip.AddrPort, error) {
	e.lastPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), e.lastPort), nil
}

// Start implements Environment.
func (e *VirtualEnvironment) Start(p Participant) error {
	e.participants[p.Name] = p
	act := p.Actor
	if e.WrapActor != nil {
		act = e.WrapActor(p)
	}
	e.Net.Add(p.Name, act, e.recorder.captureHook(p), e.recorder.noteHook(p), p.Addr)
	return nil
}

// Kill implements Environment.
func (e *VirtualEnvironment) Kill(name string) {
	e.recorder.Add(downRecord(e.Net.Now(), e.participants[name]))
	e.Net.Kill(name)
}

// Do implements Environment.
func (e *VirtualEnvironment) Do(name string, fn func(time.Duration)) { e.Net.Do(name, fn) }

// Inspect implements Environment.
func (e *VirtualEnvironment) Inspect(name string, fn func(time.Duration)) { e.Net.Inspect(name, fn) }

// Stall implements Environment.
func (e *VirtualEnvironment) Stall(name string, d time.Duration) { e.Net.Stall(name, d) }

// Now implements Environment.
func (e *VirtualEnvironment) Now() time.Duration { return e.Net.Now() }

// Run implements Environment.
func (e *VirtualEnvironment) Run(ctx context.Context, steps []Step, end time.Duration) {
	for _, s := range steps {
		e.Net.At(e.start+s.At, s.Do)
	}
	for at := e.start; at < e.start+end && ctx.Err() == nil; at += time.Second {
		e.Net.Run(min(at+time.Second, e.start+end))
	}
}
