package baseline

import (
	"fmt"
	"math"
	"strings"
	"time"

	"larkrouter"
)

// Policy makes the decisions of a node.
type Policy interface {
	Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action
}

// Names are the baselines, from the weakest to the upper limit.
var Names = []string{"random", "first-choice", "least-delay", "token-gate", "window", "loss", "oracle"}

// New returns a baseline for one node. The oracle state is used by the oracle and shared by all nodes; it may be nil for the
// others.
func New(name string, settings larkrouter.Settings, seed uint64, oracleState *OracleState) (Policy, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	switch name {
	case "random":
		return newController(settings, seed, randomChoice{}), nil
	case "first-choice":
		return withSingleAttempt(newController(settings, seed, firstChoice{})), nil
	case "window":
		return withSingleAttempt(newController(settings, seed, window{})), nil
	case "least-delay":
		return newController(settings, seed, &leastDelay{}), nil
	case "token-gate":
		return newController(settings, seed, &tokenGate{}), nil
	case "loss":
		l := &LossControl{}
		l.controller = newController(settings, seed, l)
		return l, nil
	case "oracle":
		if oracleState == nil {
			return nil, fmt.Errorf("baseline: policy oracle: oracleState must not be nil")
		}
		return newController(settings, seed, &oracle{state: oracleState}), nil
	}
	return nil, fmt.Errorf("baseline: unknown policy %q, must be one of %s", name, strings.Join(Names, ", "))
}

// withSingleAttempt limits the controller to one attempt per call.
func withSingleAttempt(ctl *controller) *controller {
	ctl.singleAttempt = true
	return ctl
}

// randomServer returns a random ready server, or nil.
func (ctl *controller) randomServer() *server {
	if r := ctl.readyServers(); len(r) > 0 {
		return r[ctl.rng.IntN(len(r))]
	}
	return nil
}

// noFeedback is embedded by policies that do not use the outcomes of attempts.
type noFeedback struct{}

func (noFeedback) onSent(*controller, *server)                        {}
func (noFeedback) onStanding(*controller, *server, time.Duration)     {}
func (noFeedback) onFailure(*controller, *server, larkrouter.Outcome) {}

// randomChoice sends every call to a random ready server.
type randomChoice struct{ noFeedback }

func (randomChoice) choose(ctl *controller, _ *openCall) (*server, time.Duration) {
	return ctl.randomServer(), 0
}

// firstChoice sends a call to the server that its number names, or to a random one if that is not ready.
type firstChoice struct{ noFeedback }

func (firstChoice) choose(ctl *controller, call *openCall) (*server, time.Duration) {
	for _, s := range ctl.readyServers() {
		if s.Number == call.Destination && call.attempts == 0 {
			return s, 0
		}
	}
	return ctl.randomServer(), 0
}

// window limits the unanswered set-ups per server. The limit rises by one for each full window of set-ups answered
// within half the aim of class 0, and falls by a third, at most once per minReductionInterval, when one was not. A call
// goes to its destination, or else to the server with the most room in its window.
type window struct{ noFeedback }

func (window) choose(ctl *controller, call *openCall) (*server, time.Duration) {
	var best *server
	mostFree := 0.0
	for _, s := range ctl.readyServers() {
		if s.rate == 0 {
			s.rate = 2
		}
		free := s.rate - float64(s.outstanding)
		if free >= 1 && s.Number == call.Destination {
			return s, 0
		}
		if free >= 1 && free > mostFree {
			best, mostFree = s, free
		}
	}
	return best, 0
}

func (w window) onStanding(ctl *controller, s *server, d time.Duration) {
	if d > ctl.settings.Classes[0].Aim/2 {
		w.onFailure(ctl, s, larkrouter.TimedOut)
		return
	}
	s.rate += 1 / max(s.rate, 1)
}

func (window) onFailure(ctl *controller, s *server, _ larkrouter.Outcome) {
	if ctl.now-s.reducedAt > minReductionInterval {
		s.rate, s.reducedAt = max(s.rate*0.67, 1), ctl.now
	}
}

// leastDelay sends a call to the server with the shortest answer time, weighted by the node's own outstanding set-ups
// there.
type leastDelay struct{ noFeedback }

// delaySmoothing is the weight of the latest delay.
const delaySmoothing = 0.2

func (leastDelay) choose(ctl *controller, _ *openCall) (*server, time.Duration) {
	var best *server
	lowest := math.Inf(1)
	for _, s := range ctl.readyServers() {
		if d := (s.delay + 0.001) * float64(s.outstanding+1) * (0.999 + 0.002*ctl.rng.Float64()); d < lowest {
			best, lowest = s, d
		}
	}
	return best, 0
}

func (leastDelay) onStanding(_ *controller, s *server, d time.Duration) {
	s.delay += delaySmoothing * (d.Seconds() - s.delay)
}

func (leastDelay) onFailure(ctl *controller, s *server, _ larkrouter.Outcome) {
	s.delay += delaySmoothing * (ctl.settings.Classes[0].Aim.Seconds() - s.delay)
}

// tokenGate limits the rate of set-ups per server. The rate rises with each set-up answered within half the aim of
// class 0 and falls by a fifth, at most once per minReductionInterval, when one is not. A call goes to the server with
// the most tokens, or is refused.
type tokenGate struct{}

// Parameters of tokenGate; window uses minReductionInterval too.
const (
	initialFleetRate     = 20.0                   // initial set-ups per second of the whole fleet to one server
	fleetRateIncrease    = 0.5                    // in set-ups per second of the whole fleet, for each set-up answered fast
	rateDecrease         = 0.8                    // factor of a reduction
	minReductionInterval = 500 * time.Millisecond // about a round trip
	bucketDepth          = 2.0
)

func (tokenGate) choose(ctl *controller, _ *openCall) (*server, time.Duration) {
	var best *server
	for _, s := range ctl.readyServers() {
		if s.rate == 0 {
			s.rate, s.tokens, s.refilledAt = initialFleetRate/ctl.nodes, bucketDepth, ctl.now
		}
		s.tokens = min(bucketDepth, s.tokens+s.rate*(ctl.now-s.refilledAt).Seconds())
		s.refilledAt = ctl.now
		if s.tokens >= 1 && (best == nil || s.tokens > best.tokens) {
			best = s
		}
	}
	return best, 0
}

func (tokenGate) onSent(_ *controller, s *server) { s.tokens-- }

func (g tokenGate) onStanding(ctl *controller, s *server, d time.Duration) {
	if d > ctl.settings.Classes[0].Aim/2 {
		g.onFailure(ctl, s, larkrouter.TimedOut)
		return
	}
	s.rate += fleetRateIncrease / ctl.nodes
}

func (tokenGate) onFailure(ctl *controller, s *server, _ larkrouter.Outcome) {
	if ctl.now-s.reducedAt > minReductionInterval {
		s.rate, s.reducedAt = max(s.rate*rateDecrease, 0.05/ctl.nodes), ctl.now
	}
}
