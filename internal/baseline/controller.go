package baseline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"larkrouter"
)

// answerMargin is the time before the deadline of a try at which the final answer is given.
const answerMargin = 40 * time.Millisecond

// server is a policy's state of a call server.
type server struct {
	larkrouter.ServerInfo
	outstanding int     // unanswered set-ups
	delay       float64 // smoothed answer time in seconds
	rate        float64 // tokenGate: set-ups per second; window: the window size, in outstanding set-ups
	tokens      float64 // in the token bucket, as of refilledAt
	refilledAt  time.Duration
	reducedAt   time.Duration // last reduction of rate
	loss        announcedLoss
}

// openCall is a call whose final answer is pending, or that stands.
type openCall struct {
	larkrouter.Call
	deadline  time.Duration // of the present try
	arrivedAt time.Duration
	attempts  int
	server    *server // of the outstanding attempt; nil: none
	sentAt    time.Duration
	standing  bool
	waiting   bool // for the release guard, or held by the policy
}

// policy selects servers for a controller.
type policy interface {
	// choose returns the server for the call's next attempt. If it is nil, the call is held for the duration hold,
	// after which choose is called again; if hold is 0 too, the call is refused.
	choose(ctl *controller, c *openCall) (s *server, hold time.Duration)
	// onSent, onStanding and onFailure report the progress of an attempt.
	onSent(ctl *controller, s *server)
	onStanding(ctl *controller, s *server, elapsed time.Duration)
	onFailure(ctl *controller, s *server, o larkrouter.Outcome)
}

// controller applies a policy and enforces what is common to all: one final answer in time, one attempt at a time, no new
// call to a draining server, and the release guard.
type controller struct {
	settings      larkrouter.Settings
	rng           *rand.Rand
	now           time.Duration
	nodes         float64
	serverByID    map[uint32]*server
	servers       []*server // sorted by ID
	calls         map[uint64]*openCall
	actions       []larkrouter.Action
	policy        policy
	subscribed    bool // to the server list
	singleAttempt bool // at most one attempt per call
}

func newController(settings larkrouter.Settings, seed uint64, policy policy) *controller {
	return &controller{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x62617365)), nodes: max(1, float64(settings.FleetSize)),
		serverByID: map[uint32]*server{}, calls: map[uint64]*openCall{}, policy: policy}
}

// Handle processes an event and returns the resulting actions, valid until the next call. It implements Policy and
// node.DecisionModule.
func (ctl *controller) Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action {
	ctl.now, ctl.actions = now, ctl.actions[:0]
	if !ctl.subscribed {
		ctl.subscribed = true
		ctl.emit(larkrouter.Subscribe{On: true})
	}
	switch ev := ev.(type) {
	case larkrouter.ServerList:
		ctl.onServerList(ev)
	case larkrouter.FleetSize:
		ctl.nodes = max(1, ev.Nodes)
	case larkrouter.Reconfigured:
		ctl.settings = ev.Settings
	case larkrouter.Call:
		call := &openCall{Call: ev, deadline: now + ev.TimeLeft, arrivedAt: now}
		ctl.calls[ev.ID] = call
		ctl.emit(larkrouter.Wake{Cookie: 2 * ev.ID, After: max(0, ev.TimeLeft-answerMargin)})
		ctl.attemptOrHold(call)
	case larkrouter.Standing:
		if call := ctl.calls[ev.Call]; call != nil && call.server != nil && !call.standing {
			call.standing = true
			call.server.outstanding--
			ctl.policy.onStanding(ctl, call.server, now-call.sentAt)
		}
	case larkrouter.AttemptResult:
		ctl.onAttemptResult(ev)
	case larkrouter.CallCancelled:
		if call := ctl.calls[ev.Call]; call != nil {
			ctl.cancelAttempt(call)
			delete(ctl.calls, ev.Call)
		}
	case larkrouter.Timer:
		ctl.onTimer(ev.Cookie)
	}
	return ctl.actions
}

func (ctl *controller) emit(a larkrouter.Action) { ctl.actions = append(ctl.actions, a) }

func (ctl *controller) onServerList(ev larkrouter.ServerList) {
	if ev.Kind == larkrouter.ListFailed {
		return
	}
	if ev.Kind == larkrouter.ListFull {
		for _, s := range ctl.servers {
			s.Phase = larkrouter.Gone
		}
	}
	for _, in := range ev.Servers {
		s := ctl.serverByID[in.ID]
		if s == nil {
			s = &server{ServerInfo: in, refilledAt: ctl.now}
			ctl.serverByID[in.ID] = s
			ctl.servers = append(ctl.servers, s)
		}
		s.ServerInfo = in
	}
	slices.SortFunc(ctl.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// readyServers returns the servers that accept new calls.
func (ctl *controller) readyServers() []*server {
	var r []*server
	for _, s := range ctl.servers {
		if s.Phase == larkrouter.Ready {
			r = append(r, s)
		}
	}
	return r
}

// attemptOrHold makes the next attempt of a call, holds the call or refuses it, as the policy chooses.
func (ctl *controller) attemptOrHold(call *openCall) {
	if ctl.now >= call.deadline-answerMargin || ctl.settings.MaxAttempts > 0 && call.attempts >= ctl.settings.MaxAttempts ||
		ctl.singleAttempt && call.attempts > 0 {
		ctl.refuse(call)
		return
	}
	s, hold := ctl.policy.choose(ctl, call)
	if s == nil && hold > 0 {
		call.waiting = true
		ctl.emit(larkrouter.Wake{Cookie: 2*call.ID + 1, After: hold})
		return
	}
	if s == nil {
		ctl.refuse(call)
		return
	}
	call.server, call.sentAt = s, ctl.now
	s.outstanding++
	ctl.policy.onSent(ctl, s)
	limit := call.deadline - ctl.now
	if ctl.singleAttempt { // the only attempt may last until the final answer is due
		limit -= answerMargin
	} else {
		limit = min(ctl.settings.Classes[call.Class].Aim, limit)
	}
	ctl.emit(larkrouter.Attempt{Call: call.ID, Server: s.ID, Timeout: limit})
	call.attempts++
}

func (ctl *controller) refuse(call *openCall) {
	ctl.emit(larkrouter.Refuse{Call: call.ID})
	delete(ctl.calls, call.ID)
}

// cancelAttempt cancels the outstanding attempt, if any.
func (ctl *controller) cancelAttempt(call *openCall) {
	if call.server != nil && !call.standing {
		call.server.outstanding--
		ctl.emit(larkrouter.Cancel{Call: call.ID, Attempt: call.attempts - 1})
	}
}

func (ctl *controller) onAttemptResult(ev larkrouter.AttemptResult) {
	call := ctl.calls[ev.Call]
	if call == nil {
		return
	}
	if call.standing || ev.CallEnded || ev.Outcome == larkrouter.Completed || call.server == nil {
		if call.server != nil && !call.standing {
			call.server.outstanding--
		}
		delete(ctl.calls, ev.Call)
		return
	}
	s := call.server
	s.outstanding--
	call.server = nil
	ctl.policy.onFailure(ctl, s, ev.Outcome)
	switch ev.Outcome {
	case larkrouter.TimedOut, larkrouter.Reset, larkrouter.Cancelled:
		call.waiting = true
		ctl.emit(larkrouter.Wake{Cookie: 2*call.ID + 1, After: ctl.settings.ReleaseGuard + 10*time.Millisecond})
	default:
		ctl.attemptOrHold(call)
	}
}

// onTimer handles the two timers of a call: even cookies are its deadline, odd ones the end of a wait.
func (ctl *controller) onTimer(cookie uint64) {
	call := ctl.calls[cookie/2]
	switch {
	case call == nil || call.standing:
	case cookie%2 == 1 && call.waiting:
		call.waiting = false
		ctl.attemptOrHold(call)
	case cookie%2 == 0:
		ctl.cancelAttempt(call)
		ctl.refuse(call)
	}
}
