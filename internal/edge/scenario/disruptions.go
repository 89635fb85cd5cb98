package scenario

import (
	"fmt"
	"time"

	"larkrouter/internal/edge/feed"
)

const (
	begin            = 5 * time.Second // before it nothing is disrupted
	restartAfter     = 15 * time.Second
	maxAfterRestart  = 4 * time.Second // to the next disruption
	lossTime         = 5 * time.Second // of a machine
	maxFirstByte     = 9 * time.Second
	littleTraffic    = 20 * time.Second // mean time between calls
	downTime         = 150 * time.Millisecond
	maxNamingTime    = 2 * time.Second
	minRemovalDelay  = 4 * time.Second // from the death of a process to its removal from the list
	maxRemovalDelay  = 14 * time.Second
	maxListDelay     = 2 * time.Second // from a start to its entry in the list
	minListDelay     = 210 * time.Millisecond
	maxTakeoverDelay = time.Second
)

// planDisruptions draws the disruptions of a scenario and returns their names.
func (w *world) planDisruptions() (names []string) {
	plan := func(at time.Duration, name string, do func()) {
		names = append(names, name)
		w.after(at, do)
	}
	hasRestart := w.oneIn(2)
	at := w.between(begin, restartAfter)
	if hasRestart {
		if w.oneIn(2) {
			plan(at, "little traffic", func() { w.callers.placeEvery = littleTraffic })
		}
		plan(at, "restart", w.restartNode)
		at += stopAcceptTime + maxStopTime + w.between(maxNamingTime/2, maxAfterRestart)
	}
	if w.oneIn(2) {
		plan(at, "slow set-ups", w.slowSetUps)
	}
	server := w.servers[w.rng.IntN(serverCount)]
	switch w.rng.IntN(6) {
	case 0:
		plan(at, "machine lost", func() { w.loseMachine(server, true) })
	case 1:
		plan(at, "machine gone", func() { w.loseMachine(server, false) })
	case 2:
		plan(at, "address taken", func() { w.takeAddress(server) })
	case 3:
		plan(at, "process dies", func() { w.killProcess(server) })
	case 4:
		plan(at, "slow channel", func() { w.slowChannel(server) })
	}
	if w.oneIn(2) {
		in := w.drawIntruder()
		plan(w.between(begin, duration-settleTime-begin), in.String(), in.start)
	}
	return names
}

// restartNode restarts the node as planned. Callers place no calls meanwhile, and name their standing ones afterwards.
func (w *world) restartNode() {
	w.callers.isPaused = true
	w.stopNode(func() {
		w.after(downTime, func() {
			w.startNode()
			within := w.between(maxNamingTime/10, maxNamingTime)
			w.callers.nameCalls(within)
			w.after(within, func() { w.callers.isPaused = false })
		})
	})
}

// slowSetUps lets all servers answer slowly for a while.
func (w *world) slowSetUps() {
	delay := w.between(time.Second, 2300*time.Millisecond)
	for _, server := range w.servers {
		server.answerDelay = delay
	}
	w.after(w.between(5*time.Second, 15*time.Second), func() {
		for _, server := range w.servers {
			server.answerDelay = initialDelay
		}
	})
}

// loseMachine cuts off a server's machine within a second of its last state. It returns after a while with a new process, or never.
func (w *world) loseMachine(server *callServer, returns bool) {
	wait := server.lastStateAt + stateInterval + w.between(0, stateInterval) - w.now
	w.after(wait, func() {
		server.end(processCutOff)
		if !returns {
			w.after(w.between(minRemovalDelay, maxRemovalDelay), func() { w.channel.publish(server, feed.PhaseRemoved) })
			return
		}
		w.after(lossTime, func() {
			server.state = processDead // the old connections end when the node writes on them
			again := w.startServer(server.id, server.addr)
			w.after(w.between(minListDelay, maxListDelay), func() { w.channel.publish(again, feed.PhaseUp) })
		})
	})
}

// killProcess ends a server's process. Its port refuses connections, and the list says so late.
func (w *world) killProcess(server *callServer) {
	server.end(processDead)
	w.after(w.between(minRemovalDelay, maxRemovalDelay), func() { w.channel.publish(server, feed.PhaseRemoved) })
}

// takeAddress ends a server's process, and lets another server listen at its address soon after that.
func (w *world) takeAddress(server *callServer) {
	server.end(processDead)
	w.after(w.between(maxTakeoverDelay/5, maxTakeoverDelay), func() {
		other := w.startServer(server.id+"-next", server.addr)
		w.after(w.between(minListDelay, maxListDelay), func() { w.channel.publish(other, feed.PhaseUp) })
	})
	w.after(w.between(minRemovalDelay, maxRemovalDelay), func() { w.channel.publish(server, feed.PhaseRemoved) })
}

// slowChannel breaks the command channel off, lets it need long for the first byte of each answer, and drains a server meanwhile.
func (w *world) slowChannel(server *callServer) {
	w.channel.breakOff(w.between(2500*time.Millisecond, maxFirstByte))
	w.after(w.between(0, 2*time.Second), func() { w.channel.publish(server, feed.PhaseDraining) })
}

// drawIntruder draws what a bad client does.
func (w *world) drawIntruder() *intruder {
	in := &intruder{w: w, callsPerConn: []int{50, 500, 1 << 30}[w.rng.IntN(3)], closes: w.oneIn(2), releases: w.oneIn(4)}
	for _, server := range w.servers {
		in.servers = append(in.servers, server.id)
	}
	if w.oneIn(4) {
		in.servers = []string{"s-unknown"}
	}
	return in
}

// start lets the bad client name several times the calls that the node may hold.
func (in *intruder) start() {
	in.flood(10+in.w.rng.IntN(20), in.w.now+in.w.between(time.Second, 3*time.Second))
}

func (in *intruder) String() string {
	text := "made-up calls"
	if in.callsPerConn < 1<<20 {
		text += fmt.Sprintf(" (%d a connection)", in.callsPerConn)
	}
	if in.releases {
		text += " released"
	}
	if in.servers[0] == "s-unknown" {
		text += " at an unknown server"
	}
	return text
}
