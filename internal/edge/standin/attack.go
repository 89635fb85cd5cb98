package standin

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	firstAttackID = 1 << 32
	pieceInterval = 20 * time.Millisecond
	pieceSize     = 300
	shortFields   = 3000
	openPerClient = 40 // set-ups
)

// Attack is what a bad client does on a connection, with requests that are numbered from first on.
type Attack func(conn net.Conn, first int)

// Run lets a number of clients attack at once for a while. They come again when the node closes their connections.
func (a Attack) Run(nodeAddr string, count int, duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			for first := firstAttackID * (i + 1); ctx.Err() == nil; first += 1 << 20 {
				a.once(ctx, nodeAddr, first)
			}
		})
	}
	clients.Wait()
}

func (a Attack) once(ctx context.Context, nodeAddr string, first int) {
	conn, err := net.Dial("tcp", nodeAddr)
	if err != nil {
		time.Sleep(pieceInterval)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	a(conn, first)
}

// SendHalfARequest stops before the end of a large set-up.
func SendHalfARequest(conn net.Conn, first int) {
	text := FormatLargeInvite(first)
	_, _ = io.WriteString(conn, text[:len(text)-1])
	_, _ = io.Copy(io.Discard, conn)
}

// SendInPieces sends large set-ups in small pieces.
func SendInPieces(conn net.Conn, first int) {
	for n := first; ; n++ {
		text := FormatLargeInvite(n)
		for len(text) > 0 {
			piece := text[:min(pieceSize, len(text))]
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			text = text[len(piece):]
			time.Sleep(pieceInterval)
		}
	}
}

// SendShortFields sends a head of very many short fields, and not its end.
func SendShortFields(conn net.Conn, _ int) {
	_, _ = io.WriteString(conn, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\n"+strings.Repeat("a:\r\n", shortFields))
	_, _ = io.Copy(io.Discard, conn)
}

// SendLargeRequests sends many large set-ups.
func SendLargeRequests(conn net.Conn, first int) {
	for n := range openPerClient {
		if _, err := io.WriteString(conn, FormatLargeInvite(first+n)); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}

// SendWithoutReading sends requests at full speed and reads nothing.
func SendWithoutReading(conn net.Conn, first int) {
	for n := first; ; n++ {
		if _, err := io.WriteString(conn, FormatUnknownClass(n)); err != nil {
			return
		}
	}
}
