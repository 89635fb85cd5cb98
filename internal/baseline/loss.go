package baseline

import (
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// LossControl is the client side of loss-based overload control (RFC 7339): servers announce the share of set-ups to hold
// back, and the node holds back that share at random, the calls worth least first.
type LossControl struct {
	*controller
	noFeedback
	lowCount, totalCount float64 // recent set-ups (exponentially decaying), of the lower category and in total
}

// announcedLoss is what a server last announced.
type announcedLoss struct {
	share      float64
	seq        int
	validUntil time.Duration
}

// OfferLossControl adds the parameters to an INVITE for a server by which the client offers loss-based overload control
// (section 4.1).
func OfferLossControl(m *sip.Message) {
	for i := range m.Fields {
		if m.Fields[i].Name == "Via" {
			m.Fields[i].Value += ";oc;oc-algo=\"loss\""
			return
		}
	}
}

// ReadResponse processes the parameters in an answer of a server. Values older than the last ones are ignored (section 4.4).
func (l *LossControl) ReadResponse(now time.Duration, server uint32, m *sip.Message) {
	s := l.serverByID[server]
	via := m.Get("Via")
	if s == nil || !strings.Contains(via, ";oc=") {
		return
	}
	seq, err := strconv.Atoi(sip.ParamValue(via, "oc-seq"))
	if err != nil || seq < s.loss.seq {
		return
	}
	share, err := strconv.ParseFloat(sip.ParamValue(via, "oc"), 64)
	if err != nil || share < 0 || share > 100 {
		return
	}
	validity := 500 * time.Millisecond // the default (section 4.3)
	if ms, err := strconv.Atoi(sip.ParamValue(via, "oc-validity")); err == nil && ms >= 0 {
		validity = time.Duration(ms) * time.Millisecond
	}
	s.loss.share, s.loss.seq, s.loss.validUntil = share/100, seq, now+validity
}

// choose takes a random server and holds the call back according to that server's share (section 7.2). The whole share
// is taken from the lower category as far as that suffices.
func (l *LossControl) choose(ctl *controller, call *openCall) (*server, time.Duration) {
	s := ctl.randomServer()
	if s == nil {
		return nil, 0
	}
	worthSum, classes := 0.0, 0.0
	for i := range ctl.settings.Classes {
		worthSum += ctl.settings.Classes[i].Worth
		classes++
	}
	isLower := ctl.settings.Classes[call.Class].Worth <= worthSum/classes
	const decay = 0.99
	l.totalCount = l.totalCount*decay + 1
	l.lowCount *= decay
	if isLower {
		l.lowCount++
	}
	if ctl.now > s.loss.validUntil || s.loss.share <= 0 {
		return s, 0
	}
	share, lowShare := s.loss.share, l.lowCount/l.totalCount
	drop := 0.0
	switch {
	case isLower && lowShare > 0:
		drop = min(1, share/lowShare)
	case !isLower && share > lowShare:
		drop = (share - lowShare) / (1 - lowShare)
	}
	if ctl.rng.Float64() < drop {
		return nil, 0
	}
	return s, 0
}
