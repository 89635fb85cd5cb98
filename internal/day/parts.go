package day

import (
	"time"

	"larkrouter/internal/emulator"
)

// Spread is how draws vary around their mean.
type Spread = emulator.Spread

// Servers are the call servers. A server's work for a whole call follows from the fleet's load and rate.
type Servers struct {
	Work        Spread   `toml:"work"`                               // from one piece of work to the next
	Speeds      Spread   `toml:"speeds"`                             // from server to server
	Release     float64  `toml:"release" validate:"gte=0,lt=1"`      // share of a call's work that is its release
	Refusal     float64  `toml:"refusal" validate:"gte=0,lte=5"`     // work of a refusal, in a call's work
	Repeat      float64  `toml:"repeat" validate:"gte=0,lte=5"`      // and of a set-up sent again
	MaxWait     Duration `toml:"max_wait" validate:"gte=0"`          // a set-up that would wait longer is turned away
	Queue       int      `toml:"queue" validate:"gte=0,lte=100000"`  // so is one beyond so many; 0: no limit
	Lines       int      `toml:"lines" validate:"gte=0,lte=1000000"` // calls that a server holds at once; 0: no limit
	SetUpsFirst bool     `toml:"set_ups_first"`                      // releases wait behind set-ups
	Thrash      float64  `toml:"thrash" validate:"gte=0,lte=10"`     // how much slower for each thrash_at jobs in the line
	ThrashAt    int      `toml:"thrash_at" validate:"gte=1,lte=100000"`
	ColdShare   float64  `toml:"cold_share" validate:"gte=0,lte=1"`
	Ramp        Duration `toml:"ramp" validate:"gte=0"`
	Tip         float64  `toml:"tip" validate:"gte=0,lte=100"` // this multiple of what a cold one can do brings it down; 0: never
	TipFor      Duration `toml:"tip_for" validate:"gte=0"`
	ReportEvery Duration `toml:"report_every" validate:"gte=0"` // the wait that they tell is so old at the most
	ReportNoise Spread   `toml:"report_noise"`
	Silent      bool     `toml:"silent"`                         // they tell no waits
	HangUp      float64  `toml:"hang_up" validate:"gte=0,lte=1"` // share of the calls that the far side ends
	Control     bool     `toml:"overload_control"`               // they tell oc (RFC 7339) to nodes that ask
}

// Callers are the populations of callers, one a node.
type Callers struct {
	Shape     string   `toml:"shape" validate:"oneof=steady bursty swing"`
	CV        float64  `toml:"cv" validate:"gte=0,lte=10"` // bursty: of the rate, from span to span
	Every     Duration `toml:"every" validate:"gt=0"`      // bursty: a span's length
	Swing     float64  `toml:"swing" validate:"gte=0,lte=1"`
	Period    Duration `toml:"period" validate:"gt=0"`
	Drift     float64  `toml:"drift" validate:"gte=0,lte=10"` // variation of the calls from server to server; 0: even
	DriftEach Duration `toml:"drift_each" validate:"gte=0"`   // where calls go shifts so often
	Hold      Spread   `toml:"hold"`                          // of the length of calls
	Redials   int      `toml:"redials" validate:"gte=0,lte=20"`
	Back      Duration `toml:"back" validate:"gt=0"` // mean wait before one
	TCP       float64  `toml:"tcp" validate:"gte=0,lte=1"`
	Large     float64  `toml:"large" validate:"gte=0,lte=1"`     // share whose set-ups are too large for a datagram
	Impatient float64  `toml:"impatient" validate:"gte=0,lte=1"` // share that leaves early
	Comes     Duration `toml:"comes_again" validate:"gte=0"`     // a call that was cut is dialled again after this; 0: not
}

// Class is a class of call; a day without any has those of the demo.
type Class struct {
	Name     string   `toml:"name" validate:"required"`
	Prefix   string   `toml:"prefix" validate:"required,number"`
	Share    float64  `toml:"share" validate:"gt=0"`
	Aim      Duration `toml:"aim" validate:"gt=0"`
	Deadline Duration `toml:"deadline" validate:"gt=0"`
	Try      Duration `toml:"try" validate:"gt=0"` // a try is given up after this
	Hold     Duration `toml:"hold" validate:"gt=0"`
	Worth    float64  `toml:"worth" validate:"gt=0"`
	Late     float64  `toml:"late" validate:"gte=0,lte=1"`
}

// List is the list server: by how much more than the fleet's lag news of a kind is late.
type List struct {
	LagStart Duration `toml:"lag_start" validate:"gte=0"` // a server that is ready
	LagDrain Duration `toml:"lag_drain" validate:"gte=0"` // one that drains
	LagGone  Duration `toml:"lag_gone" validate:"gte=0"`  // one that is gone
}

// Network is the way between hosts.
type Network struct {
	Delay  Duration `toml:"delay" validate:"gte=0,lte=100000000"` // one way
	Jitter Duration `toml:"jitter" validate:"gte=0,lte=100000000"`
	Loss   float64  `toml:"loss" validate:"gte=0,lte=0.5"` // share of all datagrams
}

// Node are figures of the nodes' configuration that a day may differ in.
type Node struct {
	Attempts int      `toml:"max_attempts" validate:"gte=1,lte=20"`
	Tick     Duration `toml:"tick" validate:"gt=0"`
	Guard    Duration `toml:"release_guard" validate:"gte=0"`
	Grace    Duration `toml:"drain_grace" validate:"gte=0"`
	NoCancel bool     `toml:"no_cancel"`
}

// Default is a day with nothing said: what a file leaves out is as here.
func Default() File {
	s := func(x float64) Duration { return Duration(x * float64(time.Second)) }
	return File{
		Fleet: Fleet{Nodes: 40, Servers: 6, Rate: 260, Load: 0.7, Seconds: 60, Tell: true, Lag: s(1.5)},
		Servers: Servers{Release: 0.3, Refusal: 0.1, Repeat: 0.3, MaxWait: s(3), ThrashAt: 20, ColdShare: 0.3, Ramp: s(13), Tip: 2,
			TipFor: s(2), HangUp: 0.05, Control: true},
		Callers: Callers{Shape: "steady", CV: 0.4, Every: s(2), Swing: 0.3, Period: s(30), Hold: Spread{Kind: "exponential"}, Redials: 2,
			Back: s(1.2), TCP: 0.2, Impatient: 0.005},
		Network: Network{Delay: s(0.004), Jitter: s(0.003)},
		Node:    Node{Attempts: 4, Tick: s(0.005), Guard: s(0.5), Grace: s(1)},
	}
}

// Classes are the day's, or those of a day that names none.
func (f *File) Classes() []Class {
	if len(f.Class) > 0 {
		return f.Class
	}
	return DefaultClasses()
}

// DefaultClasses are those of a day that names none.
func DefaultClasses() []Class {
	s := func(x float64) Duration { return Duration(x * float64(time.Second)) }
	return []Class{
		{Name: "balance-check", Prefix: "1", Share: 0.74, Aim: s(1.2), Deadline: s(9), Try: s(3), Hold: s(8), Worth: 1, Late: 0.25},
		{Name: "cutoff-transfer", Prefix: "2", Share: 0.05, Aim: s(1), Deadline: s(6), Try: s(2), Hold: s(4), Worth: 8, Late: 0.25},
		{Name: "rate-quote", Prefix: "3", Share: 0.21, Aim: s(1.2), Deadline: s(9), Try: s(3), Hold: s(6), Worth: 2, Late: 0.1},
	}
}
