package edge

import (
	"time"

	"larkrouter/internal/edge/admission"
)

// backlogGate lets readers with a persistent backlog continue one at a time. The channel holds the turn while no reader has it.
type backlogGate chan struct{}

func newBacklogGate() backlogGate {
	gate := make(backlogGate, 1)
	gate <- struct{}{}
	return gate
}

// wait waits for a turn and pauses. It returns false if done is closed meanwhile.
func (g backlogGate) wait(done <-chan struct{}) bool {
	select {
	case <-g:
	case <-done:
		return false
	}
	time.Sleep(admission.BacklogPause)
	g <- struct{}{}
	return true
}
