package standin

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const memorySampleInterval = 5 * time.Millisecond

// MemoryWatch samples the resident memory of a process that no file backs.
type MemoryWatch struct {
	peakKB int // read once done is closed
	stop   context.CancelFunc
	done   chan struct{}
}

// WatchMemory starts to sample the memory of a process.
func WatchMemory(pid int) *MemoryWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &MemoryWatch{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			w.peakKB = max(w.peakKB, anonymousKB(pid))
			time.Sleep(memorySampleInterval)
		}
	}()
	return w
}

// PeakMB ends the watch and returns the most memory that it saw, in MB.
func (w *MemoryWatch) PeakMB() int {
	w.stop()
	<-w.done
	return w.peakKB >> 10
}

// anonymousKB returns the resident memory of a process that no file backs, or 0 if it has ended.
func anonymousKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes
		}
	}
	return 0
}
