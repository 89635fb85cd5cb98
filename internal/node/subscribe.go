package node

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"larkrouter"
	"larkrouter/internal/pool"
	"larkrouter/internal/sip"
	"larkrouter/internal/sip/transaction"
	"larkrouter/internal/timers"
)

// subscription is the node's subscription to its list server (RFC 6665). The decision module
// (larkrouter.Controller) decides when to subscribe again after a failure.
type subscription struct {
	node      *Node
	state     subState
	callID    string
	localTag  string
	remote    string // To field with the notifier's tag
	target    string
	notifier  sip.Peer
	localSeq  uint32
	remoteSeq uint32
	refresh   timers.Timer
	expiry    timers.Timer
}

// subState is the state of the subscription.
type subState uint8

const (
	subInactive subState = iota
	subPending
	subActive
)

var errNotifyTimeout = errors.New("no NOTIFY received in time")

// setActive subscribes or unsubscribes, as the module decides. Unlike unsubscribe, it does nothing if the current
// configuration has no list server.
func (s *subscription) setActive(on bool) {
	if !s.node.cfg.ListServer.Addr.IsValid() {
		return
	}
	if !on {
		if s.state == subActive {
			s.sendSubscribe(0)
		}
		s.reset()
		return
	}
	s.subscribe()
}

// fetchFullList requests the whole list, which is the content of the first NOTIFY of a new subscription.
func (s *subscription) fetchFullList() {
	if s.node.cfg.ListServer.Addr.IsValid() {
		s.subscribe()
	}
}

// subscribe starts a new subscription in its own dialog. The first NOTIFY of a subscription holds the whole list.
func (s *subscription) subscribe() {
	s.reset()
	s.state = subPending
	s.callID, s.localTag = s.node.ident.NewToken()+s.node.ident.NewToken(), s.node.ident.NewToken()
	s.notifier = s.node.cfg.ListServer
	s.target = "sip:pool@" + sip.HostPort(s.notifier.Addr)
	s.remote, s.localSeq, s.remoteSeq = "<"+s.target+">", 0, 0
	s.node.list.ResetVersion()
	s.sendSubscribe(s.node.cfg.ListExpires)
	s.node.timers.Set(&s.expiry, s.node.now+64*s.node.transactions.Times.T1, func() { s.fail(errNotifyTimeout) }) // timer N of RFC 6665
}

// reset discards the subscription without a message to the list server.
func (s *subscription) reset() {
	s.state = subInactive
	s.node.timers.Stop(&s.refresh)
	s.node.timers.Stop(&s.expiry)
}

// sendSubscribe sends a SUBSCRIBE; expires 0 ends the subscription.
func (s *subscription) sendSubscribe(expires time.Duration) {
	s.localSeq++
	req := sip.NewRequest(sip.SUBSCRIBE, s.target,
		"<sip:"+s.userName()+"@"+s.node.ident.SentBy(s.notifier.Transport)+">;tag="+s.localTag, s.remote, s.callID, s.localSeq, 70)
	req.Add("Event", pool.Event)
	req.Add("Expires", strconv.Itoa(int(expires/time.Second)))
	req.Add("Accept", pool.ContentType)
	req.Add("Contact", s.node.ident.Contact(s.notifier.Transport))
	var owner any
	if expires > 0 {
		owner = s
	}
	s.node.startRequest(req, s.notifier, owner)
}

// userName returns the name by which the list server identifies this node.
func (s *subscription) userName() string {
	if s.node.cfg.Name != "" {
		return s.node.cfg.Name
	}
	return "node"
}

// unsubscribe ends the subscription to a list server that is no longer used.
func (s *subscription) unsubscribe() {
	if s.state == subActive {
		s.sendSubscribe(0)
	}
	s.reset()
}

// onResponse handles a response to SUBSCRIBE.
func (s *subscription) onResponse(resp *sip.Message) {
	if s.state == subInactive || resp.Status < 200 || resp.Tag("From") != s.localTag {
		return
	}
	if resp.Status >= 300 {
		s.fail(errors.New("SUBSCRIBE answered with status " + strconv.Itoa(resp.Status)))
		return
	}
	s.updateDialog(resp, "To")
	if expires, ok := sip.ParseDeltaSeconds(resp.Get("Expires")); ok && expires > 0 {
		s.scheduleRefresh(expires)
	}
}

// updateDialog takes the notifier's tag and target from a message.
func (s *subscription) updateDialog(msg *sip.Message, field string) {
	if strings.Contains(s.remote, ";tag=") {
		return
	}
	if tag := msg.Tag(field); tag != "" {
		s.remote += ";tag=" + tag
	}
	if contact, err := sip.ParseAddress(msg.Get("Contact")); err == nil {
		s.target = contact.URI.String()
		if peer, ok := contact.URI.Peer(); ok && s.notifier.Transport == sip.UDP {
			s.notifier = peer
		}
	}
}

// scheduleRefresh sets the refresh timer, to three quarters of the duration, and the expiry timer.
func (s *subscription) scheduleRefresh(expires time.Duration) {
	s.node.timers.Set(&s.refresh, s.node.now+expires*3/4, func() { s.sendSubscribe(s.node.cfg.ListExpires) })
	s.node.timers.Set(&s.expiry, s.node.now+expires, func() { s.fail(errors.New("subscription expired")) })
}

// onTransportError handles a SUBSCRIBE that timed out or could not be sent.
func (s *subscription) onTransportError(err error) {
	if s.state != subInactive {
		s.fail(err)
	}
}

// fail reports a failure to the module, which keeps its list and subscribes again.
func (s *subscription) fail(err error) {
	n := s.node
	s.reset()
	n.Stats.ListFailures++
	if n.listState != ListUnknown {
		n.listState = ListSourceLost
	}
	n.emitRecord(LogRecord{Level: Warn, Event: "list", Cause: "list server " + n.cfg.ListServer.String() + ": " + err.Error() +
		"; keeping list version " + strconv.FormatUint(n.list.Version(), 10) + " and fleet size " +
		strconv.FormatFloat(n.fleet.Estimate(), 'f', 0, 64), Peer: n.cfg.ListServer})
	n.notifyModule(larkrouter.ServerList{Kind: larkrouter.ListFailed})
}

// matches reports whether a request belongs to the subscription's dialog.
func (s *subscription) matches(tag string, req *sip.Message) bool {
	return s.state != subInactive && tag == s.localTag && req.Get("Call-ID") == s.callID
}

// onNotify handles a NOTIFY with a list document.
func (s *subscription) onNotify(tx *transaction.Server, req *sip.Message) {
	n := s.node
	switch {
	case req.Method != sip.NOTIFY:
		n.reject(tx, req, 405, sip.Field{Name: "Allow", Value: sip.NOTIFY})
		return
	case req.Get("Event") != pool.Event:
		n.reject(tx, req, 489)
		return
	case tx.From.Addr.Addr() != n.cfg.ListServer.Addr.Addr():
		n.reject(tx, req, 403) // a list from an unknown peer could redirect every call
		return
	}
	cseq, _, _ := req.CSeq()
	if s.remoteSeq != 0 && cseq <= s.remoteSeq {
		n.reject(tx, req, 500)
		return
	}
	s.remoteSeq = cseq
	s.updateDialog(req, "From")
	tx.Respond(sip.NewResponse(req, 200, "", ""))
	state, _, _ := strings.Cut(req.Get("Subscription-State"), ";")
	if strings.EqualFold(strings.TrimSpace(state), "terminated") {
		s.fail(errors.New("subscription ended: " + req.Get("Subscription-State")))
		return
	}
	s.state = subActive
	if expires, ok := sip.ParseDeltaSeconds(sip.ParamValue(req.Get("Subscription-State"), "expires")); ok && expires > 0 {
		s.scheduleRefresh(expires)
	}
	if len(req.Body) == 0 {
		return
	}
	document, err := pool.Parse(req.Body)
	var update pool.Update
	if err == nil {
		update, err = n.list.Apply(n.now, document)
	}
	switch {
	case err == nil:
		n.Stats.ListUpdates++
		n.applyListUpdate(update)
	case errors.Is(err, pool.ErrStaleVersion): // a duplicate or delayed document is ignored
	case errors.Is(err, pool.ErrVersionGap):
		n.Stats.ListVersionGaps++
		n.emitRecord(LogRecord{Level: Warn, Event: "list", Cause: err.Error()})
		s.subscribe() // requests the whole list; the old one stays in use until it arrives
	default:
		s.fail(err)
	}
}
