// Package settings reads the configuration that the platform gives an access node: its name and address, its limits,
// the command channel, and the settings object, which the module's part of is read by the adapter's own reader.
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

// Config is one configuration, checked.
type Config struct {
	Name    string
	Listen  netip.AddrPort
	Seed    uint64
	Limits  Limits
	Channel string            // host and port of the command channel
	Known   []json.RawMessage // its events up to the start, in order
	Cursor  uint64            // number of the last of them
	Module  larkrouter.Settings
	Figures Figures
}

// Limits are what the platform lets the node's processes have.
type Limits struct {
	Cores   float64 // of one processor
	Memory  int64   // bytes
	Sockets int     // descriptors
}

// Figures are the settings that the edge itself needs, beside the module's.
type Figures struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // call servers close connections idle for so long; 0: not told
	OpenCap        int           // set-ups open at once
	DrainGrace     time.Duration
	Zones          []string
	Kinds          []string
	Widths         []float64 // circuits that a call of each class takes; nil: not told
	LongestWait    time.Duration
}

type file struct {
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

type figures struct {
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

// Parse reads a configuration. An error says which part is wrong and what would be right.
func Parse(b []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(b, &f); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, fmt.Errorf("byte %d: %w, a JSON object is right", syntax.Offset, err)
		}
		return nil, fmt.Errorf("%w, a JSON object as the platform writes it is right", err)
	}
	c := &Config{Name: f.Name, Channel: f.Channel, Known: f.Known.Cmds, Cursor: f.Known.Cursor}
	var err error
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen %q: %w, an address and a port are right, as 10.0.0.4:5060", f.Listen, err)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed %q: at most 16 hex digits are right", f.Seed)
	}
	if _, err := netip.ParseAddrPort(f.Channel); err != nil {
		return nil, fmt.Errorf("channel %q: %w, an address and a port are right, as 10.2.0.1:8500", f.Channel, err)
	}
	l := f.Limits
	if !(l.Cores >= 0) || !(l.MemoryMB >= 0) || l.Sockets < 0 {
		return nil, fmt.Errorf("limits: cores %v, memory_mb %v, sockets %d: none may be negative", l.Cores, l.MemoryMB, l.Sockets)
	}
	c.Limits = Limits{Cores: l.Cores, Memory: int64(l.MemoryMB * (1 << 20)), Sockets: l.Sockets}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing, the object that the simulator's start message carries is right")
	}
	if c.Module, err = wire.Settings(f.Settings); err != nil {
		return nil, err
	}
	if err := c.Module.Check(); err != nil {
		return nil, err
	}
	if err := checkClasses(c.Module.Classes); err != nil {
		return nil, err
	}
	var g figures
	if err := json.Unmarshal(f.Settings, &g); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	c.Figures = Figures{ConnectTimeout: us(g.Allowed.ConnectTimeoutUs), ConnIdle: us(g.Allowed.ConnIdleUs), OpenCap: g.Allowed.OpenCap,
		DrainGrace: us(g.Rules.DrainGraceUs), Zones: g.Zones, Kinds: g.HostTypes, Widths: g.Extra.Widths}
	if c.Figures.ConnectTimeout < 0 || c.Figures.ConnIdle < 0 || c.Figures.OpenCap < 0 || c.Figures.DrainGrace < 0 {
		return nil, fmt.Errorf("settings: connectTimeoutUs, connIdleUs, openCap and drainGraceUs may not be negative")
	}
	if c.Figures.ConnectTimeout == 0 {
		c.Figures.ConnectTimeout = 500 * time.Millisecond
	}
	if c.Module.RetryAfter {
		c.Figures.LongestWait = c.Module.MaxRetryAfter
	}
	return c, nil
}

// longestDeadline is more than any caller waits, and far from what overflows a clock.
const longestDeadline = 24 * time.Hour

// checkClasses refuses what would have the node turn every call away, or take one class for another, once it serves.
func checkClasses(classes []larkrouter.Class) error {
	if len(classes) == 0 {
		return errors.New("settings: classes: none, at least one is right: a call names its class")
	}
	named := map[string]int{}
	for i, c := range classes {
		if c.Name == "" {
			return fmt.Errorf("settings: class %d has no name, the one that callers send is right", i)
		}
		if j, twice := named[c.Name]; twice {
			return fmt.Errorf("settings: classes %d and %d are both named %q, a name each is right", j, i, c.Name)
		}
		named[c.Name] = i
		if c.Deadline <= 0 || c.Deadline > longestDeadline {
			return fmt.Errorf("settings: class %d (%s): deadlineUs makes %v, more than 0 and at most %v is right", i, c.Name, c.Deadline,
				longestDeadline)
		}
	}
	return nil
}
