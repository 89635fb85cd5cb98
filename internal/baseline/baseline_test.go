package baseline

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larkrouter"
	_ "larkrouter/internal/seed"
	"larkrouter/internal/sip"
)

func settings() larkrouter.Settings {
	return larkrouter.Settings{Instances: 3, Tick: time.Millisecond, ReleaseGuard: 300 * time.Millisecond, MaxAttempts: 3,
		Classes: []larkrouter.Class{{Name: "low", Aim: time.Second, Deadline: 9 * time.Second, Worth: 1},
			{Name: "high", Aim: time.Second, Deadline: 9 * time.Second, Worth: 8}}}
}

func list(phases ...larkrouter.Phase) larkrouter.ServerList {
	l := larkrouter.ServerList{Kind: larkrouter.ListFull, Version: 1}
	for i, p := range phases {
		l.Servers = append(l.Servers, larkrouter.ServerInfo{ID: uint32(i + 1), Number: i, Phase: p})
	}
	return l
}

// told is a server's answer with overload control.
func told(params string) *sip.Message {
	m := sip.NewRequest(sip.INVITE, "sip:1@h", "<sip:7@h>;tag=f", "<sip:1@h>", "id", 1, 70)
	m.Push("Via", "SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bKx"+params)
	return m
}

// A client holds back the share that it was told, out of the lower category as far as that has so much, and no longer
// than that is valid; what is older than what it knows, or nonsense, changes nothing.
func TestLossHoldsBackWhatItIsTold(t *testing.T) {
	for _, c := range []struct{ share, low, high float64 }{{0, 0, 0}, {0.3, 0.375, 0}, {0.8, 1, 0}, {0.9, 1, 0.5}, {1, 1, 1}} {
		d, err := New("loss", settings(), 5, nil)
		if err != nil {
			t.Fatal(err)
		}
		l := d.(*Loss)
		l.Handle(0, list(larkrouter.Ready))
		l.Told(0, 1, told(fmt.Sprintf(`;oc=%.0f;oc-validity=90000;oc-seq=7;oc-algo="loss"`, 100*c.share)))
		for _, stale := range []string{";oc=99;oc-seq=6", ";oc=150;oc-seq=8", ";oc=x;oc-seq=9", ";oc=50", ";oc;oc-algo=\"loss\"", ""} {
			l.Told(0, 1, told(stale))
		}
		var asked, refused [2]float64
		for i := range 20_000 {
			class := 0
			if i%5 == 0 { // a fifth is of the higher category
				class = 1
			}
			asked[class]++
			for _, a := range l.Handle(time.Millisecond, larkrouter.Call{ID: uint64(i + 1), Class: class, Left: 3 * time.Second}) {
				if _, ok := a.(larkrouter.Refuse); ok {
					refused[class]++
				}
			}
		}
		if low, high := refused[0]/asked[0], refused[1]/asked[1]; math.Abs(low-c.low) > 0.02 || math.Abs(high-c.high) > 0.03 {
			t.Errorf("told %.1f: %.3f of the lower and %.3f of the higher category are held back, %.3f and %.3f are right", c.share, low, high,
				c.low, c.high)
		}
		for _, a := range l.Handle(91*time.Second, larkrouter.Call{ID: 1 << 20, Left: time.Second}) {
			if _, ok := a.(larkrouter.Refuse); ok {
				t.Errorf("told %.1f: still held back when that is no longer valid", c.share)
			}
		}
	}
}

// Whatever happens, every policy keeps a call to one attempt at a time, sends nothing to a draining server, waits for the
// release guard, and answers each call once and in time.
func TestFrameKeepsTheCallsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(Names).Draw(t, "policy")
		w := &World{See: func(time.Duration, uint32) Truth { return Truth{Up: true, SetUp: 0.01, Budget: math.Inf(1)} },
			Travel: 5 * time.Millisecond}
		d, err := New(name, settings(), rapid.Uint64().Draw(t, "seed"), w)
		if err != nil {
			t.Fatal(err)
		}
		type state struct {
			out, answered bool
			tries         int
			to            uint32
			until, clear  time.Duration
		}
		calls := map[uint64]*state{}
		wakes := map[uint64]time.Duration{}
		var now time.Duration
		draining := uint32(0)
		do := func(ev larkrouter.Event) {
			for _, a := range append([]larkrouter.Action(nil), d.Handle(now, ev)...) {
				switch a := a.(type) {
				case larkrouter.Attempt:
					k := calls[a.Call]
					if k.out || k.answered || a.Server == draining || now < k.clear || now >= k.until {
						t.Fatalf("%s: attempt at %v of %+v, %d drains", name, now, *k, draining)
					}
					k.out, k.to = true, a.Server
					k.tries++
				case larkrouter.Refuse:
					if k := calls[a.Call]; k.answered || now >= k.until {
						t.Fatalf("%s: answer at %v of %+v", name, now, *k)
					} else {
						k.answered = true
					}
				case larkrouter.Wake:
					wakes[a.Cookie] = now + a.After
				}
			}
		}
		do(list(larkrouter.Ready, larkrouter.Ready, larkrouter.Ready))
		next := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			for cookie := uint64(0); cookie <= 2*next+1; cookie++ { // each timer at its time: none is late by more than a step
				if at, ok := wakes[cookie]; ok && at <= now {
					delete(wakes, cookie)
					late := now
					now = at
					do(larkrouter.Timer{Cookie: cookie})
					now = late
				}
			}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				next++
				calls[next] = &state{until: now + 2*time.Second}
				do(larkrouter.Call{ID: next, Class: int(next % 2), Destination: int(next % 3), Left: 2 * time.Second})
			case 2:
				id := uint64(rapid.IntRange(1, int(next)+1).Draw(t, "call"))
				if k := calls[id]; k != nil && k.out && !k.answered {
					o := rapid.SampledFrom([]larkrouter.Outcome{larkrouter.TimedOut, larkrouter.TurnedAway, larkrouter.Failed,
						larkrouter.NoConnection, larkrouter.Reset}).Draw(t, "outcome")
					if k.out = false; o == larkrouter.TimedOut || o == larkrouter.Reset {
						k.clear = now + settings().ReleaseGuard
					}
					do(larkrouter.AttemptOver{Call: id, Attempt: k.tries - 1, Server: k.to, Outcome: o})
				}
			case 3:
				draining = uint32(rapid.IntRange(0, 3).Draw(t, "drains"))
				l := list(larkrouter.Ready, larkrouter.Ready, larkrouter.Ready)
				if draining > 0 {
					l.Servers[draining-1].Phase = larkrouter.Draining
				}
				do(l)
			}
		}
	})
}

func TestNamesAreKnown(t *testing.T) {
	if _, err := New("best", settings(), 1, nil); err == nil {
		t.Error("a policy that there is not")
	}
	if _, err := New("oracle", settings(), 1, nil); err == nil {
		t.Error("an oracle that sees nothing")
	}
}
