package standin

import (
	"strconv"
	"strings"
	"time"

	"larkrouter/internal/sip"
)

// lossControl is the server's side of overload control by loss (RFC 7339): how large a share of the set-ups it wants its
// clients to hold back. RFC 7339 leaves to the server how it finds the share; here it is looked at every lossEvery, and
// goes up while more than lossGoal waits, in proportion, and down while less does.
type lossControl struct {
	share float64
	seq   int
	at    time.Duration
}

const (
	lossEvery = 250 * time.Millisecond
	lossGoal  = 300 * time.Millisecond
	lossValid = 500 * time.Millisecond // oc-validity's default (section 4.3)
)

// mark fills the parameters in that the client's Via asks for (sections 4.1 to 4.4).
func (l *lossControl) mark(s *CallServer, r *sip.Message) {
	via := r.Get("Via")
	if !strings.Contains(via, ";oc;") {
		return
	}
	if s.now-l.at >= lossEvery {
		l.at = s.now
		l.seq++
		over := float64(s.Wait()-lossGoal) / float64(lossGoal)
		l.share = min(max(l.share+0.1*min(max(over, -1), 1), 0), 0.95)
	}
	told := ";oc=" + strconv.Itoa(int(100*l.share+0.5)) + ";oc-validity=" + strconv.Itoa(int(lossValid/time.Millisecond)) +
		";oc-seq=" + strconv.Itoa(l.seq) + ";"
	for i := range r.Fields {
		if r.Fields[i].Name == "Via" { // the topmost is the client's
			r.Fields[i].Value = strings.Replace(via, ";oc;", told, 1)
			break
		}
	}
}
