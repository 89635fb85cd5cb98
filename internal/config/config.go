package config

import (
	"net/netip"
	"time"

	"larkrouter"
	"larkrouter/internal/node"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/sip/transport"
	"larkrouter/internal/tomlfile"
)

// Duration is a time span in the file, such as "1.2s" or "300ms".
type Duration = tomlfile.Duration

// File is the content of the configuration file.
type File struct {
	Name    string            `toml:"-"` // file name and a hash of the content
	Path    string            `toml:"-"` // path that Load read; "" if Parse was called directly
	Node    Node              `toml:"node"`
	Listen  Listen            `toml:"listen"`
	Fleet   Fleet             `toml:"fleet"`
	Rules   RoutingParameters `toml:"rules"`
	Calls   Calls             `toml:"calls"`
	Pool    Pool              `toml:"pool"`
	Log     Log               `toml:"log"`
	Classes []Class           `toml:"class" validate:"required,min=1,dive"`
	Servers []pool.Server     `toml:"server" validate:"dive"`
	Routes  []pool.Route      `toml:"route" validate:"dive"`
	Timers  Timers            `toml:"timers"`
	Limits  Limits            `toml:"limits"`
	Relay   Relay             `toml:"pass"`
	SNMP    SNMP              `toml:"snmp"`
	Store   Store             `toml:"store"`
	Control Control           `toml:"control"`
}

// Control configures the local control socket. Without a path there is none.
type Control struct {
	Socket string `toml:"socket"`
}

// Node identifies this node and sets its resources.
type Node struct {
	Seed uint64 `toml:"seed"`                                               // of all random numbers; 0: chosen at random at the start
	Name string `toml:"name" validate:"omitempty,max=64,alphanum|hostname"` // sent to the list server, which counts the nodes; "": the address
	// Processors is the number of processors that the node uses at once (GOMAXPROCS). A single loop handles all calls, so
	// that more processors only add switches between them, not speed.
	Processors int `toml:"processors" validate:"gte=1"`
}

// Listen holds the addresses on which the node receives and sends SIP messages.
type Listen struct {
	UDP          string `toml:"udp" validate:"omitempty,hostport"`
	TCP          string `toml:"tcp" validate:"omitempty,hostport"`
	AdvertiseUDP string `toml:"advertise_udp" validate:"omitempty,hostport"` // in Via and Contact, if it differs from the listen address
	AdvertiseTCP string `toml:"advertise_tcp" validate:"omitempty,hostport"`
}

// Fleet describes the access nodes that share the call servers.
type Fleet struct {
	Size int `toml:"size" validate:"gte=1"`              // number of nodes, this one included, until the list server announces the fleet size
	Rank int `toml:"rank" validate:"gte=0,ltfield=Size"` // index of this node among them, from 0
	// MinSize and MaxSize bound the fleet size that the list server may announce; 0: no bound.
	MinSize int `toml:"least" validate:"gte=0"`
	MaxSize int `toml:"most" validate:"gte=0"`
}

// RoutingParameters holds the parameters of the decision module, and known properties of the call servers and callers.
type RoutingParameters struct {
	Tick               Duration `toml:"tick" validate:"gt=0"`             // lower bound of the decision module's time steps
	ReleaseGuard       Duration `toml:"release_guard" validate:"gte=0"`   // a call is not resent this soon after a timeout, reset or cancel
	Retransmit         Duration `toml:"retransmit" validate:"gte=0"`      // a waiting set-up is retransmitted after this; 0: never
	ColdShare          float64  `toml:"cold_share" validate:"gt=0,lte=1"` // minimum share of its capacity that a server starts with
	RampTime           Duration `toml:"ramp_time" validate:"gte=0"`       // a started server is warm after this
	TipMultiple        float64  `toml:"tip_multiple" validate:"gte=0"`    // load above this multiple of a cold server's present capacity,
	OverloadFor        Duration `toml:"overload_for" validate:"gte=0"`    // for this long, makes the server collapse
	MaxAttempts        int      `toml:"max_attempts" validate:"gte=0"`    // per call; 0: no limit
	MaxRetryAfter      Duration `toml:"max_retry_after" validate:"gte=0"` // longest Retry-After of a refusal; 0: none is sent
	MayCancel          bool     `toml:"may_cancel"`                       // attempts may be cancelled
	CallersMarkRedials bool     `toml:"callers_mark_redials"`             // callers mark repeated tries of a call
}

// Calls holds the node's own limits on calls and how it answers them.
type Calls struct {
	MaxOpen       int      `toml:"max_open" validate:"gte=0"`                 // calls, standing ones included; 0: no limit
	RefusalStatus int      `toml:"refuse_with" validate:"oneof=503 480"`      // status of a refusal by the module
	StandsWhen    string   `toml:"stands" validate:"oneof=answered alerting"` // when a call counts as set up: with the 200, or a 180 or 183
	MaxStopWait   Duration `toml:"stop_wait" validate:"gte=0"`                // how long a stopping node waits for its calls to end
}

// Pool is the source of the list of call servers, if they are not listed as [[server]].
type Pool struct {
	ListServer       string   `toml:"list_server" validate:"omitempty,hostport"`
	Transport        string   `toml:"transport" validate:"omitempty,oneof=udp tcp"`
	Expires          Duration `toml:"expires" validate:"gte=0"` // of the subscription to the list server
	File             string   `toml:"file"`                     // file of [[server]] tables
	FilePollInterval Duration `toml:"file_every" validate:"gte=0"`
}

// Log configures the log, which is written to standard error for the service manager to collect.
type Log struct {
	Format string `toml:"format" validate:"oneof=json text"`
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
	Calls  bool   `toml:"calls"` // write a record at the end of each call
}

// Store configures the store of the state that survives a restart. Without a directory nothing does.
type Store struct {
	Dir     string `toml:"dir"`
	Quota   int64  `toml:"quota" validate:"gte=0"`       // bytes
	Segment int64  `toml:"segment" validate:"gte=65536"` // bytes
}

// Class is a class of calls: how its INVITEs are recognised, its deadlines, and its value.
type Class struct {
	Name        string   `toml:"name" validate:"required"`
	Prefixes    []string `toml:"prefixes"`                          // of the number called
	HeaderField string   `toml:"header"`                            // "Name: value" that the INVITE carries
	Priorities  []string `toml:"priority"`                          // values of Resource-Priority (RFC 4412)
	Aim         Duration `toml:"aim" validate:"gt=0"`               // target set-up time
	Deadline    Duration `toml:"deadline" validate:"gt=0"`          // a caller abandons the call after this, all tries together
	TryTimeout  Duration `toml:"try" validate:"gte=0"`              // a caller abandons a single try after this; 0: the deadline
	Worth       float64  `toml:"worth" validate:"gte=0"`            // value of a call that stands within its aim
	LateShare   float64  `toml:"late_share" validate:"gte=0,lte=1"` // share of the worth of a call that stands between aim and deadline
	// Repeat says whether a set-up may be sent again: at will (also if empty), keyed (servers recognise repeats within Scope
	// and Window), or never once an earlier attempt may have run.
	Repeat        string   `toml:"repeat" validate:"omitempty,oneof=at-will keyed never"`
	Scope         string   `toml:"scope" validate:"omitempty,oneof=all zone server"`
	Window        Duration `toml:"window" validate:"gte=0"`
	ServerNumbers []int    `toml:"servers"` // numbers of the servers that may take its calls; empty: all
}

// Timers holds the SIP timers of RFC 3261.
type Timers struct {
	T1 Duration `toml:"t1" validate:"gt=0"`
	T2 Duration `toml:"t2" validate:"gt=0"`
	T4 Duration `toml:"t4" validate:"gt=0"`
}

// Limits bounds received messages (line and body in bytes, number of header fields), and the number of connections and their
// timeouts.
type Limits struct {
	MaxLine        int      `toml:"line" validate:"gte=256,lte=65535"`
	MaxFields      int      `toml:"fields" validate:"gte=16,lte=1024"`
	MaxBody        int      `toml:"body" validate:"gte=0,lte=65535"`
	MaxConnections int      `toml:"connections" validate:"gte=1"`
	ConnectTimeout Duration `toml:"connect_timeout" validate:"gt=0"`
	IdleTimeout    Duration `toml:"idle_timeout" validate:"gt=0"`
}

// Relay lists the in-dialog methods and option tags that the node passes from one leg of a call to the other.
type Relay struct {
	Methods []string `toml:"methods" validate:"dive,oneof=INVITE UPDATE INFO PRACK MESSAGE NOTIFY REFER"`
	Options []string `toml:"options"`
}

// defaults returns the configuration that applies to keys that the file does not set.
func defaults() File {
	milliseconds := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return File{
		Node:  Node{Processors: 1},
		Fleet: Fleet{Size: 1},
		Rules: RoutingParameters{Tick: milliseconds(5), ReleaseGuard: milliseconds(500), Retransmit: milliseconds(500), ColdShare: 0.3,
			RampTime:    milliseconds(15000),
			TipMultiple: 2, OverloadFor: milliseconds(2000), MaxAttempts: 4, MaxRetryAfter: milliseconds(2000), MayCancel: true},
		Calls:  Calls{MaxOpen: 20000, RefusalStatus: 503, StandsWhen: "answered", MaxStopWait: milliseconds(30000)},
		Pool:   Pool{Expires: milliseconds(60000), FilePollInterval: milliseconds(1000)},
		Log:    Log{Format: "json", Level: "info", Calls: true},
		Timers: Timers{T1: milliseconds(500), T2: milliseconds(4000), T4: milliseconds(5000)},
		Limits: Limits{MaxLine: 4096, MaxFields: 128, MaxBody: 65535, MaxConnections: 4096, ConnectTimeout: milliseconds(2000),
			IdleTimeout: milliseconds(600000)},
		SNMP:  defaultSNMP(),
		Store: Store{Quota: 1 << 30, Segment: 16 << 20},
		Relay: Relay{Methods: node.DefaultRelayedMethods, Options: node.DefaultRelayedOptions},
	}
}

var logLevels = map[string]node.Level{"debug": node.Debug, "info": node.Info, "warn": node.Warn, "error": node.Error}

// NodeLevel returns the log level as the node's type, whose values are those of log/slog.
func (l Log) NodeLevel() node.Level { return logLevels[l.Level] }

// parseAddrPort parses an address that has been validated; an empty one gives the zero AddrPort.
func parseAddrPort(text string) netip.AddrPort {
	address, _ := netip.ParseAddrPort(text)
	return address
}

// NodeConfig converts the file to the configuration of the node. seed is used if the file sets none.
func (f *File) NodeConfig(seed uint64) node.Config {
	if f.Node.Seed != 0 {
		seed = f.Node.Seed
	}
	rules := f.Rules
	settings := larkrouter.Settings{FleetSize: f.Fleet.Size, Rank: f.Fleet.Rank, Tick: time.Duration(rules.Tick),
		ReleaseGuard: time.Duration(rules.ReleaseGuard), Retransmit: time.Duration(rules.Retransmit), ColdShare: rules.ColdShare,
		RampTime: time.Duration(rules.RampTime), TipMultiple: rules.TipMultiple, OverloadFor: time.Duration(rules.OverloadFor),
		MaxAttempts: rules.MaxAttempts, MayCancel: rules.MayCancel, CallersMarkRedials: rules.CallersMarkRedials,
		SendsRetryAfter: rules.MaxRetryAfter > 0, MaxRetryAfter: time.Duration(rules.MaxRetryAfter)}
	cfg := node.Config{Seed: seed, Routes: f.Routes, Servers: f.Servers, ListExpires: time.Duration(f.Pool.Expires),
		TransactionTimes: transaction.Times{T1: time.Duration(f.Timers.T1), T2: time.Duration(f.Timers.T2), T4: time.Duration(f.Timers.T4)},
		MaxCalls:         f.Calls.MaxOpen, MaxRetryAfter: time.Duration(rules.MaxRetryAfter),
		CountAlertingAsSetUp: f.Calls.StandsWhen == "alerting",
		RefusalStatus:        f.Calls.RefusalStatus, RelayedMethods: f.Relay.Methods, RelayedOptions: f.Relay.Options,
		LogCalls: f.Log.Calls,
		LogLevel: f.Log.NodeLevel(),
		Name:     f.Node.Name, MinFleetSize: f.Fleet.MinSize, MaxFleetSize: f.Fleet.MaxSize}
	if f.Pool.ListServer != "" {
		cfg.ListServer.Addr = parseAddrPort(f.Pool.ListServer)
		if f.Pool.Transport == "tcp" {
			cfg.ListServer.Transport = sip.TCP
		}
	}
	cfg.Addresses[sip.UDP], cfg.Addresses[sip.TCP] = parseAddrPort(f.Listen.UDP), parseAddrPort(f.Listen.TCP)
	if f.Listen.AdvertiseUDP != "" {
		cfg.Addresses[sip.UDP] = parseAddrPort(f.Listen.AdvertiseUDP)
	}
	if f.Listen.AdvertiseTCP != "" {
		cfg.Addresses[sip.TCP] = parseAddrPort(f.Listen.AdvertiseTCP)
	}
	for _, class := range f.Classes {
		moduleClass := larkrouter.Class{Name: class.Name, Aim: time.Duration(class.Aim), Deadline: time.Duration(class.Deadline),
			Worth:     class.Worth,
			LateShare: class.LateShare, Window: time.Duration(class.Window), Pools: class.ServerNumbers}
		switch class.Repeat {
		case "keyed":
			moduleClass.Repeat = larkrouter.Keyed
		case "never":
			moduleClass.Repeat = larkrouter.NonRepeatable
		}
		switch class.Scope {
		case "zone":
			moduleClass.Scope = larkrouter.ScopeZone
		case "server":
			moduleClass.Scope = larkrouter.ScopeServer
		}
		settings.Classes = append(settings.Classes, moduleClass)
		cfg.Classes = append(cfg.Classes, node.Class{Prefixes: class.Prefixes, HeaderField: class.HeaderField, Priorities: class.Priorities,
			TryTimeout: time.Duration(class.TryTimeout)})
	}
	cfg.Settings = settings
	return cfg
}

// TransportConfig converts the file to the configuration of the SIP transport.
func (f *File) TransportConfig() transport.Config {
	return transport.Config{UDP: parseAddrPort(f.Listen.UDP), TCP: parseAddrPort(f.Listen.TCP),
		Limits:         sip.Limits{MaxLine: f.Limits.MaxLine, MaxFields: f.Limits.MaxFields, MaxBody: f.Limits.MaxBody},
		MaxConns:       f.Limits.MaxConnections,
		ConnectTimeout: time.Duration(f.Limits.ConnectTimeout), IdleTimeout: time.Duration(f.Limits.IdleTimeout)}
}
