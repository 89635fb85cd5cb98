package admit

import (
	"testing"
	"time"
)

// Who is closed when, and who gives way.
func TestAdmit(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		conn Conn
		at   time.Duration
		over bool
	}{
		"silent, young":        {Conn{Opened: s, Used: s}, 3 * s, false},
		"silent":               {Conn{Opened: s, Used: s}, 3*s + s/2, true},
		"busy":                 {Conn{Opened: s, Used: s, Part: s, Open: 1}, 60 * s, false},
		"proven, idle a while": {Conn{Opened: s, Used: s, Proven: true}, 8 * s, false},
		"proven, idle":         {Conn{Opened: s, Used: s, Proven: true}, 9 * s, true},
		"half a message":       {Conn{Opened: s, Used: 9 * s, Part: 8 * s, Proven: true}, 10 * s, true},
	} {
		if c.conn.Over(c.at) != c.over {
			t.Errorf("%s: closed %v", name, !c.over)
		}
	}
	proven, fresh, old := &Conn{Proven: true, Used: s}, &Conn{Used: 3 * s}, &Conn{Used: 2 * s}
	if !fresh.YieldsTo(proven) || proven.YieldsTo(fresh) || !old.YieldsTo(fresh) || fresh.YieldsTo(old) {
		t.Error("who gives way: first what is unproven, then what is idle longest")
	}
	if (&Conn{Open: openMost}).Takes() || !(&Conn{Open: openMost - 1}).Takes() {
		t.Error("set-ups open on one connection are not bounded")
	}
	if callers, all := Shares(300); callers*3 < 300 || all <= callers || all >= 300 {
		t.Errorf("of 300 descriptors %d for callers, %d in all", callers, all)
	}
}
