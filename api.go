package larkrouter

import (
	"fmt"
	"math"
	"time"
)

// Settings configure a controller, at its start and later with Reconfigured.
type Settings struct {
	FleetSize     int           // number of access nodes that share the call servers, until the first FleetSize event
	Rank          int           // index of this node among them, from 0
	Tick          time.Duration // granularity of time: minimum interval between two turns in which events are handled
	Classes       []Class       // indexed by Call.Class
	ListOnRequest bool          // the server list and its changes are delivered only after Subscribe or FetchList
	AskWithin     time.Duration // askWithinUs of the simulator's settings; checked, but not used by the controller
	AnswerSlack   time.Duration // a final answer is still valid this long after the deadline of the try
	ReleaseGuard  time.Duration // a call is not sent again this soon after a time-out, reset or cancel
	Retransmit    time.Duration // interval at which a waiting set-up is repeated, at a cost to the server; 0: never
	// A server that has just started is cold: it has at least the share ColdShare (0 to 1) of its capacity, and all of
	// it after RampTime, when it is warm. While it is cold, a load above TipMultiple times its present capacity that
	// lasts OverloadFor makes it collapse.
	ColdShare          float64
	RampTime           time.Duration
	TipMultiple        float64
	OverloadFor        time.Duration
	MaxAttempts        int           // maximum number of attempts per call; 0: no limit
	MayCancel          bool          // Cancel actions are allowed
	MayProbe           bool          // Probe actions are allowed; the controller never uses them
	MayMessagePeers    bool          // SendToPeer actions are allowed; the controller never uses them
	CallersMarkRedials bool          // callers mark their redials
	SendsRetryAfter    bool          // a refusal carries a retry-after value for the caller
	MaxRetryAfter      time.Duration // maximum retry-after value of a refusal
	MayAttemptTwice    bool          // a call may have two attempts at a time; the controller never uses this
	// IsMesh means that the servers are exchanges of a trunk network, connected by groups of circuits: Class.Pools is
	// ignored, and no call is sent to the node's own exchange. Otherwise the servers form pools that all nodes share.
	IsMesh       bool
	HomeNumber   int      // number of this node's exchange in a mesh, otherwise -1
	ReportFields []string // names of the values in Report, in their order
	// Values that the simulator passes with its settings; the controller does not use them.
	LateFailPrice      float64   // the penalty "lateFail"
	ProbePrice         float64   // the penalty "probe"
	PeerPrice          float64   // the penalty "peer"
	OverAllowanceWorth float64   // share of its worth that a call keeps if its tenant exceeds its allowance
	TenantAllowance    []float64 // allowance of each tenant per second, by tenant number
}

// Repeat says whether a call of a class may be sent again after an attempt that may have run.
type Repeat uint8

// Values of Repeat.
const (
	Repeatable    Repeat = iota // without restriction
	Keyed                       // servers recognise repeats by an idempotency key, within Class.Scope and Class.Window
	NonRepeatable               // only if no earlier attempt can have run
)

// Scope is the set of servers in which a repeat of a Keyed call is recognised.
type Scope uint8

// Values of Scope: all servers, the zone of the first attempt, or only its server.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeServer
)

// Class describes a class of calls.
type Class struct {
	Name      string        // for messages to operators
	Aim       time.Duration // target set-up time: a call that stands within it earns the full worth
	Deadline  time.Duration // the caller hangs up after this time, counted over all its tries
	Worth     float64       // value of a call that stands within its aim, relative to those of other classes
	LateShare float64       // share of the worth that is earned between aim and deadline
	Repeat    Repeat        // whether a call may be sent again
	Scope     Scope         // for Keyed: in which servers repeats are recognised
	Window    time.Duration // for Keyed: how long repeats are recognised
	Pools     []int         // numbers of the servers that a call may use; nil: all
}

// Event is an input of a controller: one of the types below.
type Event interface{ event() }

// ListKind says how the servers of a ServerList are to be read.
type ListKind uint8

// Values of ListKind.
const (
	ListFailed ListKind = iota // a request to discovery, the source of the server list, failed; the list is empty
	ListFull                   // all servers
	ListCached                 // all servers as they were known some time ago
	ListDelta                  // only servers that have changed
)

// Phase is the state of a server according to the server list.
type Phase uint8

// Values of Phase, as transmitted; 1 is not used.
const (
	Draining Phase = 0 // completes its calls and takes no new ones
	Ready    Phase = 2 // takes new calls
	Gone     Phase = 3 // no longer exists
)

// ServerInfo is an entry of the server list.
type ServerInfo struct {
	ID      uint32        // identifies the server, also after a restart
	Zone    int           // zone, as ScopeZone refers to it
	Kind    int           // index of the kind of machine; not used by the controller
	Number  int           // number by which calls name the server as their destination
	Phase   Phase         // state according to the list
	Weight  float64       // size relative to other servers, as listed; not used by the controller
	Started time.Duration // time of the last start; 0: long ago
}

type (
	// ServerList is an update of the list of call servers.
	ServerList struct {
		Kind    ListKind
		Version uint64 // version of the list at its source; not used by the controller
		Servers []ServerInfo
	}
	// Call is a new call. The controller must give it exactly one final answer.
	Call struct {
		ID           uint64        // unique among the open calls of this node
		Class        int           // index in Settings.Classes
		Tenant       int           // number of the tenant; not used by the controller
		CalledNumber uint64        // the number called; 0: not known
		TimeLeft     time.Duration // time until the deadline of this try
		Destination  int           // Number of the server that the call is for
		Circuits     float64       // number of circuits that the call occupies
		// RouteHint is the Number of the server that the caller suggests to route the call through. For a call in transit
		// it is the node of origin. -1: none. The controller does not use it.
		RouteHint int
		IsRedial  bool // marked as a redial by the caller
		InTransit bool // the call may go to its destination only
		WasCutOff bool // the call was standing, was cut off and is dialled again
	}
	// Standing reports that a set-up is complete and the call stands.
	Standing struct {
		Call    uint64
		Server  uint32
		Elapsed time.Duration // since the attempt was sent
		Attempt int
	}
	// AttemptResult reports the outcome of an attempt. Each attempt has exactly one.
	AttemptResult struct {
		Call       uint64
		Attempt    int
		Outcome    Outcome
		ServerFull bool          // the server's processor was full
		ServerWait time.Duration // waiting time that a full server reported, if any
		Elapsed    time.Duration // since the attempt was sent, or since the call stands
		Server     uint32
		CallEnded  bool      // the call is over and needs no final answer
		Report     []float64 // the server's report, as Settings.ReportFields lists its values; nil: none
	}
	// CallCancelled reports that a call has ended without a final answer: the caller hung up, or the answer is overdue.
	CallCancelled struct{ Call uint64 }
	// AnswerDue reports that a call needs its final answer now, before its deadline: the node stops, or it closes the connection
	// on which the answer goes. The controller answers at once. The node ends the outstanding attempt, if any, after that.
	AnswerDue struct {
		Call        uint64
		AttemptSent bool // an attempt is outstanding, and may have run
		IsAlerting  bool // the call was reported as Standing when it rang, and has no final answer
		Class       int  // index in Settings.Classes, of a call that rings
	}
	// Timer reports that the time requested by a Wake action has passed. Cookie is that of the Wake.
	Timer struct{ Cookie uint64 }
	// ProbeResult is the answer to a Probe. It is also sent without a Probe when the number of free circuits changes.
	ProbeResult struct {
		Server  uint32
		OK      bool          // the server answered successfully; not used by the controller
		Elapsed time.Duration // since the Probe; not used by the controller
		Report  []float64     // as in AttemptResult
	}
	// FleetSize sets the number of nodes that share the call servers, and the index of this node among them, from 0.
	FleetSize struct {
		Nodes float64 // at least 1; fractional while the size changes
		Rank  int
	}
	// Reconfigured replaces the settings for calls that arrive from now on. Calls in progress keep the settings they
	// arrived with, and the fleet size stays as it is. Classes keep their numbers; a class that was removed has no aim.
	Reconfigured struct{ Settings Settings }
	// RestoredState restores, at the start and after the server list, what the previous run of the node knew about servers
	// that have not restarted since. Its values are aged by the time the node was down.
	RestoredState struct{ Servers []PersistedServer }
	// PeerMessage is a message of another access node; it may be lost, late or duplicated.
	PeerMessage struct {
		From int // number of the node that sent it
		Data []byte
	}
)

func (ServerList) event()    {}
func (Call) event()          {}
func (Standing) event()      {}
func (AttemptResult) event() {}
func (CallCancelled) event() {}
func (AnswerDue) event()     {}
func (Timer) event()         {}
func (ProbeResult) event()   {}
func (PeerMessage) event()   {}
func (FleetSize) event()     {}
func (Reconfigured) event()  {}
func (RestoredState) event() {}

// Outcome is the result of an attempt.
type Outcome uint8

// Values of Outcome. NoConnection, Rejected and NotSent prove that the set-up never ran.
const (
	Completed    Outcome = iota // the call stood and has ended
	Failed                      // all circuits are busy, or a signalling error
	Rejected                    // the server rejected the set-up without processing it: no free circuit, or processor full
	TimedOut                    // no answer came within the attempt's timeout
	NoConnection                // no connection to the server could be opened
	Reset                       // the connection was lost or the server cut the call after the set-up was sent
	Cancelled                   // the attempt was cancelled by a Cancel, or because the caller hung up
	NotSent                     // the set-up was not sent
)

// Action is an output of a controller: one of the types below.
type Action interface{ action() }

type (
	// Attempt starts a set-up at a server. The attempts of a call are numbered from 0 in the order of these actions.
	Attempt struct {
		Call    uint64
		Server  uint32
		Timeout time.Duration // 0: as long as the caller waits
	}
	// Cancel cancels an attempt. Its outcome is still reported.
	Cancel struct {
		Call    uint64
		Attempt int
	}
	// Refuse is a final answer: the call is refused, and the caller may dial again.
	Refuse struct {
		Call       uint64
		RetryAfter time.Duration // 0: not given
	}
	// Abandon is a final answer: the call failed, and a repeat might take effect twice.
	Abandon struct{ Call uint64 }
	// Wake requests a Timer event.
	Wake struct {
		Cookie uint64        // returned in the Timer event
		After  time.Duration // from now
	}
	// Subscribe starts or ends the delivery of list changes by discovery.
	Subscribe struct{ On bool }
	// FetchList requests the whole server list once.
	FetchList struct{}
	// Probe requests a report from a server.
	Probe struct{ Server uint32 }
	// SendToPeer sends a message to one access node, or to all if To is negative.
	SendToPeer struct {
		To   int
		Data []byte
	}
	// Log is a message for the operators.
	Log struct{ Text string }
)

func (Attempt) action()    {}
func (Cancel) action()     {}
func (Refuse) action()     {}
func (Abandon) action()    {}
func (Wake) action()       {}
func (Subscribe) action()  {}
func (FetchList) action()  {}
func (Probe) action()      {}
func (SendToPeer) action() {}
func (Log) action()        {}

// New returns the controller of one access node. All its random numbers are derived from seed.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return newController(s, seed), nil
}

// Check returns an error that names the first invalid setting, or nil.
func (s *Settings) Check() error {
	durations := map[string]time.Duration{"tick": s.Tick, "answer slack": s.AnswerSlack,
		"release guard": s.ReleaseGuard, "retransmit": s.Retransmit, "ramp time": s.RampTime,
		"overload time": s.OverloadFor, "max retry-after": s.MaxRetryAfter, "ask within": s.AskWithin}
	for _, name := range []string{"tick", "answer slack", "release guard", "retransmit", "ramp time",
		"overload time", "max retry-after", "ask within"} {
		if durations[name] < 0 {
			return fmt.Errorf("settings: %s must not be negative, got %v", name, durations[name])
		}
	}
	if s.FleetSize < 0 || s.Rank < 0 || s.MaxAttempts < 0 {
		return fmt.Errorf("settings: instances %d, rank %d, max attempts %d: must not be negative",
			s.FleetSize, s.Rank, s.MaxAttempts)
	}
	if math.IsNaN(s.ColdShare) || s.ColdShare < 0 || s.ColdShare > 1 {
		return fmt.Errorf("settings: cold share must be between 0 and 1, got %v", s.ColdShare)
	}
	for i, class := range s.Classes {
		if class.Aim < 0 || class.Deadline < 0 || class.Window < 0 {
			return fmt.Errorf("settings: class %d (%s): aim, deadline and window must not be negative, got %v, %v, %v",
				i, class.Name, class.Aim, class.Deadline, class.Window)
		}
		if math.IsNaN(class.Worth) || class.Worth < 0 || math.IsNaN(class.LateShare) || class.LateShare < 0 {
			return fmt.Errorf("settings: class %d (%s): worth and late share must not be negative or NaN, got %v, %v",
				i, class.Name, class.Worth, class.LateShare)
		}
	}
	return nil
}

// ServerView is the controller's view of a call server, for operators.
type ServerView struct {
	ID          uint32 // as in the server list
	State       ServerState
	Rate        float64       // set-ups per second that the gate admits; infinite: no limit
	Delay       time.Duration // expected answer time of a set-up
	Outstanding int           // unanswered set-ups
}

// ServerState is the state of a server as the controller sees it.
type ServerState uint8

// Values of ServerState. If several apply, the last of them is reported.
const (
	ServerAvailable ServerState = iota
	ServerCongested             // its expected delay exceeds the hold aim
	ServerCold                  // warming up after a start
	ServerSuspended             // gets no calls, or single attempts that probe it, after failed attempts
)

// View appends the view of each server to views, in the order of their IDs. It does not change the controller.
func (c *Controller) View(views []ServerView) []ServerView {
	for _, s := range c.servers {
		view := ServerView{ID: s.ID, Rate: s.rate, Delay: fromSeconds(c.expectedDelay(s)), Outstanding: len(s.outstanding)}
		if c.isCongested(s) {
			view.State = ServerCongested
		}
		if s.warmUpStart >= 0 {
			view.State = ServerCold
		}
		if c.now < s.suspendedUntil || s.suspendedFor > 0 {
			view.State = ServerSuspended
		}
		views = append(views, view)
	}
	return views
}

// PersistedServer is what a controller knows about a call server and should keep across a restart of the node.
type PersistedServer struct {
	ID       uint32  // as in the server list
	Rate     float64 // set-ups per second that the gate admits; 0: no limit
	BestRate float64 // estimated set-ups per second that the server answers while warm
	Delay    float64 // expected answer time in seconds
}

// PersistedState appends what should be persisted about each server to servers, in the order of their IDs. It does not change the
// controller.
func (c *Controller) PersistedState(servers []PersistedServer) []PersistedServer {
	for _, s := range c.servers {
		if s.Phase == Gone || s.warmUpStart >= 0 {
			continue
		}
		server := PersistedServer{ID: s.ID, BestRate: s.bestRate, Delay: c.expectedDelay(s)}
		if !math.IsInf(s.rate, 1) {
			server.Rate = s.rate
		}
		servers = append(servers, server)
	}
	return servers
}

// Nodes returns the fleet size that the controller assumes; fractional while the size changes.
func (c *Controller) Nodes() float64 { return c.fleetSize }
