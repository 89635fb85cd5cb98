package node

import (
	"fmt"
	"slices"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
)

// isClassActive reports whether a class exists in the current configuration.
func (c *Config) isClassActive(class int) bool {
	return c.activeClasses == nil || slices.Contains(c.activeClasses, class)
}

// Reconfigure replaces the configuration as a whole; with an error the old one stays. Accepted calls keep their
// configuration until they end. Seed, EmitJournal, PersistedState and PersistedServers cannot be changed.
func (n *Node) Reconfigure(now time.Duration, next Config) error {
	n.setNow(now)
	n.submitNewCalls() // calls that arrived earlier use the old configuration
	if err := next.applyDefaults(); err != nil {
		return err
	}
	if err := next.Settings.Check(); err != nil {
		return err
	}
	previous := n.cfg
	next.Seed, next.EmitJournal, next.PersistedState, next.WallClockMs, next.PersistedServers =
		previous.Seed, previous.EmitJournal, nil, previous.WallClockMs, nil
	if len(next.Servers) > 0 { // validated before anything is changed
		if _, err := pool.NewList().Apply(n.now, pool.Document{Version: 1, State: "full", Servers: next.Servers}); err != nil {
			return err
		}
	}
	if err := n.preserveClassIndexes(&next); err != nil {
		return err
	}
	size := next.Settings.FleetSize
	rank := next.Settings.Rank
	if n.fleet.ReportedSize() > 0 && next.ListServer.Addr.IsValid() { // the rank that the list server reported stays
		rank = previous.Settings.Rank
	}
	next.Settings.Rank = rank
	n.cfg = &next
	n.ident.Addrs = next.Addresses
	n.transactions.SetTimes(next.TransactionTimes)
	n.numberRouter = pool.NewNumberRouter(next.Routes)
	for len(n.Stats.Classes) < len(next.Classes) {
		n.Stats.Classes = append(n.Stats.Classes, ClassStats{})
	}
	n.notifyModule(larkrouter.Reconfigured{Settings: next.Settings})
	n.fleet.MinSize, n.fleet.MaxSize = next.MinFleetSize, next.MaxFleetSize
	if !next.ListServer.Addr.IsValid() && size != previous.Settings.FleetSize {
		n.fleet.Report(n.now, size)
		n.scheduleFleetStep()
	}
	switch {
	case len(next.Servers) > 0:
		if previous.ListServer.Addr.IsValid() {
			n.sub.setActive(false)
		}
		n.ApplyList(n.now, pool.Document{Version: 1, State: "full", Servers: next.Servers})
	case next.ListServer != previous.ListServer:
		if previous.ListServer.Addr.IsValid() {
			n.sub.unsubscribe()
		}
		if next.ListServer.Addr.IsValid() {
			n.sub.subscribe()
		}
	}
	n.emitRecord(LogRecord{Level: Info, Event: "reconfigured",
		Cause: fmt.Sprintf("%d active classes; calls accepted earlier keep their configuration", len(next.activeClasses))})
	return nil
}

// preserveClassIndexes gives each class of a new configuration the index that it had, because counters, module and open
// calls refer to classes by index. The index of a removed class is kept, without an aim, until no call uses it and a
// new class needs an index.
func (n *Node) preserveClassIndexes(next *Config) error {
	previous := n.cfg
	count := len(previous.Classes)
	settings, classes, isInUse := make([]larkrouter.Class, count), make([]Class, count), make([]bool, count)
	for i := range count {
		settings[i] = larkrouter.Class{Name: previous.Settings.Classes[i].Name}
	}
	for _, call := range n.calls {
		isInUse[call.class] = true
	}
	names := map[string]bool{}
	for _, c := range next.Settings.Classes {
		if names[c.Name] {
			return fmt.Errorf("node: class name %q is used twice", c.Name)
		}
		names[c.Name] = true
	}
	for j, c := range next.Settings.Classes {
		i := slices.IndexFunc(settings, func(o larkrouter.Class) bool { return o.Name == c.Name })
		for f := 0; i < 0 && f < count; f++ { // new class: reuse the index of a removed one
			if !names[settings[f].Name] && !isInUse[f] {
				i = f
				n.Stats.Classes[i] = ClassStats{}
			}
		}
		if i < 0 { // or append
			i = len(settings)
			settings, classes = append(settings, larkrouter.Class{}), append(classes, Class{})
		}
		settings[i], classes[i] = c, next.Classes[j]
		next.activeClasses = append(next.activeClasses, i)
	}
	next.Settings.Classes, next.Classes = settings, classes
	return nil
}

// RetiredSocketUse returns the number of calls and transactions that still need the retired sockets.
func (n *Node) RetiredSocketUse() (calls, transactions int) {
	if len(n.cfg.RetiredSockets) == 0 {
		return 0, 0
	}
	for _, call := range n.calls {
		if slices.ContainsFunc(n.cfg.RetiredSockets, func(listener uint16) bool { return !slices.Contains(call.cfg.RetiredSockets, listener) }) {
			calls++ // accepted on them: its peers know their address
		}
	}
	return calls, n.transactions.CountServers(func(listener uint16) bool { return slices.Contains(n.cfg.RetiredSockets, listener) })
}

// RetiredSocketsClosed reports that the retired sockets have been closed.
func (n *Node) RetiredSocketsClosed() { n.cfg.RetiredSockets = nil }
