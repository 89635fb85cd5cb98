package sip

import "bytes"

// Stream frames the messages on a connection by Content-Length (section 18.3). It has no I/O: bytes are fed as they
// come, in any pieces, and whole messages are taken out.
type Stream struct {
	Limits Limits
	buf    []byte
	head   *Message // read, its body still coming
	length int
	pings  int
	broken error
}

// Feed takes what was read.
func (s *Stream) Feed(b []byte) { s.buf = append(s.buf, b...) }

// Pings are the keep-alives (double CRLF, RFC 5626, section 3.5.1) since the last call; each is owed a CRLF.
func (s *Stream) Pings() int {
	n := s.pings
	s.pings = 0
	return n
}

// Mid says whether a message has begun and is not whole.
func (s *Stream) Mid() bool { return s.head != nil || len(s.buf) > 0 }

// Next is the next whole message, or nil while more bytes are needed. After an error the place of the next message
// is unknown, so that every later call gives the same error and the connection is to be closed.
func (s *Stream) Next() (*Message, error) {
	if s.broken != nil {
		return nil, s.broken
	}
	m, err := s.next()
	if err != nil {
		s.broken = err
	}
	return m, err
}

func (s *Stream) next() (*Message, error) {
	lim := s.Limits.filled()
	if s.head == nil {
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
			if len(s.buf) > s.Limits.head() {
				return nil, bad(0, nil, "header of over %d bytes on a connection", s.Limits.head())
			}
			s.compact()
			return nil, nil
		}
		m, length, err := parseHead(s.buf[:end+4], lim)
		if err != nil {
			return nil, err
		}
		if length < 0 {
			return nil, bad(400, m, "no Content-Length on a connection (RFC 3261, section 18.3)")
		}
		if length > lim.Body {
			return nil, bad(513, m, "Content-Length %d, at most %d are read", length, lim.Body)
		}
		s.head, s.length, s.buf = m, length, s.buf[end+4:]
	}
	if len(s.buf) < s.length {
		s.compact()
		return nil, nil
	}
	m := s.head
	if s.length > 0 {
		m.Body = bytes.Clone(s.buf[:s.length])
	}
	s.head, s.buf = nil, s.buf[s.length:]
	if len(s.buf) == 0 {
		s.buf = nil
	}
	return m, nil
}

// compact lets go of what has been read, so that a long connection does not hold its past.
func (s *Stream) compact() {
	if cap(s.buf) > 2*len(s.buf)+4096 {
		s.buf = bytes.Clone(s.buf)
	}
}
