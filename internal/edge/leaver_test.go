package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"larkrouter/internal/edge/standin"
)

const (
	leaverRounds   = 12
	leaverSetUps   = 300
	slowAnswer     = 60 * time.Millisecond
	sentOnSlack    = 250 * time.Millisecond // for what the node had read before the client left, on a busy machine
	warmUpCalls    = 100
	leaverStayTime = 3 * time.Millisecond
)

// TestLeaversOnSockets guards against set-ups that are sent on after their client has closed its connection with much still unread, and
// against an id that runs twice when the client comes again with it at once, also while another client cancels calls at full speed.
func TestLeaversOnSockets(t *testing.T) {
	for name, tc := range map[string]struct {
		isReset, hasFlood bool
	}{
		"close":                {},
		"reset":                {isReset: true},
		"close beside a flood": {hasFlood: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newProcessEnv(t)
			server, err := standin.NewServer("127.0.0.1:0", env.nodeAddr, env.rec, 1)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(server.Kill)
			env.knownEvents = []string{env.feed.Publish(true, nil, standin.Member("s-x", server.Addr(), 0, "up"))}
			env.limits = oneCoreLimits
			env.writeConfig()
			env.startNodeProcess()
			callers := env.newCallers(0)
			for range warmUpCalls { // otherwise the node tries the server with few set-ups at a time
				callers.Place("dest:0;width:1;via:-1")
				time.Sleep(callInterval)
			}
			server.SetWork(slowAnswer)
			if tc.hasFlood {
				flood := standin.StartFlood(env.nodeAddr, firstFloodID, func(n int) string { return formatInvite(n) + formatRequest("CANCEL", n, "") })
				defer flood.Stop()
			}
			left := env.leaveAndReturn(tc.isReset)
			time.Sleep(2 * sentOnSlack)
			env.checkLeavers(left)
		})
	}
}

// leaveAndReturn lets a client send many set-ups and leave at once, come again with the same ids, and leave again. It returns when
// the client of each round left for good.
func (env *testEnv) leaveAndReturn(isReset bool) (left []time.Duration) {
	for round := range leaverRounds {
		var text strings.Builder
		for n := range leaverSetUps {
			text.WriteString(formatInvite(leaverID(round, n)))
		}
		for range 2 {
			client := env.dialCaller()
			client.send(text.String())
			time.Sleep(leaverStayTime)
			if isReset {
				client.reset()
			} else {
				client.Close()
			}
		}
		left = append(left, env.rec.Now())
		time.Sleep(slowAnswer / 2)
	}
	return left
}

func leaverID(round, n int) int { return 1000*(round+1) + n }

// checkLeavers checks what the call server has got of the clients that left at the given times.
func (env *testEnv) checkLeavers(left []time.Duration) {
	env.t.Helper()
	setUps := env.rec.SetUps()
	sent := 0
	for round := range leaverRounds {
		for n := range leaverSetUps {
			id := fmt.Sprintf("%016x", leaverID(round, n))
			times := setUps[id]
			sent += len(times)
			if len(times) > 1 {
				env.t.Errorf("call %s was sent %d times", id, len(times))
			}
			if len(times) > 0 && times[0] > left[round]+sentOnSlack {
				env.t.Errorf("call %s was sent %v after its client had left", id, times[0]-left[round])
			}
		}
	}
	env.t.Logf("%d of %d set-ups reached the call server", sent, leaverRounds*leaverSetUps)
}
