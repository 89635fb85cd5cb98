package sip

import "bytes"

// Stream splits the bytes of a connection into messages by Content-Length (section 18.3). It does no I/O: the caller
// feeds bytes in pieces of any size and takes out complete messages.
type Stream struct {
	Limits        Limits
	buf           []byte
	pending       *Message // parsed header of a message whose body is incomplete
	pendingHead   int      // bytes of that header
	pendingLength int      // Content-Length of that message, in bytes
	pings         int
	err           error
}

// Feed appends bytes that were read from the connection.
func (s *Stream) Feed(b []byte) { s.buf = append(s.buf, b...) }

// TakePings returns the number of keep-alives (double CRLF, RFC 5626, section 3.5.1) received since the last call. Each
// must be answered with a CRLF.
func (s *Stream) TakePings() int {
	n := s.pings
	s.pings = 0
	return n
}

// IsMidMessage reports whether part of an incomplete message has been received.
func (s *Stream) IsMidMessage() bool { return s.pending != nil || len(s.buf) > 0 }

// Held returns the number of bytes of an incomplete message that have been received.
func (s *Stream) Held() int {
	if s.pending == nil {
		return len(s.buf)
	}
	return s.pendingHead + len(s.buf)
}

// Next returns the next complete message, or nil if more bytes are needed. After an error the start of the next message
// is unknown: every later call returns the same error and the connection must be closed.
func (s *Stream) Next() (*Message, error) {
	if s.err != nil {
		return nil, s.err
	}
	m, err := s.next()
	if err != nil {
		s.err = err
	}
	return m, err
}

// next is Next without the handling of repeated errors.
func (s *Stream) next() (*Message, error) {
	lim := s.Limits.withDefaults()
	if s.pending == nil {
		for len(s.buf) > 0 && (s.buf[0] == '\r' || s.buf[0] == '\n') {
			if bytes.HasPrefix(s.buf, []byte("\r\n\r\n")) {
				s.pings++
				s.buf = s.buf[4:]
			} else if len(s.buf) < 4 && bytes.HasPrefix([]byte("\r\n\r\n"), s.buf) {
				return nil, nil
			} else {
				s.buf = s.buf[1:]
			}
		}
		end := bytes.Index(s.buf, []byte("\r\n\r\n"))
		if end < 0 {
			if maximum := s.Limits.maxHeaderBytes(); len(s.buf) > maximum {
				return nil, newParseError(0, nil, "header on a connection: must be at most %d bytes", maximum)
			}
			s.shrinkBuffer()
			return nil, nil
		}
		m, length, err := parseHead(s.buf[:end+4], lim)
		if err != nil {
			return nil, err
		}
		if length < 0 {
			return nil, newParseError(400, m, "no Content-Length on a connection (RFC 3261, section 18.3)")
		}
		if length > lim.MaxBody {
			return nil, newParseError(513, m, "Content-Length %d: must be at most %d", length, lim.MaxBody)
		}
		if lim.MaxMessage > 0 && end+4+length > lim.MaxMessage {
			return nil, newParseError(513, m, "message of %d bytes: must be at most %d", end+4+length, lim.MaxMessage)
		}
		s.pending, s.pendingHead, s.pendingLength, s.buf = m, end+4, length, s.buf[end+4:]
	}
	if len(s.buf) < s.pendingLength {
		s.shrinkBuffer()
		return nil, nil
	}
	m := s.pending
	if s.pendingLength > 0 {
		m.Body = bytes.Clone(s.buf[:s.pendingLength])
	}
	s.pending, s.buf = nil, s.buf[s.pendingLength:]
	if len(s.buf) == 0 {
		s.buf = nil
	}
	return m, nil
}

// shrinkBuffer copies the unread bytes to a smaller buffer when much of the buffer has been consumed, so that a long-lived
// connection does not keep the memory of past messages.
func (s *Stream) shrinkBuffer() {
	if cap(s.buf) > 2*len(s.buf)+4096 {
		s.buf = bytes.Clone(s.buf)
	}
}
