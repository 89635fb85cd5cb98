package edge

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime"
	"time"

	"larkrouter/internal/edge/access"
)

// loopStats are statistics of the loop's turns since the last status record.
type loopStats struct {
	turns       int
	busyTime    time.Duration
	longestTurn time.Duration
}

func (m *loopStats) record(elapsed time.Duration) {
	m.turns++
	m.busyTime += elapsed
	m.longestTurn = max(m.longestTurn, elapsed)
}

// logEntry writes a log entry of the node. Empty attributes are left out.
func (el *eventLoop) logEntry(entry access.LogEntry) {
	attrs := []slog.Attr{}
	if entry.Server != "" {
		attrs = append(attrs, slog.String("server", entry.Server))
	}
	if entry.Call != 0 {
		attrs = append(attrs, slog.String("call", fmt.Sprintf("%016x", entry.Call)))
	}
	if entry.Cause != "" {
		attrs = append(attrs, slog.String("cause", entry.Cause))
	}
	if entry.Count != 0 {
		attrs = append(attrs, slog.Int("count", entry.Count))
	}
	el.log.LogAttrs(context.Background(), slog.LevelInfo, entry.Event, attrs...)
}

// logStatus logs the state of the node and the module's view of the servers. It runs once a second.
func (el *eventLoop) logStatus() {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	attrs := []slog.Attr{
		slog.Any("totals", el.node.Totals), slog.Int("open", el.node.OpenCalls()), slog.Int("adopted", el.node.AdoptedCalls()),
		slog.Int("releases_waiting", el.node.WaitingReleases()),
		slog.Int("callers", el.node.CallerConns()),
		slog.Int64("sockets", el.socketCount.Load()), slog.Int("turns", el.stats.turns), slog.Float64("busy_ms", ms(el.stats.busyTime)),
		slog.Float64("longest_ms", ms(el.stats.longestTurn)), slog.Uint64("heap_kb", mem.HeapAlloc>>10), slog.Uint64("sys_kb", mem.Sys>>10),
		slog.Int("goroutines", runtime.NumGoroutine()), slog.Uint64("cursor", el.lastListEvent),
	}
	for _, report := range el.node.ServerReports() {
		rate := report.View.Rate
		if math.IsInf(rate, 1) {
			rate = -1
		}
		attrs = append(attrs, slog.Group(report.Server, slog.String("phase", report.Phase), slog.Int("lines", report.Trunks),
			slog.Int("out", report.PendingSetUps), slog.Int("waiting", report.WaitingForTrunk),
			slog.Int("standing", report.StandingCalls), slog.Float64("silent_ms", ms(report.SilentFor)),
			slog.Int("incomplete", report.IncompleteBytes), slog.Any("counts", report.Counts),
			slog.Int("state", int(report.View.State)), slog.Float64("rate", rate), slog.Float64("delay_ms", ms(report.View.Delay)),
			slog.Int("unanswered", report.View.Outstanding)))
	}
	el.stats = loopStats{}
	el.log.LogAttrs(context.Background(), slog.LevelInfo, "second", attrs...)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
