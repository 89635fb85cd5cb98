package lab

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"

	"larkrouter/internal/day"
)

// Spec describes one simulation: a day, a policy and a seed.
type Spec struct {
	Day       *day.File
	Policy    string
	Seed      uint64
	Overrides []string // keys set on the day, as key=value, for the tables
	Version   string   // version of the program that runs it
}

// ID returns a name that identifies everything the result depends on.
func (s *Spec) ID() string {
	text, _ := FormatDay(s.Day) // can't fail: the day has been encoded before
	hash := xxhash.Sum64String(string(text) + "\x00" + s.Policy + "\x00" + strconv.FormatUint(s.Seed, 10) + "\x00" + s.Version)
	return fmt.Sprintf("%s-%s-%d-%016x", s.Day.Name, s.Policy, s.Seed, hash)
}

// FormatDay returns the content of a day file for a day. It holds only the values that differ from the defaults.
func FormatDay(d *day.File) ([]byte, error) {
	all, err := toMap(*d)
	if err != nil {
		return nil, err
	}
	defaults, err := toMap(day.Default())
	if err != nil {
		return nil, err
	}
	return toml.Marshal(removeDefaults(all, defaults))
}

// toMap converts a day to nested maps, with the keys of a day file.
func toMap(d day.File) (map[string]any, error) {
	b, err := toml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("day %s: %w", d.Name, err)
	}
	table := map[string]any{}
	return table, toml.Unmarshal(b, &table)
}

// removeDefaults removes from a table the values that are equal to the defaults, and returns it.
func removeDefaults(table, defaults map[string]any) map[string]any {
	for key, value := range table {
		sub, isTable := value.(map[string]any)
		defaultSub, defaultIsTable := defaults[key].(map[string]any)
		switch {
		case isTable && defaultIsTable:
			if len(removeDefaults(sub, defaultSub)) == 0 {
				delete(table, key)
			}
		case reflect.DeepEqual(value, defaults[key]):
			delete(table, key)
		}
	}
	return table
}

// Override returns a copy of a day with the overrides applied, each as "section.key=value"; a number in a path is an index in a list. The
// new day is validated as if it had been read from a file.
func Override(d *day.File, overrides []string) (*day.File, error) {
	table, err := toMap(*d)
	if err != nil {
		return nil, err
	}
	for _, s := range overrides {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fmt.Errorf("set %q: must be key=value, as fleet.load=1.3", s)
		}
		if err := setValue(table, strings.Split(strings.TrimSpace(key), "."), parseValue(strings.TrimSpace(value))); err != nil {
			return nil, fmt.Errorf("set %q: %w", s, err)
		}
	}
	clampServers(table)
	b, err := toml.Marshal(table)
	if err != nil {
		return nil, fmt.Errorf("set %v: %w", overrides, err)
	}
	name := d.Name
	if len(overrides) > 0 {
		name += " with " + strings.Join(overrides, " ")
	}
	return day.Read(name, b)
}

// clampServers makes troubles of a server that does not exist in a smaller day affect its last server.
func clampServers(table map[string]any) {
	fleet, _ := table["fleet"].(map[string]any)
	servers, _ := fleet["servers"].(int64)
	troubles, _ := table["trouble"].([]any)
	for _, t := range troubles {
		if t, ok := t.(map[string]any); ok {
			if n, ok := t["server"].(int64); ok && n >= servers {
				t["server"] = max(servers-1, 0)
			}
		}
	}
}

// parseValue parses a value as TOML. Anything else is taken as a string.
func parseValue(s string) any {
	m := map[string]any{}
	if toml.Unmarshal([]byte("v = "+s), &m) == nil {
		return m["v"]
	}
	return s
}

// setValue sets the value at a path of keys and indexes.
func setValue(node any, path []string, value any) error {
	switch t := node.(type) {
	case map[string]any:
		old, ok := t[path[0]]
		if len(path) == 1 {
			if f, isFloat := old.(float64); ok && isFloat { // accepts 1 for 1.0
				if n, isInt := value.(int64); isInt {
					value = float64(n)
				}
				_ = f
			}
			t[path[0]] = value
			return nil
		}
		if !ok {
			return fmt.Errorf("there is no %q; must be one of %s", path[0], strings.Join(slices.Sorted(maps.Keys(t)), ", "))
		}
		return setValue(old, path[1:], value)
	case []any:
		n, err := strconv.Atoi(path[0])
		if err != nil || n < 0 || n >= len(t) || len(path) < 2 {
			return fmt.Errorf("%q: must be an index from 0 to %d, followed by a key", path[0], len(t)-1)
		}
		return setValue(t[n], path[1:], value)
	}
	return fmt.Errorf("%q: a single value has no keys below it", path[0])
}

// Grid is a parameter grid: the values of each key.
type Grid struct {
	Keys   []string
	Values [][]string
}

// ParseGrid parses axes, each as "key=value,value". Values that contain commas are separated by ";".
func ParseGrid(axes []string) (grid Grid, err error) {
	for _, a := range axes {
		key, list, ok := strings.Cut(a, "=")
		if !ok || key == "" || list == "" {
			return grid, fmt.Errorf("axis %q: must be key=value,value, as fleet.load=0.7,0.95,1.3", a)
		}
		sep := ","
		if strings.Contains(list, ";") {
			sep = ";"
		}
		grid.Keys = append(grid.Keys, key)
		grid.Values = append(grid.Values, strings.Split(list, sep))
	}
	return grid, nil
}

// Points returns all combinations of the values, each as settings for Override.
func (g Grid) Points() [][]string {
	points := [][]string{nil}
	for i, key := range g.Keys {
		var next [][]string
		for _, point := range points {
			for _, v := range g.Values[i] {
				next = append(next, append(slices.Clone(point), key+"="+v))
			}
		}
		points = next
	}
	return points
}
