package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kinds of hosts, as day files name them.
const (
	CallerHost = "callers"
	NodeHost   = "nodes"
	ServerHost = "servers"
	ListHost   = "list"
)

// HostID identifies a host by its kind and its index among the hosts of that kind, from 0.
type HostID struct {
	Kind  string
	Index int
}

// HostSet selects hosts: the first share of the hosts of a kind. An empty kind selects every host.
type HostSet struct {
	Kind  string
	Share float64 // share of the hosts of the kind; 0: all
	Total int     // number of hosts of the kind
}

// contains reports whether the set selects a host.
func (s HostSet) contains(host HostID) bool {
	return s.Kind == "" || s.Kind == host.Kind && (s.Share <= 0 || host.Index < max(1, int(s.Share*float64(s.Total)+0.5)))
}

// Fault is a network fault that affects the messages between two sets of hosts until a given time.
type Fault struct {
	From, To      HostSet
	Bidirectional bool          // affects the opposite direction too
	Loss          float64       // share of messages that are lost
	Blocked       bool          // no message passes; data on connections waits for the end of the fault
	Delay         time.Duration // additional one-way delay
	Until         time.Duration // end of the fault
}

// affects reports whether the fault affects messages between two hosts in this direction.
func (f *Fault) affects(from, to HostID) bool {
	return f.From.contains(from) && f.To.contains(to) || f.Bidirectional && f.From.contains(to) && f.To.contains(from)
}

// NetworkConditions holds the network faults that are in effect.
type NetworkConditions struct {
	faults []*Fault
	rng    *rand.Rand
}

// NewNetworkConditions returns a network without faults.
func NewNetworkConditions(streams Streams) *NetworkConditions {
	return &NetworkConditions{rng: streams.Rand("weather")}
}

// Add starts a fault, and drops those that have ended.
func (c *NetworkConditions) Add(now time.Duration, f Fault) {
	c.faults = slices.DeleteFunc(c.faults, func(f *Fault) bool { return f.Until <= now })
	c.faults = append(c.faults, &f)
}

// Apply returns how the current faults affect a message: the additional delay, whether a datagram is lost, and, if so,
// the time until which data on a connection has to wait instead.
func (c *NetworkConditions) Apply(now time.Duration, from, to HostID) (delay time.Duration, lost bool, until time.Duration) {
	for _, f := range c.faults {
		if f.Until <= now || !f.affects(from, to) {
			continue
		}
		delay += f.Delay
		if f.Blocked {
			lost, until = true, max(until, f.Until)
		} else if f.Loss > 0 && c.rng.Float64() < f.Loss {
			lost, until = true, max(until, now+tcpRetransmitDelay)
		}
	}
	return delay, lost, until
}

// tcpRetransmitDelay is the time after which TCP retransmits a lost segment. RFC 6298, section 2, has a minimum of 1 s;
// common implementations use less.
const tcpRetransmitDelay = 200 * time.Millisecond
