package fleet

import (
	"fmt"
	"math"
	"strings"
	"time"

	"larkrouter/internal/day"
	"larkrouter/internal/demo"
	"larkrouter/internal/emulator"
	"larkrouter/internal/pool"
	"larkrouter/internal/rules"
	"larkrouter/internal/standin"
)

// affectedServers returns the indexes of the servers that make up a share, at least one, evenly spaced.
func (f *Fleet) affectedServers(share float64) []int {
	n := max(1, int(math.Round(share*float64(f.spec.Servers))))
	indexes := make([]int, n)
	for k := range indexes {
		indexes[k] = k * f.spec.Servers / n
	}
	return indexes
}

// addServerTrouble schedules the steps of a trouble of the call servers or of their list entries. It reports whether the
// trouble is of that kind.
func (f *Fleet) addServerTrouble(trouble *day.Trouble, schedule func(time.Duration, func())) bool {
	duration := func(x day.Duration) time.Duration { return time.Duration(x) }
	scheduleEach := func(after time.Duration, fn func(s *standin.CallServer, now time.Duration)) {
		for _, i := range f.affectedServers(trouble.Servers) {
			schedule(after, func() { f.withServer(i, fn) })
		}
	}
	streamName := func(i int) string {
		return fmt.Sprintf("%s of server %d at %v", trouble.Kind, i, trouble.StartTime(f.dialTime))
	}
	switch trouble.Kind {
	case "kill servers":
		servers := f.affectedServers(trouble.Servers)
		for k, i := range servers {
			begin := time.Duration(float64(trouble.Spread) * float64(k) / float64(len(servers)))
			schedule(begin, func() { f.killServer(i) })
			schedule(begin+duration(trouble.Down), func() { f.restartServer(i) })
		}
	case "slow servers":
		scheduleEach(0, func(s *standin.CallServer, _ time.Duration) { s.SetSlowdown(trouble.Factor) })
		scheduleEach(duration(trouble.For), func(s *standin.CallServer, _ time.Duration) { s.SetSlowdown(1) })
	case "ageing server":
		f.addPauses(trouble.Server, emulator.Pauses{Mean: duration(trouble.By), Every: duration(trouble.Every), Growth: trouble.Share},
			duration(trouble.For), streamName(trouble.Server), schedule)
		schedule(duration(trouble.For), func() { f.killServer(trouble.Server) })
		schedule(duration(trouble.For)+duration(trouble.Down), func() { f.restartServer(trouble.Server) })
	case "pauses":
		for _, i := range f.affectedServers(trouble.Servers) {
			f.addPauses(i, emulator.Pauses{Mean: duration(trouble.By), Every: duration(trouble.Every)}, duration(trouble.For), streamName(i),
				schedule)
		}
	case "other work":
		for _, i := range f.affectedServers(trouble.Servers) {
			for _, phase := range (emulator.BackgroundLoad{On: duration(trouble.Every), Off: duration(trouble.Every)}).Intervals(
				duration(trouble.For), f.streams, streamName(i)) {
				schedule(phase.Start, func() {
					f.withServer(i, func(s *standin.CallServer, _ time.Duration) { s.SetOtherWork(trouble.Share) })
				})
				schedule(phase.Start+phase.Length, func() { f.withServer(i, func(s *standin.CallServer, _ time.Duration) { s.SetOtherWork(0) }) })
			}
		}
	case "cut calls":
		scheduleEach(0, func(s *standin.CallServer, _ time.Duration) { s.EndShare(trouble.Share) })
	case "faulty servers":
		scheduleEach(0, func(s *standin.CallServer, _ time.Duration) { s.SetFaultShare(trouble.Share) })
		scheduleEach(duration(trouble.For), func(s *standin.CallServer, _ time.Duration) { s.SetFaultShare(0) })
	case "mute servers":
		scheduleEach(0, func(s *standin.CallServer, _ time.Duration) { s.SetMute(true) })
		scheduleEach(duration(trouble.For), func(s *standin.CallServer, _ time.Duration) { s.SetMute(false) })
	case "refuse connections":
		for _, i := range f.affectedServers(trouble.Servers) {
			schedule(0, func() { f.connectionLimits[f.servers[i].endpoint.Addr] = trouble.Limit })
			schedule(duration(trouble.For), func() { delete(f.connectionLimits, f.servers[i].endpoint.Addr) })
		}
	case "reset servers":
		for _, i := range f.affectedServers(trouble.Servers) {
			schedule(0, func() { f.refusing[f.servers[i].endpoint.Addr] = true })
			schedule(duration(trouble.For), func() { delete(f.refusing, f.servers[i].endpoint.Addr) })
		}
	case "reset connections":
		for after := time.Duration(0); after < duration(trouble.For); after += duration(trouble.Every) {
			for _, i := range f.affectedServers(trouble.Servers) {
				schedule(after, func() { f.resetConnections(i) })
			}
		}
	case "wrong list":
		schedule(0, func() {
			wrong := map[uint32]bool{}
			for _, i := range f.affectedServers(trouble.Servers) {
				wrong[uint32(i+1)] = true
			}
			f.withList(func(l *standin.ListServer) {
				l.RewriteEntry = func(s pool.Server) pool.Server {
					if wrong[s.ID] {
						s.Phase = trouble.As
					}
					return s
				}
				l.NotifyFullList()
			})
		})
		schedule(duration(trouble.For), func() { f.withList(func(l *standin.ListServer) { l.RewriteEntry = nil; l.NotifyFullList() }) })
	default:
		return false
	}
	return true
}

// resetConnections resets all connections of a server. On loopback sockets it does nothing.
func (f *Fleet) resetConnections(i int) {
	s := f.servers[i]
	if virtual, ok := f.environment.(*demo.VirtualEnvironment); ok && !s.isDown {
		f.recorder.Add(rules.Record{Time: f.environment.Now(), Kind: "reset", Owner: s.endpoint.Addr.String()})
		virtual.Net.ResetConns(s.endpoint.Name)
	}
}

// addPauses schedules the stalls of a server's processor.
func (f *Fleet) addPauses(i int, model emulator.Pauses, length time.Duration, streamName string, schedule func(time.Duration, func())) {
	for _, pause := range model.Intervals(length, f.streams, streamName) {
		schedule(pause.Start, func() {
			f.withServer(i, func(s *standin.CallServer, now time.Duration) { s.Stall(now + pause.Length) })
		})
	}
}

// hostSet returns the hosts of a kind that a trouble affects.
func (f *Fleet) hostSet(kind string, trouble *day.Trouble) emulator.HostSet {
	switch kind {
	case emulator.ServerHost:
		return emulator.HostSet{Kind: kind, Share: trouble.Servers, Total: f.spec.Servers}
	case emulator.NodeHost, emulator.CallerHost:
		return emulator.HostSet{Kind: kind, Share: trouble.Nodes, Total: f.spec.Nodes}
	}
	return emulator.HostSet{Kind: kind}
}

// addNetworkTrouble schedules a network fault.
func (f *Fleet) addNetworkTrouble(trouble *day.Trouble, schedule func(time.Duration, func())) {
	schedule(0, func() {
		now := f.environment.Now()
		fault := emulator.Fault{From: f.hostSet(trouble.From, trouble), To: f.hostSet(trouble.To, trouble),
			Until: now + time.Duration(trouble.For)}
		switch trouble.Kind {
		case "lose datagrams":
			fault.Loss = trouble.Share
		case "partition":
			fault.Blocked, fault.Bidirectional = true, true
		case "one way cut":
			fault.Blocked = true
		case "slow network":
			fault.Delay, fault.Bidirectional = time.Duration(trouble.By), true
		}
		f.conditions.Add(now, fault)
	})
}

// checkSocketSupport returns an error if the day needs network faults, which can't be injected into loopback sockets.
func (f *Fleet) checkSocketSupport() error {
	if !f.dayFile.NeedsNetworkFaults() {
		return nil
	}
	var unsupported []string
	for i := range f.dayFile.Troubles {
		if day.IsNetworkFault(f.dayFile.Troubles[i].Kind) {
			unsupported = append(unsupported, fmt.Sprintf("trouble[%d] (%s)", i, f.dayFile.Troubles[i].Kind))
		}
	}
	if f.dayFile.Network.Loss > 0 {
		unsupported = append(unsupported, "network.loss")
	}
	return fmt.Errorf("day %s: not possible on loopback sockets, which can't inject network faults: remove %s or use virtual time",
		f.dayFile.Name, strings.Join(unsupported, ", "))
}
