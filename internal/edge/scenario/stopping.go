package scenario

import (
	"fmt"
	"slices"
	"time"

	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/trunk"
)

// Disruptions of a scenario with connections that stop.
const (
	minStopInterval = time.Second // between two spoilt answers
	maxStopInterval = 10 * time.Second
	partialBytes    = 26 // that arrive of an answer that stops short
	stoppingEnd     = worldStart + duration - settleTime - 10*time.Second
)

// spoiltAnswer is how an answer of a call server is spoilt. Nothing more arrives on its connection, which stays open.
type spoiltAnswer uint8

const (
	answerSound spoiltAnswer = iota
	answerStopsShort
	answerNeverArrives
	answerArrivesLast // whole, and nothing after it
	spoiltAnswerCount
)

// noteAnswer notes whether the node can read the answer of a set-up, which the server has written. If not, the attempt is over and the
// call stands there all the same; as it may be repeated, it may be set up again, and then what became of the first one is no matter.
func (s *callServer) noteAnswer(l *link, call uint64) {
	isLost := l.hasStopped || s.spoilNext == answerStopsShort || s.spoilNext == answerNeverArrives
	if s.isAnswerLost[call] = isLost; isLost {
		s.record("in", "BYE", 0, call, s.legs[call])
	}
	s.repeats = slices.DeleteFunc(s.repeats, func(repeated uint64) bool { return repeated == call })
}

// RunStopping plays the scenario of a seed in which connections to call servers stop: nothing arrives on them any more, and they stay open.
func RunStopping(seed uint64) *Result { return run(seed, (*world).planStoppingDisruptions) }

func (w *world) planStoppingDisruptions() (names []string) {
	w.channel.clockAhead = 0
	w.callers.placeEvery = w.between(20*time.Millisecond, time.Second)
	if w.oneIn(2) {
		names = append(names, "no state unasked")
		w.statesOnlyOnOpen = true
	}
	if w.oneIn(2) {
		names = append(names, "both ways")
		w.stopBothWays = true
	}
	interval := w.between(minStopInterval, maxStopInterval)
	names = append(names, fmt.Sprintf("a connection stops each %v", interval.Round(time.Millisecond)))
	w.stopConnLater(interval)
	if w.oneIn(2) {
		names = append(names, "resets")
		w.resetLater(w.between(minStopInterval, maxStopInterval))
	}
	if w.oneIn(3) {
		names = append(names, "slow set-ups")
		w.after(w.between(begin, duration/2), w.slowSetUps)
	}
	return names
}

// stopConnLater spoils an answer of one of the call servers, about once in the given time.
func (w *world) stopConnLater(interval time.Duration) {
	w.after(w.between(interval/2, interval*3/2), func() {
		if w.now > stoppingEnd {
			return
		}
		server := w.servers[w.rng.IntN(len(w.servers))]
		server.spoilNext = spoiltAnswer(1 + w.rng.IntN(int(spoiltAnswerCount)-1))
		w.stopConnLater(interval)
	})
}

// noteGivenUp notes a release that never reaches the server: the node has given its set-up up, and cannot do more.
func (s *callServer) noteGivenUp(msg *trunk.Message) {
	if setUp, isPending := s.pending[msg.Call]; isPending && msg.Type == trunk.TypeRelease {
		s.record("in", "CANCEL", 0, msg.Call, setUp.leg)
	}
}

// spoilAnswer sends a spoilt answer.
func (s *callServer) spoilAnswer(l *link, call uint64, description trunk.Param) {
	switch s.spoilNext {
	case answerStopsShort:
		s.w.atNode(l, func(node *access.Node) {
			node.TrunkBytesReceived(s.w.now, l.id)
			node.TrunkPartialMessage(s.w.now, l.id, partialBytes)
		})
	case answerArrivesLast:
		s.send(l, trunk.TypeAnswer, call, description)
	}
	s.spoilNext, l.hasStopped, l.isDeaf = answerSound, true, s.w.stopBothWays
}
