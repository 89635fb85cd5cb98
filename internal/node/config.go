package node

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/serverstate"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
)

// Class holds the rules that assign an INVITE to a class, and the length of one try of its callers. Name, worth, aim
// and deadline are in the larkrouter.Class of the same index. A class without any rule takes the calls that match no
// other class.
type Class struct {
	Prefixes    []string      // of the called number
	HeaderField string        // "Name: value" of a header field of the INVITE
	Priorities  []string      // values of Resource-Priority (RFC 4412)
	TryTimeout  time.Duration // after this time the caller abandons the try, unless Expires is shorter
}

// Config holds the settings of a node.
type Config struct {
	Settings             larkrouter.Settings
	Seed                 uint64
	Classes              []Class // same length as Settings.Classes
	Routes               []pool.Route
	Servers              []pool.Server     // static list; empty if a list server or a file provides it
	ListServer           sip.Peer          // zero: none
	ListExpires          time.Duration     // duration of the subscription
	Addresses            [2]netip.AddrPort // local addresses by transport, for Via and Contact
	TransactionTimes     transaction.Times
	MaxCalls             int                // limit of open calls, standing ones included; 0: no limit
	MaxRetryAfter        time.Duration      // longest Retry-After of a 503 that this node generates
	CountAlertingAsSetUp bool               // a call counts as set up with the first 180 or 183
	RefusalStatus        int                // status of a refusal by the module: 503 or 480
	RelayedMethods       []string           // methods relayed inside dialogs; others are answered 405
	RelayedOptions       []string           // option tags of Require that are relayed (RFC 3261, section 20.32)
	PersistedServers     []pool.Server      // server list persisted by the previous process
	EmitJournal          bool               // emit a JournalEntry for each change of a call's state
	LogCalls             bool               // emit a LogRecord at the end of each call
	LogLevel             Level              // lowest level of the records that are emitted
	Name                 string             // name of this node at the list server; "": identified by its address
	MinFleetSize         int                // lower bound of the reported fleet size; 0: none
	MaxFleetSize         int                // upper bound of the reported fleet size; 0: none
	PersistedState       *serverstate.State // server state persisted by the previous process
	WallClockMs          int64              // wall clock at the start, Unix milliseconds; the age of PersistedState is relative to it
	// ProcessNonce identifies this process. It is mixed with Seed, so that a node restarted with the same Seed does not reuse
	// the tags and Call-IDs of the previous process.
	ProcessNonce   uint64
	RetiredSockets []uint16 // numbers of local sockets that are being closed; new calls on them are rejected

	activeClasses []int // indexes of the active classes in matching order; nil: all, in order
}

// DefaultRelayedMethods and DefaultRelayedOptions are relayed if the configuration does not list any.
var (
	DefaultRelayedMethods = []string{sip.INVITE, sip.UPDATE, sip.INFO, sip.PRACK}
	DefaultRelayedOptions = []string{"100rel", "timer", "precondition"}
)

// applyDefaults checks the configuration and sets the values that it leaves open.
func (c *Config) applyDefaults() error {
	if len(c.Classes) != len(c.Settings.Classes) || len(c.Classes) == 0 {
		return fmt.Errorf("node: got matching rules for %d classes and settings for %d: the numbers must be equal and at least 1",
			len(c.Classes), len(c.Settings.Classes))
	}
	for i, class := range c.Classes {
		if class.TryTimeout <= 0 && c.isClassActive(i) {
			return fmt.Errorf("node: class %d (%s): try: must be greater than 0, got %v", i, c.Settings.Classes[i].Name, class.TryTimeout)
		}
	}
	if c.RefusalStatus == 0 {
		c.RefusalStatus = 503
	}
	if c.RelayedMethods == nil {
		c.RelayedMethods = DefaultRelayedMethods
	}
	if c.RelayedOptions == nil {
		c.RelayedOptions = DefaultRelayedOptions
	}
	if c.ListExpires <= 0 {
		c.ListExpires = time.Minute
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = 2 * time.Second
	}
	// Start with the last size that the list server reported, until it reports again.
	if c.PersistedState != nil && c.ListServer.Addr.IsValid() {
		c.Settings.FleetSize = max(c.Settings.FleetSize, c.PersistedState.FleetSize(c.WallClockMs, c.MaxFleetSize))
	}
	c.Settings.ReportFields = []string{"free", "size", "lat_ms", "hold_back", "can_take"}
	c.Settings.ListOnRequest = c.ListServer.Addr.IsValid()
	c.Settings.HomeNumber = -1
	return nil
}

// classify returns the index of the class of an INVITE, or -1 if no class takes it.
func (c *Config) classify(req *sip.Message, number string) int {
	fallback := -1
	for j := range c.Classes {
		i := j
		if c.activeClasses != nil {
			if j >= len(c.activeClasses) {
				break
			}
			i = c.activeClasses[j]
		}
		class := &c.Classes[i]
		if len(class.Prefixes) == 0 && class.HeaderField == "" && len(class.Priorities) == 0 {
			if fallback < 0 {
				fallback = i
			}
			continue
		}
		if class.matches(req, number) {
			return i
		}
	}
	return fallback
}

// matches reports whether an INVITE to a number matches a rule of the class.
func (c *Class) matches(req *sip.Message, number string) bool {
	for _, prefix := range c.Prefixes {
		if strings.HasPrefix(number, prefix) {
			return true
		}
	}
	if name, value, ok := strings.Cut(c.HeaderField, ":"); ok && req.Has(name) &&
		strings.EqualFold(strings.TrimSpace(req.Get(name)), strings.TrimSpace(value)) {
		return true
	}
	if len(c.Priorities) == 0 {
		return false
	}
	for _, value := range req.Values("Resource-Priority") {
		for _, priority := range c.Priorities {
			if strings.EqualFold(value, priority) {
				return true
			}
		}
	}
	return false
}
