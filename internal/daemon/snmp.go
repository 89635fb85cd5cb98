package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gosnmp/gosnmp"
	"github.com/pelletier/go-toml/v2"

	"larkrouter"
	"larkrouter/internal/config"
	"larkrouter/internal/node"
	"larkrouter/internal/snmp/agent"
	"larkrouter/internal/snmp/ber"
	"larkrouter/internal/snmp/mib"
	"larkrouter/internal/snmp/notify"
	"larkrouter/internal/snmp/usm"
)

const (
	// snapshotInterval is the maximum age of a snapshot: any number of requests costs the node one snapshot per interval.
	snapshotInterval = 250 * time.Millisecond
	// snapshotTimeout is how long the agent waits for the node's loop to take a snapshot.
	snapshotTimeout = 100 * time.Millisecond
)

// SNMPAgent runs the SNMP agent: its socket, the snapshots of the node that it answers from, and its notifications. The
// node's loop only copies its figures into a snapshot, at most once per snapshotInterval.
type SNMPAgent struct {
	cfg               *config.File
	agent             *agent.Agent
	conn              *net.UDPConn
	loop              *Loop
	node              *node.Node
	log               *slog.Logger
	startTime         time.Time     // when the agent started; sysUpTime counts from it
	clockAtBoot       time.Duration // node's clock when the agent started
	latest            *node.Snapshot
	lastRefresh       time.Time      // when latest was requested from the loop
	answered          *node.Snapshot // snapshot that the agent answers from
	evaluated         *node.Snapshot // snapshot that notifications were last decided on
	snapshotCount     uint64         // snapshots taken for requests and notifications
	notificationsSent atomic.Uint64
	notificationsLost atomic.Uint64          // dropped or not delivered
	queues            []chan gosnmp.SnmpTrap // pending notifications, per target
	version           string
	startText         string // startTime, RFC 3339
	engineID          []byte
	boots             int32
}

// engineState is the content of the state file (RFC 3414, section 2.2.2).
type engineState struct {
	Engine string `toml:"engine_id"`
	Boots  int32  `toml:"boots"`
}

// loadEngine reads the state file, or creates it, and writes the boot count of this boot before returning it. Without a path
// the engine is new at each start.
func loadEngine(path string) (id []byte, boots int32, err error) {
	if path == "" {
		id, boots, _, err = nextEngineState("", nil)
		return id, boots, err
	}
	state, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, 0, fmt.Errorf("snmp state: %w", err)
	}
	if id, boots, state, err = nextEngineState(path, state); err != nil {
		return nil, 0, err
	}
	return id, boots, replaceFile(path, state)
}

// nextEngineState decodes a state, which is empty at the first boot, and returns the state of the next boot. source names
// the state's file or store in errors.
func nextEngineState(source string, state []byte) (id []byte, boots int32, next []byte, err error) {
	var current engineState
	if err = toml.Unmarshal(state, &current); err != nil {
		return nil, 0, nil, fmt.Errorf("snmp state in %s: %w", source, err)
	}
	if id, err = hex.DecodeString(current.Engine); err != nil || len(id) < 5 || len(id) > 32 {
		if current.Engine != "" {
			return nil, 0, nil, fmt.Errorf("snmp state in %s: engine_id %q: must be 5 to 32 bytes in hexadecimal", source, current.Engine)
		}
		id = binary.BigEndian.AppendUint32(nil, 0x80000000|99999) // RFC 3411, SnmpEngineID, format 5: octets
		id = append(id, 5)
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, 0, nil, err
		}
		id = append(id, b[:]...)
	}
	// At the maximum the count stays, and the engine answers no authenticated request (RFC 3414, section 2.2.3).
	if current.Boots < math.MaxInt32 {
		current.Boots++
	}
	current.Engine = hex.EncodeToString(id)
	next, err = toml.Marshal(current)
	return id, current.Boots, next, err
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file, renames it, and syncs the directory.
func replaceFile(path string, content []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("writing %s: %w", path, err)
	}
	if dir, err := os.Open(filepath.Dir(path)); err == nil {
		_ = dir.Sync()
		dir.Close()
	}
	return nil
}

// NewSNMPAgent creates the agent and opens its socket. The engine id and boot count come from the state file or, if none is
// configured, from the store.
func NewSNMPAgent(f *config.File, loop *Loop, routerNode *node.Node, state *stateStore, log *slog.Logger) (*SNMPAgent, error) {
	load := func() ([]byte, int32, error) { return loadEngine(f.SNMP.StateFile) }
	if f.SNMP.StateFile == "" && state != nil {
		load = state.nextEngine
	}
	id, boots, err := load()
	if err != nil {
		return nil, err
	}
	cfg, err := f.SNMP.AgentConfig(id, boots)
	if err != nil {
		return nil, err
	}
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return nil, err
	}
	cfg.InitialSalt = binary.LittleEndian.Uint64(salt[:])
	snmpAgent := &SNMPAgent{cfg: f, loop: loop, node: routerNode, log: log, startTime: time.Now(), engineID: id, boots: boots,
		version:   "(devel)",
		startText: time.Now().Format(time.RFC3339)}
	if info, ok := debug.ReadBuildInfo(); ok {
		snmpAgent.version = info.Main.Version
	}
	cfg.Descr = "larkrouter " + snmpAgent.version
	snmpAgent.agent = agent.New(cfg)
	address, err := netip.ParseAddrPort(f.SNMP.Listen)
	if err != nil {
		return nil, fmt.Errorf("snmp.listen: %w", err)
	}
	if snmpAgent.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
		return nil, fmt.Errorf("listening for snmp on %v: %w", address, err)
	}
	return snmpAgent, nil
}

// Addr returns the address that the agent listens on.
func (s *SNMPAgent) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run answers requests and sends notifications until the context ends.
func (s *SNMPAgent) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	defer s.conn.Close()
	s.loop.PostAndWait(func(now time.Duration) {
		s.clockAtBoot = now
		s.latest = s.node.Snapshot(now)
	})
	if s.latest == nil {
		return // the loop has ended
	}
	for _, target := range s.cfg.SNMP.Targets {
		queue := make(chan gosnmp.SnmpTrap, 64)
		s.queues = append(s.queues, queue)
		go s.deliver(ctx, target, queue)
	}
	settings := s.cfg.SNMP.Notify
	decider := notify.New(notify.Settings{Settle: time.Duration(settings.Settle), Window: time.Duration(settings.Window),
		MinGap:    time.Duration(settings.MinGap),
		ListAfter: time.Duration(settings.ListLostAfter), EnterShare: settings.OverloadEnter, LeaveShare: settings.OverloadLeave,
		MinCalls: notify.DefaultSettings.MinCalls})
	buf := make([]byte, 65536)
	for ctx.Err() == nil {
		if len(s.queues) > 0 {
			s.refresh()
			s.queueNotifications(decider)
		}
		_ = s.conn.SetReadDeadline(time.Now().Add(snapshotInterval))
		size, sender, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the read timed out, or an ICMP error for an earlier response
		}
		s.refresh() // only on a request: an agent without requests or targets costs the node nothing
		if s.latest != s.answered {
			s.answered = s.latest
			s.agent.SetSnapshot(s.mibSnapshot(s.latest, decider))
		}
		if response := s.agent.Handle(time.Since(s.startTime), sender.Addr().Unmap(), buf[:size]); response != nil {
			_, _ = s.conn.WriteToUDPAddrPort(response, sender) // a lost response is requested again by the manager
		}
	}
}

// refresh takes a new snapshot unless the last one was requested less than snapshotInterval ago. The node's loop takes it as
// part of a turn; if its queue is full or it does not respond within snapshotTimeout, the previous snapshot stays in use.
func (s *SNMPAgent) refresh() {
	if time.Since(s.lastRefresh) < snapshotInterval {
		return
	}
	taken := make(chan *node.Snapshot, 1)
	select {
	case s.loop.funcs <- func(now time.Duration) { taken <- s.node.Snapshot(now) }:
	default:
		return
	}
	s.lastRefresh = time.Now()
	select {
	case s.latest = <-taken:
		s.snapshotCount++
	case <-time.After(snapshotTimeout):
	}
}

// phases maps a server's phase to its value in the MIB.
var phases = map[larkrouter.Phase]int64{larkrouter.Ready: 1, larkrouter.Draining: 2, larkrouter.Gone: 3}

// mibSnapshot converts a snapshot of the node to the order of the MIB's objects.
func (s *SNMPAgent) mibSnapshot(snapshot *node.Snapshot, decider *notify.Decider) *mib.Snapshot {
	since := func(at time.Duration) time.Duration { return max(0, at-s.clockAtBoot) }
	stats, transactions, sockets, requests := &snapshot.Stats, &snapshot.Transactions, &s.loop.stack.Counters, &s.agent.Counters
	out := &mib.Snapshot{UpTime: since(snapshot.TakenAt), Version: s.version, Started: s.startText, Config: s.cfg.Name,
		FleetSize: uint64(snapshot.FleetSize), FleetRank: uint64(snapshot.Rank), CallsWaiting: uint64(snapshot.WaitingCalls),
		CallsHeld: uint64(snapshot.HeldCalls), CallsStanding: uint64(snapshot.StandingCalls), ListState: int64(snapshot.ListState) + 1,
		ListVersion: snapshot.ListVersion,
		BusyPercent: s.loop.BusyPercent(),
		NodeCounters: [10]uint64{stats.OverLimit, stats.Unmatched, stats.Malformed, stats.Rejected, stats.MergedRequests, stats.LateAnswers,
			stats.FailedAsserts, stats.ListUpdates, stats.ListVersionGaps, stats.ListFailures},
		Connections: uint64(s.loop.stack.OpenConns()),
		SIPCounters: [15]uint64{sockets.DatagramsIn.Load(), sockets.DatagramsOut.Load(), sockets.StreamsIn.Load(), sockets.StreamsOut.Load(),
			sockets.Unreadable.Load(), sockets.Refused.Load(), sockets.Opened.Load(), sockets.OverLimit.Load(),
			transactions.ClientTransactions, transactions.ServerTransactions, transactions.Retransmitted, transactions.Absorbed,
			transactions.TimedOut, transactions.Unacked, transactions.Strays},
		AgentCounters: [7]uint64{requests.Requests, requests.Shed, requests.TooBig, s.snapshotCount, s.notificationsSent.Load(),
			decider.Suppressed, s.notificationsLost.Load()}}
	for i, class := range stats.Classes {
		out.Classes = append(out.Classes, mib.Class{Name: snapshot.ClassNames[i], Counters: [9]uint64{class.Offered, class.Redials, class.InAim,
			class.Late, class.Refused, class.Failed, class.Abandoned, class.EndedEarly, class.Completed}})
	}
	for _, server := range snapshot.Servers {
		row := mib.Server{ID: server.ID, Address: server.Peer.String(), Number: uint64(server.Number), Phase: phases[server.Phase], State: 5,
			LastChange: since(server.ChangedAt), Counters: [8]uint64{server.Stats.Attempts, server.Stats.CallsSetUp, server.Stats.Failed,
				server.Stats.Rejected, server.Stats.TimedOut, server.Stats.NoConnection, server.Stats.Reset, server.Stats.Cancelled}}
		if server.HasView {
			row.State, row.GateRate, row.Delay, row.Unanswered = int64(server.View.State)+1, server.View.Rate, server.View.Delay,
				uint64(server.View.Outstanding)
		}
		out.Servers = append(out.Servers, row)
	}
	return out
}

// queueNotifications decides which notifications are due and adds them to the queue of each target. If a target's queue is
// full, its notification is dropped and counted; other targets are not delayed.
func (s *SNMPAgent) queueNotifications(decider *notify.Decider) {
	snap := s.latest
	if snap == s.evaluated {
		return
	}
	s.evaluated = snap
	observed := notify.Observation{Servers: map[uint32]notify.State{}, ListLost: snap.ListState == node.ListSourceLost}
	rows := map[uint32]node.ServerSnapshot{}
	for _, variable := range snap.Servers {
		if variable.Phase == larkrouter.Gone {
			continue
		}
		rows[variable.ID] = variable
		switch variable.View.State {
		case larkrouter.ServerCold:
			observed.Servers[variable.ID] = notify.Cold
		case larkrouter.ServerSuspended:
			observed.Servers[variable.ID] = notify.Suspended
		default:
			observed.Servers[variable.ID] = notify.Normal
		}
	}
	for _, c := range snap.Stats.Classes {
		observed.Offered += c.Offered
		observed.Refused += c.Refused
	}
	arc, _ := ber.ParseOID(s.cfg.SNMP.Arc)
	for _, event := range decider.Observe(time.Since(s.startTime), observed) {
		notification := mib.Notifications[event.Kind-1]
		s.log.Info("notification", "kind", notification.Name, "server", event.Server)
		uptime := uint32(mib.TimeTicksValue(time.Since(s.startTime)).Uint)
		trap := gosnmp.SnmpTrap{Variables: []gosnmp.SnmpPDU{
			{Name: ".1.3.6.1.2.1.1.3.0", Type: gosnmp.TimeTicks, Value: uptime},
			{Name: ".1.3.6.1.6.3.1.1.4.1.0", Type: gosnmp.ObjectIdentifier, Value: "." + mib.NotificationOID(arc, uint32(event.Kind)).String()}}}
		for _, name := range notification.Objects {
			oid, object, _ := mib.FindObject(arc, name)
			variable := gosnmp.SnmpPDU{Name: "." + oid.Append(0).String(), Type: gosnmp.Asn1BER(object.Kind.Tag)}
			switch name {
			case "larkServerAddress":
				variable.Name, variable.Value = "."+oid.Append(event.Server).String(), rows[event.Server].Peer.String()
			case "larkServerState":
				variable.Name, variable.Value = "."+oid.Append(event.Server).String(), int(rows[event.Server].View.State)+1
			case "larkNodeCallsWaiting":
				variable.Value = uint32(snap.WaitingCalls)
			case "larkNodeListVersion":
				variable.Value = uint32(snap.ListVersion)
			}
			trap.Variables = append(trap.Variables, variable)
		}
		for i, queue := range s.queues {
			select {
			case queue <- trap:
			default:
				s.notificationsLost.Add(1)
				s.log.Warn("notification lost: the queue of the target is full", "target", s.cfg.SNMP.Targets[i].Address, "kind", notification.Name)
			}
		}
	}
}

// deliver sends one target's notifications. An inform is repeated until it is acknowledged or its retries are used up.
func (s *SNMPAgent) deliver(ctx context.Context, target config.SNMPTarget, queue <-chan gosnmp.SnmpTrap) {
	address := netip.MustParseAddrPort(target.Address)
	timeout := time.Duration(target.Timeout)
	if timeout <= 0 {
		timeout = 2 * time.Second
	}
	for {
		var trap gosnmp.SnmpTrap
		select {
		case <-ctx.Done():
			return
		case trap = <-queue:
		}
		trap.IsInform = target.Inform
		client := &gosnmp.GoSNMP{Target: address.Addr().String(), Port: address.Port(), Version: gosnmp.Version2c, Community: target.Community,
			Timeout: timeout, Retries: target.Retries, MaxOids: gosnmp.MaxOids, Context: ctx}
		if err := s.setSecurity(client, target); err != nil {
			s.log.Error("notification not sent", "target", target.Address, "cause", err.Error())
			continue
		}
		err := client.Connect()
		if err == nil {
			_, err = client.SendTrap(trap)
			client.Close()
		}
		if err != nil {
			s.notificationsLost.Add(1)
			s.log.Warn("notification not delivered", "target", target.Address, "cause", err.Error())
			continue
		}
		s.notificationsSent.Add(1)
	}
}

// setSecurity sets the parameters of the target's v3 user. This engine is the authoritative one for a trap, the manager's
// engine for an inform.
func (s *SNMPAgent) setSecurity(client *gosnmp.GoSNMP, target config.SNMPTarget) error {
	if target.User == "" {
		return nil
	}
	for _, user := range s.cfg.SNMP.Users {
		if user.Name != target.User {
			continue
		}
		auth, priv, err := user.Passphrases()
		if err != nil {
			return err
		}
		params := ClientUser(user.Name, user.Auth, auth, priv)
		if !target.Inform {
			params.AuthoritativeEngineID, params.AuthoritativeEngineBoots = string(s.engineID), uint32(s.boots)
			params.AuthoritativeEngineTime = uint32(time.Since(s.startTime) / time.Second)
		}
		client.Version, client.SecurityModel, client.SecurityParameters = gosnmp.Version3, gosnmp.UserSecurityModel, params
		client.MsgFlags = ClientFlags(params)
	}
	return nil
}

// ClientUser returns the security parameters of a v3 user for the gosnmp client. auth is a key of usm.AuthProtocols, or empty
// for no authentication.
func ClientUser(name, auth, authPass, privPass string) *gosnmp.UsmSecurityParameters {
	p := &gosnmp.UsmSecurityParameters{UserName: name, AuthenticationProtocol: gosnmp.NoAuth, PrivacyProtocol: gosnmp.NoPriv}
	if usm.AuthProtocols[auth] != nil {
		p.AuthenticationProtocol = map[string]gosnmp.SnmpV3AuthProtocol{"sha224": gosnmp.SHA224, "sha256": gosnmp.SHA256,
			"sha384": gosnmp.SHA384, "sha512": gosnmp.SHA512}[auth]
		p.AuthenticationPassphrase = authPass
		if privPass != "" {
			p.PrivacyProtocol, p.PrivacyPassphrase = gosnmp.AES, privPass
		}
	}
	return p
}

// ClientFlags returns the message flags for the security level of a user.
func ClientFlags(p *gosnmp.UsmSecurityParameters) gosnmp.SnmpV3MsgFlags {
	switch {
	case p.PrivacyProtocol > gosnmp.NoPriv:
		return gosnmp.AuthPriv
	case p.AuthenticationProtocol > gosnmp.NoAuth:
		return gosnmp.AuthNoPriv
	}
	return gosnmp.NoAuthNoPriv
}
