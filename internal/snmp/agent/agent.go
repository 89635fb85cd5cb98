// Package agent implements a read-only SNMP agent (RFC 3411 to 3418) for v2c with communities and v3 with users. It does
// access control, maintains the protocol's counters and limits the load that requests cause.
//
// The package has no I/O and no clock: Agent.Handle takes a request datagram and the time and returns the response. The
// values come from a snapshot taken at one moment, so that the columns of a table row are consistent.
package agent

import (
	"net/netip"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"larkrouter/internal/snmp/ber"
	"larkrouter/internal/snmp/mib"
	"larkrouter/internal/snmp/usm"
)

// View selects the part of the OID tree that a community or user may read.
type View struct {
	Include, Exclude []ber.OID // subtrees; the longest one that contains an object decides
}

// Contains reports whether an object is in the view (RFC 3415, section 4, without masks).
func (v *View) Contains(oid ber.OID) bool {
	longest, included := -1, false
	for _, prefix := range v.Include {
		if len(prefix) > longest && oid.HasPrefix(prefix) {
			longest, included = len(prefix), true
		}
	}
	for _, prefix := range v.Exclude {
		if len(prefix) > longest && oid.HasPrefix(prefix) {
			longest, included = len(prefix), false
		}
	}
	return included
}

// Community is an SNMPv2c community.
type Community struct {
	Name    string
	Sources []netip.Prefix // accepted source addresses; empty accepts all
	View    *View
}

// User is an SNMPv3 user.
type User struct {
	*usm.User
	MinLevel byte // min security level of a request: usm.FlagAuth, usm.FlagPriv or both
	View     *View
}

// Config configures an Agent.
type Config struct {
	Arc                  ber.OID // OID of the enterprise under which the MIB is served
	EngineID             []byte  // snmpEngineID, 5 to 32 bytes
	EngineBoots          int32   // snmpEngineBoots
	Communities          []Community
	Users                []User
	Descr, Contact       string  // sysDescr, sysContact
	Name, Location       string  // sysName, sysLocation
	MaxMessageSize       int     // max size of a response in bytes, raised to 484 at least; default 1400
	MaxRequestsPerSecond float64 // max rate of answered requests; default 100
	BusyPercent          uint64  // load of the node in percent from which only a tenth of MaxRequestsPerSecond is answered; default 70
	InitialSalt          uint64  // random start value of the privacy salt
}

// Agent is an SNMP agent. It must be used by one goroutine only.
type Agent struct {
	cfg          Config
	requestLimit *rate.Limiter
	busyLimit    *rate.Limiter // a tenth of requestLimit, in addition to it while the node is busy
	varBinds     []ber.VarBind // served variables, sorted by OID
	busyPercent  uint64        // load of the node in the current snapshot
	salt         uint64        // last privacy salt used
	epoch        time.Time     // arbitrary origin of the times that are passed to the limiters
	Counters     Counters
}

// Counters counts requests by their result. The counters are served as objects of LARKROUTER-MIB, of the snmp group (RFC 3418)
// and of the statistics groups of the SNMP frameworks (RFC 3412, RFC 3414).
type Counters struct {
	InPkts, BadVersions, BadCommunity, BadUses, ParseErrs, SilentDrops uint64
	UnsupportedLevels, NotInWindow, UnknownUsers, UnknownEngines       uint64
	WrongDigests, DecryptErrors                                        uint64
	UnknownModels, InvalidMsgs, UnknownHandlers                        uint64
	Requests, Shed, TooBig                                             uint64
}

// New returns an agent. It serves no values until SetSnapshot is called.
func New(cfg Config) *Agent {
	if cfg.MaxMessageSize <= 0 {
		cfg.MaxMessageSize = 1400
	}
	cfg.MaxMessageSize = max(484, cfg.MaxMessageSize) // min size that RFC 3417, section 3.2, requires
	if cfg.MaxRequestsPerSecond <= 0 {
		cfg.MaxRequestsPerSecond = 100
	}
	if cfg.BusyPercent == 0 {
		cfg.BusyPercent = 70
	}
	return &Agent{cfg: cfg, salt: cfg.InitialSalt,
		requestLimit: rate.NewLimiter(rate.Limit(cfg.MaxRequestsPerSecond), int(max(1, cfg.MaxRequestsPerSecond/2))),
		busyLimit:    rate.NewLimiter(rate.Limit(cfg.MaxRequestsPerSecond/10), int(max(1, cfg.MaxRequestsPerSecond/20)))}
}

// OIDs of the standard groups that the agent serves beside LARKROUTER-MIB.
var (
	systemGroup   = ber.MustParseOID("1.3.6.1.2.1.1")
	snmpGroup     = ber.MustParseOID("1.3.6.1.2.1.11")
	engineGroup   = ber.MustParseOID("1.3.6.1.6.3.10.2.1")
	mpdStatsGroup = ber.MustParseOID("1.3.6.1.6.3.11.2.1")
	usmStatsGroup = ber.MustParseOID("1.3.6.1.6.3.15.1.1")
)

// SetSnapshot sets the snapshot from which requests are answered from now on, and adds the standard groups to it.
func (a *Agent) SetSnapshot(s *mib.Snapshot) {
	a.busyPercent = s.BusyPercent
	vars := s.VarBinds(a.cfg.Arc)
	scalar := func(group ber.OID, id uint32, v ber.Value) {
		vars = append(vars, ber.VarBind{Name: group.Append(id, 0), Value: v})
	}
	counter := func(n uint64) ber.Value { return mib.UintValue(ber.Counter32, n) }
	scalar(systemGroup, 1, mib.StringValue(a.cfg.Descr))
	scalar(systemGroup, 2, ber.Value{Tag: ber.ObjectIdentifier, OID: a.cfg.Arc.Append(1)})
	scalar(systemGroup, 3, mib.TimeTicksValue(s.UpTime))
	scalar(systemGroup, 4, mib.StringValue(a.cfg.Contact))
	scalar(systemGroup, 5, mib.StringValue(a.cfg.Name))
	scalar(systemGroup, 6, mib.StringValue(a.cfg.Location))
	scalar(systemGroup, 7, mib.IntegerValue(72)) // sysServices: end-to-end (layer 4) and application (layer 7)
	counters := &a.Counters
	for i, v := range map[uint32]uint64{1: counters.InPkts, 3: counters.BadVersions, 4: counters.BadCommunity,
		5: counters.BadUses, 6: counters.ParseErrs, 31: counters.SilentDrops, 32: 0} {
		scalar(snmpGroup, i, counter(v))
	}
	scalar(snmpGroup, 30, mib.IntegerValue(2)) // snmpEnableAuthenTraps: disabled
	scalar(engineGroup, 1, ber.Value{Tag: ber.OctetString, Bytes: a.cfg.EngineID})
	scalar(engineGroup, 2, mib.IntegerValue(int64(a.cfg.EngineBoots)))
	scalar(engineGroup, 3, mib.IntegerValue(int64(s.UpTime/time.Second)))
	scalar(engineGroup, 4, mib.IntegerValue(int64(a.cfg.MaxMessageSize)))
	for i, v := range []uint64{counters.UnknownModels, counters.InvalidMsgs, counters.UnknownHandlers} {
		scalar(mpdStatsGroup, uint32(i+1), counter(v))
	}
	for i, v := range a.usmCounters() {
		scalar(usmStatsGroup, uint32(i+1), counter(v))
	}
	slices.SortFunc(vars, func(x, y ber.VarBind) int { return x.Name.Compare(y.Name) })
	a.varBinds = vars
}

// usmCounters returns the counters of the usmStats group in the order of their OIDs.
func (a *Agent) usmCounters() [6]uint64 {
	n := &a.Counters
	return [6]uint64{n.UnsupportedLevels, n.NotInWindow, n.UnknownUsers, n.UnknownEngines, n.WrongDigests, n.DecryptErrors}
}

// Handle processes a request datagram and returns the response, or nil if there is none. now is the time since the engine's
// boot.
func (a *Agent) Handle(now time.Duration, from netip.Addr, datagram []byte) []byte {
	a.Counters.InPkts++
	arrival := a.epoch.Add(now)
	if !a.requestLimit.AllowN(arrival, 1) || a.busyPercent >= a.cfg.BusyPercent && !a.busyLimit.AllowN(arrival, 1) {
		a.Counters.Shed++ // dropped before parsing, so that excess requests cost almost nothing
		return nil
	}
	body, _, err := ber.ReadTagged(ber.Sequence, datagram)
	if err != nil {
		a.Counters.ParseErrs++
		return nil
	}
	version, rest, err := ber.ReadInt32(body)
	switch {
	case err != nil:
		a.Counters.ParseErrs++
		return nil
	case version == 1:
		return a.handleV2c(from, rest)
	case version == 3:
		return a.handleV3(now, datagram, rest)
	}
	a.Counters.BadVersions++
	return nil
}

// handleV2c processes the part of a v2c message that follows the version.
func (a *Agent) handleV2c(from netip.Addr, body []byte) []byte {
	name, rest, err := ber.ReadTagged(ber.OctetString, body)
	var pdu ber.PDU
	if err == nil {
		pdu, err = ber.ReadPDU(rest)
	}
	if err != nil {
		a.Counters.ParseErrs++
		return nil
	}
	for i := range a.cfg.Communities {
		community := &a.cfg.Communities[i]
		if community.Name != string(name) || len(community.Sources) > 0 && !slices.ContainsFunc(community.Sources,
			func(p netip.Prefix) bool { return p.Contains(from) }) {
			continue
		}
		wrap := func(p ber.PDU) []byte {
			body := ber.AppendInteger(nil, 1)
			body = ber.AppendElement(body, ber.OctetString, name)
			return ber.AppendElement(nil, ber.Sequence, ber.AppendPDU(body, p))
		}
		return a.handlePDU(pdu, community.View, a.cfg.MaxMessageSize, wrap)
	}
	a.Counters.BadCommunity++
	return nil
}

// handleV3 processes a v3 message in the order of the steps in RFC 3414, section 3.2. rest is what follows the version.
func (a *Agent) handleV3(now time.Duration, message, rest []byte) []byte {
	counters := &a.Counters
	msg, err := usm.ParseHeader(message, rest)
	switch {
	case err != nil:
		counters.ParseErrs++
		return nil
	case msg.SecurityModel != 3:
		counters.UnknownModels++
		return nil
	case msg.Flags&(usm.FlagAuth|usm.FlagPriv) == usm.FlagPriv, msg.MaxSize < 484, msg.MessageID < 0:
		counters.InvalidMsgs++
		return nil
	case !slices.Equal(msg.EngineID, a.cfg.EngineID):
		counters.UnknownEngines++
		return a.report(now, msg, 4, counters.UnknownEngines, nil)
	}
	var user *User
	for i := range a.cfg.Users {
		if a.cfg.Users[i].Name == msg.UserName {
			user = &a.cfg.Users[i]
		}
	}
	if user == nil {
		counters.UnknownUsers++
		return a.report(now, msg, 3, counters.UnknownUsers, nil)
	}
	if msg.Flags&usm.FlagAuth != 0 && user.Auth == nil || msg.Flags&usm.FlagPriv != 0 && user.PrivKey == nil {
		counters.UnsupportedLevels++
		return a.report(now, msg, 1, counters.UnsupportedLevels, nil)
	}
	if msg.Flags&usm.FlagAuth != 0 {
		if msg.Verify(user.User) != nil {
			counters.WrongDigests++
			return a.report(now, msg, 5, counters.WrongDigests, nil)
		}
		age := int64(now/time.Second) - int64(msg.EngineTime)
		if msg.EngineBoots != a.cfg.EngineBoots || a.cfg.EngineBoots == 1<<31-1 || age > 150 || age < -150 {
			counters.NotInWindow++
			return a.report(now, msg, 2, counters.NotInWindow, user)
		}
	}
	switch err := msg.DecodeScopedPDU(user.User); {
	case err == usm.ErrDecryption:
		counters.DecryptErrors++
		return a.report(now, msg, 6, counters.DecryptErrors, nil)
	case err != nil:
		counters.ParseErrs++
		return nil
	}
	view := user.View
	if msg.Flags&user.MinLevel != user.MinLevel {
		view = &View{} // below the required security level the user may read nothing
	}
	wrap := func(p ber.PDU) []byte { return a.encodeV3(now, msg, p, msg.Flags&^usm.FlagReportable, user) }
	return a.handlePDU(msg.PDU, view, min(a.cfg.MaxMessageSize, int(msg.MaxSize)), wrap)
}

// encodeV3 encodes a v3 message with pdu in response to request. user holds the keys; it may be nil if flags is 0.
func (a *Agent) encodeV3(now time.Duration, request *usm.Message, pdu ber.PDU, flags byte, user *User) []byte {
	out := &usm.Message{MessageID: request.MessageID, MaxSize: int32(a.cfg.MaxMessageSize), Flags: flags, EngineID: a.cfg.EngineID,
		EngineBoots: a.cfg.EngineBoots, EngineTime: int32(now / time.Second), UserName: request.UserName, ContextEngineID: a.cfg.EngineID,
		ContextName: request.ContextName, PDU: pdu}
	a.salt++
	if user == nil {
		return usm.Encode(out, nil, 0)
	}
	return usm.Encode(out, user.User, a.salt)
}

// report returns a Report PDU with a usmStats counter for a rejected request, or nil if the request is not reportable. It is
// authenticated if user is set, which is the case only for requests outside of the time window.
func (a *Agent) report(now time.Duration, request *usm.Message, stat uint32, count uint64, user *User) []byte {
	if request.Flags&usm.FlagReportable == 0 {
		return nil
	}
	var requestID int32
	if request.Flags&usm.FlagPriv == 0 {
		if request.DecodeScopedPDU(nil) == nil {
			requestID = request.PDU.RequestID
		}
	}
	pdu := ber.PDU{Type: ber.Report, RequestID: requestID,
		VarBinds: []ber.VarBind{{Name: usmStatsGroup.Append(stat, 0), Value: mib.UintValue(ber.Counter32, count)}}}
	flags := byte(0)
	if user != nil {
		flags = usm.FlagAuth
	}
	return a.encodeV3(now, request, pdu, flags, user)
}

// handlePDU processes a request PDU (RFC 3416, section 4.2). The encoded response has at most size bytes.
func (a *Agent) handlePDU(request ber.PDU, view *View, size int, wrap func(ber.PDU) []byte) []byte {
	response := ber.PDU{Type: ber.Response, RequestID: request.RequestID}
	switch request.Type {
	case ber.GetRequest:
		for _, varBind := range request.VarBinds {
			response.VarBinds = append(response.VarBinds, ber.VarBind{Name: varBind.Name, Value: a.get(varBind.Name, view)})
		}
	case ber.GetNextRequest:
		for _, varBind := range request.VarBinds {
			response.VarBinds = append(response.VarBinds, a.getNext(varBind.Name, view))
		}
	case ber.GetBulkRequest:
		a.Counters.Requests++
		return a.getBulk(request, view, size, wrap)
	case ber.SetRequest:
		response.ErrorStatus, response.ErrorIndex, response.VarBinds = ber.NotWritable, 1, request.VarBinds
		if len(request.VarBinds) == 0 {
			response.ErrorStatus, response.ErrorIndex = ber.NoError, 0
		}
	default:
		a.Counters.UnknownHandlers++
		return nil
	}
	a.Counters.Requests++
	out := wrap(response)
	if len(out) > size {
		a.Counters.TooBig++
		out = wrap(ber.PDU{Type: ber.Response, RequestID: request.RequestID, ErrorStatus: ber.TooBig})
	}
	if len(out) > size {
		a.Counters.SilentDrops++
		return nil
	}
	return out
}

// search returns the index of an OID in varBinds, or of the first OID after it, and whether it was found.
func (a *Agent) search(oid ber.OID) (int, bool) {
	return slices.BinarySearchFunc(a.varBinds, oid, func(x ber.VarBind, oid ber.OID) int { return x.Name.Compare(oid) })
}

// get returns the value of a single instance, or noSuchInstance or noSuchObject.
func (a *Agent) get(oid ber.OID, view *View) ber.Value {
	i, ok := a.search(oid)
	if ok && view.Contains(oid) {
		return a.varBinds[i].Value
	}
	// RFC 3416, section 4.2.1, distinguishes an object that lacks the requested instance from an unknown object. Instance
	// identifiers have exactly one sub-identifier here.
	for _, object := range []ber.OID{oid, oid[:len(oid)-1]} {
		if j, _ := a.search(object); view.Contains(oid) && j < len(a.varBinds) &&
			len(a.varBinds[j].Name) == len(object)+1 && a.varBinds[j].Name.HasPrefix(object) {
			return ber.Value{Tag: ber.NoSuchInstance}
		}
	}
	return ber.Value{Tag: ber.NoSuchObject}
}

// getNext returns the first variable after oid that is in the view, or endOfMibView.
func (a *Agent) getNext(oid ber.OID, view *View) ber.VarBind {
	i, ok := a.search(oid)
	if ok {
		i++
	}
	for ; i < len(a.varBinds); i++ {
		if view.Contains(a.varBinds[i].Name) {
			return a.varBinds[i]
		}
	}
	return ber.VarBind{Name: oid, Value: ber.Value{Tag: ber.EndOfMIBView}}
}

// getBulk processes a GetBulk request (RFC 3416, section 4.2.3). It leaves out variables that do not fit into size bytes.
func (a *Agent) getBulk(request ber.PDU, view *View, size int, wrap func(ber.PDU) []byte) []byte {
	response := ber.PDU{Type: ber.Response, RequestID: request.RequestID}
	overhead := len(wrap(response)) + 16 // reserve for longer length fields and padding
	used := overhead
	add := func(varBind ber.VarBind) bool {
		n := len(ber.AppendVarBind(nil, varBind))
		if used+n > size {
			return false
		}
		used += n
		response.VarBinds = append(response.VarBinds, varBind)
		return true
	}
	nonRepeaters := min(max(0, int(request.ErrorStatus)), len(request.VarBinds))
	for _, varBind := range request.VarBinds[:nonRepeaters] {
		if !add(a.getNext(varBind.Name, view)) {
			a.Counters.TooBig++
			return wrap(response)
		}
	}
	repeaters := slices.Clone(request.VarBinds[nonRepeaters:])
	for range max(0, request.ErrorIndex) {
		if len(repeaters) == 0 {
			break
		}
		allEnded := true
		for i := range repeaters {
			if repeaters[i].Value.Tag != ber.EndOfMIBView {
				repeaters[i] = a.getNext(repeaters[i].Name, view)
			}
			if !add(repeaters[i]) {
				a.Counters.TooBig++
				return wrap(response)
			}
			allEnded = allEnded && repeaters[i].Value.Tag == ber.EndOfMIBView
		}
		if allEnded {
			break
		}
	}
	return wrap(response)
}
