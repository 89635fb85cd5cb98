package demo

import (
	"context"
	"net/netip"
	"time"

	"larkrouter/internal/actor"
)

// Participant is an endpoint that takes part in a scenario: callers, a call server, a node or the list server.
type Participant struct {
	Name    string
	Kind    string // "caller", "server", "node" or "list"
	Addr    netip.AddrPort
	Actor   actor.Actor
	Capture actor.CaptureHook // called for each message on its socket, in addition to the recorder; may be nil
}

// Environment is the environment in which the participants run: loopback sockets or the virtual network.
type Environment interface {
	// Address reserves an address for a participant, for UDP and TCP.
	Address(name string) (netip.AddrPort, error)
	// Start starts a participant, or restarts it at its address.
	Start(p Participant) error
	// Kill ends a participant as a crash would.
	Kill(name string)
	// Do runs a function in a turn of a participant.
	Do(name string, fn func(now time.Duration))
	// Inspect runs a function that must not change anything, if the participant is running. In virtual time it runs outside
	// the participant's turns and has no effect on the run.
	Inspect(name string, fn func(now time.Duration))
	// Stall suspends a participant for a duration: it reads nothing and does nothing.
	Stall(name string, d time.Duration)
	// Run runs the steps, each at its time after the start, until the end.
	Run(ctx context.Context, steps []Step, end time.Duration)
	// Now returns the current time.
	Now() time.Duration
}

// Step is an action at a time of the script.
type Step struct {
	At   time.Duration
	Text string
	Do   func()
}
