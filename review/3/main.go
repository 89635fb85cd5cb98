// Command 3 plays case 3: the command channel is slow to answer.
package main

import (
	"fmt"
	"time"

	"larkrouter/review/platform"
)

const (
	slowness   = 2500 * time.Millisecond // from a request to the first byte of its answer
	toldLatest = 4 * time.Second         // what the channel has to tell counts as told by then, at the latest
	drainGrace = time.Second             // drainGraceUs of the settings
)

func main() { platform.Play(play) }

func play(c *platform.Case) (platform.Verdict, error) {
	var none platform.Verdict
	d, err := c.Deploy(3)
	if err != nil {
		return none, err
	}
	if c.Trouble {
		d.Channel.Delay = func() time.Duration { return slowness }
	}
	if err := d.StartNode(); err != nil {
		return none, err
	}
	stop := time.Now().Add(30 * time.Second)
	go func() {
		for call := uint64(0x9b1f0001); time.Now().Before(stop); call++ {
			if _, err := d.Place(call, int(call%3)); err != nil {
				c.Add("caller", "cannot place %016x: %v", call, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.Sleep(10 * time.Second)
	draining := d.Servers[2]
	published := c.Now()
	d.Events.Publish(false, draining.Member("draining", 0))
	c.Add("channel", "published: %s drains", draining.ID)
	time.Sleep(time.Until(stop))
	limit := published + toldLatest + drainGrace + platform.Slack
	before, _ := draining.SetUpsAfter(0)
	count, last := draining.SetUpsAfter(limit)
	if before == 0 {
		return none, fmt.Errorf("no set-up reached %s", draining.ID)
	}
	return platform.Verdict{Broken: count > 0,
		Text: fmt.Sprintf("%d set-ups reached %s more than %v after its drain was in the channel, the last one %.1f s after it", count,
			draining.ID, limit-published, max(0, last-published).Seconds())}, nil
}
