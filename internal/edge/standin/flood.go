package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// floodRequests is how many requests a flooding client writes at once.
const floodRequests = 64

// Flood is a client that sends requests at full speed on one connection, and reads what it is sent. It connects again when the node closes
// the connection.
type Flood struct {
	nodeAddr string
	cancel   context.CancelFunc
	sent     chan int64 // the number of its requests, once it has ended
}

// StartFlood starts a client that sends requests with numbers from first on.
func StartFlood(nodeAddr string, first int, request func(n int) string) *Flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Flood{nodeAddr: nodeAddr, cancel: cancel, sent: make(chan int64, 1)}
	go func() {
		next := first
		for ctx.Err() == nil {
			next = f.fillConnection(ctx, next, request)
		}
		f.sent <- int64(next - first)
	}()
	return f
}

// fillConnection sends requests on a new connection until it ends, and returns the number of the next request.
func (f *Flood) fillConnection(ctx context.Context, next int, request func(n int) string) int {
	conn, err := net.Dial("tcp", f.nodeAddr)
	if err != nil {
		return next
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	one := request(next)
	batch := []byte(strings.Repeat(one, floodRequests))
	for {
		for i := range floodRequests {
			setID(batch[i*len(one):(i+1)*len(one)], next+i)
		}
		if _, err := conn.Write(batch); err != nil {
			return next
		}
		next += floodRequests
	}
}

// Stop stops the client and returns the number of its requests.
func (f *Flood) Stop() (sent int64) {
	f.cancel()
	return <-f.sent
}

// setID replaces the id in all messages of a text, which has the form of FormatRequest.
func setID(text []byte, n int) {
	const field = "Call-ID: "
	for {
		at := bytes.Index(text, []byte(field))
		if at < 0 {
			return
		}
		text = text[at+len(field):]
		copy(text, fmt.Sprintf("%016x", n))
	}
}
