// Package fleet simulates a day of many access nodes and a few call servers. The nodes run the real node core; callers,
// call servers and the list server are simulated. The five rules are checked over all nodes from the captured messages.
// In virtual time the same seed gives the same result; on loopback sockets a day runs in real time.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"larkrouter"
	"larkrouter/internal/baseline"
	"larkrouter/internal/daemon"
	"larkrouter/internal/day"
	"larkrouter/internal/demo"
	"larkrouter/internal/emulator"
	"larkrouter/internal/membership"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/serverstate"
	"larkrouter/internal/sip"
	"larkrouter/internal/standin"
	"larkrouter/internal/upperbound"
)

// Options configures the simulation of a day.
type Options struct {
	Day         *day.File
	Seed        uint64
	OnStep      func(at time.Duration, what string) // called before each step, if set
	Policy      string                              // "" or Module: the project's own module; otherwise one of baseline.Names
	OnSample    func(Sample)                        // called for each second, if set
	OnSetUp     func(class int, d time.Duration)    // called with the set-up time of each call that stands, if set
	LogLevel    string                              // log level of nodes that are processes; "": warn
	InjectFault FaultInjector                       // fault injected into the nodes' module, to test that it is detected
}

// Module is the policy that runs in production.
const Module = "module"

// server is a simulated call server; it outlives its runs.
type server struct {
	endpoint demo.Participant
	config   standin.ServerConfig
	actor    *standin.CallServer
	run      uint64
	isDown   bool
	speed    float64 // relative to the mean speed of 1
}

// Fleet is the simulation of one day.
type Fleet struct {
	options          Options
	streams          emulator.Streams
	dayFile          *day.File
	spec             day.Fleet
	classes          []standin.CallerClass
	conditions       *emulator.NetworkConditions
	hosts            map[netip.AddrPort]emulator.HostID
	loadFactor       *emulator.LoadFactor
	destinations     *emulator.Destinations // nil: callers choose the numbers
	drawSpeed        func() float64
	connectionLimits map[netip.AddrPort]int  // max connections of the servers that limit them
	refusing         map[netip.AddrPort]bool // servers whose port refuses all messages
	oracleState      *baseline.OracleState   // true state of the servers, for the oracle policy
	start            time.Duration           // time at which the day started
	processes        *processes              // nil: the nodes run in this process
	previous         Sample                  // totals at the end of the previous second
	dialTime         time.Duration           // how long callers dial
	environment      demo.Environment
	recorder         *demo.Recorder
	checker          *rules.Checker   // nil: the capture is checked at the end of the day
	ruleParameters   rules.Parameters // parameters of the rule checker
	sampleInterval   time.Duration    // interval at which the upper bound on the worth served is updated
	Nodes            []*node.Node     // current node cores; nil: the node is a process of its own
	nodePairs        []*nodePair      // actors of the nodes in this process
	nodeAddrs        []netip.AddrPort
	nodeRuns         []uint64 // number of the current run, from 1
	nodeDown         []bool
	persisted        []*serverstate.State // state that each node's store would hold
	stores           *stores
	clockOffsets     []time.Duration // offset of each node's wall clock
	maxAttempts      []int           // max attempts per call in each node's configuration
	servers          []*server
	callers          []*standin.Callers
	list             *standin.ListServer
	listAddr         netip.AddrPort
	lateNodes        map[string]bool // nodes whose list updates are delayed by lateBy
	lateBy           time.Duration
	collapsed        int               // ended server runs that had collapsed
	bound            *upperbound.Bound // upper bound on the worth served
	offeredBefore    []uint64          // calls offered until the last step of the bound, by class
	Records          int               // captured records
	Asserts          uint64            // failed assertions that nodes reported
}

// NewVirtual prepares a day in virtual time and starts its processes.
func NewVirtual(options Options) (*Fleet, error) {
	f := newFleet(options)
	f.sampleInterval = 100 * time.Millisecond
	f.recorder = &demo.Recorder{OnRecord: func(r rules.Record) {
		f.Records++
		f.checker.Add(r)
	}, OnNote: f.onNote}
	environment := demo.NewVirtualEnvironment(options.Seed, f.recorder)
	environment.Net.Delay, environment.Net.Jitter = time.Duration(f.dayFile.Network.Delay), time.Duration(f.dayFile.Network.Jitter)
	f.environment = environment
	f.attachConditions(environment.Net)
	slack := 20*time.Millisecond + 2*(environment.Net.Delay+environment.Net.Jitter)
	f.ruleParameters = f.checkerParameters(slack, slack)
	if err := f.setUp(); err != nil {
		return nil, err
	}
	f.checker = rules.NewChecker(f.ruleParameters)
	return f, f.startAll()
}

// NewSockets prepares a day on loopback sockets with all participants in this process. They end with the context.
func NewSockets(ctx context.Context, options Options) (*Fleet, *demo.SocketEnvironment, error) {
	f := newFleet(options)
	f.sampleInterval = 500 * time.Millisecond
	if err := f.checkSocketSupport(); err != nil {
		return nil, nil, err
	}
	f.recorder = &demo.Recorder{OnNote: f.onNote}
	environment := demo.NewSocketEnvironment(ctx, f.recorder)
	f.environment = environment
	f.ruleParameters = f.checkerParameters(400*time.Millisecond, 150*time.Millisecond) // allows for a busy machine
	if err := f.setUp(); err != nil {
		return nil, nil, err
	}
	return f, environment, f.startAll()
}

// onNote handles a note of a node: it stores journal entries and counts failed assertions.
func (f *Fleet) onNote(name string, _ time.Duration, note any) {
	if entry, ok := note.(*node.JournalEntry); ok {
		f.stores.record(name, entry)
	}
	if record, ok := note.(*node.LogRecord); ok && record.Event == "assert" {
		atomic.AddUint64(&f.Asserts, 1)
	}
}

// newFleet returns a fleet without environment, whose participants have not been created yet.
func newFleet(options Options) *Fleet {
	f := &Fleet{options: options, streams: emulator.Streams(options.Seed), dayFile: options.Day, spec: options.Day.Fleet,
		hosts: map[netip.AddrPort]emulator.HostID{}, stores: newStores(), connectionLimits: map[netip.AddrPort]int{},
		refusing: map[netip.AddrPort]bool{}}
	for _, c := range f.dayFile.Classes() {
		f.classes = append(f.classes, standin.CallerClass{Name: c.Name, Prefix: c.Prefix, Share: c.Share, Aim: time.Duration(c.Aim),
			Deadline: time.Duration(c.Deadline), TryTimeout: time.Duration(c.TryTimeout), MeanHoldTime: time.Duration(c.MeanHoldTime),
			Worth: c.Worth, LateShare: c.LateShare})
	}
	f.conditions = emulator.NewNetworkConditions(f.streams)
	return f
}

// Classes returns the day's classes of calls.
func (f *Fleet) Classes() []standin.CallerClass { return f.classes }

// checkerParameters returns the parameters of the rule checker. answerSlack is the tolerance for late final answers, slack
// that for other events.
func (f *Fleet) checkerParameters(answerSlack, slack time.Duration) rules.Parameters {
	servers, nodes := &f.dayFile.Servers, &f.dayFile.Node
	return rules.Parameters{AnswerSlack: answerSlack, ReleaseGuard: time.Duration(nodes.ReleaseGuard),
		DrainGrace: time.Duration(nodes.DrainGrace), ColdShare: servers.ColdShare, RampTime: time.Duration(servers.RampTime),
		TipMultiple: servers.TipMultiple, OverloadFor: time.Duration(servers.OverloadFor), Capacity: map[string]float64{},
		Slack: slack, TryTimeouts: demo.TryTimeouts(f.classes)}
}

// setUp reserves the addresses of all participants and creates the servers.
func (f *Fleet) setUp() error {
	f.dialTime, f.start = time.Duration(f.spec.Seconds*float64(time.Second)), f.environment.Now()
	f.createModels()
	n := f.spec.Nodes
	f.nodePairs = make([]*nodePair, n)
	f.nodeRuns, f.Nodes, f.nodeDown = make([]uint64, n), make([]*node.Node, n), make([]bool, n)
	f.persisted, f.clockOffsets, f.maxAttempts, f.lateNodes = make([]*serverstate.State, n), make([]time.Duration, n),
		make([]int, n), map[string]bool{}
	var err error
	if f.listAddr, err = f.environment.Address("list"); err != nil {
		return err
	}
	f.hosts[f.listAddr] = emulator.HostID{Kind: emulator.ListHost}
	for range f.spec.Servers {
		if err := f.addServer(); err != nil {
			return err
		}
	}
	for i := range f.Nodes {
		f.maxAttempts[i] = f.dayFile.Node.MaxAttempts
		addr, err := f.nodeAddress(i)
		if err != nil {
			return err
		}
		f.nodeAddrs = append(f.nodeAddrs, addr)
		f.hosts[addr] = emulator.HostID{Kind: emulator.NodeHost, Index: i}
	}
	return nil
}

// startAll starts the list server, the call servers, the nodes and the callers, in this order.
func (f *Fleet) startAll() error {
	if err := f.startList(0, nil); err != nil {
		return err
	}
	for i := range f.servers {
		if err := f.startServer(i, false); err != nil {
			return err
		}
	}
	for i := range f.Nodes {
		if err := f.startNode(i); err != nil {
			return err
		}
	}
	for i := range f.Nodes {
		if err := f.startCallers(i); err != nil {
			return err
		}
	}
	return nil
}

// listEntry returns a server's entry of the server list.
func (f *Fleet) listEntry(i int, phase string) pool.Server {
	s := f.servers[i]
	return pool.Server{ID: uint32(i + 1), Number: i, Address: s.endpoint.Addr.String(), Phase: phase, RunNumber: s.run}
}

// startList starts the list server with a copy of the leases and the version that follows the one given.
func (f *Fleet) startList(version uint64, leases []membership.Lease) error {
	var entries []pool.Server
	for i, s := range f.servers {
		phase := "ready"
		if s.isDown {
			phase = "gone"
		}
		entries = append(entries, f.listEntry(i, phase))
	}
	list := standin.NewListServer(standin.ListConfig{Seed: f.streams.Seed(fmt.Sprintf("list %d", version)), Address: f.listAddr,
		Lag: time.Duration(f.spec.Lag), MaxExpires: 15 * time.Second, AnnounceFleet: f.spec.AnnounceSize}, entries...)
	list.SetVersion(version + 1)
	if err := list.RestoreLeases(f.environment.Now(), leases); err != nil {
		return err
	}
	list.NodeLag = func(name string) time.Duration {
		if f.lateNodes[name] {
			return f.lateBy
		}
		return 0
	}
	listSpec := &f.dayFile.List
	list.EntryLag = func(s pool.Server) time.Duration {
		return time.Duration(map[string]day.Duration{"ready": listSpec.LagStart, "draining": listSpec.LagDrain,
			"gone": listSpec.LagGone}[s.Phase])
	}
	f.list = list
	endpoint := demo.Participant{Name: "list", Kind: "list", Addr: f.listAddr, Actor: list}
	if f.processes != nil {
		endpoint.Capture = f.captureListNotify
	}
	return f.environment.Start(endpoint)
}

// withList runs a function in the list server's turn.
func (f *Fleet) withList(fn func(l *standin.ListServer)) {
	l := f.list
	f.environment.Do("list", func(time.Duration) { fn(l) })
}

// withServer runs a function in a server's turn, if it is up.
func (f *Fleet) withServer(i int, fn func(s *standin.CallServer, now time.Duration)) {
	if s := f.servers[i]; !s.isDown {
		f.environment.Do(s.endpoint.Name, func(now time.Duration) { fn(s.actor, now) })
	}
}

// inspectServer runs a function that reads a server's state between its turns, if it is up. The function must not change
// the state.
func (f *Fleet) inspectServer(i int, fn func(s *standin.CallServer, now time.Duration)) {
	if s := f.servers[i]; !s.isDown {
		f.environment.Inspect(s.endpoint.Name, func(now time.Duration) { fn(s.actor, now) })
	}
}

// startServer starts the next run of a server.
func (f *Fleet) startServer(i int, isCold bool) error {
	s := f.servers[i]
	if s.actor != nil && s.actor.Collapsed {
		f.collapsed++
	}
	config := s.config
	config.StartCold = isCold
	config.Seed = f.streams.Seed(fmt.Sprintf("server %d, run %d", i, s.run))
	f.setRandomModels(&config, i, s.run)
	s.actor, s.isDown = standin.NewCallServer(config), false
	endpoint := s.endpoint
	endpoint.Actor = s.actor
	return f.environment.Start(endpoint)
}

// killServer ends a server's process without warning.
func (f *Fleet) killServer(i int) {
	f.servers[i].isDown = true
	f.environment.Kill(f.servers[i].endpoint.Name)
}

// nodeConfig returns the current configuration of a node.
func (f *Fleet) nodeConfig(i int) node.Config {
	size := f.spec.Size
	if size == 0 {
		size = f.spec.Nodes
	}
	nodeSpec, serverSpec := &f.dayFile.Node, &f.dayFile.Servers
	settings := larkrouter.Settings{FleetSize: size, Rank: i % size, Tick: time.Duration(nodeSpec.Tick),
		ReleaseGuard: time.Duration(nodeSpec.ReleaseGuard), Retransmit: 500 * time.Millisecond,
		ColdShare: serverSpec.ColdShare, RampTime: time.Duration(serverSpec.RampTime), TipMultiple: serverSpec.TipMultiple,
		OverloadFor: time.Duration(serverSpec.OverloadFor), MaxAttempts: f.maxAttempts[i], MayCancel: !nodeSpec.NoCancel,
		CallersMarkRedials: true, SendsRetryAfter: true, MaxRetryAfter: 2 * time.Second}
	// The text given to Seed names a random stream: another wording would change the results of every day.
	config := node.Config{Seed: f.streams.Seed(fmt.Sprintf("node %d, life %d", i, f.nodeRuns[i])), Name: f.nodeName(i),
		ListServer: sip.Peer{Addr: f.listAddr, Transport: f.listTransport()}, ListExpires: 15 * time.Second,
		Addresses: [2]netip.AddrPort{f.nodeAddrs[i], f.nodeAddrs[i]}, MaxCalls: 20000,
		PersistedState: f.persisted[i], WallClockMs: f.wallClock(i), EmitJournal: true}
	config.PersistedServers = f.stores.loadList(f.nodeName(i), config.WallClockMs)
	settings.Classes, config.Classes = demo.NodeClasses(f.classes)
	if f.destinations != nil {
		for k := range f.spec.Servers {
			for _, c := range f.classes {
				config.Routes = append(config.Routes, pool.Route{Prefix: emulator.RoutePrefix(c.Prefix, k), ServerNumber: k})
			}
		}
	}
	config.Settings = settings
	return config
}

// wallClock returns the time of a node's wall clock in Unix milliseconds.
func (f *Fleet) wallClock(i int) int64 {
	return 1_700_000_000_000 + (f.environment.Now() + f.clockOffsets[i]).Milliseconds()
}

// startNode starts the next run of a node.
func (f *Fleet) startNode(i int) error {
	f.nodeRuns[i]++
	if f.processes != nil {
		f.nodeDown[i] = false
		return f.startProcess(i)
	}
	n, loss, err := f.newNode(i)
	if err != nil {
		return err
	}
	n.SetStoredDialogs(f.stores.takeStandingDialogs(f.nodeName(i)))
	f.Nodes[i], f.nodeDown[i], f.nodePairs[i] = n, false, &nodePair{current: n, lossControl: loss, serverID: f.serverID}
	return f.environment.Start(demo.Participant{Name: f.nodeName(i), Kind: "node", Addr: f.nodeAddrs[i], Actor: f.nodePairs[i]})
}

// nodeAddress reserves an address for a node.
func (f *Fleet) nodeAddress(i int) (netip.AddrPort, error) {
	if f.processes != nil {
		return daemon.FreeLoopbackAddress()
	}
	return f.environment.Address(f.nodeName(i))
}

// killNode ends a node's process without warning.
func (f *Fleet) killNode(i int) {
	f.nodeDown[i] = true
	if f.processes != nil {
		f.processes.nodes[i].Kill()
		f.recorder.Add(rules.Record{Time: f.environment.Now(), Kind: "killed", Owner: f.nodeAddrs[i].String()})
		return
	}
	f.environment.Kill(f.nodeName(i))
}

// persistStates saves the state that each node's store would hold.
func (f *Fleet) persistStates() {
	for i, n := range f.Nodes {
		if !f.nodeDown[i] && n != nil {
			wall := f.wallClock(i)
			f.environment.Inspect(f.nodeName(i), func(time.Duration) {
				state := n.PersistedState(wall)
				f.persisted[i] = &state
				f.stores.saveList(f.nodeName(i), n.PersistedList(wall))
			})
		}
	}
}

// listTransport returns the transport that nodes use to subscribe to the list.
func (f *Fleet) listTransport() sip.Transport {
	if f.spec.ListTCP {
		return sip.TCP
	}
	return sip.UDP
}

// nodeName returns the name of a node.
func (f *Fleet) nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

// must panics if a start or a reconfiguration failed during the day. With virtual addresses none can fail.
func (f *Fleet) must(err error) {
	if err != nil {
		panic(err)
	}
}

// restartNode starts a node that is down. It does nothing if another trouble has restarted the node in the meantime.
func (f *Fleet) restartNode(i int) {
	if f.nodeDown[i] {
		f.must(f.startNode(i))
	}
}

// restartServer starts a server that is down as a new, cold run and lists it as ready.
func (f *Fleet) restartServer(i int) {
	if !f.servers[i].isDown {
		return
	}
	f.servers[i].run++
	f.must(f.startServer(i, true))
	entry := f.listEntry(i, "ready")
	f.withList(func(l *standin.ListServer) { l.SetEntry(entry) })
}

// Run runs the day to its end and returns the verdicts on the rules.
func (f *Fleet) Run(ctx context.Context) rules.Report {
	steps := f.Steps()
	for i := range steps {
		do, what := steps[i].Do, steps[i].Text
		steps[i].Do = func() {
			if f.options.OnStep != nil && what != "" {
				f.options.OnStep(f.environment.Now(), what)
			}
			do()
		}
	}
	for at := f.sampleInterval; at <= f.dialTime; at += f.sampleInterval {
		steps = append(steps, demo.Step{At: at, Do: f.stepBound})
	}
	for at := time.Second; at <= f.dialTime; at += time.Second {
		steps = append(steps, demo.Step{At: at, Do: f.persistStates})
	}
	if f.options.OnSample != nil {
		for at := time.Second; at <= f.Length(); at += time.Second {
			steps = append(steps, demo.Step{At: at, Do: func() { f.takeSample(at) }})
		}
	}
	slices.SortStableFunc(steps, func(a, b demo.Step) int { return cmp.Compare(a.At, b.At) })
	f.environment.Run(ctx, steps, f.Length())
	var report rules.Report
	if f.checker != nil {
		report = f.checker.Report()
	} else {
		records := f.recorder.Records()
		f.Records = len(records)
		report = rules.Check(records, f.ruleParameters)
	}
	// The checker's tolerances may hide an overload of a cold server. A server that collapsed counts as a violation of
	// rule 4 in any case.
	if n := f.CollapsedServers(); n > 0 {
		verdict := &report.Verdicts[3]
		verdict.Violations += n
		verdict.Examples = append(verdict.Examples, fmt.Sprintf("%d servers fell over", n))
	}
	return report
}

// stepBound advances the upper bound on the worth served by one sample interval: it adds the work that the servers could
// do in the interval and the calls that were offered.
func (f *Fleet) stepBound() {
	if f.bound == nil {
		var classes []upperbound.Class
		for _, c := range f.classes {
			config, speed := &f.servers[0].config, f.servers[0].speed // scaled to a server of the mean speed
			classes = append(classes, upperbound.Class{Worth: c.Worth, LateShare: c.LateShare, Aim: c.Aim, Deadline: c.Deadline,
				MeanHoldTime: c.MeanHoldTime, SetUpWork: speed * config.SetUpWork.Seconds(),
				ReleaseWork: speed * config.ReleaseWork.Seconds()})
		}
		f.bound, f.offeredBefore = upperbound.New(f.sampleInterval, classes), make([]uint64, len(f.classes))
		f.bound.ReleasesLast = f.dayFile.Servers.SetUpsFirst
	}
	work := 0.0
	for i := range f.servers {
		f.inspectServer(i, func(callServer *standin.CallServer, now time.Duration) {
			if !callServer.Collapsed {
				callServer.SetNow(now)
				work += callServer.IdleSpeed() * f.servers[i].speed * f.sampleInterval.Seconds()
			}
		})
	}
	offered := make([]float64, len(f.classes))
	for i, c := range f.Counts() {
		offered[i] = float64(c.Offered - f.offeredBefore[i])
		f.offeredBefore[i] = c.Offered
	}
	f.bound.AddStep(work, offered)
}

// MaxServed returns an upper bound on Served: the share by worth if the servers' work had gone to the calls of the
// highest worth first.
func (f *Fleet) MaxServed() float64 {
	if f.bound == nil {
		return 1
	}
	return f.bound.Share()
}

// Length returns the length of the day, including the time in which the last calls end.
func (f *Fleet) Length() time.Duration { return f.dialTime + 10*time.Second }

// DialTime returns the time for which callers dial.
func (f *Fleet) DialTime() time.Duration { return f.dialTime }

// CollapsedServers returns the number of server runs that collapsed under overload.
func (f *Fleet) CollapsedServers() int {
	n := f.collapsed
	for i, s := range f.servers {
		hasCollapsed := s.actor.Collapsed
		f.inspectServer(i, func(s *standin.CallServer, _ time.Duration) { hasCollapsed = s.Collapsed })
		if hasCollapsed {
			n++
		}
	}
	return n
}

// Counts returns the callers' counts by class.
func (f *Fleet) Counts() []standin.ClassCounts {
	sum := make([]standin.ClassCounts, len(f.classes))
	for j, c := range f.callers {
		f.environment.Inspect(fmt.Sprintf("callers-%d", j), func(time.Duration) {
			for i, n := range c.Counts {
				sum[i].Add(n)
			}
		})
	}
	return sum
}

// Served returns the worth of the calls that stood and were not cut off, divided by the worth of the calls offered. A call
// that stood after its aim counts with the late share of its class.
func (f *Fleet) Served() float64 { return standin.Served(f.classes, f.Counts()) }

// WriteResults writes the table of results.
func (f *Fleet) WriteResults(w io.Writer, report rules.Report) error {
	table := demo.NewTable(w)
	table.WriteClasses(f.classes, f.Counts())
	if err := table.WriteRules(w, report); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "servers collapsed: %d; share served, by worth: %.3f; upper bound: %.3f\n%s\n",
		f.CollapsedServers(), f.Served(), f.MaxServed(), report.Summary())
	return err
}
