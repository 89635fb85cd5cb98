package access

import (
	"fmt"
	"time"

	"larkrouter"
	codec "larkrouter/internal/edge/caller"
	"larkrouter/internal/edge/trunk"
	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// callState is the state of an open call, whose set-up awaits an answer, or of a standing call.
type callState struct {
	number          uint64 // number by which the module knows the call
	id              uint64
	callID          hexText      // Call-ID as received
	calledNumber    hexText      // number called, as received
	conn            ConnID       // connection on which it was received
	request         *sip.Message // INVITE; nil once the call stands
	size            int          // bytes of memory that the INVITE takes
	deadline        time.Duration
	timer           timers.Timer
	attempts        int      // number of attempts started
	current         *attempt // attempt in progress
	isStanding      bool
	standingSince   time.Duration // when it was answered
	server          *server       // server of the standing call
	trunk           ConnID        // trunk on which its set-up was sent, or one that was open when the call was named
	trunkOpenedAt   time.Duration // when that trunk opened
	hasTrunkEnded   bool          // the trunk on which its set-up was sent has ended: its server may release it on any
	standingAttempt int           // ordinal of the attempt that was answered
	adoptedIn       *adoptedGroup // nil unless the node knows the call only because its caller has named it
	setUp           *codec.SetUp  // parsed INVITE; nil once the call stands
}

// hexText is the text of a caller's id or called number. It is copied from the message, because a string would keep the text
// of the whole header in memory for as long as the call stands.
type hexText [16]byte

func newHexText(text string) (t hexText) {
	copy(t[:], text)
	return t
}

// handleInvite starts a new call, or registers a standing one if the INVITE names its call server.
func (n *Node) handleInvite(c *callerConn, receivedAt time.Duration, msg *sip.Message) {
	setUp, err := codec.ParseSetUp(msg)
	if err != nil {
		n.rejectMalformed(c, msg)
		return
	}
	class, isKnown := n.classIndex[setUp.Class]
	if !isKnown || setUp.StandingAt == "" && (setUp.TimeLeft > n.cfg.Module.Classes[class].Deadline ||
		class < len(n.cfg.Edge.CircuitsPerCall) && setUp.Circuits != n.cfg.Edge.CircuitsPerCall[class]) {
		n.rejectMalformed(c, msg)
		return
	}
	existing, isDuplicate := n.callsByID[setUp.ID]
	if setUp.StandingAt != "" {
		n.adoptCall(c, setUp, msg, existing)
		return
	}
	hasEnded := n.hasEnded(setUp.ID)
	size := messageSize(msg)
	if isDuplicate || hasEnded || !c.CanOpenCall() || !c.CanHold(size, n.openBytes, n.cfg.MaxOpenBytes, len(n.callerConns)) ||
		n.cfg.Edge.MaxOpenCalls > 0 && n.openCallCount >= n.cfg.Edge.MaxOpenCalls {
		status := 503
		if isDuplicate || hasEnded { // every set-up must have an id of its own
			status = 482
			n.Totals.DuplicateIDs++
		} else {
			n.Totals.OverOpenLimit++
		}
		n.Totals.Malformed++
		n.write(c.id, codec.Response(msg, status, n.cfg.Edge.MaxRetryAfter, nil))
		return
	}
	n.Totals.Calls++
	n.lastCallNumber++
	call := &callState{number: n.lastCallNumber, id: setUp.ID, callID: newHexText(msg.Get("Call-ID")),
		calledNumber: newHexText(setUp.Number), conn: c.id,
		request: msg, size: size, deadline: receivedAt + setUp.TimeLeft, setUp: setUp}
	if n.stopDeadline > 0 {
		call.deadline = max(n.now, min(call.deadline, n.stopDeadline))
	}
	n.callsByID[call.id], n.callsByNumber[call.number] = call, call
	n.callOpened(call, c)
	n.offerReleases(c)
	n.timerHeap.Set(&call.timer, call.deadline, func() { n.expireCall(call) })
	n.notifyModule(larkrouter.Call{ID: call.number, Class: class, CalledNumber: setUp.Key, TimeLeft: call.deadline - n.now,
		Destination: setUp.Destination,
		Circuits:    setUp.Circuits, RouteHint: setUp.Via, IsRedial: setUp.IsResent, WasCutOff: setUp.WasCutOff})
}

// messageSize returns about how many bytes of memory a message takes.
func messageSize(msg *sip.Message) int {
	const fieldOverhead = 32 // bytes of a field beside its text
	size := len(msg.URI) + len(msg.Body)
	for i := range msg.Fields {
		size += len(msg.Fields[i].Name) + len(msg.Fields[i].Value) + fieldOverhead
	}
	return size
}

// callOpened counts an open call.
func (n *Node) callOpened(call *callState, c *callerConn) {
	n.openCallCount++
	n.openBytes += call.size
	c.OpenCalls++
	c.OpenBytes += call.size
}

// callNoLongerOpen counts a call that has been answered or ended. It returns the connection of the call, or nil if that has ended.
func (n *Node) callNoLongerOpen(call *callState) *callerConn {
	n.openCallCount--
	n.openBytes -= call.size
	c := n.callerConns[call.conn]
	if c == nil {
		return nil
	}
	c.OpenCalls--
	c.OpenBytes -= call.size
	c.LastUsed = n.now
	return c
}

// expireCall ends a call whose deadline has passed. The module abandons a call shortly before that. If the node
// is late, the caller, which has not cancelled the set-up, still gets its one final answer.
func (n *Node) expireCall(call *callState) {
	if call.isStanding || n.callsByID[call.id] != call {
		return
	}
	n.Totals.Overdue++
	n.log(LogEntry{Event: "overdue", Call: call.id, Cause: fmt.Sprintf("%v after its deadline", n.now-call.deadline), Count: call.attempts})
	n.notifyModule(larkrouter.CallCancelled{Call: call.number})
	n.refuseCall(call, 504, 0)
}

// demandAnswer has the module give the final answer of a call at once: only it knows whether the call may have run, and whether its
// caller may then try again.
func (n *Node) demandAnswer(call *callState) {
	isSent := call.current != nil && call.current.trunk != nil
	n.Totals.AnswersDemanded++
	n.notifyModule(larkrouter.AnswerDue{Call: call.number, AttemptSent: isSent})
}

// cancelCall ends a call that needs no answer any more.
func (n *Node) cancelCall(call *callState) {
	n.removeCall(call)
	n.notifyModule(larkrouter.CallCancelled{Call: call.number})
	if call.current != nil {
		n.abandonAttempt(call.current, larkrouter.Cancelled)
	}
}

// refuseCall sends a final answer other than 200.
func (n *Node) refuseCall(call *callState, status int, cooldown time.Duration) {
	if call == nil || call.isStanding || n.callsByID[call.id] != call {
		return
	}
	if status == 503 {
		n.Totals.Refused++
	} else {
		n.Totals.Failed++
	}
	n.write(call.conn, codec.Response(call.request, status, min(cooldown, n.cfg.Edge.MaxRetryAfter), nil))
	n.removeCall(call)
	if call.current != nil {
		n.abandonAttempt(call.current, larkrouter.Cancelled)
	}
}

// answerCall forwards a call server's answer to the caller: the call stands.
func (n *Node) answerCall(call *callState, description []byte) {
	n.Totals.Answered++
	n.write(call.conn, codec.Response(call.request, 200, 0, description))
	if c := n.callNoLongerOpen(call); c != nil {
		n.markAnswered(c)
	}
	n.timerHeap.Stop(&call.timer)
	call.isStanding, call.standingSince, call.request, call.setUp = true, n.now, nil, nil
}

// release returns the encoded release of the call for its caller.
func (call *callState) release(cause byte) []byte {
	return codec.Release(string(call.callID[:]), string(call.calledNumber[:]), int(cause))
}

// removeCall removes a call and remembers that it has ended.
func (n *Node) removeCall(call *callState) {
	if n.callsByID[call.id] != call {
		return
	}
	n.forgetCall(call)
	n.endedIDs.add(n.now, call.id, call.conn, n.callerConns[call.conn] == nil)
}

// forgetCall removes a call.
func (n *Node) forgetCall(call *callState) {
	if !call.isStanding {
		n.callNoLongerOpen(call)
	}
	if call.server != nil {
		delete(call.server.standing, call)
	}
	if !call.isAwaitingRelease() {
		n.adopted.remove(call)
	}
	n.timerHeap.Stop(&call.timer)
	delete(n.callsByID, call.id)
	delete(n.callsByNumber, call.number)
}

// adoptCall registers a call that already stands at a call server, according to its caller. The request gets no
// answer, but the caller gets a release if the call has ended or if the node does not hold it.
func (n *Node) adoptCall(c *callerConn, setUp *codec.SetUp, msg *sip.Message, existing *callState) {
	if existing != nil {
		if existing.isStanding {
			existing.conn = c.id
			n.adopted.moveTo(c.id, existing)
		}
		return
	}
	n.lastCallNumber++
	call := &callState{number: n.lastCallNumber, id: setUp.ID, callID: newHexText(msg.Get("Call-ID")),
		calledNumber: newHexText(setUp.Number), conn: c.id, isStanding: true, standingSince: n.now, hasTrunkEnded: true}
	srv := n.servers[setUp.StandingAt]
	released, isReleased := n.unknownReleases.byID[setUp.ID]
	switch {
	case isReleased: // its server has released it
		n.forwardRelease(call, released.cause)
		return
	case n.hasEnded(setUp.ID):
		n.releaseAtCaller(call, trunk.CauseReset)
		return
	case srv == nil:
		n.Totals.UnknownCalls++
		n.releaseAtCaller(call, trunk.CauseReset)
		return
	}
	n.Totals.Adopted++
	c.Proven = true
	n.offerReleases(c)
	call.server = srv
	if t := n.openTrunk(srv); t != nil {
		call.trunk, call.trunkOpenedAt = t.id, t.liveness.OpenedAt()
	}
	n.callsByID[call.id], n.callsByNumber[call.number] = call, call
	srv.standing[call] = struct{}{}
	n.adopted.add(call, c.id)
	n.giveUpExcessCalls(c)
}

// giveUpExcessCalls gives up adopted calls beyond their limit, after one was named on the given connection. The release of
// a call goes to the connection that named it last. If that has closed, it goes to the given one. The call server gets no
// release, so that a client cannot make the node flood it by naming calls that do not exist. If the call has ended and its
// release for the server waits, that is dropped.
func (n *Node) giveUpExcessCalls(naming *callerConn) {
	for call := n.adopted.excessCall(); call != nil; call = n.adopted.excessCall() {
		if call.isAwaitingRelease() {
			n.dropServerRelease(call)
			continue
		}
		n.Totals.AdoptedOverLimit++
		n.forgetCall(call)
		to := naming.id
		if n.callerConns[call.conn] != nil {
			to = call.conn
		}
		n.write(to, call.release(trunk.CauseReset))
	}
}

// releaseByCaller ends a standing call that its caller has released.
func (n *Node) releaseByCaller(call *callState, cause byte) {
	n.releaseAtServer(call, cause)
	n.removeCall(call)
	n.notifyModule(larkrouter.AttemptResult{Call: call.number, Attempt: call.standingAttempt, Outcome: larkrouter.Cancelled,
		Elapsed: n.now - call.standingSince,
		Server:  call.server.number, CallEnded: true})
}
