package baseline

import (
	"fmt"
	"math"
	"strings"
	"time"

	"larkrouter"
)

// Decider is what a node asks.
type Decider interface {
	Handle(now time.Duration, ev larkrouter.Event) []larkrouter.Action
}

// Names of the baselines, from the least to the most that could be.
var Names = []string{"random", "first-choice", "least-delay", "token-gate", "window", "loss", "oracle"}

// New makes a baseline for one node. World is the oracle's, shared by all nodes; others take nil.
func New(name string, s larkrouter.Settings, seed uint64, w *World) (Decider, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	switch name {
	case "random":
		return newFrame(s, seed, atRandom{}), nil
	case "first-choice":
		return once(newFrame(s, seed, firstChoice{})), nil
	case "window":
		return once(newFrame(s, seed, window{})), nil
	case "least-delay":
		return newFrame(s, seed, &leastDelay{}), nil
	case "token-gate":
		return newFrame(s, seed, &tokenGate{}), nil
	case "loss":
		l := &Loss{}
		l.frame = newFrame(s, seed, l)
		return l, nil
	case "oracle":
		if w == nil {
			return nil, fmt.Errorf("baseline: an oracle without a world to see")
		}
		return newFrame(s, seed, &oracle{w: w}), nil
	}
	return nil, fmt.Errorf("baseline: there is no %q: one of %s is right", name, strings.Join(Names, ", "))
}

func once(f *frame) *frame {
	f.once = true
	return f
}

// some is one of the ready servers, by chance.
func (f *frame) some() *server {
	if r := f.ready(); len(r) > 0 {
		return r[f.rng.IntN(len(r))]
	}
	return nil
}

// quiet is a policy that learns nothing.
type quiet struct{}

func (quiet) sent(*frame, *server)                       {}
func (quiet) stood(*frame, *server, time.Duration)       {}
func (quiet) failed(*frame, *server, larkrouter.Outcome) {}

// atRandom sends every call to some ready server.
type atRandom struct{ quiet }

func (atRandom) choose(f *frame, _ *call) (*server, time.Duration) { return f.some(), 0 }

// firstChoice sends a call to the server that its number names, and to some other one where that does not run.
type firstChoice struct{ quiet }

func (firstChoice) choose(f *frame, c *call) (*server, time.Duration) {
	for _, s := range f.ready() {
		if s.Number == c.Destination && c.attempts == 0 {
			return s, 0
		}
	}
	return f.some(), 0
}

// window lets so many set-ups stand unanswered at each server: one more for each window's worth that stood in time, a
// third fewer, once a hold, when one did not. A call goes to its first choice, else where most of a window is free.
type window struct{ quiet }

func (window) choose(f *frame, c *call) (*server, time.Duration) {
	var best *server
	most := 0.0
	for _, s := range f.ready() {
		if s.rate == 0 {
			s.rate = 2
		}
		free := s.rate - float64(s.out)
		if free >= 1 && s.Number == c.Destination {
			return s, 0
		}
		if free >= 1 && free > most {
			best, most = s, free
		}
	}
	return best, 0
}

func (w window) stood(f *frame, s *server, d time.Duration) {
	if d > f.set.Classes[0].Aim/2 {
		w.failed(f, s, larkrouter.TimedOut)
		return
	}
	s.rate += 1 / max(s.rate, 1)
}

func (window) failed(f *frame, s *server, _ larkrouter.Outcome) {
	if f.now-s.cutAt > gateHold {
		s.rate, s.cutAt = max(s.rate*0.67, 1), f.now
	}
}

// leastDelay sends a call where answers have come soonest, counting what it has out there itself.
type leastDelay struct{ quiet }

// smooth is the weight of the newest delay.
const smooth = 0.2

func (leastDelay) choose(f *frame, _ *call) (*server, time.Duration) {
	var best *server
	least := math.Inf(1)
	for _, s := range f.ready() {
		if d := (s.delay + 0.001) * float64(s.out+1) * (0.999 + 0.002*f.rng.Float64()); d < least {
			best, least = s, d
		}
	}
	return best, 0
}

func (leastDelay) stood(_ *frame, s *server, d time.Duration) {
	s.delay += smooth * (d.Seconds() - s.delay)
}

func (leastDelay) failed(f *frame, s *server, _ larkrouter.Outcome) {
	s.delay += smooth * (f.set.Classes[0].Aim.Seconds() - s.delay)
}

// tokenGate lets so many set-ups a second through to each server: more while they stand in time, fewer by a fifth, once a
// round trip at the most, when they do not. A call goes to the server with most tokens, or is refused.
type tokenGate struct{}

const (
	gateStart = 20.0 // set-ups a second of the whole fleet to one server, to begin with
	gateMore  = 0.5  // a second, of the whole fleet, for each set-up in time
	gateLess  = 0.8
	gateHold  = 500 * time.Millisecond
	gateBurst = 2.0
)

func (tokenGate) choose(f *frame, _ *call) (*server, time.Duration) {
	var best *server
	for _, s := range f.ready() {
		if s.rate == 0 {
			s.rate, s.room, s.at = gateStart/f.nodes, gateBurst, f.now
		}
		s.room = min(gateBurst, s.room+s.rate*(f.now-s.at).Seconds())
		s.at = f.now
		if s.room >= 1 && (best == nil || s.room > best.room) {
			best = s
		}
	}
	return best, 0
}

func (tokenGate) sent(_ *frame, s *server) { s.room-- }

func (g tokenGate) stood(f *frame, s *server, d time.Duration) {
	if d > f.set.Classes[0].Aim/2 {
		g.failed(f, s, larkrouter.TimedOut)
		return
	}
	s.rate += gateMore / f.nodes
}

func (tokenGate) failed(f *frame, s *server, _ larkrouter.Outcome) {
	if f.now-s.cutAt > gateHold {
		s.rate, s.cutAt = max(s.rate*gateLess, 0.05/f.nodes), f.now
	}
}
