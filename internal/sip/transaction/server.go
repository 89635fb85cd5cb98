package transaction

import (
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Server is a server transaction (sections 17.2.1 and 17.2.2; RFC 6026, section 7.1).
type Server struct {
	Request             *sip.Message // nil once answered; the last response has its From, To and Via
	From                sip.Peer     // source of the latest copy of the request
	To                  sip.Peer     // destination of responses
	UserData            any          // for use by the layer's User
	RetransmitsReceived int          // number of retransmissions of the request absorbed so far
	layer               *Layer
	key                 key
	state               state
	lastResponse        *sip.Message  // latest response
	interval            time.Duration // interval until the next retransmission
	retransmitTimer     timers.Timer  // timer G
	limitTimer          timers.Timer  // timer H, I, J or L
}

// IsAnswered reports whether a final response has been sent.
func (s *Server) IsAnswered() bool { return s.state >= stateCompleted }

// receive processes a retransmission of the request or its ACK. A retransmission over another transport or port moves the
// transaction there, because that is where the client now listens.
func (s *Server) receive(m *sip.Message, from sip.Peer) {
	l := s.layer
	if m.Method == sip.ACK {
		switch s.state {
		case stateCompleted:
			s.state = stateConfirmed
			l.heap.Stop(&s.retransmitTimer)
			s.linger(l.limitLinger(l.Times.T4)) // I
		case stateAccepted:
			l.user.Request(nil, m, from) // RFC 6026: an ACK with the INVITE's branch still belongs to the 2xx
		}
		return
	}
	l.Counters.Absorbed++
	s.RetransmitsReceived++
	if s.From.Transport.IsReliable() && !from.Transport.IsReliable() {
		return // the client has switched to a connection; this datagram is an older copy
	}
	s.From, s.To = from, sip.ResponsePeer(m, from)
	if s.lastResponse != nil && s.state != stateConfirmed && s.state != stateAccepted {
		l.sender.Send(s.To, s.lastResponse)
	}
}

// Respond sends a response and reports whether it was sent. After a final response only the same 2xx to INVITE may be
// sent again, as the dialog does. Everything else is dropped, so that a transaction has exactly one final response
// whatever its user does.
func (s *Server) Respond(m *sip.Message) bool {
	l := s.layer
	invite := s.key.method == sip.INVITE
	switch {
	case s.state == stateAccepted && s.lastResponse == m && m != nil: // the dialog retransmits its 2xx
		l.Counters.Retransmitted++
		l.sender.Send(s.To, m)
		return true
	case s.state >= stateCompleted:
		return false
	case m.Status < 200:
		s.state, s.lastResponse = stateProceeding, m
		l.sender.Send(s.To, m)
		return true
	}
	s.lastResponse = m
	l.sender.Send(s.To, m)
	switch {
	case invite && m.Status < 300:
		s.state = stateAccepted
		l.heap.Set(&s.limitTimer, l.now+64*l.Times.T1, s.end) // L
	case invite:
		s.state = stateCompleted
		l.heap.Set(&s.limitTimer, l.now+l.limitLinger(64*l.Times.T1), s.unacked) // H
		if !s.To.Transport.IsReliable() {
			s.interval = l.Times.T1
			l.heap.Set(&s.retransmitTimer, l.now+s.interval, s.retransmit) // G
		}
	default:
		s.state = stateCompleted
		s.linger(l.limitLinger(64 * l.Times.T1)) // J
	}
	s.Request = nil
	return true
}

// retransmit sends the final response again when timer G fires, and sets the timer anew.
func (s *Server) retransmit() {
	l := s.layer
	l.Counters.Retransmitted++
	s.interval = min(2*s.interval, l.Times.T2)
	l.heap.Set(&s.retransmitTimer, l.now+s.interval, s.retransmit)
	l.sender.Send(s.To, s.lastResponse)
}

// unacked ends the transaction when timer H fires.
func (s *Server) unacked() {
	s.layer.Counters.Unacked++
	s.end()
	s.layer.user.Unacked(s, ErrTimeout)
}

// AckReceived releases the 2xx, which the dialog will not retransmit again.
func (s *Server) AckReceived() {
	if s.state == stateAccepted {
		s.lastResponse = nil
	}
}

// Remove removes an unanswered transaction without a response; the request is answered by other means.
func (s *Server) Remove() { s.end() }

// linger keeps an answered transaction for d to absorb retransmitted requests. On a reliable transport there are none and
// the transaction ends at once.
func (s *Server) linger(d time.Duration) {
	if s.To.Transport.IsReliable() {
		s.end()
		return
	}
	s.layer.heap.Set(&s.limitTimer, s.layer.now+d, s.end)
}

// end removes the transaction and stops its timers.
func (s *Server) end() {
	s.state = stateTerminated
	s.layer.heap.Stop(&s.retransmitTimer)
	s.layer.heap.Stop(&s.limitTimer)
	if s.layer.servers[s.key] == s {
		delete(s.layer.servers, s.key)
	}
}
