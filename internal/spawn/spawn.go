// Package spawn starts the program as a node of its own process, for measurements and for days played with processes,
// and ends what it has started.
package spawn

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Node is a process of the program.
type Node struct {
	Log   string // path of what it writes
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start runs "PROGRAM serve -c CONFIG" with further arguments; what it writes is appended to a log beside the
// configuration.
func Start(program, config string, args ...string) (*Node, error) {
	n := &Node{Log: config[:len(config)-len(filepath.Ext(config))] + ".log", ended: make(chan struct{})}
	log, err := os.OpenFile(n.Log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has its own
	n.cmd = exec.Command(program, append([]string{"serve", "-c", config}, args...)...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", program, err)
	}
	go func() {
		defer close(n.ended)
		_ = n.cmd.Wait() // how it ended is for whoever ended it
	}()
	return n, nil
}

// startMost is how long a node may take until it serves.
const startMost = 10 * time.Second

// Await waits until a node is ready by a test that is made every so often; a node that ends before is an error.
func (n *Node) Await(every time.Duration, ready func() bool) error {
	for begin := time.Now(); time.Since(begin) < startMost; {
		if ready() {
			return nil
		}
		select {
		case <-n.ended:
			return fmt.Errorf("the node ended before it served: %s", n.Wrote())
		case <-time.After(every):
		}
	}
	return fmt.Errorf("the node does not serve after %v: %s", startMost, n.Wrote())
}

// Wrote is what the node has written so far.
func (n *Node) Wrote() string {
	b, err := os.ReadFile(n.Log)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Pid is the process's number.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Signal sends a signal; a process that has ended needs none.
func (n *Node) Signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// Kill ends the process without a word, also one that is stopped, and waits for that.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.ended
}
