package daemon

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"larkrouter/internal/config"
)

// reloadableHandler is a slog.Handler whose format and level can change while the node serves.
type reloadableHandler struct {
	out     io.Writer
	current atomic.Pointer[slog.Handler]
}

func (s *reloadableHandler) apply(cfg config.Log) {
	options := &slog.HandlerOptions{Level: slog.Level(cfg.NodeLevel())}
	var handler slog.Handler = slog.NewJSONHandler(s.out, options)
	if cfg.Format == "text" {
		handler = slog.NewTextHandler(s.out, options)
	}
	s.current.Store(&handler)
}

// Enabled implements slog.Handler.
func (s *reloadableHandler) Enabled(ctx context.Context, l slog.Level) bool {
	return (*s.current.Load()).Enabled(ctx, l)
}

// Handle implements slog.Handler.
func (s *reloadableHandler) Handle(ctx context.Context, r slog.Record) error {
	return (*s.current.Load()).Handle(ctx, r)
}

// WithAttrs implements slog.Handler. The handler that it returns no longer follows changes of format and level.
func (s *reloadableHandler) WithAttrs(a []slog.Attr) slog.Handler {
	return (*s.current.Load()).WithAttrs(a)
}

// WithGroup implements slog.Handler. The handler that it returns no longer follows changes of format and level.
func (s *reloadableHandler) WithGroup(name string) slog.Handler {
	return (*s.current.Load()).WithGroup(name)
}

// NewLogger returns a logger with the configured format and level, both of which a reload can change. Lines are buffered for
// at most 50 ms; flush writes those that are waiting.
func NewLogger(cfg config.Log, out io.Writer) (log *slog.Logger, flush func()) {
	buffered := newBatchWriter(out, 50*time.Millisecond)
	handler := &reloadableHandler{out: buffered}
	handler.apply(cfg)
	return slog.New(handler), buffered.Flush
}
