package edge

import (
	"io"
	"log/slog"
	"sync/atomic"
)

// lineWriter writes log lines in a goroutine of its own: who logs never waits, and what is too much is dropped and counted.
type lineWriter struct {
	lines   chan []byte
	ended   chan struct{}
	dropped atomic.Uint64
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, 256), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for b := range w.lines {
			_, _ = out.Write(b) // where standard error is gone there is nobody to tell
		}
	}()
	return w
}

// Write implements io.Writer.
func (w *lineWriter) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Logger makes the edge's log, JSON lines. end writes what is waiting.
func Logger(out io.Writer) (log *slog.Logger, end func()) {
	w := newLineWriter(out)
	return slog.New(slog.NewJSONHandler(w, nil)), func() {
		close(w.lines)
		<-w.ended
	}
}
