package scenario

import (
	"fmt"
	"time"
)

// Disruptions of a dense scenario.
const (
	minReplaceInterval = 3 * time.Second // between two replacements at one address
	maxReplaceInterval = 12 * time.Second
	maxVacancy         = 300 * time.Millisecond // from the death of a process to the start of the next one
	maxListedApart     = 400 * time.Millisecond // of a start in the list from the true one
	minResetInterval   = 50 * time.Millisecond
	maxResetInterval   = 2 * time.Second
	denseAdoptedCalls  = 10000
	denseRestartAfter  = 40 * time.Second
	denseEnd           = worldStart + duration - settleTime - 10*time.Second // no disruption begins after it
)

// RunDense plays the dense scenario of a seed: many calls, processes that are replaced at their addresses one after another, starts in
// the list that are not the true ones, connections that are reset at any time, and in one of two cases a restart of the node.
func RunDense(seed uint64) *Result { return run(seed, (*world).planDenseDisruptions) }

func (w *world) planDenseDisruptions() (names []string) {
	w.channel.clockAhead = 0
	w.maxAdoptedCalls = denseAdoptedCalls
	w.callers.placeEvery = w.between(20*time.Millisecond, 200*time.Millisecond)
	replaced := 1 + w.rng.IntN(serverCount)
	names = append(names, fmt.Sprintf("replacements at %d addresses", replaced))
	for _, server := range w.servers[:replaced] {
		w.replaceLater(server, 1)
	}
	if w.oneIn(2) {
		names = append(names, "resets")
		w.standing.MayNodeEnd = true // it cannot know at which process a call stands whose connection was reset
		w.resetLater(w.between(minResetInterval, maxResetInterval))
	}
	if w.oneIn(2) {
		names = append(names, "restart")
		w.after(w.between(begin, denseRestartAfter), w.restartNode)
	}
	return names
}

// replaceLater lets a server's process die after a while, and another server listen at its address, and so on.
func (w *world) replaceLater(server *callServer, generation int) {
	w.after(w.between(minReplaceInterval, maxReplaceInterval), func() {
		if w.now > denseEnd {
			return
		}
		server.end(processDead)
		w.after(w.between(0, maxVacancy), func() {
			next := w.startServer(fmt.Sprintf("%.3s-%d", server.id, generation), server.addr)
			next.listedAhead = w.between(-maxListedApart, maxListedApart)
			w.after(w.between(minListDelay, maxListDelay), func() { w.channel.publishReplacement(server, next) })
			w.replaceLater(next, generation+1)
		})
	})
}

// resetLater resets a connection between the node and a call server, about once in the given time.
func (w *world) resetLater(interval time.Duration) {
	w.after(w.between(interval/2, interval*3/2), func() {
		if w.now > denseEnd {
			return
		}
		if server := w.servers[w.rng.IntN(len(w.servers))]; len(server.links) > 0 {
			server.reset(server.links[w.rng.IntN(len(server.links))])
		}
		w.resetLater(interval)
	})
}
