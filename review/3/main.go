// Command 3 plays case 3: after a planned restart of the access node a call server is lost for 5 s and returns cold.
package main

import (
	"fmt"
	"syscall"
	"time"

	"larkrouter/review/platform"
)

const (
	hold      = 9200 * time.Millisecond // of a call; meanHoldUs of its class
	lostFor   = 5 * time.Second         // "a zone is lost for 5 s (without zones, three in ten call servers)"
	killAfter = 3700 * time.Millisecond // SIGKILL comes no sooner after SIGTERM: 3 s, as the longest deadline is longer, plus 0.7 s
	addNotice = 500 * time.Millisecond  // from the return to its entry in the list; add_s is 0.21 to 2.5 s
	tellsFor  = 100 * time.Millisecond  // from the last state of the server to its loss; it tells its state once a second
)

func main() { platform.Play(play) }

func play(c *platform.Case) (platform.Verdict, error) {
	var none platform.Verdict
	d, err := c.Deploy(4)
	if err != nil {
		return none, err
	}
	for _, s := range d.Servers {
		s.Set(4*time.Millisecond, hold)
	}
	go func() { // calls of other access nodes: the state changes all the time
		for i := 0; ; i++ {
			for _, s := range d.Servers {
				s.SetOthers(20 + i%7)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	if err := d.StartNode(); err != nil {
		return none, err
	}
	const first = uint64(0x9b1f0001)
	for i := range uint64(3) {
		if _, err := d.Place(first+i, 3); err != nil {
			return none, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.Node.Signal(syscall.SIGTERM)
	if !d.Node.WaitEnd(killAfter) {
		return none, fmt.Errorf("the access node did not end by itself")
	}
	if err := d.StartNode(); err != nil {
		return none, err
	}
	conn, err := d.Callers.Open()
	if err != nil {
		return none, err
	}
	for i := range uint64(3) {
		if err := conn.Invite(first+i, "balance-check", platform.TryTime, "dest:3;width:1;via:-1;at:"+d.Servers[3].ID); err != nil {
			return none, err
		}
	}
	stop := time.Now().Add(24 * time.Second)
	go func() {
		for call := first + 0x100; time.Now().Before(stop); call++ {
			if _, err := d.Place(call, int(call%3)); err != nil {
				c.Add("caller", "cannot place %016x: %v", call, err)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
	time.Sleep(2 * time.Second)
	if c.Trouble {
		lost := d.Servers[3]
		for told := lost.ToldAt(); lost.ToldAt().Equal(told); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(tellsFor)
		lostAt := time.Now()
		if err := lost.Lose(); err != nil {
			return none, err
		}
		time.Sleep(time.Until(lostAt.Add(lostFor)))
		if err := lost.Return(); err != nil {
			return none, err
		}
		started := time.Now()
		time.Sleep(addNotice)
		d.Events.Publish(false, lost.Member("up", started.UnixMilli()))
	}
	time.Sleep(time.Until(stop))
	late, checked := d.LateReleases()
	for _, line := range late {
		c.Add("check", "%s", line)
	}
	if checked == 0 {
		return none, fmt.Errorf("no call that stood has ended")
	}
	return platform.Verdict{Broken: len(late) > 0,
		Text: fmt.Sprintf("of %d calls that stood and are over, %d were released towards their callers too late or not at all", checked,
			len(late))}, nil
}
