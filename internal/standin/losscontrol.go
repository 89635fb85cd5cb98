package standin

import (
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// lossControl is the server side of loss-based overload control (RFC 7339): the share of set-ups that clients are asked to
// hold back. RFC 7339 leaves the calculation of the share to the server. Here it is adjusted every lossInterval: it rises
// in proportion to the wait above lossTargetWait and falls while the wait is below it.
type lossControl struct {
	share     float64
	seq       int
	updatedAt time.Duration
}

const (
	lossInterval   = 250 * time.Millisecond // minimum time between adjustments of the share
	lossTargetWait = 300 * time.Millisecond // wait at which the share stays as it is
	lossValidity   = 500 * time.Millisecond // oc-validity's default (section 4.3)
)

// addParams fills in the parameters that the client's Via asks for (sections 4.1 to 4.4).
func (l *lossControl) addParams(s *CallServer, r *sip.Message) {
	via := r.Get("Via")
	if !strings.Contains(via, ";oc;") {
		return
	}
	if s.now-l.updatedAt >= lossInterval {
		l.updatedAt = s.now
		l.seq++
		excess := float64(s.ExpectedWait()-lossTargetWait) / float64(lossTargetWait)
		l.share = min(max(l.share+0.1*min(max(excess, -1), 1), 0), 0.95)
	}
	params := ";oc=" + strconv.Itoa(int(100*l.share+0.5)) + ";oc-validity=" + strconv.Itoa(int(lossValidity/time.Millisecond)) +
		";oc-seq=" + strconv.Itoa(l.seq) + ";"
	for i := range r.Fields {
		if r.Fields[i].Name == "Via" { // the topmost Via is the client's
			r.Fields[i].Value = strings.Replace(via, ";oc;", params, 1)
			break
		}
	}
}
