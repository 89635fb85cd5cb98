package transport

import (
	"net"
	"net/netip"

	"golang.org/x/sys/unix"

	"larkrouter/internal/sip"
)

// enableErrorQueue asks the kernel to queue ICMP errors with the address that they concern (ip(7), IP_RECVERR). Without
// it, a socket that sends to many peers is not informed that one of them refuses datagrams.
func enableErrorQueue(c *net.UDPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1)
	})
}

// readErrorQueue empties the socket's error queue and returns the undelivered datagrams by address and branch.
func readErrorQueue(c *net.UDPConn) []failedSend {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var all []failedSend
	_ = raw.Control(func(fd uintptr) {
		var data [576]byte // max bytes of the datagram that an ICMP error quotes
		var oob [512]byte
		for range 256 {
			n, _, _, from, err := unix.Recvmsg(int(fd), data[:], oob[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if err != nil {
				return
			}
			switch a := from.(type) {
			case *unix.SockaddrInet4:
				all = append(all, failedSend{netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)), sip.FindBranch(data[:n])})
			case *unix.SockaddrInet6:
				all = append(all, failedSend{netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)), sip.FindBranch(data[:n])})
			}
		}
	})
	return all
}
