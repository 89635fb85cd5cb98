package standin

import (
	"io"
	"net"
	"strings"
	"time"
)

// NoAnswer stands for the delay of a call without an answer.
const NoAnswer = time.Hour

// answerTimeout is how long TimeCall waits.
const answerTimeout = 10 * time.Second

// TimeCall places a call on a connection of its own and returns how long its final answer took.
func TimeCall(nodeAddr string, n int) time.Duration {
	started := time.Now()
	conn, err := net.Dial("tcp", nodeAddr)
	if err != nil {
		return NoAnswer
	}
	defer conn.Close()
	_ = conn.SetDeadline(started.Add(answerTimeout))
	if _, err := io.WriteString(conn, FormatInvite(n)); err != nil {
		return NoAnswer
	}
	var buf [64]byte
	read, err := conn.Read(buf[:])
	if err != nil || !strings.HasPrefix(string(buf[:read]), "SIP/2.0 ") {
		return NoAnswer
	}
	return time.Since(started)
}
