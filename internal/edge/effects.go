package edge

import (
	"net"
	"time"

	"larkrouter/internal/edge/access"
)

// execute carries out the effects of the node. Writes to one connection are combined.
func (el *eventLoop) execute() {
	for more := true; more; {
		more = false
		el.node.TakeEffects(func(effect access.Effect) {
			switch effect.Kind {
			case access.EffectWrite:
				if sock := el.sockets[effect.Conn]; sock != nil && !sock.closeAfterFlush {
					if sock.unsent = append(sock.unsent, effect.Bytes...); !sock.isUnflushed {
						sock.isUnflushed, el.unflushed = true, append(el.unflushed, sock)
					}
				}
			case access.EffectClose:
				if _, isDialing := el.wantedDials[effect.Conn]; isDialing {
					el.wantedDials[effect.Conn] = false
				} else if sock := el.sockets[effect.Conn]; sock != nil {
					sock.closeAfterFlush = true
					if !sock.isUnflushed {
						sock.isUnflushed, el.unflushed = true, append(el.unflushed, sock)
					}
				}
			case access.EffectDial:
				el.wantedDials[effect.Conn] = true
				go el.dial(effect.Conn, effect.Addr.String())
			case access.EffectLog:
				el.logEntry(effect.Entry)
			}
		})
		for _, sock := range el.unflushed {
			sock.isUnflushed = false
			more = el.flush(sock) || more
		}
		el.unflushed = el.unflushed[:0]
	}
}

// flush writes the unsent bytes of a connection. It returns true if that produced an event for the node.
func (el *eventLoop) flush(sock *socket) bool {
	if sock.isWriteBlocked || el.sockets[sock.id] != sock {
		if len(sock.unsent) > maxUnsentBytes {
			return el.closeBroken(sock)
		}
		return false
	}
	if len(sock.unsent) > 0 {
		if err := sock.write(); err != nil {
			return el.closeBroken(sock)
		}
	}
	if len(sock.unsent) > 0 {
		if sock.isTrunk { // a call server that does not read: a release that cannot be written must end the connection
			return el.closeBroken(sock)
		}
		sock.isWriteBlocked = true
		go func(data []byte) {
			_ = sock.conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
			_, err := sock.conn.Write(data)
			el.post(loopEvent{kind: writeFinished, sock: sock, connErr: err})
		}(sock.unsent)
		sock.unsent = nil
		return false
	}
	if sock.closeAfterFlush {
		delete(el.sockets, sock.id)
		sock.closeConn(sock.isTrunk || el.socketCount.Load() > el.maxSockets*4/5)
	}
	return false
}

// writeDone handles the end of a write that blocked.
func (el *eventLoop) writeDone(event *loopEvent) {
	sock := event.sock
	sock.isWriteBlocked = false
	if event.connErr != nil {
		el.closeBroken(sock)
		return
	}
	el.flush(sock)
}

// closeBroken closes a connection that cannot be written to.
func (el *eventLoop) closeBroken(sock *socket) bool {
	if el.sockets[sock.id] != sock {
		return false
	}
	delete(el.sockets, sock.id)
	sock.closeConn(true)
	if sock.isTrunk {
		el.node.TrunkClosed(el.clock(), sock.id, "write failed")
	} else {
		el.node.CallerClosed(el.clock(), sock.id)
	}
	return true
}

// dial opens a trunk and reports the result to the loop.
func (el *eventLoop) dial(id access.ConnID, addr string) {
	dialer := net.Dialer{Timeout: el.cfg.Edge.ConnectTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", addr)
	event := loopEvent{kind: trunkDialed, id: id, connErr: err}
	if err == nil {
		el.socketCount.Add(1)
		event.conn = conn.(*net.TCPConn)
	}
	if !el.post(event) && err == nil {
		conn.Close()
	}
}
