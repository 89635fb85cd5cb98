package daemon

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// gather writes lines in lumps: one system call for many. What has not been written for `every` goes out, and with
// Flush at once, so that a node that is killed loses the lines of that time at most.
type gather struct {
	mu    sync.Mutex
	w     *bufio.Writer
	every time.Duration
	armed bool
}

func newGather(w io.Writer, every time.Duration) *gather {
	return &gather{w: bufio.NewWriterSize(w, 64<<10), every: every}
}

func (g *gather) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.armed {
		g.armed = true
		time.AfterFunc(g.every, g.Flush)
	}
	return g.w.Write(b)
}

// Flush writes what is waiting.
func (g *gather) Flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	_ = g.w.Flush() // where standard error is gone there is nobody to tell
}
