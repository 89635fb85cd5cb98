// Package spawn starts and ends nodes as processes of the program, for measurements and for simulations that run each node
// in a process of its own.
package spawn

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a node in a process of its own.
type Process struct {
	LogPath string // path of the file with the process's output
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Start runs "PROGRAM serve -c CONFIG" with further arguments. The process's output is appended to a log file beside the
// configuration, of the same name with the extension .log.
func Start(program, config string, args ...string) (*Process, error) {
	n := &Process{LogPath: config[:len(config)-len(filepath.Ext(config))] + ".log", ended: make(chan struct{})}
	log, err := os.OpenFile(n.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has a descriptor of its own
	n.cmd = exec.Command(program, append([]string{"serve", "-c", config}, args...)...)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", program, err)
	}
	go func() {
		defer close(n.ended)
		_ = n.cmd.Wait() // the exit status is not used
	}()
	return n, nil
}

// startTimeout is how long a node may take until it serves.
const startTimeout = 10 * time.Second

// WaitReady polls ready at an interval until it returns true. It returns an error if the process ends first, or if it is not
// ready within startTimeout.
func (p *Process) WaitReady(interval time.Duration, ready func() bool) error {
	for start := time.Now(); time.Since(start) < startTimeout; {
		if ready() {
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("starting the node: the process ended before it was ready: %s", p.Output())
		case <-time.After(interval):
		}
	}
	return fmt.Errorf("starting the node: not ready within %v: %s", startTimeout, p.Output())
}

// Output returns the output of the process so far.
func (p *Process) Output() string {
	b, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal. The error for a process that has ended is ignored.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process with SIGKILL, even if it is stopped, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}
