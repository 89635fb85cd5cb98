package demo

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"larkrouter"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/sip"
	"larkrouter/internal/standin"
)

// Options configure a scenario.
type Options struct {
	Seed     uint64
	Rate     float64                             // calls per second outside bursts
	Duration time.Duration                       // how long callers place calls
	NoFaults bool                                // without faults, for measurements
	OnStep   func(at time.Duration, what string) // called for each step, if set
}

// serverCount is the number of call servers.
const serverCount = 3

// serverLoad is the utilization of the servers at the scenario's call rate.
const serverLoad = 0.62

// callerClasses are the classes of the simulated calls; their names are examples of services that are called.
var callerClasses = []standin.CallerClass{
	{Name: "balance-check", Prefix: "1", Share: 0.74, Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second,
		TryTimeout: 3 * time.Second, MeanHoldTime: 3 * time.Second, Worth: 1, LateShare: 0.25},
	{Name: "cutoff-transfer", Prefix: "2", Share: 0.05, Aim: time.Second, Deadline: 6 * time.Second,
		TryTimeout: 2 * time.Second, MeanHoldTime: 1500 * time.Millisecond, Worth: 8, LateShare: 0.25},
	{Name: "rate-quote", Prefix: "3", Share: 0.21, Aim: 1200 * time.Millisecond, Deadline: 9 * time.Second,
		TryTimeout: 3 * time.Second, MeanHoldTime: 2500 * time.Millisecond, Worth: 2, LateShare: 0.1},
}

// Scenario is a test environment with a script of faults: a node, its call servers, its callers and the list server.
type Scenario struct {
	options            Options
	environment        Environment
	recorder           *Recorder
	Node               *node.Node
	NodeParticipant    Participant
	Callers            *standin.Callers
	List               *standin.ListServer
	Servers            [serverCount]*standin.CallServer
	serverParticipants [serverCount]Participant
	serverConfigs      [serverCount]standin.ServerConfig
	serverRuns         [serverCount]uint64
	isDown             [serverCount]bool
	earlierCounts      [serverCount][]standin.ServerCounts
	collapsed          atomic.Int32
	settings           larkrouter.Settings
}

// NewScenario creates the participants of a scenario and starts them in an environment.
func NewScenario(options Options, environment Environment, recorder *Recorder) (*Scenario, error) {
	if !(options.Rate > 0) || math.IsInf(options.Rate, 0) || options.Duration < 5*time.Second {
		return nil, fmt.Errorf("demo: %v calls per second for %v: the rate must be finite and above 0, the duration at least 5 s",
			options.Rate, options.Duration)
	}
	d := &Scenario{options: options, environment: environment, recorder: recorder}
	listAt, err := environment.Address("list")
	if err != nil {
		return nil, err
	}
	nodeAt, err := environment.Address("node")
	if err != nil {
		return nil, err
	}
	callersAt, err := environment.Address("callers")
	if err != nil {
		return nil, err
	}
	capacity := options.Rate / serverCount / serverLoad
	entries := make([]pool.Server, serverCount)
	for i := range d.Servers {
		at, err := environment.Address(fmt.Sprintf("server-%d", i))
		if err != nil {
			return nil, err
		}
		work := float64(time.Second) / capacity
		d.serverConfigs[i] = standin.ServerConfig{Seed: options.Seed + uint64(i) + 1, Address: at, SetUpWork: time.Duration(0.7 * work),
			ReleaseWork: time.Duration(0.3 * work), RejectWork: time.Duration(0.1 * work), RetransmitWork: time.Duration(0.3 * work),
			MaxWait: 2400 * time.Millisecond, ColdShare: 0.35, RampTime: d.rampTime(), TipMultiple: 3, OverloadFor: time.Second,
			HangUpShare: 0.1, MeanHoldTime: 2 * time.Second, SendRinging: true}
		d.serverRuns[i] = 1
		d.serverParticipants[i] = Participant{Name: fmt.Sprintf("server-%d", i), Kind: "server", Addr: at}
		entries[i] = d.listEntry(i, "ready")
	}
	d.List = standin.NewListServer(standin.ListConfig{Seed: options.Seed + 90, Address: listAt, Lag: 700 * time.Millisecond,
		MaxExpires: 20 * time.Second}, entries...)
	cfg := d.nodeConfig(nodeAt, listAt)
	if d.Node, err = node.New(cfg); err != nil {
		return nil, err
	}
	d.Callers = standin.NewCallers(standin.CallersConfig{Seed: options.Seed + 91, Address: callersAt, Node: nodeAt, Rate: options.Rate,
		Classes: callerClasses, MaxRedials: 2, RedialDelay: 1200 * time.Millisecond, TCPShare: 0.3, EarlyAbandonShare: 0.01, LargeShare: 0.02})
	d.NodeParticipant = Participant{Name: "node", Kind: "node", Addr: nodeAt, Actor: d.Node}
	if err := environment.Start(Participant{Name: "list", Kind: "list", Addr: listAt, Actor: d.List}); err != nil {
		return nil, err
	}
	for i := range d.Servers {
		if err := d.startServer(i, false); err != nil {
			return nil, err
		}
	}
	if err := environment.Start(d.NodeParticipant); err != nil {
		return nil, err
	}
	return d, environment.Start(Participant{Name: "callers", Kind: "caller", Addr: callersAt, Actor: d.Callers})
}

// NodeClasses returns the callers' classes as configured in a node: the module's settings and the node's own.
func NodeClasses(classes []standin.CallerClass) (module []larkrouter.Class, nodeClasses []node.Class) {
	for _, c := range classes {
		module = append(module, larkrouter.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Worth: c.Worth, LateShare: c.LateShare})
		nodeClasses = append(nodeClasses, node.Class{Prefixes: []string{c.Prefix}, TryTimeout: c.TryTimeout})
	}
	return module, nodeClasses
}

// TryTimeouts returns the try timeouts of the callers' classes, by prefix, as parameters of the rules.
func TryTimeouts(classes []standin.CallerClass) (timeouts []rules.TryTimeout) {
	for _, c := range classes {
		timeouts = append(timeouts, rules.TryTimeout{Prefix: c.Prefix, Wait: c.TryTimeout})
	}
	return timeouts
}

// rampTime returns the ramp time of the servers.
func (sc *Scenario) rampTime() time.Duration { return sc.options.Duration / 7 }

// listEntry returns the list entry of a server.
func (sc *Scenario) listEntry(i int, phase string) pool.Server {
	return pool.Server{ID: uint32(i + 1), Number: i, Address: sc.serverConfigs[i].Address.String(), Phase: phase, RunNumber: sc.serverRuns[i]}
}

// nodeConfig sets the module's settings and returns the node's configuration.
func (sc *Scenario) nodeConfig(at, list netip.AddrPort) node.Config {
	sc.settings = larkrouter.Settings{FleetSize: 1, Tick: 5 * time.Millisecond, ReleaseGuard: 300 * time.Millisecond,
		Retransmit: 500 * time.Millisecond, ColdShare: sc.serverConfigs[0].ColdShare, RampTime: sc.serverConfigs[0].RampTime,
		TipMultiple: sc.serverConfigs[0].TipMultiple, OverloadFor: sc.serverConfigs[0].OverloadFor, MaxAttempts: 4, MayCancel: true,
		CallersMarkRedials: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second}
	cfg := node.Config{Seed: sc.options.Seed, ListServer: sip.Peer{Addr: list}, ListExpires: 20 * time.Second,
		Addresses: [2]netip.AddrPort{at, at}, MaxCalls: 20000, LogCalls: true}
	sc.settings.Classes, cfg.Classes = NodeClasses(callerClasses)
	cfg.Settings = sc.settings
	return cfg
}

// RuleParameters returns the parameters of the rules. answer and slack are the tolerances AnswerSlack and Slack.
func (sc *Scenario) RuleParameters(answer, slack time.Duration) rules.Parameters {
	f := rules.Parameters{AnswerSlack: answer, ReleaseGuard: sc.settings.ReleaseGuard, DrainGrace: 500 * time.Millisecond,
		ColdShare: sc.settings.ColdShare, RampTime: sc.settings.RampTime, TipMultiple: sc.settings.TipMultiple,
		OverloadFor: sc.settings.OverloadFor, Capacity: map[string]float64{}, Slack: slack}
	f.TryTimeouts = TryTimeouts(callerClasses)
	for _, c := range sc.serverConfigs {
		f.Capacity[c.Address.String()] = c.Capacity()
	}
	return f
}

// startServer starts a server, or restarts it at its address.
func (sc *Scenario) startServer(i int, cold bool) error {
	if previous := sc.Servers[i]; previous != nil {
		sc.earlierCounts[i] = append(sc.earlierCounts[i], previous.Counts)
		if previous.Collapsed {
			sc.collapsed.Add(1)
		}
	}
	cfg := sc.serverConfigs[i]
	cfg.StartCold = cold
	cfg.Seed += 1000 * sc.serverRuns[i]
	sc.Servers[i] = standin.NewCallServer(cfg)
	sc.isDown[i] = false
	p := sc.serverParticipants[i]
	p.Actor = sc.Servers[i]
	return sc.environment.Start(p)
}

// killServer ends a server's process without warning.
func (sc *Scenario) killServer(i int) {
	sc.isDown[i] = true
	sc.environment.Kill(sc.serverParticipants[i].Name)
}

// onServer runs a function in a turn of a server.
func (sc *Scenario) onServer(i int, fn func(s *standin.CallServer, now time.Duration)) {
	sc.environment.Do(sc.serverParticipants[i].Name, func(now time.Duration) { fn(sc.Servers[i], now) })
}

// onList runs a function in a turn of the list server.
func (sc *Scenario) onList(fn func(l *standin.ListServer)) {
	sc.environment.Do("list", func(time.Duration) { fn(sc.List) })
}

// setRate sets the callers' call rate.
func (sc *Scenario) setRate(r float64) {
	sc.environment.Do("callers", func(time.Duration) { sc.Callers.SetRate(r) })
}

// Script returns the steps of the scenario. Their times are shares of the time for which callers place calls; the callers
// hang up 6 s after its end.
func (sc *Scenario) Script() []Step {
	at := func(share float64) time.Duration { return time.Duration(share * float64(sc.options.Duration)) }
	stop := Step{at(1), "callers stop dialing; calls in progress continue", func() {
		sc.environment.Do("callers", func(time.Duration) { sc.Callers.Stop() })
	}}
	hangUp := Step{at(1) + 6*time.Second, "callers hang up", func() {
		sc.environment.Do("callers", func(time.Duration) { sc.Callers.HangUpAll() })
	}}
	if sc.options.NoFaults {
		return []Step{stop, hangUp}
	}
	steps := []Step{
		{at(0.10), "burst: 1.8 times the calls", func() { sc.setRate(1.8 * sc.options.Rate) }},
		{at(0.18), "end of the burst", func() { sc.setRate(sc.options.Rate) }},
		{at(0.22), "server-0 runs three times slower", func() {
			sc.onServer(0, func(s *standin.CallServer, _ time.Duration) { s.SetSlowdown(3) })
		}},
		{at(0.36), "server-0 runs at full speed again", func() {
			sc.onServer(0, func(s *standin.CallServer, _ time.Duration) { s.SetSlowdown(1) })
		}},
		{at(0.40), "server-1 drains", func() { sc.onList(func(l *standin.ListServer) { l.SetEntry(sc.listEntry(1, "draining")) }) }},
		{at(0.48), "server-1 stops: its calls are cut", func() {
			sc.onServer(1, func(s *standin.CallServer, _ time.Duration) { s.EndAllCalls() })
			sc.onList(func(l *standin.ListServer) { l.SetEntry(sc.listEntry(1, "gone")) })
		}},
		{at(0.49), "", func() { sc.killServer(1) }},
		{at(0.54), "server-1 starts, cold", func() {
			sc.serverRuns[1]++
			if err := sc.startServer(1, true); err != nil {
				sc.reportStep("server-1 failed to start: " + err.Error())
			}
			sc.onList(func(l *standin.ListServer) { l.SetEntry(sc.listEntry(1, "ready")) })
		}},
		{at(0.60), "a fifth of the responses of server-0 and server-2 are lost", func() {
			sc.onServer(0, func(s *standin.CallServer, _ time.Duration) { s.SetAnswerLoss(0.2) })
			sc.onServer(2, func(s *standin.CallServer, _ time.Duration) { s.SetAnswerLoss(0.2) })
		}},
		{at(0.68), "responses are no longer lost; server-1, which has most of the calls, stalls for a second", func() {
			sc.onServer(0, func(s *standin.CallServer, _ time.Duration) { s.SetAnswerLoss(0) })
			sc.onServer(1, func(s *standin.CallServer, now time.Duration) { s.Stall(now + time.Second) })
			sc.onServer(2, func(s *standin.CallServer, _ time.Duration) { s.SetAnswerLoss(0) })
		}},
		{at(0.74), "server-2 is killed; the list still shows it as ready", func() { sc.killServer(2) }},
		{at(0.88), "server-2 starts, cold", func() {
			sc.serverRuns[2]++
			if err := sc.startServer(2, true); err != nil {
				sc.reportStep("server-2 failed to start: " + err.Error())
			}
			sc.onList(func(l *standin.ListServer) { l.SetEntry(sc.listEntry(2, "ready")) })
		}},
	}
	return append(steps, stop, hangUp)
}

// reportStep calls Options.OnStep for a step with a text.
func (sc *Scenario) reportStep(what string) {
	if sc.options.OnStep != nil && what != "" {
		sc.options.OnStep(sc.environment.Now(), what)
	}
}

// Run runs the scenario until all calls have ended, which is some seconds after the callers stop.
func (sc *Scenario) Run(ctx context.Context) {
	steps := sc.Script()
	for i := range steps {
		do, what := steps[i].Do, steps[i].Text
		steps[i].Do = func() { sc.reportStep(what); do() }
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	sc.environment.Run(ctx, steps, sc.Duration())
}

// Duration returns the duration of the scenario, including the time until the last call has ended.
func (sc *Scenario) Duration() time.Duration { return sc.options.Duration + 8*time.Second }

// ServerCounts returns a server's counts over all its process runs.
func (sc *Scenario) ServerCounts(i int) standin.ServerCounts {
	sum := sc.Servers[i].Counts
	for _, c := range sc.earlierCounts[i] {
		sum.Add(c)
	}
	return sum
}

// Collapsed returns the number of server process runs that collapsed under overload while cold.
func (sc *Scenario) Collapsed() int {
	n := int(sc.collapsed.Load())
	for _, s := range sc.Servers {
		if s.Collapsed {
			n++
		}
	}
	return n
}
