// Package scenario plays the access core of the platform's node in virtual time, among callers, call servers, a command channel and
// bad clients, with disruptions that are drawn from a seed: a planned restart, a call server that dies, whose machine is lost or
// whose address another takes, set-ups that keep every connection busy, a command channel that is slow, and clients that name calls
// that they have made up. The starts in the list are times of another clock. Package rules judges what the callers and call servers saw.
package scenario

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/edge/access"
	"larkrouter/internal/edge/feed"
	"larkrouter/internal/edge/settings"
	"larkrouter/internal/rules"
)

const (
	connectTimeout   = 500 * time.Millisecond
	releaseGuard     = 250 * time.Millisecond
	drainGrace       = time.Second
	maxAdoptedCalls  = 300 // limit on named calls in all scenarios
	serverCount      = 4
	stopAcceptTime   = 900 * time.Millisecond
	maxStopTime      = callDeadline + 350*time.Millisecond
	duration         = 75 * time.Second
	maxAbandonedTime = 10 * time.Second        // in which a call server must get the release of a call that its caller has ended
	maxClockBehind   = 1500 * time.Millisecond // of the listed starts; a process starts at an address up to 1 s after the death of another
	maxClockAhead    = 500 * time.Millisecond
	settleTime       = 14 * time.Second // at the end: no more disruptions, and a connection from callers stays open
)

// Result is the outcome of a scenario.
type Result struct {
	Seed        uint64
	Disruptions []string
	Calls       int
	EndedByNode int // calls that the node ended while they stood
	Faults      int
	Examples    []string // the first faults
}

// String returns the result in one line, and a line for each example.
func (r *Result) String() string {
	text := fmt.Sprintf("seed %d: %s; %d calls, %d faults", r.Seed, strings.Join(r.Disruptions, ", "), r.Calls, r.Faults)
	for _, example := range r.Examples {
		text += "\n  " + example
	}
	return text
}

// faultList counts faults and keeps the first ones.
type faultList struct {
	count    int
	examples []string
}

const maxExamples = 5

func (f *faultList) add(at time.Duration, format string, args ...any) {
	if f.count++; len(f.examples) < maxExamples {
		f.examples = append(f.examples, fmt.Sprintf("at %.3f s: ", at.Seconds())+fmt.Sprintf(format, args...))
	}
}

// Run plays the scenario of a seed.
func Run(seed uint64) *Result { return run(seed, (*world).planDisruptions) }

// run plays a scenario with the disruptions that plan draws.
func run(seed uint64, plan func(*world) []string) *Result {
	w := newWorld(seed)
	result := &Result{Seed: seed, Disruptions: plan(w)}
	w.after(duration-settleTime, w.keepConnOpen)
	w.after(time.Second, w.checkState)
	w.run(worldStart + duration)
	w.finish(result)
	return result
}

func nodeConfig(seed uint64, maxAdopted int) access.Config {
	return access.Config{MaxCallerConns: 60, MaxTrunksPerServer: 2, MaxAdoptedCalls: maxAdopted, Seed: seed,
		Edge: settings.EdgeSettings{ConnectTimeout: connectTimeout, MaxOpenCalls: 1000, DrainGrace: drainGrace,
			Zones: []string{"z"}, ServerKinds: []string{"k"}, CircuitsPerCall: []float64{1}, MaxRetryAfter: 2 * time.Second},
		Module: larkrouter.Settings{FleetSize: 1, Tick: 5 * time.Millisecond, AnswerSlack: 20 * time.Millisecond, ReleaseGuard: releaseGuard,
			ColdShare: 0.3, RampTime: 12 * time.Second, TipMultiple: 2, OverloadFor: 2 * time.Second, MaxAttempts: 4, MayCancel: true,
			SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second, HomeNumber: -1, ReportFields: []string{"free", "size", "lat_ms"},
			Classes: []larkrouter.Class{{Name: "voice", Aim: 1200 * time.Millisecond, Deadline: callDeadline, Worth: 1, LateShare: 0.25}}}}
}

// newWorld returns a world with call servers that have been up for long, a node, and callers that place calls.
func newWorld(seed uint64) *world {
	w := &world{maxAdoptedCalls: maxAdoptedCalls, rng: rand.New(rand.NewPCG(seed, 1)), now: worldStart,
		processes: map[netip.AddrPort]*callServer{},
		standing:  rules.NewStandingChecker(), rules: rules.NewChecker(rules.Parameters{AnswerSlack: answerTolerance, ReleaseGuard: releaseGuard,
			DrainGrace: drainGrace, TryTimeouts: []rules.TryTimeout{{Prefix: "", Wait: callDeadline}}, Slack: 20 * time.Millisecond})}
	clocks := rand.New(rand.NewPCG(seed, 2)) // apart from w.rng, so that all else in a scenario stays as it was without it
	w.channel = &channel{w: w, members: map[string]string{},
		clockAhead: time.Duration(clocks.Int64N(int64(maxClockBehind+maxClockAhead))) - maxClockBehind}
	w.callers = &callers{w: w, calls: map[uint64]*call{}, lastID: seed << 20, placeEvery: w.between(200*time.Millisecond, 2*time.Second),
		meanHoldTime: w.between(2*time.Second, 15*time.Second), idleTime: callerIdleTime}
	if w.oneIn(2) {
		w.callers.idleTime = w.between(200*time.Millisecond, callerIdleTime)
	}
	for i := range serverCount {
		server := w.startServer(fmt.Sprintf("s-%d", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i)))
		w.channel.members[server.id] = w.channel.formatMember(server, feed.PhaseUp)
	}
	w.startNode()
	w.after(0, w.callers.placeCalls)
	w.after(0, w.callers.closeIdleConns)
	return w
}

// keepConnOpen keeps a connection from callers open, so that all calls that have ended can be told.
func (w *world) keepConnOpen() {
	w.callers.idleTime = callerIdleTime
	var use func()
	use = func() {
		w.callers.place()
		w.after(time.Second, use)
	}
	use()
}

// checkState checks each second that the node keeps no more calls than it may.
func (w *world) checkState() {
	if w.node != nil {
		held := 0
		for _, report := range w.node.ServerReports() {
			held += report.StandingCalls
		}
		if limit := w.maxAdoptedCalls + len(w.callers.calls); held > limit {
			w.faults.add(w.now, "the node holds %d standing calls, at most %d can be", held, limit)
		}
	}
	w.after(time.Second, w.checkState)
}

// finish collects the faults.
func (w *world) finish(result *Result) {
	w.standing.Finish(w.now)
	result.EndedByNode = w.standing.EndedByNode()
	result.Calls, result.Faults, result.Examples = w.callers.placed, w.faults.count, w.faults.examples
	count, examples := w.standing.Violations()
	result.Faults += count
	result.Examples = append(result.Examples, examples...)
	report := w.rules.Report()
	for i, verdict := range report.Verdicts {
		result.Faults += verdict.Violations
		for _, example := range verdict.Examples {
			result.Examples = append(result.Examples, fmt.Sprintf("rule %d (%s): %s", i+1, rules.Names[i], example))
		}
	}
	w.findAbandonedCalls(result)
}

// findAbandonedCalls finds calls that stand at a server although their caller has ended them a while ago.
func (w *world) findAbandonedCalls(result *Result) {
	for _, server := range w.servers {
		for _, id := range sortedKeys(server.calls) {
			c := w.callers.calls[id]
			if c != nil && c.state == callOver && w.now-c.overSince > maxAbandonedTime {
				result.Faults++
				result.Examples = append(result.Examples, fmt.Sprintf("call %016x stands at %s, ended by its caller at %.3f s", id, server.id,
					c.overSince.Seconds()))
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
