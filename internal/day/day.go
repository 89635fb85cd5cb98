// Package day reads and validates day files. A day is the scenario of a simulation: a fleet, its load, and the troubles
// (injected faults and operator actions) with their times and targets. Validation covers the whole file and reports
// every error with its line and key, so that package fleet can use the values without checks of its own.
package day

import (
	"fmt"
	"slices"
	"strings"

	"larkrouter/days"
	"larkrouter/internal/tomlfile"
)

// Duration is a duration, written as "1.2s".
type Duration = tomlfile.Duration

// File is the content of a day file.
type File struct {
	Name     string    `toml:"name" validate:"required"`
	About    string    `toml:"about"`
	Fleet    Fleet     `toml:"fleet"`
	Servers  Servers   `toml:"servers"`
	Callers  Callers   `toml:"callers"`
	Class    []Class   `toml:"class" validate:"lte=20,dive"`
	List     List      `toml:"list"`
	Network  Network   `toml:"network"`
	Node     Node      `toml:"node"`
	Troubles []Trouble `toml:"trouble" validate:"dive"`
}

// Fleet holds the size of the fleet and its load.
type Fleet struct {
	Nodes        int      `toml:"nodes" validate:"gte=1,lte=2000"`
	Servers      int      `toml:"servers" validate:"gte=1,lte=200"`
	Rate         float64  `toml:"rate" validate:"gt=0,lte=100000"`     // calls per second of all nodes together
	Load         float64  `toml:"load" validate:"gt=0,lte=20"`         // utilization of the servers at that rate, releases included
	Seconds      float64  `toml:"seconds" validate:"gte=10,lte=86400"` // how long callers dial
	Size         int      `toml:"size" validate:"gte=0"`               // fleet size in the nodes' configuration; 0: the number of nodes
	AnnounceSize bool     `toml:"tell_size"`                           // the list server announces the fleet size
	Lag          Duration `toml:"lag" validate:"gte=0"`                // delay of list updates
	ListTCP      bool     `toml:"list_by_tcp"`                         // nodes subscribe to the list over TCP
}

// checkModels checks the rules that span several values, which struct tags can't express.
func (f *File) checkModels(faults *tomlfile.ErrorList) {
	for _, model := range []struct {
		key string
		of  Distribution
	}{{"servers.work", f.Servers.Work}, {"servers.speeds", f.Servers.Speeds}, {"servers.report_noise", f.Servers.ReportNoise},
		{"callers.hold", f.Callers.HoldTime}} {
		if err := model.of.Check(); err != nil {
			faults.Add(model.key, ": %v", err)
		}
	}
	if f.Callers.Shape == "bursty" && f.Callers.CV <= 0 {
		faults.Add("callers.cv", " = %v: must be more than 0 for a bursty day", f.Callers.CV)
	}
	for i := range f.Class {
		class := &f.Class[i]
		key := fmt.Sprintf("class[%d]", i)
		if class.Aim > class.Deadline || class.TryTimeout > class.Deadline {
			faults.Add(key+".deadline", " = %v: must be at least aim (%v) and try (%v)", class.Deadline, class.Aim, class.TryTimeout)
		}
		for j := range f.Class[:i] {
			if strings.HasPrefix(class.Prefix, f.Class[j].Prefix) || strings.HasPrefix(f.Class[j].Prefix, class.Prefix) {
				faults.Add(key+".prefix", " = %q: class %q has %q; no prefix may begin with another", class.Prefix,
					f.Class[j].Name, f.Class[j].Prefix)
			}
		}
	}
}

// Open reads a day by name: a built-in day, or a path that ends in .toml, which is read with the function given.
func Open(name string, read func(path string) ([]byte, error)) (*File, error) {
	file, b, err := name+".toml", []byte(nil), error(nil)
	if strings.HasSuffix(name, ".toml") {
		file = name
		b, err = read(name)
	} else {
		b, err = days.Read(name)
	}
	if err != nil {
		return nil, err
	}
	return Read(file, b)
}

// Read parses and validates the content of a day file. The name appears in errors.
func Read(name string, b []byte) (*File, error) {
	file, faults := tomlfile.Decode(name, b, Default)
	if faults.Undecodable {
		return nil, faults.Err()
	}
	file.checkModels(faults)
	for i := range file.Troubles {
		trouble := &file.Troubles[i]
		key := fmt.Sprintf("trouble[%d]", i)
		keys, ok := keysByKind[trouble.Kind]
		if !ok {
			if trouble.Kind != "" {
				faults.Add(key+".what", " = %q: must be one of %s", trouble.Kind, strings.Join(TroubleKinds(), ", "))
			}
			continue
		}
		for name, given := range trouble.presentKeys() {
			switch {
			case given && !slices.Contains(keys.required, name) && !slices.Contains(keys.optional, name):
				faults.Add(key+"."+name, ": %q takes no such key; it takes %s", trouble.Kind,
					strings.Join(append(slices.Clone(keys.required), keys.optional...), ", "))
			case !given && slices.Contains(keys.required, name):
				faults.Add(key+"."+name, ": is required for %q and must be more than 0", trouble.Kind)
			}
		}
		if slices.Contains(append(slices.Clone(keys.required), keys.optional...), "server") && trouble.Server >= file.Fleet.Servers {
			faults.Add(key+".server", " = %d: there are %d servers, numbered from 0", trouble.Server, file.Fleet.Servers)
		}
		if trouble.Times > 1 && trouble.Every <= 0 {
			faults.Add(key+".every", ": is required if times is more than 1")
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return file, nil
}
