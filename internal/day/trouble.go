package day

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Trouble is an injected fault or an operator action. Which keys it takes depends on its kind.
type Trouble struct {
	Kind    string   `toml:"what" validate:"required"`
	At      float64  `toml:"at,omitempty" validate:"gte=0,lte=1"`        // start, as a share of the day's length
	After   Duration `toml:"after,omitempty" validate:"gte=0"`           // additional time from there to the start
	Nodes   float64  `toml:"nodes,omitempty" validate:"gte=0,lte=1"`     // share of the nodes affected
	Servers float64  `toml:"servers,omitempty" validate:"gte=0,lte=1"`   // share of the servers affected
	Server  int      `toml:"server,omitempty" validate:"gte=0"`          // index of the server affected, from 0
	For     Duration `toml:"for,omitempty" validate:"gte=0"`             // duration
	Down    Duration `toml:"down,omitempty" validate:"gte=0"`            // time from the stop of a process to its next start
	Spread  Duration `toml:"spread,omitempty" validate:"gte=0"`          // the targets are affected in turn over this time
	Wait    Duration `toml:"wait,omitempty" validate:"gte=0"`            // time that calls have to end before they are released
	Share   float64  `toml:"share,omitempty" validate:"gte=0,lte=1"`     // share of answers, datagrams, calls or capacity; growth of pauses
	Factor  float64  `toml:"factor,omitempty" validate:"gte=0,lte=1000"` // multiple of the call rate, or slowdown of a server
	Times   int      `toml:"times,omitempty" validate:"gte=0,lte=1000"`  // number of repetitions
	Every   Duration `toml:"every,omitempty" validate:"gte=0"`           // interval between repetitions, or its mean
	By      Duration `toml:"by,omitempty"`                               // delay, clock offset or mean pause length
	Sizes   []int    `toml:"sizes,omitempty"`                            // fleet sizes announced in turn
	Older   bool     `toml:"older,omitempty"`                            // the list server restarts with an older version
	// From and To select the sending and the receiving hosts of a network fault; empty: all hosts.
	From  string `toml:"from,omitempty" validate:"omitempty,oneof=callers nodes servers list"`
	To    string `toml:"to,omitempty" validate:"omitempty,oneof=callers nodes servers list"`
	Limit int    `toml:"limit,omitempty" validate:"gte=0,lte=100000"` // max connections of a server
	// As is the wrong phase that the list shows for the servers.
	As string `toml:"as,omitempty" validate:"omitempty,oneof=ready draining gone"`
}

// troubleKeys holds the keys that a kind of trouble requires and those that it allows.
type troubleKeys struct{ required, optional []string }

// keysByKind holds the keys of each kind of trouble.
var keysByKind = map[string]troubleKeys{
	"kill nodes":          {[]string{"nodes", "down"}, []string{"spread"}},
	"stop nodes":          {[]string{"nodes", "down", "wait"}, []string{"spread"}},
	"upgrade nodes":       {[]string{"nodes"}, []string{"spread"}},
	"reload nodes":        {[]string{"nodes"}, []string{"spread", "times", "every"}},
	"stall nodes":         {[]string{"nodes", "for"}, []string{"times", "every", "spread"}},
	"clocks apart":        {[]string{"nodes", "by"}, nil},
	"kill server":         {[]string{"down"}, []string{"server"}},
	"replace server":      {[]string{"wait", "down"}, []string{"server"}},
	"replace all servers": {[]string{"wait"}, []string{"spread"}},
	"slow server":         {[]string{"factor", "for"}, []string{"server"}},
	"stall server":        {[]string{"for"}, []string{"server"}},
	"lose answers":        {[]string{"servers", "share", "for"}, nil},
	"list dies":           {[]string{"down"}, []string{"older"}},
	"late list":           {[]string{"nodes", "by", "for"}, nil},
	"told sizes":          {[]string{"sizes", "every", "for"}, nil},
	"burst":               {[]string{"factor", "for"}, nil},

	"kill servers": {[]string{"servers", "down"}, []string{"spread"}}, // crashes; the servers restart cold
	"slow servers": {[]string{"servers", "factor", "for"}, nil},
	// Pauses that begin with the length by and grow until the server dies.
	"ageing server":      {[]string{"for", "down", "share", "every", "by"}, []string{"server"}},
	"pauses":             {[]string{"servers", "by", "every", "for"}, nil},
	"other work":         {[]string{"servers", "share", "every", "for"}, nil},
	"cut calls":          {[]string{"servers", "share"}, nil},
	"faulty servers":     {[]string{"servers", "share", "for"}, nil},
	"mute servers":       {[]string{"servers", "for"}, nil}, // the servers accept set-ups and never answer
	"refuse connections": {[]string{"servers", "for"}, []string{"limit"}},
	"reset servers":      {[]string{"servers", "for"}, nil}, // messages are refused as by a closed port; standing calls remain
	"lose datagrams":     {[]string{"share", "for"}, []string{"from", "to", "nodes", "servers"}},
	"partition":          {[]string{"from", "to", "for"}, []string{"nodes", "servers"}},
	"one way cut":        {[]string{"from", "to", "for"}, []string{"nodes", "servers"}},
	"slow network":       {[]string{"by", "for"}, []string{"from", "to", "nodes", "servers"}},
	"reset connections":  {[]string{"servers", "for", "every"}, nil},
	"wrong list":         {[]string{"servers", "as", "for"}, nil},
}

// TroubleKinds returns the kinds of trouble, sorted.
func TroubleKinds() []string {
	var kinds []string
	for k := range keysByKind {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// presentKeys reports for each optional key whether the trouble has it.
func (t *Trouble) presentKeys() map[string]bool {
	return map[string]bool{"nodes": t.Nodes > 0, "servers": t.Servers > 0, "server": t.Server > 0, "for": t.For > 0, "down": t.Down > 0,
		"spread": t.Spread > 0, "wait": t.Wait > 0, "share": t.Share > 0, "factor": t.Factor > 0, "times": t.Times > 0,
		"every": t.Every > 0, "by": t.By != 0, "sizes": len(t.Sizes) > 0, "older": t.Older,
		"from": t.From != "", "to": t.To != "", "limit": t.Limit > 0, "as": t.As != ""}
}

// StartTime returns the time at which the trouble starts in a day of the given length.
func (t *Trouble) StartTime(length time.Duration) time.Duration {
	return time.Duration(t.At*float64(length)) + time.Duration(t.After)
}

// String describes the trouble in one line.
func (t *Trouble) String() string {
	text := t.Kind
	add := func(isPresent bool, format string, args ...any) {
		if isPresent {
			text += ", " + fmt.Sprintf(format, args...)
		}
	}
	present := t.presentKeys()
	add(present["nodes"], "%.0f%% of the nodes", 100*t.Nodes)
	add(present["servers"], "%.0f%% of the servers", 100*t.Servers)
	add(strings.HasSuffix(t.Kind, " server"), "server %d", t.Server)
	add(present["from"], "from %s", t.From)
	add(present["to"], "to %s", t.To)
	add(present["as"], "as %s", t.As)
	add(present["limit"], "%d at the most", t.Limit)
	add(present["share"], "%.0f%%", 100*t.Share)
	add(present["factor"], "factor %g", t.Factor)
	add(present["sizes"], "sizes %v every %v", t.Sizes, t.Every)
	add(present["spread"], "over %v", t.Spread)
	add(present["times"], "%d times", t.Times)
	add(present["by"], "by %v", t.By)
	add(present["for"], "for %v", t.For)
	add(present["wait"], "waiting %v", t.Wait)
	add(present["down"], "back after %v", t.Down)
	return text
}

// networkFaults are the kinds of trouble that need a simulated network: they can't be injected into loopback sockets.
var networkFaults = []string{"lose datagrams", "partition", "one way cut", "slow network", "refuse connections", "reset servers",
	"reset connections"}

// IsNetworkFault reports whether a kind of trouble needs a simulated network.
func IsNetworkFault(kind string) bool { return slices.Contains(networkFaults, kind) }

// NeedsNetworkFaults reports whether the day loses datagrams or has a trouble that needs a simulated network.
func (f *File) NeedsNetworkFaults() bool {
	return f.Network.Loss > 0 || slices.ContainsFunc(f.Troubles, func(t Trouble) bool { return IsNetworkFault(t.Kind) })
}

// KeysOfKind returns the keys that a kind of trouble requires and those that it allows, or nil for an unknown kind.
func KeysOfKind(kind string) (required, optional []string) {
	keys := keysByKind[kind]
	return keys.required, keys.optional
}
