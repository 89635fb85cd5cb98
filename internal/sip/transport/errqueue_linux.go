package transport

import (
	"net"
	"net/netip"

	"golang.org/x/sys/unix"
)

// wantErrors asks the kernel to keep ICMP errors with the address that they are about (ip(7), IP_RECVERR): without
// that, a socket that sends to many peers does not learn that one of them refuses.
func wantErrors(c *net.UDPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1)
	})
}

// failedSends empties the error queue: the addresses that datagrams could not reach.
func failedSends(c *net.UDPConn) []netip.AddrPort {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	var all []netip.AddrPort
	_ = raw.Control(func(fd uintptr) {
		var data [1]byte
		var oob [512]byte
		for range 256 {
			_, _, _, from, err := unix.Recvmsg(int(fd), data[:], oob[:], unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
			if err != nil {
				return
			}
			switch a := from.(type) {
			case *unix.SockaddrInet4:
				all = append(all, netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)))
			case *unix.SockaddrInet6:
				all = append(all, netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port)))
			}
		}
	})
	return all
}
