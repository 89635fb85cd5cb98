// Command 1 plays case 1: a bad client names calls that no call server knows.
package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"larkrouter/review/platform"
)

const (
	memoryMB = 192              // the most that the platform allows on scored days
	badFor   = 60 * time.Second // how long the bad client goes on
	atOnce   = 100              // set-ups in one write
)

func main() { platform.Play(play) }

func play(c *platform.Case) (platform.Verdict, error) {
	var none platform.Verdict
	d, err := c.Deploy(3)
	if err != nil {
		return none, err
	}
	d.Node.MemoryMB = memoryMB
	if err := d.StartNode(); err != nil {
		return none, err
	}
	stop := time.Now().Add(5*time.Second + badFor)
	go func() {
		for call := uint64(0x9b1f0001); time.Now().Before(stop); call++ {
			if _, err := d.Place(call, int(call%3)); err != nil {
				return // the access node has been killed
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	before := d.Node.AnonymousMB()
	c.Add("n0", "uses %d MB of %d", before, memoryMB)
	var bad badClient
	if c.Trouble {
		go bad.send(d, stop)
	}
	used := before
	for last := time.Now(); time.Now().Before(stop); time.Sleep(20 * time.Millisecond) {
		if d.Node.HasEnded() {
			return platform.Verdict{Broken: true, Text: "the access node has ended by itself"}, nil
		}
		used = d.Node.AnonymousMB()
		if time.Since(last) > time.Second {
			last = time.Now()
			c.Add("n0", "uses %d MB of %d", used, memoryMB)
		}
		if used > memoryMB {
			standing := d.StandingAtServers()
			c.Add("platform", "the access node uses %d MB, over its limit of %d, and is killed", used, memoryMB)
			d.Node.Signal(syscall.SIGKILL)
			return platform.Verdict{Broken: true, Text: fmt.Sprintf("from %d MB before the bad client the access node went over its limit of "+
				"%d MB and was killed; %d calls stood", before, memoryMB, standing)}, nil
		}
	}
	return platform.Verdict{Text: fmt.Sprintf("the access node used %d MB at the end, of %d", used, memoryMB)}, nil
}

// badClient sends set-ups that name calls which stand nowhere, with ids that it makes up, at full speed on one
// connection; when it is turned away it comes again.
type badClient struct{ lastID uint64 }

func (b *badClient) send(d *platform.Deployment, stop time.Time) {
	b.lastID = 0xbad0000000000000
	for time.Now().Before(stop) && !d.Node.HasEnded() {
		conn, err := d.Callers.Open()
		if err != nil {
			return
		}
		for first := true; time.Now().Before(stop); first = false {
			var text strings.Builder
			for range atOnce {
				b.lastID++
				fmt.Fprintf(&text, "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %016x\r\nCSeq: 1 INVITE\r\n"+
					"X-Tier: balance-check\r\nX-Attrs: dest:1;width:1;via:-1;at:%s\r\nContent-Length: 0\r\n\r\n", b.lastID, d.Servers[1].ID)
			}
			if first {
				d.Add("bad client", "sends set-ups with `at` under made-up ids from %016x on, the first of them:\n%s", b.lastID-atOnce+1,
					strings.SplitAfter(text.String(), "\r\n\r\n")[0])
			}
			if err := conn.Send(text.String()); err != nil {
				break
			}
		}
		d.Add("bad client", "has sent set-ups up to %016x", b.lastID)
		conn.Close()
	}
}
