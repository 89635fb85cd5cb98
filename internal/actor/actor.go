// Package actor is the shape that all pure SIP parties share: the node and the stand-ins. Whoever drives one, sockets
// or the virtual network, hands it input and the time and carries out its effects. A turn is any number of Receive and
// Lost with one time, then Advance with that time, then Take.
package actor

import (
	"time"

	"larkrouter/internal/sip"
)

// Effect is one thing to be done: a message to be sent, or a note for whoever drives the actor.
type Effect struct {
	Send *sip.Message
	To   sip.Peer
	Note any
}

// Actor is a pure party. It is not safe for several goroutines.
type Actor interface {
	Start(now time.Duration)
	Receive(now time.Duration, p sip.Packet)
	// Lost tells that a send failed or a connection is gone; err wraps sip.ErrRefused or sip.ErrLost.
	Lost(now time.Duration, to sip.Peer, err error)
	Advance(now time.Duration)
	Next() (time.Duration, bool)
	Take(func(Effect))
}

// Direction of a message as seen at a party's socket.
type Direction string

// The directions.
const (
	In  Direction = "in"
	Out Direction = "out"
)

// Tap sees each message at a party's socket, as it is read and as it is written.
type Tap func(now time.Duration, dir Direction, peer sip.Peer, m *sip.Message)
