package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Node is one access node as a process of its own, started with the command of the deploy file.
type Node struct {
	Name, Listen string
	MemoryMB     int
	Sockets      int
	rec          *Record
	dir          string // temporary folder with the configuration and the log
	run          string
	cmd          *exec.Cmd
	ended        chan struct{}
	starts       int
}

// NewNode prepares a node on a free port. run is the command of the deploy file.
func NewNode(name, dir, run string, rec *Record) (*Node, error) {
	if run == "" {
		return nil, errors.New("RUN_COMMAND is not set")
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return &Node{Name: name, Listen: ln.Addr().String(), MemoryMB: 192, Sockets: 1024, rec: rec, dir: dir, run: run}, nil
}

// Configure writes the configuration file.
func (n *Node) Configure(channel string, known json.RawMessage, settings string) error {
	text, err := json.Marshal(map[string]any{"name": n.Name, "listen": n.Listen, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", n.starts),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": n.MemoryMB, "sockets": n.Sockets},
		"channel": channel, "known": known, "settings": json.RawMessage(settings)})
	if err != nil {
		return err
	}
	temporary := n.configPath() + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, n.configPath())
}

func (n *Node) configPath() string { return filepath.Join(n.dir, n.Name+".json") }

// Start starts the process and waits until it passes a test.
func (n *Node) Start() error {
	n.starts++
	log, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	private := filepath.Join(n.dir, fmt.Sprintf("%s-%d", n.Name, n.starts))
	if err := os.Mkdir(private, 0o700); err != nil {
		return err
	}
	n.cmd = exec.Command("/bin/sh", "-c", n.run)
	n.cmd.Env = append(os.Environ(), "EDGE_NAME="+n.Name, "EDGE_LISTEN="+n.Listen, "EDGE_CONFIG="+n.configPath(), "TMPDIR="+private)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.rec.Add(n.Name, "started %q as process %d, listens on %s", n.run, n.cmd.Process.Pid, n.Listen)
	ended := make(chan struct{})
	n.ended = ended
	go func(cmd *exec.Cmd) {
		err := cmd.Wait()
		n.rec.Add(n.Name, "process %d has ended: %v, %v", cmd.Process.Pid, cmd.ProcessState, err)
		close(ended)
	}(n.cmd)
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if n.passesTest() {
			n.rec.Add(n.Name, "is ready")
			return nil
		}
		if n.HasEnded() {
			break
		}
	}
	return fmt.Errorf("%s did not get ready", n.Name)
}

func (n *Node) passesTest() bool {
	conn, err := net.Dial("tcp", n.Listen)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\nCSeq: 1 OPTIONS\r\n"+
		"Content-Length: 0\r\n\r\n")
	var reply [64]byte
	got, _ := conn.Read(reply[:])
	return got > 11 && string(reply[:11]) == "SIP/2.0 200"
}

// HasEnded reports whether the process has ended.
func (n *Node) HasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.rec.Add(n.Name, "%v to process %d", signal, n.cmd.Process.Pid)
	_ = n.cmd.Process.Signal(signal)
}

// WaitEnd waits for the end of the process and kills it after the limit. It returns whether it ended by itself.
func (n *Node) WaitEnd(limit time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(limit):
		n.Signal(syscall.SIGKILL)
		<-n.ended
		return false
	}
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.cmd != nil && n.cmd.Process != nil && !n.HasEnded() {
		n.Signal(syscall.SIGKILL)
		<-n.ended
	}
}

// AnonymousMB returns the resident memory of the process in MB that belongs to no file: neither the program's own pages nor
// those of libraries count.
func (n *Node) AnonymousMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	var kilobytes int
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes >> 10
}
