package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/tomlfile"
)

// Load reads and validates the file. The error has one line for each invalid value.
func Load(path string) (*File, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	f, err := Parse(path, b)
	if err == nil {
		f.Path = path
	}
	return f, err
}

// Parse decodes and validates the content of a file. The error reports all invalid values at once; name is the file's name
// in it.
func Parse(name string, b []byte) (*File, error) {
	f, errs := tomlfile.Decode(name, b, defaults)
	if errs.Undecodable {
		return nil, errs.Err()
	}
	f.Name = fmt.Sprintf("%s %016x", filepath.Base(name), xxhash.Sum64(b))
	for i := range f.Classes {
		if f.Classes[i].TryTimeout == 0 {
			f.Classes[i].TryTimeout = f.Classes[i].Deadline
		}
	}
	f.checkCrossFields(errs)
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// serversFile is the content of a file with [[server]] tables only.
type serversFile struct {
	Servers []pool.Server `toml:"server" validate:"dive"`
}

// ParseServers decodes and validates the content of the file that pool.file names, which holds [[server]] tables.
func ParseServers(name string, b []byte) ([]pool.Server, error) {
	f, errs := tomlfile.Decode(name, b, func() serversFile { return serversFile{} })
	if !errs.Undecodable {
		checkServers(f.Servers, errs)
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return f.Servers, nil
}

// checkCrossFields validates what depends on more than one field.
func (f *File) checkCrossFields(errs *tomlfile.ErrorList) {
	report := func(key, format string, args ...any) { errs.Add(key, ": "+format, args...) }
	if f.Fleet.MaxSize > 0 && f.Fleet.MaxSize < max(f.Fleet.MinSize, f.Fleet.Size) {
		report("fleet.most", "%d: must be at least fleet.least and fleet.size", f.Fleet.MaxSize)
	}
	if f.Listen.UDP == "" && f.Listen.TCP == "" {
		report("listen", "neither udp nor tcp is set: at least one is required")
	}
	for _, listener := range [...]struct{ key, at, adv string }{{"udp", f.Listen.UDP, f.Listen.AdvertiseUDP}, {"tcp", f.Listen.TCP,
		f.Listen.AdvertiseTCP}} {
		if a := parseAddrPort(listener.at); a.IsValid() && listener.adv == "" && (a.Addr().IsUnspecified() || a.Port() == 0) {
			report("listen."+listener.key, "%s can't be used in Via and Contact: listen.advertise_%s is required", listener.at, listener.key)
		}
	}
	sources := 0
	for _, given := range []bool{len(f.Servers) > 0, f.Pool.ListServer != "", f.Pool.File != ""} {
		if given {
			sources++
		}
	}
	if sources != 1 {
		report("pool", "%d sources of call servers are set: exactly one of [[server]], pool.list_server and pool.file is required", sources)
	}
	names := map[string]int{}
	catchAll := 0
	for i, class := range f.Classes {
		key := fmt.Sprintf("class[%d]", i)
		if first, ok := names[class.Name]; ok {
			report(key+".name", "%q is also the name of class[%d]: names must be unique", class.Name, first)
		}
		names[class.Name] = i
		if class.Aim > class.Deadline {
			report(key+".aim", "%v: must be at most the deadline of %v", class.Aim, class.Deadline)
		}
		if class.TryTimeout > class.Deadline {
			report(key+".try", "%v: must be at most the deadline of %v", class.TryTimeout, class.Deadline)
		}
		if class.TryTimeout < 10*f.Rules.Tick {
			report(key+".try", "%v: must be at least ten ticks (%v), to leave time for routing decisions", class.TryTimeout, 10*f.Rules.Tick)
		}
		if class.Repeat == "keyed" && class.Window == 0 {
			report(key+".window", "is 0: repeat = \"keyed\" requires the time in which repeats are recognised")
		}
		if len(class.Prefixes) == 0 && class.HeaderField == "" && len(class.Priorities) == 0 {
			if catchAll++; catchAll > 1 {
				report(key, "has no prefixes, header or priority: only one class may match all other calls")
			}
		}
		if class.HeaderField != "" && !strings.Contains(class.HeaderField, ":") {
			report(key+".header", "%q: must be \"Name: value\"", class.HeaderField)
		}
	}
	checkServers(f.Servers, errs)
	if len(f.Servers) > 0 {
		known := map[int]bool{}
		for _, server := range f.Servers {
			known[server.Number] = true
		}
		for i, route := range f.Routes {
			if !known[route.ServerNumber] {
				report(fmt.Sprintf("route[%d].server", i), "no [[server]] has the number %d", route.ServerNumber)
			}
		}
	}
	seen := map[string]bool{}
	for i, route := range f.Routes {
		if seen[route.Prefix] {
			report(fmt.Sprintf("route[%d].prefix", i), "%q is used by more than one route", route.Prefix)
		}
		seen[route.Prefix] = true
	}
	f.checkSNMP(report)
	class := f.NodeConfig(1)
	if _, err := larkrouter.New(class.Settings, 1); err != nil && errs.Err() == nil {
		report("rules", "%v", err)
	}
}

// checkServers validates the entries by applying them to an empty pool list, so that a file and a list server are held to the
// same rules.
func checkServers(servers []pool.Server, errs *tomlfile.ErrorList) {
	if len(servers) == 0 {
		return
	}
	if _, err := pool.NewList().Apply(0, pool.Document{Version: 1, State: "full", Servers: servers}); err != nil {
		errs.Add("server", ": %w", err)
	}
}
