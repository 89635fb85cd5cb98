package feed

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func event(n int, member string) string {
	return fmt.Sprintf("id: %d\ndata: {\"cursor\":%d,\"nodes\":{\"revision\":%d,\"complete\":false,\"members\":"+
		"[{\"id\":%q,\"host_port\":\"127.0.0.1:5060\",\"phase\":\"up\"}]}}\n\n", n, n, n, member)
}

// Broken at every byte: what was whole is taken, what was cut is not, and the next connection brings the rest, once.
func TestBrokenAtEveryByte(t *testing.T) {
	whole := ": hello\n\n" + event(1, "a") + ": tick\r\n" + event(2, "b") + event(3, "c")
	for cut := range len(whole) + 1 {
		var got []string
		var cursor Cursor
		take := func(ev Event) {
			if news, gap := cursor.Take(ev.Number); gap {
				t.Fatalf("cut at %d: a gap before %d", cut, ev.Number)
			} else if news {
				got = append(got, ev.List.Members[0].ID)
			}
		}
		var first, second Stream
		if err := first.Feed([]byte(whole[:cut]), take); err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if err := second.Feed([]byte(event(2, "b")), func(ev Event) {
			if cursor.Last >= 1 { // asked from the last one taken
				take(ev)
			}
		}); err != nil {
			t.Fatal(err)
		}
		var third Stream
		for i := range whole { // and byte by byte
			if err := third.Feed([]byte(whole[i:i+1]), take); err != nil {
				t.Fatal(err)
			}
		}
		if fmt.Sprint(got) != "[a b c]" {
			t.Fatalf("cut at %d: %v", cut, got)
		}
	}
}

// A gap is asked for anew once; where it stays, the channel has no more, and what it has is taken.
func TestGap(t *testing.T) {
	c := Cursor{Last: 4}
	for _, step := range []struct {
		n         uint64
		news, gap bool
	}{{4, false, false}, {5, true, false}, {7, false, true}, {6, true, false}, {7, true, false}, {9, false, true}, {9, true,
		false}, {3, false, false}} {
		if news, gap := c.Take(step.n); news != step.news || gap != step.gap {
			t.Errorf("event %d: news %v, gap %v", step.n, news, gap)
		}
	}
	if Backoff(0) > 100*time.Millisecond || Backoff(100) > time.Second {
		t.Error("reconnects wait too long")
	}
}

// An event of which a part makes no sense is no event: half a list would be worse.
func TestNonsense(t *testing.T) {
	for _, bad := range []string{`{`, `{"nodes":{"members":[{"id":""}]}}`,
		`{"nodes":{"members":[{"id":"a","phase":"fine","host_port":"1.2.3.4:5"}]}}`,
		`{"nodes":{"members":[{"id":"a","phase":"up","host_port":"nowhere"}]}}`} {
		if _, err := ParseEvent([]byte(bad)); err == nil {
			t.Errorf("%s was taken", bad)
		}
		var s Stream
		if err := s.Feed([]byte("data: "+bad+"\n\n"), func(Event) { t.Errorf("%s was handed over", bad) }); err == nil {
			t.Errorf("%s: the connection is kept", bad)
		}
	}
	var s Stream
	if err := s.Feed([]byte(strings.Repeat("x", maxEvent+2)), nil); err == nil {
		t.Error("a line without an end is kept")
	}
	if ev, err := ParseEvent([]byte(`{"cursor":1,"other":[]}`)); err != nil || ev.List != nil {
		t.Errorf("an event of another kind: %v, %v", ev, err)
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(event(1, "a")))
	f.Add([]byte("id:1\r\ndata\ndata: {}\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Stream
		for _, c := range b {
			if s.Feed([]byte{c}, func(ev Event) {
				if ev.List != nil {
					for _, m := range ev.List.Members {
						if m.ID == "" || m.Phase != Removed && !m.HostPort.IsValid() {
							t.Fatalf("%+v was handed over", m)
						}
					}
				}
			}) != nil {
				return
			}
		}
	})
}
