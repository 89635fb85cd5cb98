package edge

import (
	"io"
	"log/slog"
	"sync/atomic"
)

// asyncWriter writes log lines in a goroutine of its own, so that logging never blocks. Lines that exceed its
// buffer are dropped and counted.
type asyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{lines: make(chan []byte, 256), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = out.Write(line) // nothing can be done if standard error is closed
		}
	}()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// NewLogger returns the access node's log, which consists of JSON lines. end writes the buffered lines and stops
// the log.
func NewLogger(out io.Writer) (log *slog.Logger, end func()) {
	w := newAsyncWriter(out)
	return slog.New(slog.NewJSONHandler(w, nil)), func() {
		close(w.lines)
		<-w.done
	}
}
