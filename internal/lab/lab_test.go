package lab

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larkrouter"
	"larkrouter/internal/day"
	"larkrouter/internal/fleet"
)

// small is a kept day, small enough to be played often.
func small(t *testing.T, name string, set ...string) *day.File {
	t.Helper()
	d, err := day.Open(name, nil)
	if err != nil {
		t.Fatal(err)
	}
	d, err = With(d, append([]string{"fleet.nodes=6", "fleet.servers=3", "fleet.rate=60", "fleet.seconds=16"}, set...))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func specsOf(d *day.File, seeds int, policies ...string) (all []Spec) {
	for _, p := range policies {
		for k := range seeds {
			all = append(all, Spec{Day: d, Policy: p, Seed: uint64(k + 1), Version: "test"})
		}
	}
	return all
}

func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]string{}
	for _, n := range names {
		b, err := os.ReadFile(n)
		if err != nil {
			t.Fatal(err)
		}
		all[filepath.Base(n)] = string(b)
	}
	return all
}

// The same plays give the same bytes, one after another and four at once.
func TestSameBytes(t *testing.T) {
	t.Parallel()
	specs := append(specsOf(small(t, "worn"), 3, fleet.Module, Top), specsOf(small(t, "network"), 2, fleet.Module, "loss")...)
	var got [2]map[string]string
	for i, jobs := range []int{1, 4} {
		r := Runner{Dir: t.TempDir(), Jobs: jobs}
		if _, err := r.Run(t.Context(), specs); err != nil {
			t.Fatal(err)
		}
		got[i] = contents(t, r.Dir)
	}
	if len(got[0]) != 3*len(specs) {
		t.Fatalf("%d files of %d plays", len(got[0]), len(specs))
	}
	for name, b := range got[0] {
		if got[1][name] != b {
			t.Errorf("%s differs", name)
		}
	}
}

// A run that is interrupted leaves whole results, and the same run again plays the rest alone.
func TestInterruptedRunResumes(t *testing.T) {
	t.Parallel()
	specs := specsOf(small(t, "bad"), 8, fleet.Module)
	ctx, cancel := context.WithCancel(t.Context())
	r := Runner{Dir: t.TempDir(), Jobs: 1, Done: func(done, _ int, _ *Result) {
		if done == 3 {
			cancel()
		}
	}}
	if _, err := r.Run(ctx, specs); err == nil {
		t.Fatal("not interrupted")
	}
	before := contents(t, r.Dir)
	kept := 0
	for name := range before {
		if strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".json") && before[name] == "" {
			t.Errorf("left behind: %s", name)
		}
		if strings.HasSuffix(name, ".json") {
			kept++
		}
	}
	if kept < 3 || kept >= 8 {
		t.Fatalf("%d results of 8 were kept", kept)
	}
	var played atomic.Int64
	r.Done = nil
	r.Fault = func(_ time.Duration, _ larkrouter.Event, acts []larkrouter.Action) []larkrouter.Action {
		played.Add(1) // whoever plays asks the module
		return acts
	}
	all, err := r.Run(t.Context(), specs)
	if err != nil || len(all) != 8 {
		t.Fatal(err, len(all))
	}
	after := contents(t, r.Dir)
	for name, b := range before {
		if after[name] != b {
			t.Errorf("%s was written anew", name)
		}
	}
	asked := played.Load()
	if _, err := r.Run(t.Context(), specs); err != nil || played.Load() != asked || asked == 0 {
		t.Errorf("what is there was played again: %v, %d questions, then %d", err, asked, played.Load())
	}
	// A result that was damaged is said, not taken.
	name := filepath.Join(r.Dir, specs[0].ID()+".json")
	if err := os.WriteFile(name, []byte(after[filepath.Base(name)][:100]), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Run(t.Context(), specs); err == nil || !strings.Contains(err.Error(), name) {
		t.Errorf("a damaged result: %v", err)
	}
}

// What other tools read is right: the series' sums are the counts, and the histograms hold every call that stood.
func TestFilesAgree(t *testing.T) {
	t.Parallel()
	r := Runner{Dir: t.TempDir()}
	all, err := r.Run(t.Context(), specsOf(small(t, "worn"), 1, fleet.Module))
	if err != nil {
		t.Fatal(err)
	}
	res := all[0]
	cols, err := ReadSeries(r.Dir, res.ID)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(filepath.Join(r.Dir, res.ID+".hlog"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	hist := hdrhistogram.NewHistogramLogReader(f)
	for _, c := range res.Classes {
		sum := 0.0
		for _, v := range cols[c.Name+"_in_aim"] {
			sum += v
		}
		if uint64(sum) != c.InAim || c.InAim == 0 {
			t.Errorf("%s: the series has %v in aim, the result %d", c.Name, sum, c.InAim)
		}
		h, err := hist.NextIntervalHistogram()
		if err != nil || h == nil || h.Tag() != c.Name || uint64(h.TotalCount()) < c.InAim+c.Late {
			t.Errorf("%s: histogram %v, %v", c.Name, h, err)
		}
	}
	if len(cols["second"]) != int(res.Seconds)+10 || len(cols["server2_wait_ms"]) != len(cols["second"]) {
		t.Errorf("%d seconds of %v", len(cols["second"]), res.Seconds)
	}
}

func TestSetAndGrid(t *testing.T) {
	d := small(t, "worn")
	got, err := With(d, []string{"fleet.load=1", "trouble.1.for=3s", "servers.work.cv=0.7", "node.max_attempts=2", "callers.shape=swing"})
	if err != nil {
		t.Fatal(err)
	}
	if got.Fleet.Load != 1 || got.Trouble[1].For != day.Duration(3*time.Second) || got.Servers.Work.CV != 0.7 || got.Node.Attempts != 2 ||
		got.Callers.Shape != "swing" || d.Fleet.Load == 1 {
		t.Errorf("%+v", got)
	}
	for set, want := range map[string]string{"fleet.load=-2": "fleet.load = -2", "fleet.loud=1": "no such key",
		"moon.x=1":          `there is no "moon"`,
		"trouble.99.for=1s": "a place from 0", "fleet": "key=value", "fleet.load.x=1": "nothing below"} {
		if _, err := With(d, []string{set}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, %q is missing", set, err, want)
		}
	}
	g, err := ParseGrid([]string{"fleet.load=0.7,1.3", "node.max_attempts=1,2,4"})
	if err != nil || len(g.Points()) != 6 || g.Points()[4][1] != "node.max_attempts=2" {
		t.Errorf("%v %v", g.Points(), err)
	}
	if _, err := ParseGrid([]string{"fleet.load"}); err == nil {
		t.Error("an axis without values is taken")
	}
	text, err := Text(d)
	if err != nil {
		t.Fatal(err)
	}
	again, err := day.Read("again", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if back, err := Text(again); err != nil || !bytes.Equal(back, text) {
		t.Errorf("%v: a day's text, read again, is another", err)
	}
}

// The judge's figures: a paired difference is told by fewer seeds than one between strangers, and nothing is made of
// ends that lie close together.
func TestJudge(t *testing.T) {
	if w := Way(0.9, 0.5, 0.9); w != 1 {
		t.Errorf("the oracle's own way is %v", w)
	}
	if w := Way(0.95, 0.949, 0.96); math.Abs(w-0.9) > 1e-9 {
		t.Errorf("ends that lie close: %v", w)
	}
	v := IntervalOf([]float64{1, 2, 3, 4, 5}) // t(4) = 2.776, deviation 1.5811
	if v.Mean != 3 || math.Abs(v.Has-1.963) > 0.001 {
		t.Errorf("%+v", v)
	}
	if n := Needed(0.03, 0.03); n != 7 { // 2.447 / sqrt(7) = 0.925
		t.Errorf("%d seeds", n)
	}
	var a, b []Result
	for k := range 10 {
		base := 0.5 + 0.04*float64(k)
		a = append(a, Result{Day: "d", Seed: uint64(k), Served: base})
		b = append(b, Result{Day: "d", Seed: uint64(k), Served: base + 0.02 + 0.001*float64(k%3)})
	}
	p := Compare(a, b)
	if len(p) != 1 || math.Abs(p[0].Diff.Mean-0.0209) > 0.0002 || p[0].Diff.Has > 0.001 || p[0].Seeds >= p[0].SeedsApart {
		t.Errorf("%+v", p)
	}
}

// later lets one attempt in so many go to a server that the list has as draining.
func later(every int) func() fleet.Planted {
	return func() fleet.Planted {
		draining, n := uint32(0), 0
		return func(_ time.Duration, ev larkrouter.Event, acts []larkrouter.Action) []larkrouter.Action {
			if l, ok := ev.(larkrouter.ServerList); ok {
				for _, s := range l.Servers {
					if s.Phase == larkrouter.Draining {
						draining = s.ID
					}
				}
			}
			for i, a := range acts {
				if at, ok := a.(larkrouter.Attempt); ok && draining != 0 {
					if n++; n%every == 0 {
						at.Server = draining
						acts[i] = at
					}
				}
			}
			return acts
		}
	}
}

// A fault planted in the module is found by a hunt within 200 plays, and what it is cut down to still breaks the same
// rule, by itself and as read from its file; without the fault the hunt finds nothing.
func TestHuntFindsAPlantedFault(t *testing.T) {
	t.Parallel()
	ranges := Ranges{Nodes: [2]int{2, 6}, Servers: [2]int{2, 4}, Load: [2]float64{0.5, 0.9}, PerServer: 15,
		Seconds: 20, Troubles: [2]int{1, 3}}
	h := Hunt{Runner: Runner{Jobs: 2, FaultOf: later(40)}, Ranges: ranges, Seed: 2, Budget: 120, Rules: true, Keep: 1, Version: "test"}
	found, plays, err := h.Run(t.Context())
	if err != nil || len(found) != 1 || plays > 200 {
		t.Fatalf("%v: %d found in %d plays", err, len(found), plays)
	}
	f := found[0]
	if f.Why != "rule 3 broken" || len(f.Day.Trouble) != 1 {
		t.Errorf("%s, %d troubles are left", f.Why, len(f.Day.Trouble))
	}
	text, err := Text(f.Day)
	if err != nil {
		t.Fatal(err)
	}
	again, err := day.Read("found.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	for fault, want := range map[string]string{"planted": f.Why, "": ""} {
		r := Runner{}
		if fault != "" {
			r.FaultOf = later(40)
		}
		res, err := r.Run(t.Context(), []Spec{{Day: again, Policy: fleet.Module, Seed: f.Seed, Version: "test"}})
		if err != nil || faultOf(&res[0]) != want {
			t.Errorf("with the fault %q the day as read again: %v, %q", fault, err, faultOf(&res[0]))
		}
	}
	t.Logf("%d plays: %s\n%s", plays, f.Why, text)
}

// Every day that a hunt can draw is one that can be read.
func TestDrawnDaysAreRight(t *testing.T) {
	r := DefaultRanges()
	kinds := map[string]bool{}
	for i := range 400 {
		d := r.Draw(newRand(uint64(i)), "drawn")
		text, err := Text(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := day.Read("drawn.toml", text); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		for _, x := range d.Trouble {
			kinds[x.What] = true
		}
	}
	if len(kinds) != len(Drawn()) {
		t.Errorf("%d of %d kinds of trouble were drawn", len(kinds), len(Drawn()))
	}
}

// A report holds a table, the charts and every trouble, and needs no other file.
func TestReport(t *testing.T) {
	t.Parallel()
	r := Runner{Dir: t.TempDir()}
	var specs []Spec
	for _, load := range []string{"fleet.load=0.7", "fleet.load=1.2"} {
		for _, s := range specsOf(small(t, "worn", load), 2, fleet.Module, Bottom, Top) {
			s.Set = []string{load}
			specs = append(specs, s)
		}
	}
	if _, err := r.Run(t.Context(), specs); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := WriteReport(&b, r.Dir, "a <test>"); err != nil {
		t.Fatal(err)
	}
	s := b.String()
	for want, n := range map[string]int{"<svg": 2*4 + 2, "a &lt;test&gt;": 2, "fleet.load=1.2": 3, "ageing server": 2} {
		if got := strings.Count(s, want); got < n {
			t.Errorf("%q is there %d times, %d or more are wanted", want, got, n)
		}
	}
	for _, never := range []string{"http://", "https://", "<script", "src="} {
		if strings.Contains(strings.ReplaceAll(s, "http://www.w3.org/", ""), never) {
			t.Errorf("the page has %q: it is to need nothing else", never)
		}
	}
	if err := WriteReport(&b, t.TempDir(), "none"); err == nil {
		t.Error("a report of nothing")
	}
}

// The size that is planned for, 261 nodes by 11 servers at 850 calls a second, plays in bounded memory: what is left when
// the day is over is what the capture's checker keeps of each call, and the nodes.
func TestLargeDay(t *testing.T) {
	d, err := With(small(t, "bad"), []string{"fleet.nodes=261", "fleet.servers=11", "fleet.rate=850", "fleet.seconds=10"})
	if err != nil {
		t.Fatal(err)
	}
	p, err := Play(t.Context(), Spec{Day: d, Policy: fleet.Module, Seed: 1, Version: "test"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	if p.Broken() > 0 || p.Fallen > 0 || p.Rules[0].Checks < 7000 {
		t.Errorf("%d rules broken, %d servers pushed over, %d answers checked", p.Broken(), p.Fallen, p.Rules[0].Checks)
	}
	if m.Sys > 2<<30 {
		t.Errorf("%d MB from the system", m.Sys>>20)
	}
	for i, v := range p.Rules {
		if v.Breaks > 0 {
			t.Errorf("rule %d: %q", i+1, v.Examples)
		}
	}
	t.Logf("%d MB from the system, served %.3f", m.Sys>>20, p.Served)
}

// Days that a hunt comes back with have no trouble in common as far as there are such days.
func TestFindsAreApart(t *testing.T) {
	of := func(name string, kinds ...string) Find {
		d := &day.File{Name: name}
		for _, k := range kinds {
			d.Trouble = append(d.Trouble, day.Trouble{What: k})
		}
		return Find{Day: d}
	}
	found := []Find{of("a", "burst", "pauses"), of("b", "burst"), of("c", "pauses", "late list"), of("d", "late list"), of("e", "burst")}
	for keep, want := range map[int]string{1: "a", 2: "ad", 3: "adb", 9: "adbce"} {
		got := ""
		for _, f := range (&Hunt{Keep: keep}).apart(found) {
			got += f.Day.Name
		}
		if got != want {
			t.Errorf("of %d days %s, %s is right", keep, got, want)
		}
	}
}
