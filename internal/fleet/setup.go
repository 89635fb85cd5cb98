package fleet

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"larkrouter"
	"larkrouter/internal/baseline"
	"larkrouter/internal/demo"
	"larkrouter/internal/emulator"
	"larkrouter/internal/node"
	"larkrouter/internal/standin"
	"larkrouter/internal/virtual"
)

// createModels creates the random models and the oracle's view that all participants share.
func (f *Fleet) createModels() {
	callers := &f.dayFile.Callers
	f.loadFactor = emulator.NewLoadFactor(emulator.LoadProfile{Shape: callers.Shape, CV: callers.CV, Every: time.Duration(callers.SpanLength),
		Swing: callers.Swing, Period: time.Duration(callers.Period)}, f.streams)
	if callers.Drift > 0 {
		f.destinations = emulator.NewDestinations(emulator.Drift{CV: callers.Drift, Every: time.Duration(callers.DriftEach)}, f.spec.Servers,
			f.streams)
	}
	f.drawSpeed = f.dayFile.Servers.Speeds.Factor(f.streams, "speeds")
	f.oracleState = &baseline.OracleState{TruthOf: f.serverTruth,
		TravelTime:     2 * time.Duration(f.dayFile.Network.Delay+f.dayFile.Network.Jitter),
		OverloadWindow: time.Duration(f.dayFile.Servers.OverloadFor)}
	if loss := f.dayFile.Network.Loss; loss > 0 {
		f.conditions.Add(f.start, emulator.Fault{Loss: loss, Until: math.MaxInt64})
	}
}

// attachConditions makes the virtual network apply the day's network faults.
func (f *Fleet) attachConditions(network *virtual.Net) {
	if !f.dayFile.NeedsNetworkFaults() {
		return
	}
	network.Path = func(now time.Duration, from, to netip.AddrPort) (p virtual.Path) {
		fromHost, knownFrom := f.hosts[from]
		toHost, knownTo := f.hosts[to]
		if !knownFrom || !knownTo {
			return p
		}
		p.Delay, p.IsLost, p.Until = f.conditions.Apply(now, fromHost, toHost)
		return p
	}
	network.AcceptsConn = func(to netip.AddrPort, held int) bool {
		limit, limited := f.connectionLimits[to]
		return !limited || held < limit
	}
	network.IsRefusing = func(to netip.AddrPort) bool { return f.refusing[to] }
}

// addServer creates a server at an address of its own. It does not start it.
func (f *Fleet) addServer() error {
	i := len(f.servers)
	name := fmt.Sprintf("server-%d", i)
	addr, err := f.environment.Address(name)
	if err != nil {
		return err
	}
	spec := &f.dayFile.Servers
	speed := min(max(f.drawSpeed(), 0.2), 5)
	// Work of a call in nanoseconds, such that the fleet's call rate gives the servers the load of the day.
	callWork := float64(time.Second) * float64(f.spec.Servers) * f.spec.Load / f.spec.Rate / speed
	work := func(share float64) time.Duration { return time.Duration(share * callWork) }
	s := &server{run: 1, speed: speed, endpoint: demo.Participant{Name: name, Kind: "server", Addr: addr},
		config: standin.ServerConfig{Address: addr, SetUpWork: work(1 - spec.ReleaseShare), ReleaseWork: work(spec.ReleaseShare),
			RejectWork: work(spec.RejectWork), RetransmitWork: work(spec.RetransmitWork),
			MaxWait: time.Duration(spec.MaxWait), MaxQueue: spec.MaxQueue, Circuits: spec.Circuits, Thrash: spec.Thrash,
			ThrashAt: spec.ThrashAt, ColdShare: spec.ColdShare,
			RampTime: time.Duration(spec.RampTime), TipMultiple: spec.TipMultiple, OverloadFor: time.Duration(spec.OverloadFor),
			ReportInterval: time.Duration(spec.ReportInterval), HideWait: spec.HideWait, SetUpsFirst: spec.SetUpsFirst,
			OverloadControl: spec.OverloadControl, HangUpShare: spec.HangUpShare, MeanHoldTime: 4 * time.Second}}
	f.ruleParameters.Capacity[addr.String()] = s.config.Capacity()
	f.hosts[addr] = emulator.HostID{Kind: emulator.ServerHost, Index: i % f.spec.Servers}
	f.servers = append(f.servers, s)
	return nil
}

// setRandomModels sets the random models of a server run.
func (f *Fleet) setRandomModels(config *standin.ServerConfig, i int, run uint64) {
	spec := &f.dayFile.Servers
	if spec.Work.Varies() {
		config.WorkFactor = spec.Work.Factor(f.streams, fmt.Sprintf("work of server %d, run %d", i, run))
	}
	if spec.ReportNoise.Varies() {
		config.ReportNoise = spec.ReportNoise.Factor(f.streams, fmt.Sprintf("reports of server %d, run %d", i, run))
	}
}

// startCallers starts the callers of a node.
func (f *Fleet) startCallers(i int) error {
	name := fmt.Sprintf("callers-%d", i)
	addr, err := f.environment.Address(name)
	if err != nil {
		return err
	}
	f.hosts[addr] = emulator.HostID{Kind: emulator.CallerHost, Index: i}
	spec := &f.dayFile.Callers
	config := standin.CallersConfig{Seed: f.streams.Seed(name), Address: addr, Node: f.nodeAddrs[i], Rate: f.spec.Rate / float64(f.spec.Nodes),
		Classes: f.classes, MaxRedials: spec.MaxRedials, RedialDelay: time.Duration(spec.RedialDelay),
		TCPShare: spec.TCPShare, LargeShare: spec.LargeShare,
		EarlyAbandonShare: spec.ImpatientShare, RedialCutOffDelay: time.Duration(spec.RedialAfterCut),
		NextArrival: emulator.NewArrivals(f.loadFactor, f.streams, name+" dial", f.start).Next}
	hold := spec.HoldTime.Factor(f.streams, name+" hold")
	config.CallDuration = func(class int) time.Duration { return time.Duration(hold() * float64(f.classes[class].MeanHoldTime)) }
	if f.destinations != nil {
		rng := f.streams.Rand(name + " numbers")
		config.PickNumber = func(class int) string {
			to := f.destinations.Pick(f.environment.Now()-f.start, rng)
			return emulator.Number(f.classes[class].Prefix, to, rng.IntN(1000))
		}
	}
	callers := standin.NewCallers(config)
	callers.OnSetUp = f.options.OnSetUp
	f.callers = append(f.callers, callers)
	return f.environment.Start(demo.Participant{Name: name, Kind: "caller", Addr: addr, Actor: callers})
}

// newNode creates the next run of a node with the day's policy. The second result is set for the loss policy only.
func (f *Fleet) newNode(i int) (*node.Node, *baseline.LossControl, error) {
	config := f.nodeConfig(i)
	if f.options.Policy == "" || f.options.Policy == Module {
		if f.options.InjectFault == nil {
			n, err := node.New(config)
			return n, nil, err
		}
		n, err := f.newFaultyNode(config)
		return n, nil, err
	}
	var loss *baseline.LossControl
	n, err := node.NewWithModuleFactory(config, func(s larkrouter.Settings, seed uint64) (node.DecisionModule, error) {
		p, err := baseline.New(f.options.Policy, s, seed, f.oracleState)
		loss, _ = p.(*baseline.LossControl)
		return p, err
	})
	return n, loss, err
}

// serverID returns the id of the server at an address.
func (f *Fleet) serverID(at netip.AddrPort) (uint32, bool) {
	for i, s := range f.servers {
		if s.endpoint.Addr == at {
			return uint32(i + 1), true
		}
	}
	return 0, false
}

// serverTruth returns the true state of a server, for the oracle policy.
func (f *Fleet) serverTruth(now time.Duration, id uint32) baseline.ServerTruth {
	if id == 0 || int(id) > len(f.servers) {
		return baseline.ServerTruth{}
	}
	s := f.servers[id-1]
	if s.isDown || s.actor.Collapsed || s.actor.IsMute() || f.refusing[s.endpoint.Addr] {
		return baseline.ServerTruth{}
	}
	s.actor.SetNow(now)
	truth := baseline.ServerTruth{IsUp: true, WaitTime: s.actor.ExpectedWait().Seconds(),
		SetUpTime: s.config.SetUpWork.Seconds() / s.actor.Speed(), Budget: math.Inf(1)}
	if s.config.TipMultiple > 0 && s.actor.WarmShare() < 1 {
		// 0.8 of the number of set-ups within the overload time that would make the server collapse.
		truth.Budget = 0.8 * s.config.TipMultiple * s.actor.WarmShare() * s.config.Capacity() * s.config.OverloadFor.Seconds()
	}
	return truth
}
