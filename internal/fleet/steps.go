package fleet

import (
	"fmt"
	"math"
	"syscall"
	"time"

	"larkrouter/internal/day"
	"larkrouter/internal/demo"
	"larkrouter/internal/node"
	"larkrouter/internal/rules"
	"larkrouter/internal/standin"
)

// firstNodes returns the indexes of the first nodes that make up a share, at least one.
func (f *Fleet) firstNodes(share float64) []int {
	n := max(1, int(math.Round(share*float64(len(f.Nodes)))))
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// Steps returns the steps of the day in no particular order.
func (f *Fleet) Steps() []demo.Step {
	steps := []demo.Step{
		{At: f.dialTime, Text: "callers stop dialling", Do: func() {
			for i, c := range f.callers {
				f.environment.Do(fmt.Sprintf("callers-%d", i), func(time.Duration) { c.Stop() })
			}
		}},
		{At: f.dialTime + 6*time.Second, Text: "callers hang up", Do: func() {
			for i, c := range f.callers {
				f.environment.Do(fmt.Sprintf("callers-%d", i), func(time.Duration) { c.HangUpAll() })
			}
		}},
	}
	for i := range f.options.Day.Troubles {
		trouble := &f.options.Day.Troubles[i]
		begin := trouble.StartTime(f.dialTime)
		steps = append(steps, demo.Step{At: begin, Text: trouble.String(), Do: func() {}})
		f.addTrouble(trouble, func(after time.Duration, do func()) {
			steps = append(steps, demo.Step{At: begin + after, Do: do})
		})
	}
	return steps
}

// addTrouble schedules the steps of a trouble at times relative to its start.
func (f *Fleet) addTrouble(trouble *day.Trouble, schedule func(time.Duration, func())) {
	duration := func(x day.Duration) time.Duration { return time.Duration(x) }
	nodes := f.firstNodes(trouble.Nodes)
	offset := func(k int) time.Duration { // offset of the k-th node if the nodes follow one another
		return time.Duration(float64(trouble.Spread) * float64(k) / float64(len(nodes)))
	}
	switch trouble.Kind {
	case "kill nodes":
		for k, i := range nodes {
			schedule(offset(k), func() { f.killNode(i) })
			schedule(offset(k)+duration(trouble.Down), func() { f.restartNode(i) })
		}
	case "stop nodes":
		for k, i := range nodes {
			begin, name := offset(k), f.nodeName(i)
			schedule(begin, func() {
				if f.processes != nil {
					f.processes.nodes[i].Signal(syscall.SIGTERM)
					return
				}
				f.environment.Do(name, f.Nodes[i].Drain)
			})
			schedule(begin+duration(trouble.Wait), func() {
				if f.processes != nil { // a second SIGTERM releases the remaining calls
					f.processes.nodes[i].Signal(syscall.SIGTERM)
					return
				}
				f.environment.Do(name, f.Nodes[i].EndAllCalls)
			})
			schedule(begin+duration(trouble.Wait)+100*time.Millisecond, func() { f.killNode(i) })
			schedule(begin+duration(trouble.Wait)+100*time.Millisecond+duration(trouble.Down), func() { f.restartNode(i) })
		}
	case "upgrade nodes":
		for k, i := range nodes {
			schedule(offset(k), func() { f.upgradeNode(i) })
		}
	case "reload nodes":
		for round := range max(1, trouble.Times) {
			for k, i := range nodes {
				schedule(offset(k)+time.Duration(round)*duration(trouble.Every), func() { f.reloadNode(i) })
			}
		}
	case "stall nodes":
		for round := range max(1, trouble.Times) {
			begin := time.Duration(round) * duration(trouble.Every)
			if trouble.Spread <= 0 {
				schedule(begin, func() { f.stallNodes(nodes, duration(trouble.For)) })
				continue
			}
			for k, i := range nodes { // one node after another
				schedule(begin+offset(k), func() { f.stallNodes([]int{i}, duration(trouble.For)) })
			}
		}
	case "clocks apart":
		schedule(0, func() {
			for k, i := range nodes { // alternately ahead and behind
				f.clockOffsets[i] += duration(trouble.By) * time.Duration(1-2*(k%2))
			}
		})
	case "kill server":
		schedule(0, func() { f.killServer(trouble.Server) })
		schedule(duration(trouble.Down), func() { f.restartServer(trouble.Server) })
	case "replace server":
		f.drainServer(trouble.Server, duration(trouble.Wait), schedule)
		schedule(duration(trouble.Wait)+500*time.Millisecond+duration(trouble.Down), func() { f.restartServer(trouble.Server) })
	case "replace all servers":
		for k := range f.spec.Servers {
			begin := time.Duration(float64(trouble.Spread) * float64(k) / float64(f.spec.Servers))
			schedule(begin, func() {
				i := len(f.servers)
				f.must(f.addServer())
				f.must(f.startServer(i, true))
				e := f.listEntry(i, "ready")
				e.Number = k // the new server takes over the number of the old one
				f.withList(func(l *standin.ListServer) { l.SetEntry(e) })
			})
			f.drainServer(k, duration(trouble.Wait), func(after time.Duration, do func()) { schedule(begin+8*time.Second+after, do) })
		}
	case "slow server":
		schedule(0, func() {
			f.withServer(trouble.Server, func(s *standin.CallServer, _ time.Duration) { s.SetSlowdown(trouble.Factor) })
		})
		schedule(duration(trouble.For), func() {
			f.withServer(trouble.Server, func(s *standin.CallServer, _ time.Duration) { s.SetSlowdown(1) })
		})
	case "stall server":
		schedule(0, func() {
			f.withServer(trouble.Server, func(s *standin.CallServer, now time.Duration) { s.Stall(now + duration(trouble.For)) })
		})
	case "lose answers":
		schedule(0, func() { f.loseAnswers(trouble.Servers, trouble.Share) })
		schedule(duration(trouble.For), func() { f.loseAnswers(trouble.Servers, 0) })
	case "list dies":
		f.restartList(trouble, schedule)
	case "late list":
		schedule(0, func() {
			f.withList(func(*standin.ListServer) {
				f.lateBy = duration(trouble.By)
				for _, i := range nodes {
					f.lateNodes[f.nodeName(i)] = true
				}
			})
		})
		schedule(duration(trouble.For), func() { f.withList(func(*standin.ListServer) { clear(f.lateNodes) }) })
	case "told sizes":
		n := 0
		for after := time.Duration(0); after < duration(trouble.For); after += duration(trouble.Every) {
			size := trouble.Sizes[n%len(trouble.Sizes)]
			n++
			schedule(after, func() {
				f.withList(func(l *standin.ListServer) { l.RewriteSize = func(int) int { return size }; l.AnnounceSize() })
			})
		}
		schedule(duration(trouble.For), func() { f.withList(func(l *standin.ListServer) { l.RewriteSize = nil; l.AnnounceSize() }) })
	case "burst":
		schedule(0, func() { f.scaleRate(trouble.Factor) })
		schedule(duration(trouble.For), func() { f.scaleRate(1) })
	default:
		if !f.addServerTrouble(trouble, schedule) {
			f.addNetworkTrouble(trouble, schedule)
		}
	}
}

// drainServer lists a server as draining, and ends its calls and its process after a time.
func (f *Fleet) drainServer(i int, wait time.Duration, schedule func(time.Duration, func())) {
	schedule(0, func() {
		entry := f.listEntry(i, "draining")
		f.withList(func(l *standin.ListServer) { l.SetEntry(entry) })
	})
	schedule(wait, func() {
		f.withServer(i, func(s *standin.CallServer, _ time.Duration) { s.EndAllCalls() })
		entry := f.listEntry(i, "gone")
		f.withList(func(l *standin.ListServer) { l.SetEntry(entry) })
	})
	schedule(wait+500*time.Millisecond, func() { f.killServer(i) })
}

// restartList ends the list server and restarts it after a time: with the version that follows its last one, or with the
// version of the start of the day if the trouble asks for an older one.
func (f *Fleet) restartList(trouble *day.Trouble, schedule func(time.Duration, func())) {
	var version uint64
	schedule(0, func() {
		f.withList(func(l *standin.ListServer) {
			if !trouble.Older {
				version = l.Version()
			}
		})
		f.environment.Kill("list")
	})
	// The leases are lost, so that each node is counted again when it next subscribes.
	schedule(time.Duration(trouble.Down), func() { f.must(f.startList(version, nil)) })
}

// reloadNode reloads a node's configuration, in which the max number of attempts alternates between the day's value and one
// less.
func (f *Fleet) reloadNode(i int) {
	if f.nodeDown[i] {
		return
	}
	f.maxAttempts[i] = 2*f.dayFile.Node.MaxAttempts - 1 - f.maxAttempts[i]
	if f.processes != nil {
		_, err := f.writeConfig(i)
		f.must(err)
		f.processes.nodes[i].Signal(syscall.SIGHUP)
		return
	}
	config, n := f.nodeConfig(i), f.Nodes[i]
	f.environment.Do(f.nodeName(i), func(now time.Duration) { f.must(n.Reconfigure(now, config)) })
}

// upgradeNode starts a new run of a node that takes over its sockets and the state in its store.
func (f *Fleet) upgradeNode(i int) {
	if f.nodeDown[i] {
		return
	}
	f.nodeRuns[i]++
	n, _, err := f.newNode(i)
	f.must(err)
	pair := f.nodePairs[i]
	f.environment.Do(f.nodeName(i), func(now time.Duration) { pair.upgrade(now, n) })
	f.Nodes[i] = n
}

// stallNodes stalls nodes for a time and adds the stalls to the capture.
func (f *Fleet) stallNodes(nodes []int, d time.Duration) {
	now := f.environment.Now()
	for _, i := range nodes {
		if f.processes != nil {
			f.processes.stall(i, d)
		} else {
			f.environment.Stall(f.nodeName(i), d)
		}
		f.recorder.Add(rules.Record{Time: now, Kind: "stalled", Owner: f.nodeAddrs[i].String(), Until: now + d})
	}
}

// loseAnswers makes a share of the servers lose a share of their answers.
func (f *Fleet) loseAnswers(servers, share float64) {
	n := max(1, int(math.Round(servers*float64(f.spec.Servers))))
	for k := range n {
		f.withServer(k*f.spec.Servers/n, func(s *standin.CallServer, _ time.Duration) { s.SetAnswerLoss(share) })
	}
}

// scaleRate sets the call rate to a multiple of the day's mean rate.
func (f *Fleet) scaleRate(factor float64) {
	for i, c := range f.callers {
		f.environment.Do(fmt.Sprintf("callers-%d", i), func(time.Duration) { c.SetRate(factor * f.spec.Rate / float64(f.spec.Nodes)) })
	}
}

// OpenCalls returns the number of waiting and of standing calls at all nodes.
func (f *Fleet) OpenCalls() (waiting, standing int) {
	for i, n := range f.Nodes {
		if n == nil {
			continue
		}
		f.environment.Inspect(f.nodeName(i), func(time.Duration) {
			w, s := n.OpenCalls()
			waiting, standing = waiting+w, standing+s
		})
	}
	return waiting, standing
}

// ListStates returns the number of nodes that have a server list, and the smallest and largest fleet size that nodes
// assume.
func (f *Fleet) ListStates() (haveList int, minSize, maxSize float64) {
	minSize = math.Inf(1)
	for i, n := range f.Nodes {
		if n == nil {
			continue
		}
		f.environment.Inspect(f.nodeName(i), func(now time.Duration) {
			if n.Snapshot(now).ListState == node.ListKnown {
				haveList++
			}
			_, size := n.FleetSize()
			minSize, maxSize = min(minSize, size), max(maxSize, size)
		})
	}
	return haveList, minSize, maxSize
}
