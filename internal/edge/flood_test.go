package edge

import (
	"slices"
	"testing"
	"time"

	"larkrouter/internal/edge/standin"
)

const (
	answerAim      = 300 * time.Millisecond // promiseUs of the class in settingsText
	floodTime      = 4 * time.Second
	honestInterval = 40 * time.Millisecond
	firstFloodID   = 1 << 32
	oneCoreLimits  = `{"cores":1,"memory_mb":32,"sockets":1024}`
)

// TestFloodOnSockets guards against answers that come late to other clients, and memory that grows, while one client sends small requests
// at full speed, each with an id of its own, and the node may use one core.
func TestFloodOnSockets(t *testing.T) {
	for name, tc := range map[string]struct {
		conns   int
		request func(n int) string
	}{
		"unknown class":             {1, standin.FormatUnknownClass},
		"OPTIONS":                   {1, formatOptions},
		"INVITE and CANCEL":         {1, func(n int) string { return formatInvite(n) + formatRequest("CANCEL", n, "") }},
		"OPTIONS on 20 connections": {20, formatOptions},
	} {
		t.Run(name, func(t *testing.T) {
			env, stopServer := newOneCoreEnv(t)
			defer stopServer()
			memory := standin.WatchMemory(env.node.pid())
			var floods []*standin.Flood
			for i := range tc.conns {
				floods = append(floods, standin.StartFlood(env.nodeAddr, firstFloodID*(i+1), tc.request))
			}
			delays := env.placeHonestCalls(floodTime)
			sent := int64(0)
			for _, flood := range floods {
				sent += flood.Stop()
			}
			checkDelays(t, delays)
			checkMemory(t, memory)
			t.Logf("%d requests of the flooding client", sent)
		})
	}
}

// newOneCoreEnv returns a node in a process of its own, which may use one core, and its call server.
func newOneCoreEnv(t *testing.T) (env *testEnv, stop func()) {
	t.Helper()
	addr := reserveAddr(t)
	server := startServerProcess(t, addr)
	env = newProcessEnv(t, standin.Member("s-x", addr, 0, "up"))
	env.limits = oneCoreLimits
	env.writeConfig()
	node := env.startNodeProcess()
	env.newCallers(0)
	return env, func() {
		node.kill()
		server.kill()
	}
}

// placeHonestCalls places calls at intervals, each on a connection of its own, and returns how long their answers took.
func (env *testEnv) placeHonestCalls(d time.Duration) (delays []time.Duration) {
	env.t.Helper()
	results := make(chan time.Duration)
	count := int(d / honestInterval)
	for n := range count {
		go func() { results <- standin.TimeCall(env.nodeAddr, n+1) }()
		time.Sleep(honestInterval)
	}
	for range count {
		delays = append(delays, <-results)
	}
	slices.Sort(delays)
	return delays
}

// checkDelays checks that 99 in 100 answers came within the aim of their class, and that none is missing.
func checkDelays(t *testing.T, delays []time.Duration) {
	t.Helper()
	median, high, last := delays[len(delays)/2], delays[len(delays)*99/100-1], delays[len(delays)-1]
	t.Logf("%d calls: median %v, 99th percentile %v, last %v", len(delays), median, high, last)
	if high > answerAim*raceFactor || last == standin.NoAnswer {
		t.Errorf("answers after %v (99th percentile), the last after %v; want %v at most, and each answered", high, last, answerAim)
	}
}
