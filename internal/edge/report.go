package edge

import (
	"context"
	"log/slog"
	"math"
	"runtime"
	"time"

	"larkrouter/internal/edge/access"
)

// meter adds up the loop's turns between two lines of the log.
type meter struct {
	turns   int
	busy    time.Duration
	longest time.Duration
}

func (m *meter) turn(d time.Duration) {
	m.turns++
	m.busy += d
	m.longest = max(m.longest, d)
}

func (sh *shell) note(n access.Note) {
	attrs := []slog.Attr{}
	if n.Server != "" {
		attrs = append(attrs, slog.String("server", n.Server))
	}
	if n.Call != 0 {
		attrs = append(attrs, slog.Uint64("call", n.Call))
	}
	if n.Cause != "" {
		attrs = append(attrs, slog.String("cause", n.Cause))
	}
	if n.Count != 0 {
		attrs = append(attrs, slog.Int("count", n.Count))
	}
	sh.log.LogAttrs(context.Background(), slog.LevelInfo, n.Event, attrs...)
}

// line logs what the node sees and believes, once a second.
func (sh *shell) line() {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	attrs := []slog.Attr{
		slog.Any("totals", sh.node.Totals), slog.Int("open", sh.node.Open()), slog.Int("callers", sh.node.Callers()),
		slog.Int64("sockets", sh.sockets.Load()), slog.Int("turns", sh.meter.turns), slog.Float64("busy_ms", ms(sh.meter.busy)),
		slog.Float64("longest_ms", ms(sh.meter.longest)), slog.Uint64("heap_kb", mem.HeapAlloc>>10), slog.Uint64("sys_kb", mem.Sys>>10),
		slog.Int("goroutines", runtime.NumGoroutine()), slog.Uint64("cursor", sh.told),
	}
	for _, r := range sh.node.Reports() {
		rate := r.View.Rate
		if math.IsInf(rate, 1) {
			rate = -1
		}
		attrs = append(attrs, slog.Group(r.Server, slog.String("phase", r.Phase), slog.Int("lines", r.Lines), slog.Int("out", r.Out),
			slog.Int("waiting", r.Waiting), slog.Int("standing", r.Standing), slog.Any("counts", r.Counts),
			slog.Int("state", int(r.View.State)), slog.Float64("rate", rate), slog.Float64("delay_ms", ms(r.View.Delay)),
			slog.Int("unanswered", r.View.Waiting)))
	}
	sh.meter = meter{}
	sh.log.LogAttrs(context.Background(), slog.LevelInfo, "second", attrs...)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
