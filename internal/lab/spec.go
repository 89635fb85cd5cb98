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

// Spec is one play: a day, a policy, a seed.
type Spec struct {
	Day     *day.File
	Policy  string
	Seed    uint64
	Set     []string // what of the day was set, as key=value, for the tables
	Version string   // of the program that plays
}

// ID names a play by all that its result depends on.
func (s *Spec) ID() string {
	text, _ := Text(s.Day) // it was read from one
	h := xxhash.Sum64String(string(text) + "\x00" + s.Policy + "\x00" + strconv.FormatUint(s.Seed, 10) + "\x00" + s.Version)
	return fmt.Sprintf("%s-%s-%d-%016x", s.Day.Name, s.Policy, s.Seed, h)
}

// Text is a day as a file that says what differs from the default and nothing else.
func Text(d *day.File) ([]byte, error) {
	all, err := asMap(*d)
	if err != nil {
		return nil, err
	}
	usual, err := asMap(day.Default())
	if err != nil {
		return nil, err
	}
	return toml.Marshal(without(all, usual))
}

func asMap(d day.File) (map[string]any, error) {
	b, err := toml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("day %s: %w", d.Name, err)
	}
	m := map[string]any{}
	return m, toml.Unmarshal(b, &m)
}

// without leaves out of a table what another has alike.
func without(all, usual map[string]any) map[string]any {
	for k, v := range all {
		sub, is := v.(map[string]any)
		old, was := usual[k].(map[string]any)
		switch {
		case is && was:
			if len(without(sub, old)) == 0 {
				delete(all, k)
			}
		case reflect.DeepEqual(v, usual[k]):
			delete(all, k)
		}
	}
	return all
}

// With is a day with keys set, each as "section.key=value"; a number in a path is a place in a list. The day that comes
// out is checked as one that was read from a file.
func With(d *day.File, set []string) (*day.File, error) {
	m, err := asMap(*d)
	if err != nil {
		return nil, err
	}
	for _, s := range set {
		key, value, ok := strings.Cut(s, "=")
		if !ok {
			return nil, fmt.Errorf("set %q: key=value is right, as fleet.load=1.3", s)
		}
		if err := put(m, strings.Split(strings.TrimSpace(key), "."), parse(strings.TrimSpace(value))); err != nil {
			return nil, fmt.Errorf("set %q: %w", s, err)
		}
	}
	inReach(m)
	b, err := toml.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("set %v: %w", set, err)
	}
	name := d.Name
	if len(set) > 0 {
		name += " with " + strings.Join(set, " ")
	}
	return day.Read(name, b)
}

// inReach lets troubles of a server that a smaller day does not have be of its last one.
func inReach(m map[string]any) {
	f, _ := m["fleet"].(map[string]any)
	servers, _ := f["servers"].(int64)
	all, _ := m["trouble"].([]any)
	for _, t := range all {
		if t, ok := t.(map[string]any); ok {
			if n, ok := t["server"].(int64); ok && n >= servers {
				t["server"] = max(servers-1, 0)
			}
		}
	}
}

// parse reads a value as TOML; what is none is a string.
func parse(s string) any {
	m := map[string]any{}
	if toml.Unmarshal([]byte("v = "+s), &m) == nil {
		return m["v"]
	}
	return s
}

func put(at any, path []string, v any) error {
	switch t := at.(type) {
	case map[string]any:
		old, ok := t[path[0]]
		if len(path) == 1 {
			if f, is := old.(float64); ok && is { // 1 is as good as 1.0
				if n, whole := v.(int64); whole {
					v = float64(n)
				}
				_ = f
			}
			t[path[0]] = v
			return nil
		}
		if !ok {
			return fmt.Errorf("there is no %q; one of %s is right", path[0], strings.Join(slices.Sorted(maps.Keys(t)), ", "))
		}
		return put(old, path[1:], v)
	case []any:
		n, err := strconv.Atoi(path[0])
		if err != nil || n < 0 || n >= len(t) || len(path) < 2 {
			return fmt.Errorf("%q: a place from 0 to %d and a key are right", path[0], len(t)-1)
		}
		return put(t[n], path[1:], v)
	}
	return fmt.Errorf("%q: there is nothing below a single value", path[0])
}

// Grid is a set of values for some keys.
type Grid struct {
	Keys   []string
	Values [][]string
}

// ParseGrid reads axes, each as "key=value,value"; values that have commas of their own go with ";".
func ParseGrid(axes []string) (g Grid, err error) {
	for _, a := range axes {
		key, list, ok := strings.Cut(a, "=")
		if !ok || key == "" || list == "" {
			return g, fmt.Errorf("axis %q: key=value,value is right, as fleet.load=0.7,0.95,1.3", a)
		}
		sep := ","
		if strings.Contains(list, ";") {
			sep = ";"
		}
		g.Keys = append(g.Keys, key)
		g.Values = append(g.Values, strings.Split(list, sep))
	}
	return g, nil
}

// Points are all combinations, each as what With takes.
func (g Grid) Points() [][]string {
	points := [][]string{nil}
	for i, key := range g.Keys {
		var next [][]string
		for _, p := range points {
			for _, v := range g.Values[i] {
				next = append(next, append(slices.Clone(p), key+"="+v))
			}
		}
		points = next
	}
	return points
}
