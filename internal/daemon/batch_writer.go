package daemon

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// batchWriter buffers log lines to write many with one system call. A buffered line is written after interval at the
// latest, or by Flush, so that a killed node loses at most the lines of one interval.
type batchWriter struct {
	mu             sync.Mutex
	w              *bufio.Writer
	interval       time.Duration
	flushScheduled bool
}

func newBatchWriter(w io.Writer, every time.Duration) *batchWriter {
	return &batchWriter{w: bufio.NewWriterSize(w, 64<<10), interval: every}
}

func (w *batchWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(w.interval, w.Flush)
	}
	return w.w.Write(b)
}

// Flush writes the buffered lines.
func (w *batchWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flushScheduled = false
	_ = w.w.Flush() // a failure of standard error can't be reported anywhere
}
