package emulator

import (
	"math"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"pgregory.net/rapid"

	_ "larkrouter/internal/seed"
)

// Every spread has a mean of 1 and the variation asked for, whatever the seed.
func TestSpreads(t *testing.T) {
	for _, s := range []Spread{{}, {Kind: "exponential"}, {"gamma", 0.5}, {"gamma", 1.5}, {"lognormal", 0.3}, {"lognormal", 1},
		{"uniform", 0.4},
		{"weibull", 0.4}, {"weibull", 1.3}, {"pareto", 0.3}} {
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		draw := s.Factor(7, "a part")
		all := make([]float64, 200_000)
		for i := range all {
			if all[i] = draw(); all[i] < 0 {
				t.Fatalf("%+v: drew %v", s, all[i])
			}
		}
		want := s.CV
		if s.Kind == "exponential" {
			want = 1
		}
		mean, dev := stat.MeanStdDev(all, nil)
		if math.Abs(mean-1) > 0.01 || math.Abs(dev-want) > 0.05*want+1e-9 {
			t.Errorf("%+v: mean %.4f, variation %.4f", s, mean, dev/mean)
		}
	}
}

func TestWrongSpreads(t *testing.T) {
	for _, s := range []Spread{{"normal", 1}, {"gamma", 0}, {"uniform", 0.6}, {"lognormal", math.NaN()}, {"fixed", 0.2}, {"exponential", 2},
		{"pareto", -1}, {"weibull", 9}} {
		if s.Check() == nil {
			t.Errorf("%+v: taken", s)
		}
	}
}

// Drawing more of one part leaves the draws of every other as they were.
func TestStreamsAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Streams(rapid.Uint64().Draw(t, "seed"))
		a, b := rapid.String().Draw(t, "a"), rapid.String().Draw(t, "b")
		if a == b {
			t.Skip()
		}
		alone := s.Of(a).Uint64()
		other := s.Of(b)
		for range rapid.IntRange(1, 50).Draw(t, "draws") {
			other.Uint64()
		}
		if s.Of(a).Uint64() != alone {
			t.Fatal("another part's draws changed this one's")
		}
		if s.Of(b).Uint64() == alone || s.Seed(a) == s.Seed(b) {
			t.Fatal("two parts draw the same")
		}
	})
}

// Arrivals follow their tide: the counts of each span are what the rate says, and their variance a Poisson process's.
func TestArrivalsFollowTheTide(t *testing.T) {
	for _, tide := range []Tide{{Shape: "steady"}, {Shape: "bursty", CV: 0.5, Every: 2 * time.Second},
		{Shape: "swing", Swing: 0.6, Period: 20 * time.Second}} {
		rate := NewRate(tide, 3)
		const spans, perSecond = 1000, 200.0
		counts := make([]float64, spans)
		origin := time.Second
		a := NewArrivals(rate, 3, "callers-0", origin)
		for now := origin; ; {
			now = a.Next(now, perSecond)
			i := int((now - origin) / (2 * time.Second))
			if i >= spans {
				break
			}
			counts[i]++
		}
		chi2 := 0.0
		for i, n := range counts {
			want := 0.0
			for k := range 200 { // the rate over the span
				want += rate.At(time.Duration(i)*2*time.Second+time.Duration(k)*10*time.Millisecond) * perSecond * 0.01
			}
			if want > 5 {
				chi2 += (n - want) * (n - want) / want
			} else {
				chi2++
			}
		}
		if math.Abs(chi2/spans-1) > 0.15 { // 1 with a deviation of 0.045
			t.Errorf("%+v: counts differ from the rate by %.3f of what chance would", tide, chi2/spans)
		}
	}
	if at := NewArrivals(NewRate(Tide{Shape: "steady"}, 1), 1, "x", 0).Next(time.Second, 0); at != math.MaxInt64 {
		t.Errorf("a pause ends at %v", at)
	}
}

// Destinations differ by as much as asked for, stay within a span, and shift with the next.
func TestDestinationsShift(t *testing.T) {
	d := NewDestinations(Drift{CV: 0.5, Every: 10 * time.Second}, 8, 5)
	rng := Streams(5).Of("callers")
	share := func(at time.Duration) []float64 {
		n := make([]float64, 8)
		for range 20_000 {
			n[d.Pick(at, rng)] += 1.0 / 20_000
		}
		return n
	}
	apart := func(a, b []float64) (sum float64) {
		for i := range a {
			sum += math.Abs(a[i] - b[i])
		}
		return sum
	}
	first, same, next := share(time.Second), share(9*time.Second), share(11*time.Second)
	if apart(first, same) > 0.06 || apart(first, next) < 0.15 {
		t.Errorf("within a span %.3f apart, from one to the next %.3f", apart(first, same), apart(first, next))
	}
	if dev := stat.StdDev(first, nil) * 8; dev < 0.15 || dev > 1 {
		t.Errorf("variation from server to server %.3f", dev)
	}
	if n := Number("2", 11, 1234); n != "2011234" {
		t.Errorf("number %s", n)
	}
}

// A fault acts on those it names, one way or both, and no longer than it lasts.
func TestWeather(t *testing.T) {
	w := NewWeather(1)
	w.Add(0, Fault{From: Side{Node, 0.5, 4}, To: Side{Kind: Server}, Cut: true, Until: 10 * time.Second})
	w.Add(0, Fault{From: Side{Kind: List}, To: Side{Kind: Node}, Delay: time.Second, Both: true, Until: 5 * time.Second})
	w.Add(0, Fault{From: Side{Kind: Caller}, To: Side{Kind: Node}, Loss: 0.3, Until: 20 * time.Second})
	for _, c := range []struct {
		at       time.Duration
		from, to Place
		delay    time.Duration
		lost     bool
	}{
		{0, Place{Node, 1}, Place{Server, 3}, 0, true},
		{0, Place{Node, 2}, Place{Server, 3}, 0, false},
		{0, Place{Server, 3}, Place{Node, 1}, 0, false},
		{10 * time.Second, Place{Node, 1}, Place{Server, 3}, 0, false},
		{0, Place{Node, 3}, Place{List, 0}, time.Second, false},
		{0, Place{List, 0}, Place{Node, 3}, time.Second, false},
		{6 * time.Second, Place{List, 0}, Place{Node, 3}, 0, false},
	} {
		if delay, lost, until := w.On(c.at, c.from, c.to); delay != c.delay || lost != c.lost || lost && until != 10*time.Second {
			t.Errorf("%+v: %v, %v until %v", c, delay, lost, until)
		}
	}
	n := 0
	for range 10_000 {
		if _, lost, _ := w.On(time.Second, Place{Caller, 0}, Place{Node, 0}); lost {
			n++
		}
	}
	if n < 2800 || n > 3200 {
		t.Errorf("%d of 10,000 lost, 3,000 asked for", n)
	}
}

// Spells lie within their time, one after another, and an ageing processor's grow longer.
func TestSpells(t *testing.T) {
	for seed := range Streams(20) {
		all := Pauses{Mean: 50 * time.Millisecond, Every: 500 * time.Millisecond, Grow: 0.3}.Spells(20*time.Second, seed, "p")
		end := time.Duration(0)
		for _, s := range all {
			if s.From < end || s.For <= 0 || s.From+s.For > 20*time.Second {
				t.Fatalf("seed %d: %v after %v", seed, s, end)
			}
			end = s.From + s.For
		}
		if n := len(all); n < 5 || n > 2 && all[n-2].For < 4*all[0].For {
			t.Errorf("seed %d: %d pauses, the first %v, the last but one %v", seed, n, all[0].For, all[n-2].For)
		}
	}
	if n := len(Neighbour{On: 1, Off: 1}.Spells(time.Hour, 1, "n")); n != spellsMost {
		t.Errorf("%d spells, no more than %d are wanted", n, spellsMost)
	}
}
