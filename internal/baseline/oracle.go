package baseline

import (
	"math"
	"time"

	"larkrouter"
)

// ServerTruth is the true state of a call server.
type ServerTruth struct {
	IsUp      bool
	WaitTime  float64 // seconds until a set-up that arrives now would be done
	SetUpTime float64 // seconds of processor time for one more set-up at the present speed
	Budget    float64 // set-ups that may arrive within the overload time before the server collapses; infinite: warm
}

// OracleState is shared by the oracles of all nodes of a fleet: the true state of the servers, and the set-ups that the
// oracles have sent and the state does not show yet.
type OracleState struct {
	// TruthOf returns the true state of a server at a time.
	TruthOf        func(now time.Duration, server uint32) ServerTruth
	TravelTime     time.Duration              // travel time from a node to a server
	OverloadWindow time.Duration              // window of the cold budget
	sentAt         map[uint32][]time.Duration // recent set-ups, by server
}

// sentSince returns the number of set-ups sent to a server after a time. Those older than the window are dropped.
func (s *OracleState) sentSince(now time.Duration, id uint32, since time.Duration) int {
	times := s.sentAt[id]
	for len(times) > 0 && times[0] <= now-max(s.OverloadWindow, s.TravelTime) {
		times = times[1:]
	}
	if len(times) > 0 {
		s.sentAt[id] = times
	} else {
		delete(s.sentAt, id)
	}
	n := 0
	for i := len(times) - 1; i >= 0 && times[i] > since; i-- {
		n++
	}
	return n
}

// oracle sends a call to the server where it will stand first, if that is within its aim and leaves room for calls
// worth more. Otherwise the call is held as long as it can still succeed, then tried late at a server with spare
// capacity, and finally refused.
type oracle struct {
	noFeedback
	state *OracleState
}

// holdInterval is the interval at which a held call is checked again.
const holdInterval = 25 * time.Millisecond

// maxWaitShare is the share of its aim that a call of a class may wait at a server: from 0.3 for the
// lowest worth to 0.9 for the highest, linear in the logarithm of the worth; 0.85 if all classes are worth the same. Calls
// of the class are not sent to a server with a longer queue, which keeps room for calls that are worth more.
func maxWaitShare(classes []larkrouter.Class, class int) float64 {
	low, high := math.Inf(1), 0.0
	for i := range classes {
		low, high = min(low, classes[i].Worth), max(high, classes[i].Worth)
	}
	if high <= low {
		return 0.85
	}
	return 0.3 + 0.6*math.Log(classes[class].Worth/low)/math.Log(high/low)
}

func (o *oracle) choose(ctl *controller, call *openCall) (*server, time.Duration) {
	var best *server
	shortest := math.Inf(1)
	for _, s := range ctl.readyServers() {
		truth := o.state.TruthOf(ctl.now, s.ID)
		if !truth.IsUp || float64(o.state.sentSince(ctl.now, s.ID, ctl.now-o.state.OverloadWindow))+1 > truth.Budget {
			continue
		}
		wait := truth.WaitTime + float64(o.state.sentSince(ctl.now, s.ID, ctl.now-o.state.TravelTime)+1)*truth.SetUpTime
		if wait < shortest {
			best, shortest = s, wait
		}
	}
	aim := ctl.settings.Classes[call.Class].Aim.Seconds()
	waited := (ctl.now - call.arrivedAt).Seconds()
	switch timeLeft := aim - waited - 2*o.state.TravelTime.Seconds(); {
	case best != nil && !call.IsRedial && shortest <= min(timeLeft, maxWaitShare(ctl.settings.Classes, call.Class)*aim):
		return best, 0
	// The aim has passed, but part of the worth is left.
	case best != nil && (call.IsRedial || timeLeft <= 0) && shortest <= maxLateWaitShare*aim:
		return best, 0
	case ctl.now+holdInterval < call.deadline-answerMargin:
		return nil, holdInterval
	}
	return nil, 0
}

// maxLateWaitShare is the share of the aim up to which a server's queue may take late calls.
const maxLateWaitShare = 0.1

func (o *oracle) onSent(ctl *controller, s *server) {
	if o.state.sentAt == nil {
		o.state.sentAt = map[uint32][]time.Duration{}
	}
	o.state.sentAt[s.ID] = append(o.state.sentAt[s.ID], ctl.now)
}
