package edge

import (
	"testing"
	"time"

	"larkrouter/internal/edge/standin"
)

const (
	memoryLimitMB = 32 // the least that the platform gives
	manyClients   = 500
	attackTime    = 3 * time.Second
)

// TestMemoryOfManyClientsOnSockets guards against a process that passes its memory limit and is killed, because hundreds of clients send
// large, slow or unfinished requests at once, or do not read.
func TestMemoryOfManyClientsOnSockets(t *testing.T) {
	for name, a := range map[string]standin.Attack{
		"half a large request":       standin.SendHalfARequest,
		"large requests in pieces":   standin.SendInPieces,
		"heads of many short fields": standin.SendShortFields,
		"many large requests":        standin.SendLargeRequests,
		"requests without reading":   standin.SendWithoutReading,
	} {
		t.Run(name, func(t *testing.T) {
			env, stop := newOneCoreEnv(t)
			defer stop()
			watch := standin.WatchMemory(env.node.pid())
			a.Run(env.nodeAddr, manyClients, attackTime)
			checkMemory(t, watch)
			delays := env.placeHonestCalls(honestInterval)
			if delays[0] == standin.NoAnswer {
				t.Error("after the attack a call got no answer")
			}
		})
	}
}

// checkMemory checks that the process of a node with oneCoreLimits has stayed within its limit.
func checkMemory(t *testing.T, watch *standin.MemoryWatch) {
	t.Helper()
	peak := watch.PeakMB()
	t.Logf("peak of %d MB", peak)
	if peak >= memoryLimitMB*raceFactor {
		t.Errorf("the process had %d MB resident, its limit is %d MB", peak, memoryLimitMB)
	}
}
