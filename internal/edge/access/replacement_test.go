package access

import "testing"

// TestReplacedProcess guards against calls that are never released, or released although they stand, because a time of another clock
// decides at which of two processes at one address they stand.
func TestReplacedProcess(t *testing.T) {
	// Connections to s-1 are open from the begin, and again 100 ms after they were reset.
	const dies = `a call 1; wait 3s; a call 2; wait 60ms; s-1 reset; wait 300ms; a call 3; wait 90ms; `
	runScripts(t, testConfig(), map[string]string{
		"another id, start before the death": dies + `
			list s-1@s-1 removed 0; list s-2@s-1 up 3s; a want BYE/1 BYE/2; s-1 release 3; a want BYE/3`,
		"another id, start long before the death": dies + `
			list s-2@s-1 up 2s; a want BYE/1 BYE/2; s-1 release 3; a want BYE/3`,
		"another id, start after the first answer of the new process": dies + `
			list s-2@s-1 up 3400ms; a want BYE/1 BYE/2; s-1 release 3; a want BYE/3`,
		"the same id, start before the death": dies + `
			list s-1@s-1 up 3s; a want BYE/1 BYE/2; s-1 release 3; a want BYE/3`,
		"the same id, start after the first answer of the new process": dies + `
			list s-1@s-1 up 3400ms; a want BYE/1 BYE/2; s-1 release 3; a want BYE/3`,
		"an answer that is read late": `a call 1; wait 3s; a try 2; wait 200ms; s-1 answer 2; s-1 reset; wait 300ms;
			a want 200/2; list s-2@s-1 up 3100ms; a want BYE/1 BYE/2`,
		"the death is told without a reset": `a call 1; wait 3s; a call 2; wait 400ms; s-1 want; list s-2@s-1 up 3s;
			a want BYE/1 BYE/2; s-1 want 12/1/16 12/2/16`,
		"a call named before the death": `wait 3s; a name 1; wait 60ms; s-1 reset; wait 390ms; list s-1@s-1 up 3s; a want BYE/1`,
	})
}

// TestReplacedProcessUnclear guards against a call that stays with its caller or its server alone, if its connection was opened close to
// the listed start and has ended: both are told that it is over.
func TestReplacedProcessUnclear(t *testing.T) {
	const reconnects = `wait 3s; s-1 reset; wait 200ms; a call 1; wait 50ms; s-1 reset; wait 200ms; a call 2; `
	runScripts(t, testConfig(), map[string]string{
		"another id":  reconnects + `list s-2@s-1 up 3200ms; a want BYE/1; s-1 want 12/1/16; s-1 release 2; a want BYE/2`,
		"the same id": reconnects + `list s-1@s-1 up 3200ms; a want BYE/1; s-1 want 12/1/16; s-1 release 2; a want BYE/2`,
	})
}

// TestReplacedProcessKeptReleases guards against a call that its caller has ended, and that stands for good at a process that has taken
// the address of another.
func TestReplacedProcessKeptReleases(t *testing.T) {
	const reconnects = `wait 3s; s-1 reset; wait 200ms; a call 1; s-1 refuse; s-1 reset; a bye 1; `
	runScripts(t, testConfig(), map[string]string{
		"another id":  reconnects + `list s-2@s-1 up 3050ms; s-1 accept; wait 1s; s-1 want 12/1/16`,
		"the same id": reconnects + `list s-1@s-1 up 3250ms; s-1 accept; wait 1s; s-1 want 12/1/16`,
		"of a call of the old process": `a call 1; wait 3s; s-1 refuse; s-1 reset; a bye 1; wait 60ms; list s-2@s-1 up 2990ms;
			s-1 accept; wait 1s; s-1 want`,
	})
}

// TestResetUnread guards against a call that moves to a new process, or whose release for its server is lost, because its connection was
// reset and the node, which was stalled, has not read that.
func TestResetUnread(t *testing.T) {
	var isReset bool
	cfg := testConfig()
	cfg.HasPeerClosed = func(ConnID) bool { return isReset }
	for name, parts := range map[string][3]string{ // before the reset, while it is unread, and after it is read
		"the list tells a replacement": {`wait 3s; s-1 reset; wait 200ms; a call 1; wait 100ms`, `list s-2@s-1 up 3200ms; a want BYE/1`, ``},
		"the caller releases its call": {`a call 1; s-1 want`, `a bye 1; a want 200/1; s-1 want`, `s-1 reset; wait 200ms; s-1 want 12/1/16`},
	} {
		t.Run(name, func(t *testing.T) {
			isReset = false
			s := runScript(t, cfg, parts[0])
			isReset = true
			s.run(parts[1])
			isReset = false
			s.run(parts[2])
		})
	}
}

// TestReplacedProcessOtherTrunk guards against a call that is ended although it stands at the new process: its connection was reset, and
// another one shows that the process lives on. A call of the old process ends with the other connection.
func TestReplacedProcessOtherTrunk(t *testing.T) {
	const twoTrunks = `wait 3s; s-1 reset; wait 200ms; a try 1; a try 2; wait 150ms; s-1 answer 1; s-1 answer 2; a want 200/1 200/2; `
	runScripts(t, testConfig(), map[string]string{
		"call of the new process": twoTrunks + `s-1 drop; wait 50ms; list s-2@s-1 up 3200ms; a want; s-1 release 1; a want BYE/1`,
		"call of the old process": twoTrunks + `s-1 drop; wait 2s; s-1 reset; wait 400ms; list s-2@s-1 up 5400ms; a want BYE/1 BYE/2`,
	})
}
