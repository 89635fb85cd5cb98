package edge

import (
	"testing"

	"larkrouter/internal/edge/standin"
	"larkrouter/internal/edge/trunk"
)

// TestRestartAfterKill checks that no release is lost or repeated across a crash. A node is killed with two standing
// calls, one of which ends meanwhile, and restarts with the same name and address. The server releases that call on
// the connection that the new process opens, before the callers have named their calls. Each caller must get the
// release of its own call exactly once.
func TestRestartAfterKill(t *testing.T) {
	listener := newScriptedServer(t)
	env := newProcessEnv(t, standin.Member("s-x", listener.Addr().String(), 0, "up"))

	node := env.startNodeProcess()
	server := listener.acceptTrunk()
	env.newCallers(0xab0000)
	caller := env.dialCaller()
	for _, n := range []int{1, 2} {
		caller.send(formatInvite(n))
		for msg := server.nextTrunkMessage(); ; msg = server.nextTrunkMessage() {
			if msg == nil {
				t.Fatal("the node closed the connection to the server")
			}
			if msg.Type == trunk.TypeSetUp {
				server.answerCall(msg.Call)
				break
			}
		}
		expect(t, "before the kill", caller.nextFromNode(), "200 INVITE")
	}
	node.kill()
	expect(t, "caller connection after the kill", caller.nextFromNode(), "end")

	env.startNodeProcess()
	server = listener.acceptTrunk()
	server.sendTrunkMessage(trunk.TypeRelease, 2, causeParam(trunk.CauseNormal))
	if msg := server.nextTrunkMessage(); msg == nil || msg.Type != trunk.TypeReleaseAck || msg.Call != 2 {
		t.Fatalf("the server received %+v, want the acknowledgement of its release", msg)
	}
	caller = env.dialCaller()
	caller.send(formatRequest("INVITE", 1, "", "X-Tier: voice\r\nX-Attrs: at:s-x\r\n") +
		formatRequest("INVITE", 2, "", "X-Tier: voice\r\nX-Attrs: at:s-x\r\n"))
	expect(t, "released call", caller.nextFromNode(), "BYE")
	caller.send(formatOptions(3))
	expect(t, "standing call", caller.nextFromNode(), "200 OPTIONS")
	server.sendTrunkMessage(trunk.TypeRelease, 1, causeParam(trunk.CauseNormal))
	expect(t, "release of the standing call", caller.nextFromNode(), "BYE")
	caller.send(formatOptions(4))
	expect(t, "no further release", caller.nextFromNode(), "200 OPTIONS")
}
