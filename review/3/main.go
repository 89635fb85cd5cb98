// Command 3 plays case 3: a call server is slow while a call at another one ends.
package main

import (
	"fmt"
	"time"

	"larkrouter/review/platform"
)

const (
	hold     = 9 * time.Second         // of a call; meanHoldUs is 9.2 s
	slowWait = 2300 * time.Millisecond // wait at the slow processor; it turns set-ups away from 2.4 to 3.6 s on
	slowFor  = 16 * time.Second        // the site's trouble "slow" lasts 15 to 32 s
	rounds   = 3
)

func main() { platform.Play(play) }

func play(c *platform.Case) (platform.Verdict, error) {
	var none platform.Verdict
	d, err := c.Deploy(3)
	if err != nil {
		return none, err
	}
	for _, s := range d.Servers {
		s.Set(4*time.Millisecond, hold)
	}
	if err := d.StartNode(); err != nil {
		return none, err
	}
	call := uint64(0x9b1f0001)
	for range rounds {
		// A call stands at a sound server, and its caller closes the idle connection after 4 s.
		if _, err := d.Place(call, 0); err != nil {
			return none, err
		}
		time.Sleep(hold - 200*time.Millisecond)
		if c.Trouble {
			d.Servers[2].Set(slowWait, hold)
			c.Add(d.Servers[2].ID, "is slow from now on")
		}
		// Shortly before the end of that call another caller calls, whose server of first choice is the slow one.
		if _, err := d.Place(call+1, 2); err != nil {
			return none, err
		}
		time.Sleep(slowFor) // the second call ends too, and its connection is closed
		if c.Trouble {
			d.Servers[2].Set(4*time.Millisecond, hold)
			c.Add(d.Servers[2].ID, "is sound again")
		}
		time.Sleep(500 * time.Millisecond)
		call += 2
	}
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
