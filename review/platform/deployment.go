package platform

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// End is the end of a call that stood: the server has released it, or it is over without a word.
type End struct {
	Call     uint64
	Server   string
	At       time.Duration
	Released bool // a release was written to a connection
}

// Ends are the ends of all calls that stood, as the call servers know them.
type Ends struct {
	mu   sync.Mutex
	list []End
}

func (e *Ends) add(end End) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, end)
}

// All returns the ends so far, in order.
func (e *Ends) All() []End {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// Limits of the rule on sockets: every time limit is 50 ms longer.
const (
	Slack         = 50 * time.Millisecond
	ReleaseLimit  = time.Second + Slack     // from the release by the call server to the release towards the client
	SilentLimit   = 8*time.Second + Slack   // from the end, if no release could be sent
	IdleClose     = 4 * time.Second         // after that callers close a connection without a call on it
	TryTime       = 3150 * time.Millisecond // a try is given up after 0.35 of the deadline of 9 s
	balanceCheck  = "balance-check"
	firstServerID = "s-00c41f7"
)

// Deployment is a small deployment: one access node, call servers, the command channel and callers.
type Deployment struct {
	*Case
	Ends    *Ends
	Events  *Events
	Channel *Channel
	Servers []*Server
	Node    *Node
	Callers *Callers
}

// Deploy starts everything but the access node.
func (c *Case) Deploy(servers int) (*Deployment, error) {
	d := &Deployment{Case: c, Ends: &Ends{}, Events: NewEvents()}
	var members []Member
	for i := range servers {
		s, err := NewServer(fmt.Sprint(firstServerID, i), i, "127.0.0.1:0", c.Record, d.Ends)
		if err != nil {
			return nil, err
		}
		d.Servers, members = append(d.Servers, s), append(members, s.Member("up", 0))
	}
	d.Events.Publish(true, members...)
	var err error
	if d.Channel, err = NewChannel("channel", c.Record, d.Events); err != nil {
		return nil, err
	}
	if d.Node, err = c.Node("n0"); err != nil {
		return nil, err
	}
	d.Callers = NewCallers(d.Node.Listen, c.Record)
	return d, nil
}

// StartNode writes the configuration, starts the access node and waits until it is ready.
func (d *Deployment) StartNode() error {
	if err := d.Node.Configure(d.Channel.Addr(), d.Events.Known(), Settings(1, len(d.Servers), 0)); err != nil {
		return err
	}
	return d.Node.Start()
}

// Place opens a connection for one call to a server of first choice. The caller closes the connection when no call has
// been on it for 4 s.
func (d *Deployment) Place(call uint64, cell int) (*CallerConn, error) {
	conn, err := d.Callers.Open()
	if err != nil {
		return nil, err
	}
	if err := conn.Invite(call, balanceCheck, TryTime, fmt.Sprintf("dest:%d;width:1;via:-1", cell)); err != nil {
		return nil, err
	}
	go func() {
		answered := d.Now()
		for d.Now() < answered+IdleClose {
			if at, ok := d.Callers.IsFinal(call); ok {
				answered = at
			} else {
				answered = d.Now()
			}
			select {
			case <-conn.Closed:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		conn.Close()
	}()
	return conn, nil
}

// LateReleases checks, for every call that was answered and is over, when its callers were told. It returns a line for
// each that was told too late or not at all by now. While no connection from callers is open, no limit runs.
func (d *Deployment) LateReleases() (late []string, checked int) {
	for _, end := range d.Ends.All() {
		if _, stood := d.Callers.Stands(end.Call); !stood {
			continue
		}
		by, couldBeTold := d.Callers.ReachableBy(end.At, ReleaseLimit)
		what := "released by its server"
		if !end.Released {
			by, what = max(by, end.At+SilentLimit), "over without a word at"
		}
		if !couldBeTold || d.Now() < by {
			continue
		}
		checked++
		switch at, told := d.Callers.Released(end.Call); {
		case !told:
			late = append(late, fmt.Sprintf("%016x: %s %s at %.3f s, its caller was never told", end.Call, what, end.Server, end.At.Seconds()))
		case at > by:
			late = append(late, fmt.Sprintf("%016x: %s %s at %.3f s, its caller was told %.3f s later", end.Call, what, end.Server,
				end.At.Seconds(), (at-end.At).Seconds()))
		}
	}
	return late, checked
}

// StandingAtServers returns how many calls stand at the call servers.
func (d *Deployment) StandingAtServers() (count int) {
	for _, s := range d.Servers {
		count += s.Standing()
	}
	return count
}
