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

// snmpEvery is how old a snapshot may be: requests, however many, cost the node one in this time.
const (
	snmpEvery = 250 * time.Millisecond
	snmpWait  = 100 * time.Millisecond // for the loop to take one
)

// SNMP is the agent's shell: its socket, its snapshots of the node, its notifications. The node's loop does no more
// for it than copy its figures now and then.
type SNMP struct {
	cfg     *config.File
	agent   *agent.Agent
	conn    *net.UDPConn
	loop    *Loop
	node    *node.Node
	log     *slog.Logger
	boot    time.Time
	began   time.Duration // node's clock at boot
	latest  *node.Snapshot
	asked   time.Time
	served  *node.Snapshot // what the agent answers from
	looked  *node.Snapshot // what the notifications were decided on last
	views   uint64
	sent    atomic.Uint64
	lost    atomic.Uint64
	queues  []chan gosnmp.SnmpTrap
	version string
	started string
	engine  []byte
	boots   int32
}

// engineState is what the state file keeps (RFC 3414, section 2.2.2).
type engineState struct {
	Engine string `toml:"engine_id"`
	Boots  int32  `toml:"boots"`
}

// loadEngine reads the state file, or makes one, and counts this boot before it is used.
func loadEngine(path string) (id []byte, boots int32, err error) {
	if path == "" {
		id, boots, _, err = nextEngine("", nil)
		return id, boots, err
	}
	b, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, 0, fmt.Errorf("snmp state: %w", err)
	}
	if id, boots, b, err = nextEngine(path, b); err != nil {
		return nil, 0, err
	}
	return id, boots, replaceFile(path, b)
}

// nextEngine reads a state, empty for none, and gives the one of the next boot.
func nextEngine(where string, state []byte) (id []byte, boots int32, next []byte, err error) {
	var st engineState
	if err = toml.Unmarshal(state, &st); err != nil {
		return nil, 0, nil, fmt.Errorf("snmp state in %s: %w", where, err)
	}
	if id, err = hex.DecodeString(st.Engine); err != nil || len(id) < 5 || len(id) > 32 {
		if st.Engine != "" {
			return nil, 0, nil, fmt.Errorf("snmp state in %s: engine_id %q: 5 to 32 bytes in hexadecimal are right", where, st.Engine)
		}
		id = binary.BigEndian.AppendUint32(nil, 0x80000000|99999) // RFC 3411, SnmpEngineID, format 5: octets
		id = append(id, 5)
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, 0, nil, err
		}
		id = append(id, b[:]...)
	}
	if st.Boots < math.MaxInt32 { // there it stays: the engine then answers no authenticated request (section 2.2.3)
		st.Boots++
	}
	st.Engine = hex.EncodeToString(id)
	next, err = toml.Marshal(st)
	return id, st.Boots, next, err
}

// replaceFile puts a file in place whole or not at all.
func replaceFile(path string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("writing %s: %w", path, err)
	}
	if d, err := os.Open(filepath.Dir(path)); err == nil {
		_ = d.Sync()
		d.Close()
	}
	return nil
}

// ListenSNMP opens the agent's socket.
func ListenSNMP(f *config.File, l *Loop, n *node.Node, k *keeper, log *slog.Logger) (*SNMP, error) {
	load := func() ([]byte, int32, error) { return loadEngine(f.SNMP.State) }
	if f.SNMP.State == "" && k != nil {
		load = k.engine
	}
	id, boots, err := load()
	if err != nil {
		return nil, err
	}
	cfg, err := f.SNMP.Agent(id, boots)
	if err != nil {
		return nil, err
	}
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return nil, err
	}
	cfg.Salt = binary.LittleEndian.Uint64(salt[:])
	s := &SNMP{cfg: f, loop: l, node: n, log: log, boot: time.Now(), engine: id, boots: boots, version: "(devel)",
		started: time.Now().Format(time.RFC3339)}
	if info, ok := debug.ReadBuildInfo(); ok {
		s.version = info.Main.Version
	}
	cfg.Descr = "larkrouter " + s.version
	s.agent = agent.New(cfg)
	at, err := netip.ParseAddrPort(f.SNMP.Listen)
	if err != nil {
		return nil, fmt.Errorf("snmp.listen: %w", err)
	}
	if s.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("listening for snmp on %v: %w", at, err)
	}
	return s, nil
}

// Addr is where the agent listens.
func (s *SNMP) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run serves until the context ends.
func (s *SNMP) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	defer s.conn.Close()
	s.loop.Call(func(now time.Duration) {
		s.began = now
		s.latest = s.node.Snapshot(now)
	})
	if s.latest == nil {
		return // the loop has ended
	}
	for _, t := range s.cfg.SNMP.Target {
		q := make(chan gosnmp.SnmpTrap, 64)
		s.queues = append(s.queues, q)
		go s.send(ctx, t, q)
	}
	n := s.cfg.SNMP.Notify
	decide := notify.New(notify.Settings{Settle: time.Duration(n.Settle), Window: time.Duration(n.Window), MinGap: time.Duration(n.MinGap),
		ListAfter: time.Duration(n.ListAfter), Enter: n.Enter, Leave: n.Leave, AtLeast: notify.Defaults.AtLeast})
	buf := make([]byte, 65536)
	for ctx.Err() == nil {
		if len(s.queues) > 0 {
			s.refresh()
			s.notify(decide)
		}
		_ = s.conn.SetReadDeadline(time.Now().Add(snmpEvery))
		k, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // the time to look, or an ICMP error of an earlier answer
		}
		s.refresh() // only when somebody asks: an agent that nobody uses costs the node nothing
		if s.latest != s.served {
			s.served = s.latest
			s.agent.Serve(s.snapshot(s.latest, decide))
		}
		if out := s.agent.Handle(time.Since(s.boot), from.Addr().Unmap(), buf[:k]); out != nil {
			_, _ = s.conn.WriteToUDPAddrPort(out, from) // a manager that is gone asks again, or not
		}
	}
}

// refresh gets a snapshot that is no older than snmpEvery. The node's loop takes it in a turn of its own when it can; the
// agent waits a little, and serves the one before where the loop has other work.
func (s *SNMP) refresh() {
	if time.Since(s.asked) < snmpEvery {
		return
	}
	taken := make(chan *node.Snapshot, 1)
	select {
	case s.loop.calls <- func(now time.Duration) { taken <- s.node.Snapshot(now) }:
	default:
		return
	}
	s.asked = time.Now()
	select {
	case s.latest = <-taken:
		s.views++
	case <-time.After(snmpWait):
	}
}

var phases = map[larkrouter.Phase]int64{larkrouter.Ready: 1, larkrouter.Draining: 2, larkrouter.Gone: 3}

// snapshot writes the node's figures in the MIB's order.
func (s *SNMP) snapshot(n *node.Snapshot, d *notify.Decider) *mib.Snapshot {
	since := func(at time.Duration) time.Duration { return max(0, at-s.began) }
	st, tr, io, ag := &n.Stats, &n.Transactions, &s.loop.stack.Count, &s.agent.Count
	out := &mib.Snapshot{At: since(n.At), Version: s.version, Started: s.started, Config: s.cfg.Name,
		FleetSize: uint64(n.Fleet), FleetRank: uint64(n.Rank), Waiting: uint64(n.Waiting), Held: uint64(n.Held),
		Standing: uint64(n.Standing), ListState: int64(n.List) + 1, ListVersion: n.ListVersion, Busy: s.loop.Busy(),
		Counts: [10]uint64{st.OverLimit, st.Unmatched, st.Malformed, st.Rejected, st.Merged, st.LateAnswers, st.Asserts,
			st.ListNews, st.ListGaps, st.ListFails},
		Connections: uint64(s.loop.stack.Conns()),
		Sip: [15]uint64{io.DatagramsIn.Load(), io.DatagramsOut.Load(), io.StreamsIn.Load(), io.StreamsOut.Load(),
			io.Unreadable.Load(), io.Refused.Load(), io.Opened.Load(), io.TooMany.Load(), tr.ClientNew, tr.ServerNew,
			tr.Retransmitted, tr.Absorbed, tr.TimedOut, tr.Unacked, tr.Strays},
		Agent: [7]uint64{ag.Requests, ag.Shed, ag.TooBig, s.views, s.sent.Load(), d.Held, s.lost.Load()}}
	for i, c := range st.Classes {
		out.Classes = append(out.Classes, mib.Class{Name: n.ClassNames[i], Counts: [9]uint64{c.Offered, c.Redials, c.InAim, c.Late,
			c.Refused, c.Failed, c.GivenUp, c.Cut, c.Completed}})
	}
	for _, v := range n.Servers {
		row := mib.Server{ID: v.ID, Address: v.Peer.String(), Number: uint64(v.Number), Phase: phases[v.Phase], State: 5,
			Changed: since(v.Changed), Counts: [8]uint64{v.Stats.Attempts, v.Stats.Stood, v.Stats.Failed, v.Stats.TurnedAway,
				v.Stats.TimedOut, v.Stats.NoConnection, v.Stats.Reset, v.Stats.Cancelled}}
		if v.Seen {
			row.State, row.Rate, row.Delay, row.Waiting = int64(v.View.State)+1, v.View.Rate, v.View.Delay, uint64(v.View.Waiting)
		}
		out.Servers = append(out.Servers, row)
	}
	return out
}

// notify hands what is due to every target's queue. A manager that is stuck fills its own queue and no other.
func (s *SNMP) notify(d *notify.Decider) {
	snap := s.latest
	if snap == s.looked {
		return
	}
	s.looked = snap
	seen := notify.Seen{Servers: map[uint32]notify.State{}, ListLost: snap.List == node.ListLost}
	rows := map[uint32]node.ServerSnapshot{}
	for _, v := range snap.Servers {
		if v.Phase == larkrouter.Gone {
			continue
		}
		rows[v.ID] = v
		switch v.View.State {
		case larkrouter.ServerCold:
			seen.Servers[v.ID] = notify.Cold
		case larkrouter.ServerClosed:
			seen.Servers[v.ID] = notify.Closed
		default:
			seen.Servers[v.ID] = notify.Fine
		}
	}
	for _, c := range snap.Stats.Classes {
		seen.Offered += c.Offered
		seen.Refused += c.Refused
	}
	arc, _ := ber.ParseOID(s.cfg.SNMP.Arc)
	for _, e := range d.Look(time.Since(s.boot), seen) {
		def := mib.Notifications[e.Kind-1]
		s.log.Info("notification", "kind", def.Name, "server", e.Server)
		up := uint32(mib.Ticks(time.Since(s.boot)).Uint)
		trap := gosnmp.SnmpTrap{Variables: []gosnmp.SnmpPDU{
			{Name: ".1.3.6.1.2.1.1.3.0", Type: gosnmp.TimeTicks, Value: up},
			{Name: ".1.3.6.1.6.3.1.1.4.1.0", Type: gosnmp.ObjectIdentifier, Value: "." + mib.NotificationOID(arc, uint32(e.Kind)).String()}}}
		for _, name := range def.Objects {
			oid, o, _ := mib.Find(arc, name)
			v := gosnmp.SnmpPDU{Name: "." + oid.With(0).String(), Type: gosnmp.Asn1BER(o.Kind.Tag)}
			switch name {
			case "larkServerAddress":
				v.Name, v.Value = "."+oid.With(e.Server).String(), rows[e.Server].Peer.String()
			case "larkServerState":
				v.Name, v.Value = "."+oid.With(e.Server).String(), int(rows[e.Server].View.State)+1
			case "larkNodeCallsWaiting":
				v.Value = uint32(snap.Waiting)
			case "larkNodeListVersion":
				v.Value = uint32(snap.ListVersion)
			}
			trap.Variables = append(trap.Variables, v)
		}
		for i, q := range s.queues {
			select {
			case q <- trap:
			default:
				s.lost.Add(1)
				s.log.Warn("notification lost: its manager takes none", "target", s.cfg.SNMP.Target[i].Address, "kind", def.Name)
			}
		}
	}
}

// send delivers one target's notifications, informs until they are acknowledged or given up.
func (s *SNMP) send(ctx context.Context, t config.SNMPTarget, q <-chan gosnmp.SnmpTrap) {
	at := netip.MustParseAddrPort(t.Address)
	timeout := time.Duration(t.Timeout)
	if timeout <= 0 {
		timeout = 2 * time.Second
	}
	for {
		var trap gosnmp.SnmpTrap
		select {
		case <-ctx.Done():
			return
		case trap = <-q:
		}
		trap.IsInform = t.Inform
		g := &gosnmp.GoSNMP{Target: at.Addr().String(), Port: at.Port(), Version: gosnmp.Version2c, Community: t.Community,
			Timeout: timeout, Retries: t.Retries, MaxOids: gosnmp.MaxOids, Context: ctx}
		if err := s.secure(g, t); err != nil {
			s.log.Error("notification not sent", "target", t.Address, "cause", err.Error())
			continue
		}
		err := g.Connect()
		if err == nil {
			_, err = g.SendTrap(trap)
			g.Close()
		}
		if err != nil {
			s.lost.Add(1)
			s.log.Warn("notification not delivered", "target", t.Address, "cause", err.Error())
			continue
		}
		s.sent.Add(1)
	}
}

// secure sets a v3 user's parameters; for a trap this engine is the authoritative one, for an inform the manager's.
func (s *SNMP) secure(g *gosnmp.GoSNMP, t config.SNMPTarget) error {
	if t.User == "" {
		return nil
	}
	for _, u := range s.cfg.SNMP.User {
		if u.Name != t.User {
			continue
		}
		auth, priv, err := u.Passphrases()
		if err != nil {
			return err
		}
		p := ClientUser(u.Name, u.Auth, auth, priv)
		if !t.Inform {
			p.AuthoritativeEngineID, p.AuthoritativeEngineBoots = string(s.engine), uint32(s.boots)
			p.AuthoritativeEngineTime = uint32(time.Since(s.boot) / time.Second)
		}
		g.Version, g.SecurityModel, g.SecurityParameters = gosnmp.Version3, gosnmp.UserSecurityModel, p
		g.MsgFlags = ClientFlags(p)
	}
	return nil
}

// ClientUser makes a user for the client library; auth is a name of usm.Protocols or empty.
func ClientUser(name, auth, authPass, privPass string) *gosnmp.UsmSecurityParameters {
	p := &gosnmp.UsmSecurityParameters{UserName: name, AuthenticationProtocol: gosnmp.NoAuth, PrivacyProtocol: gosnmp.NoPriv}
	if usm.Protocols[auth] != nil {
		p.AuthenticationProtocol = map[string]gosnmp.SnmpV3AuthProtocol{"sha224": gosnmp.SHA224, "sha256": gosnmp.SHA256,
			"sha384": gosnmp.SHA384, "sha512": gosnmp.SHA512}[auth]
		p.AuthenticationPassphrase = authPass
		if privPass != "" {
			p.PrivacyProtocol, p.PrivacyPassphrase = gosnmp.AES, privPass
		}
	}
	return p
}

// ClientFlags are the flags that fit a user.
func ClientFlags(p *gosnmp.UsmSecurityParameters) gosnmp.SnmpV3MsgFlags {
	switch {
	case p.PrivacyProtocol > gosnmp.NoPriv:
		return gosnmp.AuthPriv
	case p.AuthenticationProtocol > gosnmp.NoAuth:
		return gosnmp.AuthNoPriv
	}
	return gosnmp.NoAuthNoPriv
}
