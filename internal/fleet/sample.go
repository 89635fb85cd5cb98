package fleet

import (
	"math"
	"time"

	"larkrouter"
	"larkrouter/internal/node"
	"larkrouter/internal/standin"
)

// Sample describes one second of a day. Classes and Served cover that second only, the other values are those at its end.
type Sample struct {
	At            time.Duration // end of the second, from the start of the day
	Classes       []standin.ClassCounts
	Served        float64 // worth that stood in this second, as a share of the worth offered in it
	WaitingCalls  int     // calls without a final answer, at all nodes
	HeldCalls     int     // waiting calls without an attempt in progress
	StandingCalls int
	RunningNodes  int
	Servers       []ServerSample
}

// ServerSample describes a call server at the end of a second; SetUps and Rejected cover that second.
type ServerSample struct {
	IsUp             bool
	Speed            float64       // share of the server's full speed
	Wait             time.Duration // waiting time of a set-up that arrives now
	QueueLength      int           // tasks that wait
	SetUps           uint64        // set-ups received in the second
	Rejected         uint64        // set-ups rejected in the second
	GateShare        float64       // sum of the nodes' gate rates as a share of the server's capacity; NaN: no node has a gate
	UnavailableShare float64       // share of the nodes that treat the server as cold or suspended
}

// takeSample passes the sample of the second that ends at a time to OnSample.
func (f *Fleet) takeSample(at time.Duration) {
	sample := Sample{At: at, Classes: f.Counts(), Servers: make([]ServerSample, len(f.servers))}
	total := sample.Classes
	sample.Classes = make([]standin.ClassCounts, len(total))
	var servedWorth, offeredWorth float64
	for i, now := range total {
		before := standin.ClassCounts{}
		if f.previous.Classes != nil {
			before = f.previous.Classes[i]
		}
		c := now.Sub(before)
		sample.Classes[i] = c
		servedWorth += f.classes[i].Worth * (float64(c.InAim) + f.classes[i].LateShare*float64(c.Late))
		offeredWorth += f.classes[i].Worth * float64(c.Offered)
	}
	if sample.Served = 1; offeredWorth > 0 {
		sample.Served = servedWorth / offeredWorth
	}
	gateRates, unavailable := make([]float64, len(f.servers)), make([]int, len(f.servers))
	for i, n := range f.Nodes {
		if f.nodeDown[i] {
			continue
		}
		sample.RunningNodes++
		if n == nil {
			continue // runs in a process of its own, whose state can't be read
		}
		f.environment.Inspect(f.nodeName(i), func(now time.Duration) { f.addNodeSample(n, now, &sample, gateRates, unavailable) })
	}
	for i, server := range f.servers {
		row := &sample.Servers[i]
		row.GateShare, row.UnavailableShare = math.NaN(), 0
		if gateRates[i] > 0 {
			row.GateShare = gateRates[i] / server.config.Capacity()
		}
		if sample.RunningNodes > 0 {
			row.UnavailableShare = float64(unavailable[i]) / float64(sample.RunningNodes)
		}
		f.inspectServer(i, func(callServer *standin.CallServer, now time.Duration) {
			callServer.SetNow(now)
			row.IsUp, row.Speed, row.Wait, row.QueueLength = !callServer.Collapsed, callServer.Speed(),
				callServer.ExpectedWait(), callServer.QueueLength()
			row.SetUps, row.Rejected = callServer.Counts.SetUps, callServer.Counts.Rejected
		})
		if i < len(f.previous.Servers) && row.SetUps >= f.previous.Servers[i].SetUps { // else a new run, whose counters start at 0
			row.SetUps, row.Rejected = row.SetUps-f.previous.Servers[i].SetUps, row.Rejected-f.previous.Servers[i].Rejected
		}
	}
	f.previous = Sample{Classes: total, Servers: make([]ServerSample, len(f.servers))}
	for i := range f.servers {
		f.inspectServer(i, func(callServer *standin.CallServer, _ time.Duration) {
			f.previous.Servers[i].SetUps, f.previous.Servers[i].Rejected = callServer.Counts.SetUps, callServer.Counts.Rejected
		})
	}
	f.options.OnSample(sample)
}

// addNodeSample adds a node's calls, gate rates and server states to a sample.
func (f *Fleet) addNodeSample(n *node.Node, now time.Duration, sample *Sample, gateRates []float64, unavailable []int) {
	snapshot := n.Snapshot(now)
	sample.WaitingCalls, sample.HeldCalls, sample.StandingCalls = sample.WaitingCalls+snapshot.WaitingCalls,
		sample.HeldCalls+snapshot.HeldCalls, sample.StandingCalls+snapshot.StandingCalls
	for _, row := range snapshot.Servers {
		i := int(row.ID) - 1
		if !row.HasView || i < 0 || i >= len(gateRates) {
			continue
		}
		if !math.IsInf(row.View.Rate, 1) {
			gateRates[i] += row.View.Rate
		}
		if row.View.State == larkrouter.ServerCold || row.View.State == larkrouter.ServerSuspended {
			unavailable[i]++
		}
	}
}
