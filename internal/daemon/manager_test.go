package daemon

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Under a service manager: sockets come as inherited descriptors and are in use before the process was there, readiness,
// reload, watchdog and stop are told by datagrams.
func TestServiceManager(t *testing.T) {
	v := newLive(t, "", 100*time.Millisecond)
	at := filepath.Join(v.dir, "notify")
	manager, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: at, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer manager.Close()
	var mu sync.Mutex
	var told []string
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := manager.Read(b)
			if err != nil {
				return
			}
			mu.Lock()
			told = append(told, string(b[:n]))
			mu.Unlock()
		}
	}()
	wait := func(what string) {
		t.Helper()
		waitFor(t, what, func() bool {
			mu.Lock()
			defer mu.Unlock()
			for _, s := range told {
				if strings.HasPrefix(s, what) {
					return true
				}
			}
			return false
		})
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(v.at))
	if err != nil {
		t.Fatal(err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(v.at))
	if err != nil {
		t.Fatal(err)
	}
	uf, err1 := udp.File()
	tf, err2 := tcp.File()
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	// A call that is there before the process is: it waits in the socket and is not refused.
	v.loop.Call(func(time.Duration) { v.callers.Dial(0) })
	v.cmd = spawn(t, v.path, v.log, "NOTIFY_SOCKET="+at, "WATCHDOG_USEC=300000", takeoverEnv+"=1", "LISTEN_FDS=2",
		"LISTEN_FDNAMES=sip:sip") // the process sets its own number, as a manager would
	v.cmd.ExtraFiles = []*os.File{uf, tf}
	if err := v.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = v.cmd.Process.Kill(); _ = v.cmd.Wait() })
	for _, f := range []interface{ Close() error }{udp, tcp, uf, tf} {
		f.Close()
	}
	wait("READY=1")
	waitFor(t, "the call that came first to stand", func() bool { c, _ := v.counts(); return c.InAim == 1 })
	wait("WATCHDOG=1")
	if err := v.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	wait("RELOADING=1\nMONOTONIC_USEC=")
	if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wait("STOPPING=1")
}
