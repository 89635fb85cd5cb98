package access

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
)

// runScripts runs each script on a node with call server s-1 at address s-1. Callers are named
// by their connections, which open when they are first named; calls by numbers. The steps, between
// semicolons, are:
//
//	wait DURATION
//	CALLER call N | setup N | try N                      a set-up: answered; sent to s-1; wherever it goes
//	CALLER name N | bye N | close                        name: as standing at s-1
//	CALLER want MESSAGE/N ...                            all that the caller has received since the last such step
//	s-1 answer N | release N | want TYPE/N/CAUSE ...     release: on the trunk that opened last at the address
//	s-1 reset | refuse | accept                          resets the trunks to the address; how it takes new ones
//	list ID@ADDRESS PHASE START                          a list entry; start relative to the script's, 0: none
func runScripts(t *testing.T, scripts map[string]string) {
	t.Helper()
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) { runScript(newHarness(t, testConfig(), "s-1"), script) })
	}
}

func runScript(h *harness, script string) {
	h.t.Helper()
	s := &scriptRun{harness: h, started: h.now, callers: map[string]ConnID{}, setUps: map[int]ConnID{}}
	for step := range strings.SplitSeq(script, ";") {
		s.step(strings.TrimSpace(step), strings.Fields(step))
	}
}

type scriptRun struct {
	*harness
	started time.Duration
	callers map[string]ConnID
	setUps  map[int]ConnID // trunks that carried the set-ups of the step "setup"
}

func (s *scriptRun) step(line string, words []string) {
	s.t.Helper()
	addr := serverAddr("s-1")
	n := 0
	if len(words) == 3 {
		n, _ = strconv.Atoi(words[2])
	}
	switch words[0] {
	case "wait":
		s.advance(s.duration(words[1]))
	case "list":
		id, at, _ := strings.Cut(words[1], "@")
		start := int64(0)
		if words[3] != "0" {
			start = (s.started + s.duration(words[3])).Milliseconds()
		}
		s.updateServers(false, strings.Replace(member(id, 0, words[2], start), serverAddr(id), serverAddr(at), 1))
	case "s-1":
		trunks := s.trunks[addr]
		switch words[1] {
		case "answer":
			s.sendFromServer(s.setUps[n], trunk.TypeAnswer, n, serverDescription)
		case "release":
			s.sendFromServer(trunks[len(trunks)-1], trunk.TypeRelease, n, causeParam(trunk.CauseNormal))
		case "reset":
			s.trunks[addr] = nil
			for _, conn := range trunks {
				s.node.TrunkClosed(s.now, conn, "reset")
			}
			s.execute()
		case "refuse", "accept":
			s.dialResult[addr] = map[string]string{"refuse": "refused"}[words[1]]
		default:
			s.expect(line, s.receivedByServer("s-1"), fmt.Sprint(words[2:]))
		}
	default:
		s.callerStep(line, words[0], words[1:], n)
	}
}

func (s *scriptRun) callerStep(line, name string, words []string, n int) {
	s.t.Helper()
	caller, isOpen := s.callers[name]
	if !isOpen {
		caller = s.openCaller()
		s.callers[name] = caller
	}
	switch words[0] {
	case "call":
		s.receivedByServer("s-1")
		s.establishCall(caller, n, "s-1")
	case "setup":
		s.receivedByServer("s-1")
		s.setUps[n] = s.startSetUp(caller, n, "s-1")
	case "try":
		s.sendFromCaller(caller, formatInvite(n, "dest:0;width:1;via:-1"))
	case "name":
		s.sendFromCaller(caller, formatInvite(n, "at:s-1"))
	case "bye":
		s.sendFromCaller(caller, formatRequest("BYE", n, "", ""))
	case "close":
		s.node.CallerClosed(s.now, caller)
		s.execute()
	default:
		s.expect(line, s.received(caller), fmt.Sprint(words[1:]))
	}
}

// received returns the messages written to a caller since the last call, with the numbers of their calls.
func (s *scriptRun) received(caller ConnID) (all []string) {
	stream := sip.Stream{Limits: codec.Limits}
	stream.Feed(s.unread[caller])
	delete(s.unread, caller)
	for msg, err := stream.Next(); msg != nil || err != nil; msg, err = stream.Next() {
		if err != nil {
			s.t.Fatalf("the node wrote an invalid message: %v", err)
		}
		id, _ := codec.ParseID(msg.Get("Call-ID"))
		what := msg.Method
		if msg.Status > 0 {
			what = strconv.Itoa(msg.Status)
		}
		all = append(all, fmt.Sprintf("%s/%x", what, id-0xc0de0000))
	}
	return all
}

func (s *scriptRun) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}
