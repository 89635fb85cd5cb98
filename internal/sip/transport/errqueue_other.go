//go:build !linux

package transport

import (
	"net"
)

// enableErrorQueue does nothing: on systems other than Linux an unreachable peer is detected only by missing answers.
func enableErrorQueue(*net.UDPConn) {}

// readErrorQueue returns no errors.
func readErrorQueue(*net.UDPConn) []failedSend { return nil }
