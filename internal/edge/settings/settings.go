// Package settings parses the configuration that the platform gives an access node: name and listen address,
// resource limits, command channel, and the settings object. The decision module's part of the settings object
// is parsed by the simulator adapter's own parser, internal/wire.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"larkrouter"
	"larkrouter/internal/wire"
)

// Config is a validated configuration.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	Seed        uint64
	Limits      Limits
	ChannelAddr string            // address of the command channel
	KnownEvents []json.RawMessage // the channel's events up to the start of the node, in order
	Cursor      uint64            // number of the last known event
	Module      larkrouter.Settings
	Edge        EdgeSettings
}

// Limits are the resource limits that the platform sets for the node. Zero means not set.
type Limits struct {
	Cores       float64 // processor cores
	MemoryBytes int64
	MaxSockets  int // file descriptors
}

// EdgeSettings are the settings that the access node itself needs, besides those of the decision module.
type EdgeSettings struct {
	ConnectTimeout  time.Duration
	ConnIdleTimeout time.Duration // idle time after which call servers close a connection; 0: unknown
	MaxOpenCalls    int           // maximum number of open set-ups; 0: no limit
	DrainGrace      time.Duration
	Zones           []string
	ServerKinds     []string
	CircuitsPerCall []float64 // circuits that a call of each class takes; nil: unknown
	MaxRetryAfter   time.Duration
}

type configFile struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Channel string `json:"channel"`
	Known   struct {
		Cursor uint64            `json:"cursor"`
		Cmds   []json.RawMessage `json:"cmds"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

type edgeSettingsFile struct {
	Allowed struct {
		ConnectTimeoutUs int64 `json:"connectTimeoutUs"`
		ConnIdleUs       int64 `json:"connIdleUs"`
		OpenCap          int   `json:"openCap"`
	} `json:"allowed"`
	Extra struct {
		Widths []float64 `json:"widths"`
	} `json:"extra"`
	Rules struct {
		DrainGraceUs int64 `json:"drainGraceUs"`
	} `json:"rules"`
	Zones     []string `json:"zones"`
	HostTypes []string `json:"hostTypes"`
}

// Parse parses and validates a configuration. Errors name the part that is invalid and what is accepted.
func Parse(text []byte) (*Config, error) {
	var raw configFile
	if err := json.Unmarshal(text, &raw); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("byte %d: %w; the configuration must be a JSON object", syntax.Offset, err)
		}
		return nil, fmt.Errorf("%w; the configuration must be a JSON object as the platform writes it", err)
	}
	cfg := &Config{Name: raw.Name, ChannelAddr: raw.Channel, KnownEvents: raw.Known.Cmds, Cursor: raw.Known.Cursor}
	var err error
	if cfg.Listen, err = netip.ParseAddrPort(raw.Listen); err != nil {
		return nil, fmt.Errorf("listen %q: %w; must be an address and a port such as 10.0.0.4:5060", raw.Listen, err)
	}
	if cfg.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: must be at most 16 hex digits, got %q", raw.Seed)
	}
	if _, err := netip.ParseAddrPort(raw.Channel); err != nil {
		return nil, fmt.Errorf("channel %q: %w; must be an address and a port such as 10.2.0.1:8500", raw.Channel, err)
	}
	limits := raw.Limits
	if !(limits.Cores >= 0) || !(limits.MemoryMB >= 0) || limits.Sockets < 0 {
		return nil, fmt.Errorf("limits: must not be negative, got cores %v, memory_mb %v, sockets %d", limits.Cores,
			limits.MemoryMB, limits.Sockets)
	}
	cfg.Limits = Limits{Cores: limits.Cores, MemoryBytes: int64(limits.MemoryMB * (1 << 20)), MaxSockets: limits.Sockets}
	if len(raw.Settings) == 0 {
		return nil, errors.New("settings: missing; must be the object that the simulator's start message carries")
	}
	if cfg.Module, err = wire.ParseSettings(raw.Settings); err != nil {
		return nil, err
	}
	if err := cfg.Module.Check(); err != nil {
		return nil, err
	}
	if err := checkClasses(cfg.Module.Classes); err != nil {
		return nil, err
	}
	var edge edgeSettingsFile
	if err := json.Unmarshal(raw.Settings, &edge); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	microseconds := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	cfg.Edge = EdgeSettings{ConnectTimeout: microseconds(edge.Allowed.ConnectTimeoutUs),
		ConnIdleTimeout: microseconds(edge.Allowed.ConnIdleUs), MaxOpenCalls: edge.Allowed.OpenCap,
		DrainGrace: microseconds(edge.Rules.DrainGraceUs), Zones: edge.Zones, ServerKinds: edge.HostTypes, CircuitsPerCall: edge.Extra.Widths}
	if cfg.Edge.ConnectTimeout < 0 || cfg.Edge.ConnIdleTimeout < 0 || cfg.Edge.MaxOpenCalls < 0 || cfg.Edge.DrainGrace < 0 {
		return nil, fmt.Errorf("settings: connectTimeoutUs, connIdleUs, openCap and drainGraceUs must not be negative")
	}
	if cfg.Edge.ConnectTimeout == 0 {
		cfg.Edge.ConnectTimeout = 500 * time.Millisecond
	}
	if cfg.Module.SendsRetryAfter {
		cfg.Edge.MaxRetryAfter = cfg.Module.MaxRetryAfter
	}
	return cfg, nil
}

// maxDeadline is the maximum deadline accepted. It is longer than any caller waits, and small enough that sums of times do
// not overflow.
const maxDeadline = 24 * time.Hour

// checkClasses rejects classes with which a serving node would refuse every call or confuse one class with
// another.
func checkClasses(classes []larkrouter.Class) error {
	if len(classes) == 0 {
		return errors.New("settings: classes: none; at least one is required, as every call names its class")
	}
	indexByName := map[string]int{}
	for i, class := range classes {
		if class.Name == "" {
			return fmt.Errorf("settings: class %d has no name; it must be the name that callers send", i)
		}
		if j, isDuplicate := indexByName[class.Name]; isDuplicate {
			return fmt.Errorf("settings: classes %d and %d are both named %q; names must be unique", j, i, class.Name)
		}
		indexByName[class.Name] = i
		if class.Deadline <= 0 || class.Deadline > maxDeadline {
			return fmt.Errorf("settings: class %d (%s): deadlineUs must be more than 0 and at most %[4]v, got %[3]v", i, class.Name,
				class.Deadline, maxDeadline)
		}
	}
	return nil
}
