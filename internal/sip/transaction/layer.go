package transaction

import (
	"cmp"
	"errors"
	"net/netip"
	"slices"
	"time"

	"larkrouter/internal/sip"
	"larkrouter/internal/timers"
)

// Times holds the base values of the timers (section 17.1.1.1). Zero values stand for T1 500 ms, T2 4 s, T4 5 s.
type Times struct {
	T1, T2, T4 time.Duration
	Linger     time.Duration // upper limit of timers D, H, I, J, K and M; 0: the RFC's values, 32 s for most
}

// withDefaults returns t with its zero values replaced by those of the RFC.
func (t Times) withDefaults() Times {
	if t.T1 <= 0 {
		t.T1 = 500 * time.Millisecond
	}
	if t.T2 <= 0 {
		t.T2 = 4 * time.Second
	}
	if t.T4 <= 0 {
		t.T4 = 5 * time.Second
	}
	return t
}

// User receives the events of a layer. Its methods are called from within Receive, TransportFailed and the timers.
type User interface {
	// Request delivers a new request. The user must respond in t, which is nil for the ACK to a 2xx.
	Request(t *Server, m *sip.Message, from sip.Peer)
	// Response delivers a response to a request that the user sent. Retransmissions of a 2xx to INVITE are delivered, too.
	Response(t *Client, m *sip.Message)
	// Stray delivers a response that matches no transaction, such as a late 2xx.
	Stray(m *sip.Message, from sip.Peer)
	// TimedOut reports that no final response arrived (timers B and F; err is ErrTimeout) or that the request could not be
	// sent or its connection was lost (any other err).
	TimedOut(t *Client, err error)
	// Unacked reports that no ACK arrived for a final response (timer H; err is ErrTimeout).
	Unacked(t *Server, err error)
}

// Sender sends a message. It reports failures later through Layer.TransportFailed.
type Sender interface {
	Send(to sip.Peer, m *sip.Message)
}

// ErrTimeout is the error of TimedOut and Unacked when a timer expired.
var ErrTimeout = errors.New("no answer within 64 T1")

// Counters count events of the layer, for operators. ClientTransactions and ServerTransactions count transactions started,
// Retransmitted messages sent again by timers or the dialog, Absorbed received retransmissions, TimedOut client transactions
// without a final response, Unacked final responses to INVITE without an ACK, and Strays responses that match no
// transaction.
type Counters struct {
	ClientTransactions, ServerTransactions, Retransmitted, Absorbed, TimedOut, Unacked, Strays uint64
}

// key identifies a transaction (sections 17.1.3 and 17.2.3). sentBy is empty for client transactions.
type key struct {
	branch, sentBy, method string
}

// Layer holds the transactions of one endpoint. It is not safe for concurrent use.
type Layer struct {
	Times    Times
	Counters Counters
	user     User
	sender   Sender
	heap     *timers.Heap
	now      time.Duration
	clients  map[key]*Client
	servers  map[key]*Server
}

// New returns a layer whose timers are kept in heap.
func New(t Times, heap *timers.Heap, user User, send Sender) *Layer {
	return &Layer{Times: t.withDefaults(), user: user, sender: send, heap: heap,
		clients: map[key]*Client{}, servers: map[key]*Server{}}
}

// SetTimes changes the base values of the timers. Timers that are already set are not changed.
func (l *Layer) SetTimes(t Times) { l.Times = t.withDefaults() }

// CountServers returns the number of server transactions that arrived on sockets for which isWanted reports true.
func (l *Layer) CountServers(isWanted func(uint16) bool) (n int) {
	for _, s := range l.servers {
		if isWanted(s.From.LocalSocket) {
			n++
		}
	}
	return n
}

// SetNow sets the layer's current time. It must be called before any other method at that time.
func (l *Layer) SetNow(now time.Duration) { l.now = now }

// OpenCounts returns the number of client and server transactions.
func (l *Layer) OpenCounts() (clients, servers int) { return len(l.clients), len(l.servers) }

// serverKey returns the key of the server transaction that a request belongs to; an ACK belongs to that of its INVITE.
func serverKey(m *sip.Message) key {
	method := m.Method
	if method == sip.ACK {
		method = sip.INVITE
	}
	v, _ := sip.ParseVia(m.Get("Via"))
	branch := sip.ParamValue(v.Params, "branch")
	if len(branch) < 7 || branch[:7] != "z9hG4bK" {
		// Clients of RFC 2543 (section 17.2.3): use the fields that identify a transaction there.
		n, _, _ := m.CSeq()
		branch = "2543:" + m.Get("Call-ID") + "|" + m.Tag("From") + "|" + itoa(int(n)) + "|" + m.URI
	}
	return key{branch, v.Host + ":" + itoa(v.Port), method}
}

// itoa formats n without allocating a large buffer; 0 gives "".
func itoa(n int) string {
	if n == 0 {
		return ""
	}
	var b [8]byte
	i := len(b)
	for ; n > 0; n /= 10 {
		i--
		b[i] = byte('0' + n%10)
	}
	return string(b[i:])
}

// Receive processes a received message.
func (l *Layer) Receive(m *sip.Message, from sip.Peer) {
	if !m.IsRequest() {
		_, method, _ := m.CSeq()
		if c := l.clients[key{m.Branch(), "", method}]; c != nil {
			c.receive(m)
			return
		}
		l.Counters.Strays++
		l.user.Stray(m, from)
		return
	}
	k := serverKey(m)
	if s := l.servers[k]; s != nil {
		s.receive(m, from)
		return
	}
	if m.Method == sip.ACK {
		l.user.Request(nil, m, from)
		return
	}
	l.Counters.ServerTransactions++
	s := &Server{layer: l, key: k, Request: m, From: from, To: sip.ResponsePeer(m, from)}
	l.servers[k] = s
	l.user.Request(s, m, from)
}

// HasTransaction reports whether a message belongs to an existing transaction.
func (l *Layer) HasTransaction(m *sip.Message) bool {
	if !m.IsRequest() {
		_, method, _ := m.CSeq()
		return l.clients[key{m.Branch(), "", method}] != nil
	}
	k := serverKey(m)
	if m.Method == sip.CANCEL && l.servers[k] == nil {
		k.method = sip.INVITE
	}
	return l.servers[k] != nil
}

// MatchCancel returns the INVITE server transaction that a CANCEL refers to (section 9.2), or nil.
func (l *Layer) MatchCancel(cancel *sip.Message) *Server {
	k := serverKey(cancel)
	k.method = sip.INVITE
	return l.servers[k]
}

// TransportFailed reports to the layer that a send to a peer failed or that its connection was lost. Client transactions
// that wait for a final response from that peer end with TimedOut. If err is a SendError with a branch, only that
// transaction ends, and only if no 1xx has arrived.
func (l *Layer) TransportFailed(to sip.Peer, err error) {
	samePeer := func(p sip.Peer) bool {
		return p.Transport == to.Transport && p.Addr == to.Addr && (to.Conn == 0 || p.Conn == 0 || p.Conn == to.Conn)
	}
	var sendErr *sip.SendError
	branch := ""
	if errors.As(err, &sendErr) {
		branch = sendErr.Branch
	}
	var affected []*Client
	for _, c := range l.clients {
		if branch != "" {
			// The refused datagram belongs to this request only. If a 1xx has arrived, so has an earlier copy.
			if c.key.branch == branch && c.state == stateCalling {
				affected = append(affected, c)
			}
			continue
		}
		if (c.state == stateCalling || c.state == stateProceeding) && samePeer(c.To) {
			affected = append(affected, c)
		}
	}
	slices.SortFunc(affected, func(a, b *Client) int { return cmp.Compare(a.seq, b.seq) }) // independent of map order
	for _, c := range affected {
		if c.state == stateCalling || c.state == stateProceeding {
			c.end()
			l.user.TimedOut(c, err)
		}
	}
	for _, s := range l.servers { // outstanding responses go to the address in Via (section 18.2.2)
		if to.Conn != 0 && s.To.Conn == to.Conn && s.To.Transport == to.Transport && s.Request != nil {
			if v, err := sip.ParseVia(s.Request.Get("Via")); err == nil && v.Port != 0 {
				s.To.Conn, s.To.Addr = 0, netip.AddrPortFrom(s.To.Addr.Addr(), uint16(v.Port))
			}
		}
	}
}

// state is the state of a transaction, named as in RFC 3261, section 17, and RFC 6026.
type state uint8

const (
	stateCalling state = iota // Trying in a non-INVITE transaction
	stateProceeding
	stateCompleted
	stateConfirmed
	stateAccepted
	stateTerminated
)
