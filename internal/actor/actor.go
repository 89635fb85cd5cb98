// Package actor defines the interface of all SIP endpoints that perform no I/O: the node and the simulated callers, call
// servers and list servers. A driver, either real sockets or the virtual network, passes input and the time to an actor and
// carries out its effects. A turn is any number of calls of Receive and TransportFailed, then Advance, then TakeEffects, all
// with the same time.
package actor

import (
	"time"

	"larkrouter/internal/sip"
)

// Effect is one output of an actor: a message to send, or a note for the driver, such as a log record or a
// journal entry.
type Effect struct {
	Send *sip.Message
	To   sip.Peer
	Note any
}

// Actor is a SIP endpoint without I/O or clock. It is not safe for concurrent use.
type Actor interface {
	// Start is called once, when the actor is put into service.
	Start(now time.Duration)
	// Receive passes a received message, or the error of one that could not be parsed, to the actor.
	Receive(now time.Duration, p sip.Packet)
	// TransportFailed reports that a send failed or a connection was closed; err wraps sip.ErrRefused or sip.ErrLost.
	TransportFailed(now time.Duration, to sip.Peer, err error)
	// Advance fires the timers that are due.
	Advance(now time.Duration)
	// NextDeadline returns the time at which Advance must be called next; false if no timer is set.
	NextDeadline() (time.Duration, bool)
	// TakeEffects passes the effects since its last call to the function, in order. They are valid until the next
	// turn.
	TakeEffects(func(Effect))
}

// Direction is the direction of a message at an actor's socket.
type Direction string

// Directions of a message, as the actor sees it.
const (
	In  Direction = "in"
	Out Direction = "out"
)

// CaptureHook is called with each message at an actor's socket, as it is read and as it is written.
type CaptureHook func(now time.Duration, dir Direction, peer sip.Peer, m *sip.Message)
