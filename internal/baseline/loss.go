package baseline

import (
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// Loss is overload control by loss as a client does it (RFC 7339): servers tell which share of the set-ups they want
// held back, and the node holds back so many by chance, the calls worth least first.
type Loss struct {
	*frame
	quiet
	low, all float64 // set-ups of late, of the lower category and in total
}

// lossTold is what a server told.
type lossTold struct {
	share float64
	seq   int
	until time.Duration
}

// Ask marks an INVITE on its way to a server: the client takes part in overload control by loss (section 4.1).
func Ask(m *sip.Message) {
	for i := range m.Fields {
		if m.Fields[i].Name == "Via" {
			m.Fields[i].Value += ";oc;oc-algo=\"loss\""
			return
		}
	}
}

// Told takes a server's answer; what is older than what it told before is not taken (section 4.4).
func (l *Loss) Told(now time.Duration, server uint32, m *sip.Message) {
	s := l.by[server]
	via := m.Get("Via")
	if s == nil || !strings.Contains(via, ";oc=") {
		return
	}
	seq, err := strconv.Atoi(sip.Param(via, "oc-seq"))
	if err != nil || seq < s.loss.seq {
		return
	}
	share, err := strconv.ParseFloat(sip.Param(via, "oc"), 64)
	if err != nil || share < 0 || share > 100 {
		return
	}
	validity := 500 * time.Millisecond // the default (section 4.3)
	if ms, err := strconv.Atoi(sip.Param(via, "oc-validity")); err == nil && ms >= 0 {
		validity = time.Duration(ms) * time.Millisecond
	}
	s.loss.share, s.loss.seq, s.loss.until = share/100, seq, now+validity
}

// choose takes some server and holds the call back by what it told (section 7.2): all that is asked for comes out of the
// lower category as far as that has so much.
func (l *Loss) choose(f *frame, c *call) (*server, time.Duration) {
	s := f.some()
	if s == nil {
		return nil, 0
	}
	mean, shares := 0.0, 0.0
	for i := range f.set.Classes {
		mean += f.set.Classes[i].Worth
		shares++
	}
	lower := f.set.Classes[c.Class].Worth <= mean/shares
	const keep = 0.99
	l.all = l.all*keep + 1
	l.low *= keep
	if lower {
		l.low++
	}
	if f.now > s.loss.until || s.loss.share <= 0 {
		return s, 0
	}
	want, low := s.loss.share, l.low/l.all
	drop := 0.0
	switch {
	case lower && low > 0:
		drop = min(1, want/low)
	case !lower && want > low:
		drop = (want - low) / (1 - low)
	}
	if f.rng.Float64() < drop {
		return nil, 0
	}
	return s, 0
}
