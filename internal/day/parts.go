package day

import (
	"time"

	"larkrouter/internal/emulator"
)

// Distribution describes how random values vary around their mean.
type Distribution = emulator.Distribution

// Servers describes the call servers. Work is processor time. The work of a call, its set-up and release together, follows
// from the fleet's load and rate. Values given "as a share of a call's work" are multiples of it.
type Servers struct {
	Work            Distribution `toml:"work"`                               // distribution of the work of a task
	Speeds          Distribution `toml:"speeds"`                             // distribution of the servers' speeds
	ReleaseShare    float64      `toml:"release" validate:"gte=0,lt=1"`      // share of a call's work spent on its release
	RejectWork      float64      `toml:"refusal" validate:"gte=0,lte=5"`     // work of a rejection, as a share of a call's work
	RetransmitWork  float64      `toml:"repeat" validate:"gte=0,lte=5"`      // work of a retransmitted set-up, as a share of a call's work
	MaxWait         Duration     `toml:"max_wait" validate:"gte=0"`          // a set-up that would wait longer is rejected; 0: no limit
	MaxQueue        int          `toml:"queue" validate:"gte=0,lte=100000"`  // max queue length; further set-ups are rejected; 0: no limit
	Circuits        int          `toml:"lines" validate:"gte=0,lte=1000000"` // max simultaneous calls of a server; 0: no limit
	SetUpsFirst     bool         `toml:"set_ups_first"`                      // set-ups are served before releases
	Thrash          float64      `toml:"thrash" validate:"gte=0,lte=10"`     // slowdown per thrash_at queued tasks above thrash_at
	ThrashAt        int          `toml:"thrash_at" validate:"gte=1,lte=100000"`
	ColdShare       float64      `toml:"cold_share" validate:"gte=0,lte=1"` // share of its capacity that a server starts with
	RampTime        Duration     `toml:"ramp" validate:"gte=0"`             // time until a started server has its full capacity
	TipMultiple     float64      `toml:"tip" validate:"gte=0,lte=100"`      // overload factor at which a cold server collapses; 0: never
	OverloadFor     Duration     `toml:"tip_for" validate:"gte=0"`          // time for which that overload has to last
	ReportInterval  Duration     `toml:"report_every" validate:"gte=0"`     // max age of the reported waiting time
	ReportNoise     Distribution `toml:"report_noise"`                      // distribution of the error of the reported waiting time
	HideWait        bool         `toml:"silent"`                            // servers report no waiting times
	HangUpShare     float64      `toml:"hang_up" validate:"gte=0,lte=1"`    // share of the calls that the called party ends
	OverloadControl bool         `toml:"overload_control"`                  // servers send RFC 7339 overload control parameters on request
}

// Callers describes the callers; each node has a population of its own.
type Callers struct {
	Shape          string       `toml:"shape" validate:"oneof=steady bursty swing"`
	CV             float64      `toml:"cv" validate:"gte=0,lte=10"`       // bursty: coefficient of variation of the rate between spans
	SpanLength     Duration     `toml:"every" validate:"gt=0"`            // bursty: span length
	Swing          float64      `toml:"swing" validate:"gte=0,lte=1"`     // swing: amplitude as a share of the mean rate
	Period         Duration     `toml:"period" validate:"gt=0"`           // swing: period of the sine
	Drift          float64      `toml:"drift" validate:"gte=0,lte=10"`    // variation (CV) of the servers' shares of calls; 0: uniform
	DriftEach      Duration     `toml:"drift_each" validate:"gte=0"`      // interval at which these shares change
	HoldTime       Distribution `toml:"hold"`                             // distribution of the call length
	MaxRedials     int          `toml:"redials" validate:"gte=0,lte=20"`  // max redials of a call
	RedialDelay    Duration     `toml:"back" validate:"gt=0"`             // mean wait before a redial
	TCPShare       float64      `toml:"tcp" validate:"gte=0,lte=1"`       // share of calls placed over TCP
	LargeShare     float64      `toml:"large" validate:"gte=0,lte=1"`     // share of set-ups that are too large for a datagram
	ImpatientShare float64      `toml:"impatient" validate:"gte=0,lte=1"` // share of calls whose caller hangs up early
	RedialAfterCut Duration     `toml:"comes_again" validate:"gte=0"`     // wait before a call that was cut off is redialled; 0: never
}

// Class is a class of calls. A day without classes has DefaultClasses.
type Class struct {
	Name         string   `toml:"name" validate:"required"`
	Prefix       string   `toml:"prefix" validate:"required,number"`
	Share        float64  `toml:"share" validate:"gt=0"`       // weight of the class among all calls
	Aim          Duration `toml:"aim" validate:"gt=0"`         // target set-up time
	Deadline     Duration `toml:"deadline" validate:"gt=0"`    // max time of all tries of a caller together
	TryTimeout   Duration `toml:"try" validate:"gt=0"`         // time after which the caller abandons a try
	MeanHoldTime Duration `toml:"hold" validate:"gt=0"`        // mean length of a call
	Worth        float64  `toml:"worth" validate:"gt=0"`       // value of a call that stands within its aim
	LateShare    float64  `toml:"late" validate:"gte=0,lte=1"` // share of the worth of a call that stands after its aim
}

// List holds the delays of the list server's updates by phase, in addition to the fleet's lag.
type List struct {
	LagStart Duration `toml:"lag_start" validate:"gte=0"` // updates about a server that is ready
	LagDrain Duration `toml:"lag_drain" validate:"gte=0"` // updates about a server that is draining
	LagGone  Duration `toml:"lag_gone" validate:"gte=0"`  // updates about a server that is gone
}

// Network describes the network between hosts.
type Network struct {
	Delay  Duration `toml:"delay" validate:"gte=0,lte=100000000"`  // one-way delay
	Jitter Duration `toml:"jitter" validate:"gte=0,lte=100000000"` // max additional delay
	Loss   float64  `toml:"loss" validate:"gte=0,lte=0.5"`         // share of datagrams that are lost
}

// Node holds the settings of the nodes' configuration that a day may change. docs/larkrouter.toml describes the keys.
type Node struct {
	MaxAttempts  int      `toml:"max_attempts" validate:"gte=1,lte=20"`
	Tick         Duration `toml:"tick" validate:"gt=0"`
	ReleaseGuard Duration `toml:"release_guard" validate:"gte=0"`
	DrainGrace   Duration `toml:"drain_grace" validate:"gte=0"`
	NoCancel     bool     `toml:"no_cancel"` // nodes may not cancel a set-up that is in progress
}

// Default returns the values that a day file's omitted keys have.
func Default() File {
	seconds := func(x float64) Duration { return Duration(x * float64(time.Second)) }
	return File{
		Fleet: Fleet{Nodes: 40, Servers: 6, Rate: 260, Load: 0.7, Seconds: 60, AnnounceSize: true, Lag: seconds(1.5)},
		Servers: Servers{ReleaseShare: 0.3, RejectWork: 0.1, RetransmitWork: 0.3, MaxWait: seconds(3), ThrashAt: 20,
			ColdShare: 0.3, RampTime: seconds(13), TipMultiple: 2, OverloadFor: seconds(2), HangUpShare: 0.05, OverloadControl: true},
		Callers: Callers{Shape: "steady", CV: 0.4, SpanLength: seconds(2), Swing: 0.3, Period: seconds(30),
			HoldTime: Distribution{Kind: "exponential"}, MaxRedials: 2, RedialDelay: seconds(1.2), TCPShare: 0.2, ImpatientShare: 0.005},
		Network: Network{Delay: seconds(0.004), Jitter: seconds(0.003)},
		Node:    Node{MaxAttempts: 4, Tick: seconds(0.005), ReleaseGuard: seconds(0.5), DrainGrace: seconds(1)},
	}
}

// Classes returns the day's classes, or DefaultClasses if it has none.
func (f *File) Classes() []Class {
	if len(f.Class) > 0 {
		return f.Class
	}
	return DefaultClasses()
}

// DefaultClasses returns the classes of a day that has none of its own. They are the classes of the demo.
func DefaultClasses() []Class {
	seconds := func(x float64) Duration { return Duration(x * float64(time.Second)) }
	return []Class{
		{Name: "balance-check", Prefix: "1", Share: 0.74, Aim: seconds(1.2), Deadline: seconds(9), TryTimeout: seconds(3),
			MeanHoldTime: seconds(8), Worth: 1, LateShare: 0.25},
		{Name: "cutoff-transfer", Prefix: "2", Share: 0.05, Aim: seconds(1), Deadline: seconds(6), TryTimeout: seconds(2),
			MeanHoldTime: seconds(4), Worth: 8, LateShare: 0.25},
		{Name: "rate-quote", Prefix: "3", Share: 0.21, Aim: seconds(1.2), Deadline: seconds(9), TryTimeout: seconds(3),
			MeanHoldTime: seconds(6), Worth: 2, LateShare: 0.1},
	}
}
