package access

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
)

// scriptRun runs scripts on a node with call server s-1 at address s-1. Callers are named by their connections, which open when they
// are first named; calls by numbers. The steps, between semicolons, are:
//
//	wait DURATION
//	list ID@ADDRESS PHASE START     a list entry; start relative to the script's, 0: none
//	CALLER try N | call N           a set-up; one that s-1 answers
//	CALLER name N | misname N       as standing at s-1; at an unknown server
//	CALLER bye N | ok N | options N | close   ok: 200 to a release
//	CALLER want MESSAGE/N ...       all that it has received since the last such step
//	s-1 answer N | release N        release: on the trunk that opened last
//	SERVER want TYPE/N/CAUSE ...
//	s-1 reset | refuse | accept     resets the trunks to the address; how it takes new ones
//	s-1 drop                        resets the oldest trunk to the address
type scriptRun struct {
	*harness
	started time.Duration
	callers map[string]ConnID
}

func runScripts(t *testing.T, cfg Config, scripts map[string]string) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) { runScript(t, cfg, script) })
	}
}

func runScript(t *testing.T, cfg Config, script string) *scriptRun {
	s := &scriptRun{harness: newHarness(t, cfg, "s-1"), callers: map[string]ConnID{}}
	s.started = s.now
	s.run(script)
	return s
}

// run runs the steps of a script.
func (s *scriptRun) run(script string) {
	s.t.Helper()
	for step := range strings.SplitSeq(script, ";") {
		if words := strings.Fields(step); len(words) > 0 {
			s.step(strings.TrimSpace(step), words)
		}
	}
}

func (s *scriptRun) step(step string, words []string) {
	s.t.Helper()
	number, _ := strconv.Atoi(words[len(words)-1])
	duration, _ := time.ParseDuration(words[len(words)-1])
	caller, isOpen := s.callers[words[0]]
	isServer := strings.HasPrefix(words[0], "s-")
	if !isOpen && !isServer && words[0] != "wait" && words[0] != "list" {
		caller = s.openCaller()
		s.callers[words[0]] = caller
	}
	addr, verb := serverAddr("s-1"), words[1]
	if words[0] == "wait" || words[0] == "list" {
		verb = words[0]
	}
	switch verb {
	case "wait":
		s.advance(duration)
	case "list":
		id, at, _ := strings.Cut(words[1], "@")
		start := (s.started + duration).Milliseconds()
		if words[3] == "0" {
			start = 0
		}
		s.updateServers(false, strings.Replace(member(id, 0, words[2], start), serverAddr(id), serverAddr(at), 1))
	case "try":
		s.sendFromCaller(caller, formatInvite(number, "dest:0;width:1;via:-1"))
	case "call":
		s.receivedByServer("s-1")
		s.establishCall(caller, number, "s-1")
	case "name":
		s.sendFromCaller(caller, formatInvite(number, "at:s-1"))
	case "bye", "options":
		s.sendFromCaller(caller, formatRequest(strings.ToUpper(verb), number, "", ""))
	case "ok":
		s.sendFromCaller(caller, fmt.Sprintf("SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", formatID(number)))
	case "misname":
		s.sendFromCaller(caller, formatInvite(number, "at:s-9"))
	case "close":
		s.node.CallerClosed(s.now, caller)
		s.execute()
	case "answer":
		for conn, t := range s.node.trunks {
			if t.pending[uint64(0xc0de0000+number)] != nil {
				s.sendFromServer(conn, trunk.TypeAnswer, number, serverDescription)
			}
		}
	case "release":
		s.sendFromServer(s.trunks[addr][len(s.trunks[addr])-1], trunk.TypeRelease, number, causeParam(trunk.CauseNormal))
	case "drop":
		oldest := s.trunks[addr][0]
		s.trunks[addr] = s.trunks[addr][1:]
		s.node.TrunkClosed(s.now, oldest, "reset")
		s.execute()
	case "reset":
		trunks := s.trunks[addr]
		s.trunks[addr] = nil
		for _, conn := range trunks {
			s.node.TrunkClosed(s.now, conn, "reset")
		}
		s.execute()
	case "refuse", "accept":
		s.dialResult[addr] = map[string]string{"refuse": "refused"}[words[1]]
	default:
		got := fmt.Sprint(s.receivedCalls(caller))
		if isServer {
			got = fmt.Sprint(s.receivedByServer(words[0]))
		}
		s.expect(step, got, fmt.Sprint(words[2:]))
	}
}

// receivedCalls returns the messages written to a caller since the last call, with the numbers of their calls.
func (s *scriptRun) receivedCalls(caller ConnID) (all []string) {
	for _, msg := range s.messagesTo(caller) {
		id, _ := codec.ParseID(msg.Get("Call-ID"))
		all = append(all, fmt.Sprintf("%s/%x", cmp.Or(msg.Method, strconv.Itoa(msg.Status)), id-0xc0de0000))
	}
	return all
}
