package transaction

import (
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Server is a server transaction (sections 17.2.1 and 17.2.2; RFC 6026, section 7.1).
type Server struct {
	Request *sip.Message // let go of once answered; From, To, Via of it are in the last response
	From    sip.Peer     // where the request came from last
	To      sip.Peer     // where responses go
	User    any          // the user's own
	Repeats int          // retransmissions of the request absorbed so far
	layer   *Layer
	key     key
	state   state
	last    *sip.Message
	gap     time.Duration
	repeat  timers.Timer // G
	limit   timers.Timer // H, I, J, L
}

// Answered says whether a final response has been given.
func (s *Server) Answered() bool { return s.state >= completed }

// again takes a retransmission or the ACK. A repeat by another path (another transport or port) moves the transaction
// there: that is where the client listens now.
func (s *Server) again(m *sip.Message, from sip.Peer) {
	l := s.layer
	if m.Method == sip.ACK {
		switch s.state {
		case completed:
			s.state = confirmed
			l.heap.Stop(&s.repeat)
			s.finish(l.linger(l.Times.T4)) // I
		case accepted:
			l.user.Request(nil, m, from) // RFC 6026: an ACK with the INVITE's branch still belongs to the 2xx
		}
		return
	}
	l.Count.Absorbed++
	s.Repeats++
	if s.From.Transport.Reliable() && !from.Transport.Reliable() {
		return // the client has gone over to a connection; what comes by datagram now is old
	}
	s.From, s.To = from, sip.ReplyTo(m, from)
	if s.last != nil && s.state != confirmed && s.state != accepted {
		l.send.Send(s.To, s.last)
	}
}

// Respond sends a response. After a final one only a 2xx to INVITE may be sent again, as the dialog does; all else
// is dropped, so that a transaction has one final answer whatever its user does. It says whether it was sent.
func (s *Server) Respond(m *sip.Message) bool {
	l := s.layer
	invite := s.key.method == sip.INVITE
	switch {
	case s.state == accepted && s.last == m && m != nil: // the dialog repeats its 2xx
		l.Count.Retransmitted++
		l.send.Send(s.To, m)
		return true
	case s.state >= completed:
		return false
	case m.Status < 200:
		s.state, s.last = proceeding, m
		l.send.Send(s.To, m)
		return true
	}
	s.last = m
	l.send.Send(s.To, m)
	switch {
	case invite && m.Status < 300:
		s.state = accepted
		l.heap.Set(&s.limit, l.now+64*l.Times.T1, s.end) // L
	case invite:
		s.state = completed
		l.heap.Set(&s.limit, l.now+l.linger(64*l.Times.T1), s.unacked) // H
		if !s.To.Transport.Reliable() {
			s.gap = l.Times.T1
			l.heap.Set(&s.repeat, l.now+s.gap, s.resend) // G
		}
	default:
		s.state = completed
		s.finish(l.linger(64 * l.Times.T1)) // J
	}
	s.Request = nil
	return true
}

func (s *Server) resend() {
	l := s.layer
	l.Count.Retransmitted++
	s.gap = min(2*s.gap, l.Times.T2)
	l.heap.Set(&s.repeat, l.now+s.gap, s.resend)
	l.send.Send(s.To, s.last)
}

func (s *Server) unacked() {
	s.layer.Count.Unacked++
	s.end()
	s.layer.user.Unacked(s, ErrTimeout)
}

// Acked lets go of a 2xx that the dialog will not repeat any more.
func (s *Server) Acked() {
	if s.state == accepted {
		s.last = nil
	}
}

// Drop forgets an unanswered transaction without a word: an answer to it goes another way.
func (s *Server) Drop() { s.end() }

// finish keeps the transaction for repeats, where there may be any.
func (s *Server) finish(d time.Duration) {
	if s.To.Transport.Reliable() {
		s.end()
		return
	}
	s.layer.heap.Set(&s.limit, s.layer.now+d, s.end)
}

func (s *Server) end() {
	s.state = terminated
	s.layer.heap.Stop(&s.repeat)
	s.layer.heap.Stop(&s.limit)
	if s.layer.servers[s.key] == s {
		delete(s.layer.servers, s.key)
	}
}
