package config

import (
	"fmt"
	"net/netip"
	"os"

	"larkrouter/internal/snmp/agent"
	"larkrouter/internal/snmp/ber"
	"larkrouter/internal/snmp/mib"
	"larkrouter/internal/snmp/notify"
	"larkrouter/internal/snmp/usm"
)

// SNMP configures the SNMP agent. Without a listen address there is none.
type SNMP struct {
	Listen            string  `toml:"listen" validate:"omitempty,hostport"`
	Arc               string  `toml:"arc"`   // object identifier of the subtree that holds the MIB
	StateFile         string  `toml:"state"` // file of the engine id and boot count, which must survive restarts
	Contact           string  `toml:"contact" validate:"max=255"`
	Name              string  `toml:"name" validate:"max=255"`
	Location          string  `toml:"location" validate:"max=255"`
	RequestsPerSecond float64 `toml:"requests_per_second" validate:"gt=0"`   // answered at most
	MaxSize           int     `toml:"max_size" validate:"gte=484,lte=65000"` // of a response, in bytes
	// BusyPercent is the share of time in turns from which the agent only answers a tenth of RequestsPerSecond.
	BusyPercent int             `toml:"busy_percent" validate:"gte=1,lte=100"`
	Views       []SNMPView      `toml:"view" validate:"dive"`
	Communities []SNMPCommunity `toml:"community" validate:"dive"`
	Users       []SNMPUser      `toml:"user" validate:"dive"`
	Targets     []SNMPTarget    `toml:"target" validate:"dive"`
	Notify      SNMPNotify      `toml:"notify"`
}

// SNMPView is a named set of subtrees of the MIB.
type SNMPView struct {
	Name    string   `toml:"name" validate:"required"`
	Include []string `toml:"include" validate:"required"`
	Exclude []string `toml:"exclude"`
}

// SNMPCommunity is a v2c community, the source networks that may use it, and the view that it reads.
type SNMPCommunity struct {
	Name    string   `toml:"name" validate:"required"`
	Sources []string `toml:"sources"`
	View    string   `toml:"view"`
}

// SNMPUser is a v3 user. Passphrases are set here or, preferably, as the names of files that only the node's user can read.
type SNMPUser struct {
	Name     string `toml:"name" validate:"required"`
	Auth     string `toml:"auth" validate:"omitempty,oneof=sha224 sha256 sha384 sha512"`
	AuthPass string `toml:"auth_pass"`
	AuthFile string `toml:"auth_file"`
	PrivPass string `toml:"priv_pass"`
	PrivFile string `toml:"priv_file"`
	Level    string `toml:"level" validate:"omitempty,oneof=none auth priv"`
	View     string `toml:"view"`
}

// SNMPTarget is a manager that receives notifications.
type SNMPTarget struct {
	Address   string   `toml:"address" validate:"required,hostport"`
	Community string   `toml:"community"`
	User      string   `toml:"user"`
	Inform    bool     `toml:"inform"`
	Retries   int      `toml:"retries" validate:"gte=0,lte=10"`
	Timeout   Duration `toml:"timeout" validate:"gte=0"`
}

// SNMPNotify holds the settings of notifications.
type SNMPNotify struct {
	// Settle is how long a recovery (of a server, or from overload) must last before it is reported.
	Settle        Duration `toml:"settle" validate:"gt=0"`
	Window        Duration `toml:"window" validate:"gt=0"`                                 // over which the share of refused calls is taken
	MinGap        Duration `toml:"min_gap" validate:"gte=0"`                               // between notifications of a kind and server
	ListLostAfter Duration `toml:"list_after" validate:"gte=0"`                            // without the list source, the list counts as lost
	OverloadEnter float64  `toml:"overload_enter" validate:"gt=0,lte=1"`                   // share of refused calls at which overload starts
	OverloadLeave float64  `toml:"overload_leave" validate:"gte=0,ltefield=OverloadEnter"` // share below which it ends
}

// defaultSNMP returns the settings that apply to keys that the file does not set.
func defaultSNMP() SNMP {
	notifyDefaults := notify.DefaultSettings
	return SNMP{Arc: mib.DefaultArc.String(), RequestsPerSecond: 100, MaxSize: 1400, BusyPercent: 70,
		Notify: SNMPNotify{Settle: Duration(notifyDefaults.Settle),
			Window: Duration(notifyDefaults.Window),
			MinGap: Duration(notifyDefaults.MinGap), ListLostAfter: Duration(notifyDefaults.ListAfter), OverloadEnter: notifyDefaults.EnterShare,
			OverloadLeave: notifyDefaults.LeaveShare}}
}

// checkSNMP validates what depends on more than one field of the [snmp] section, and object identifiers.
func (f *File) checkSNMP(report func(key, format string, args ...any)) {
	settings := &f.SNMP
	if _, err := ber.ParseOID(settings.Arc); err != nil {
		report("snmp.arc", "%v", err)
	}
	if settings.Listen == "" {
		return
	}
	if settings.StateFile == "" && f.Store.Dir == "" && len(settings.Users) > 0 {
		report("snmp.state", "or store.dir is required with users: the engine id and boot count must survive a restart")
	}
	loopback := parseAddrPort(settings.Listen).Addr().IsLoopback()
	views := map[string]bool{"": true}
	for i, view := range settings.Views {
		views[view.Name] = true
		for _, oid := range append(append([]string{}, view.Include...), view.Exclude...) {
			if _, err := ber.ParseOID(oid); err != nil {
				report(fmt.Sprintf("snmp.view[%d]", i), "%v", err)
			}
		}
	}
	for i, community := range settings.Communities {
		key := fmt.Sprintf("snmp.community[%d]", i)
		if community.Name == "public" && !loopback {
			report(key+".name", "\"public\" on %s, which is not a loopback address: the community must not be a well-known one", settings.Listen)
		}
		if !views[community.View] {
			report(key+".view", "there is no [[snmp.view]] with the name %q", community.View)
		}
		for _, prefix := range community.Sources {
			if _, err := netip.ParsePrefix(prefix); err != nil {
				report(key+".sources", "%q: must be an address with a prefix length, such as 127.0.0.0/8", prefix)
			}
		}
	}
	users := map[string]SNMPUser{}
	for i, user := range settings.Users {
		key := fmt.Sprintf("snmp.user[%d]", i)
		users[user.Name] = user
		if !views[user.View] {
			report(key+".view", "there is no [[snmp.view]] with the name %q", user.View)
		}
		if user.Auth == "" && (user.Level == "auth" || user.Level == "priv" || user.PrivPass != "" || user.PrivFile != "") {
			report(key+".auth", "is required for level %q or privacy", user.Level)
		}
		if user.Auth != "" && (user.AuthPass == "") == (user.AuthFile == "") {
			report(key, "exactly one of auth_pass and auth_file is required")
		}
		if user.PrivPass != "" && user.PrivFile != "" {
			report(key, "at most one of priv_pass and priv_file is allowed")
		}
		if user.Level == "priv" && user.PrivPass == "" && user.PrivFile == "" {
			report(key+".level", "\"priv\" requires priv_pass or priv_file")
		}
		if _, err := user.Keys([]byte("12345")); err != nil && (user.AuthFile == "" || user.PrivFile == "") {
			report(key, "%v", err)
		}
	}
	for i, target := range settings.Targets {
		key := fmt.Sprintf("snmp.target[%d]", i)
		if (target.Community == "") == (target.User == "") {
			report(key, "exactly one of community and user is required")
		}
		if _, ok := users[target.User]; target.User != "" && !ok {
			report(key+".user", "there is no [[snmp.user]] with the name %q", target.User)
		}
	}
}

// Passphrases returns the user's passphrases, read from their files if these are set. A file that is accessible to others
// than its owner is an error.
func (u SNMPUser) Passphrases() (auth, priv string, err error) {
	auth, priv = u.AuthPass, u.PrivPass
	for _, source := range []struct {
		name        string
		destination *string
	}{{u.AuthFile, &auth}, {u.PrivFile, &priv}} {
		if source.name == "" {
			continue
		}
		info, err := os.Stat(source.name)
		if err != nil {
			return "", "", fmt.Errorf("snmp user %s: %w", u.Name, err)
		}
		if info.Mode().Perm()&0o077 != 0 {
			return "", "", fmt.Errorf("snmp user %s: %s has mode %o: must be accessible to its owner only, such as 600", u.Name, source.name,
				info.Mode().Perm())
		}
		content, err := os.ReadFile(source.name)
		if err != nil {
			return "", "", fmt.Errorf("snmp user %s: %w", u.Name, err)
		}
		for len(content) > 0 && (content[len(content)-1] == '\n' || content[len(content)-1] == '\r') {
			content = content[:len(content)-1]
		}
		*source.destination = string(content)
	}
	return auth, priv, nil
}

// Keys returns the user with its keys, localized to an engine.
func (u SNMPUser) Keys(engine []byte) (*usm.User, error) {
	auth, priv, err := u.Passphrases()
	if err != nil {
		return nil, err
	}
	return usm.NewUser(u.Name, usm.AuthProtocols[u.Auth], auth, priv, engine)
}

// AgentConfig converts the section to the configuration of the agent.
func (s *SNMP) AgentConfig(engine []byte, boots int32) (agent.Config, error) {
	arc, err := ber.ParseOID(s.Arc)
	if err != nil {
		return agent.Config{}, err
	}
	cfg := agent.Config{Arc: arc, EngineID: engine, EngineBoots: boots, Contact: s.Contact, Name: s.Name, Location: s.Location,
		MaxMessageSize: s.MaxSize, MaxRequestsPerSecond: s.RequestsPerSecond, BusyPercent: uint64(s.BusyPercent)}
	views := map[string]*agent.View{"": {Include: []ber.OID{ber.MustParseOID("1.3")}}}
	for _, viewSettings := range s.Views {
		view := &agent.View{}
		for _, oid := range viewSettings.Include {
			view.Include = append(view.Include, ber.MustParseOID(oid))
		}
		for _, oid := range viewSettings.Exclude {
			view.Exclude = append(view.Exclude, ber.MustParseOID(oid))
		}
		views[viewSettings.Name] = view
	}
	for _, settings := range s.Communities {
		entry := agent.Community{Name: settings.Name, View: views[settings.View]}
		for _, prefix := range settings.Sources {
			entry.Sources = append(entry.Sources, netip.MustParsePrefix(prefix))
		}
		cfg.Communities = append(cfg.Communities, entry)
	}
	for _, settings := range s.Users {
		user, err := settings.Keys(engine)
		if err != nil {
			return cfg, err
		}
		level := byte(0)
		switch {
		case settings.Level == "priv" || settings.Level == "" && user.PrivKey != nil:
			level = usm.FlagAuth | usm.FlagPriv
		case settings.Level == "auth" || settings.Level == "" && user.Auth != nil:
			level = usm.FlagAuth
		}
		cfg.Users = append(cfg.Users, agent.User{User: user, MinLevel: level, View: views[settings.View]})
	}
	return cfg, nil
}
