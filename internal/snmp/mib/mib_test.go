package mib

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sleepinggenius2/gosmi"
	"github.com/sleepinggenius2/gosmi/types"

	"larkrouter/internal/snmp/ber"
)

// full has a row in every table.
func full() *Snapshot {
	return &Snapshot{Classes: []Class{{Name: "a"}, {Name: "b"}}, Servers: []Server{{ID: 7}}, Levels: []Level{{Name: "l"}}}
}

// The module in mibs/ is the one that the table makes, and a parser that knows nothing of the table reads from it
// exactly the objects that the agent serves: identifier, type, access and index, none missing, none unlisted.
func TestModuleAndAgentAgree(t *testing.T) {
	file, err := os.ReadFile("../../../mibs/LARKROUTER-MIB.txt")
	if err != nil {
		t.Fatal(err)
	}
	if string(file) != Module(Arc) {
		t.Error("mibs/LARKROUTER-MIB.txt is old: larkrouter snmp mib prints the one that is right")
	}
	dir := t.TempDir()
	for _, name := range []string{"SNMPv2-SMI", "SNMPv2-TC", "SNMPv2-CONF"} {
		b, err := os.ReadFile("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(dir+"/"+name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(dir+"/LARKROUTER-MIB", file, 0o600); err != nil {
		t.Fatal(err)
	}
	gosmi.Init()
	defer gosmi.Exit()
	gosmi.SetPath(dir)
	if _, err := gosmi.LoadModule("LARKROUTER-MIB"); err != nil {
		t.Fatal(err)
	}
	module, err := gosmi.GetModule("LARKROUTER-MIB")
	if err != nil {
		t.Fatal(err)
	}
	served := map[string]ber.Value{} // by object
	for _, v := range full().Vars(Arc) {
		served[v.Name[:len(v.Name)-1].String()] = v.Value
	}
	tags := map[types.BaseType][]byte{types.BaseTypeInteger32: {ber.Integer}, types.BaseTypeEnum: {ber.Integer},
		types.BaseTypeOctetString: {ber.OctetString}, types.BaseTypeUnsigned32: {ber.Counter32, ber.Gauge32, ber.TimeTicks},
		types.BaseTypeUnsigned64: {ber.Counter64}}
	objects, notes := 0, 0
	for _, n := range module.GetNodes() {
		oid := n.RenderNumeric()
		switch n.Kind {
		case types.NodeScalar, types.NodeColumn:
			v, ok := served[oid]
			delete(served, oid)
			objects++
			if n.Access == types.AccessNotAccessible {
				if ok {
					t.Errorf("%s is an index and served", n.Name)
				}
				continue
			}
			if !ok || n.Access != types.AccessReadOnly {
				t.Errorf("%s (%s): served %v, access %v", n.Name, oid, ok, n.Access)
				continue
			}
			if n.Type == nil || !strings.ContainsRune(string(tags[n.Type.BaseType]), rune(v.Tag)) {
				t.Errorf("%s: type %v, served with tag %#x", n.Name, n.Type, v.Tag)
			}
			want, o, found := Find(Arc, n.Name)
			if !found || want.String() != oid || o.Kind.Tag != v.Tag {
				t.Errorf("%s: table has %v", n.Name, want)
			}
		case types.NodeRow:
			if idx := n.GetIndex(); len(idx) != 1 {
				t.Errorf("%s has %d index objects", n.Name, len(idx))
			}
		case types.NodeNotification:
			notes++
		}
	}
	for oid := range served {
		t.Errorf("%s is served and not in the module", oid)
	}
	if objects < 100 || notes != len(Notifications) {
		t.Errorf("%d objects, %d notifications were read", objects, notes)
	}
}

// Counter32 wraps beside its Counter64; a manager that takes differences over the wrap is right; sysUpTime wraps.
func TestWraps(t *testing.T) {
	s := full()
	oid, _, _ := Find(Arc, "larkClassOffered")
	hc, _, _ := Find(Arc, "larkClassHCOffered")
	value := func(o ber.OID) uint64 {
		for _, v := range s.Vars(Arc) {
			if v.Name.Compare(o.With(1)) == 0 {
				return v.Value.Uint
			}
		}
		t.Fatalf("no %v", o)
		return 0
	}
	s.Classes[0].Counts[0] = 1<<32 - 3
	before, before64 := value(oid), value(hc)
	s.Classes[0].Counts[0] += 10
	after, after64 := value(oid), value(hc)
	if uint32(after)-uint32(before) != 10 || after != 7 || after64-before64 != 10 {
		t.Errorf("%d to %d, %d to %d", before, after, before64, after64)
	}
	if a, b := Ticks(497*24*time.Hour), Ticks(498*24*time.Hour); b.Uint >= a.Uint || uint32(b.Uint)-uint32(a.Uint) != 24*3600*100 {
		t.Errorf("sysUpTime %d, a day later %d", a.Uint, b.Uint)
	}
	if Num(ber.Gauge32, 1<<40).Uint != 1<<32-1 {
		t.Error("a gauge wrapped")
	}
}
