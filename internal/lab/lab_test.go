package lab

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larkrouter"
	"larkrouter/internal/day"
	"larkrouter/internal/fleet"
)

// smallDay returns a built-in day of a small size, which runs fast.
func smallDay(t *testing.T, name string, set ...string) *day.File {
	t.Helper()
	d, err := day.Open(name, nil)
	if err != nil {
		t.Fatal(err)
	}
	d, err = Override(d, append([]string{"fleet.nodes=6", "fleet.servers=3", "fleet.rate=60", "fleet.seconds=16"}, set...))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// specsOf returns the runs of a day with all policies and the seeds from 1 on.
func specsOf(d *day.File, seeds int, policies ...string) (all []Spec) {
	for _, p := range policies {
		for k := range seeds {
			all = append(all, Spec{Day: d, Policy: p, Seed: uint64(k + 1), Version: "test"})
		}
	}
	return all
}

// readFiles returns the content of each file in a directory.
func readFiles(t *testing.T, dir string) map[string]string {
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

// TestDeterministicResults checks that the same runs give the same bytes in sequence and four in parallel.
func TestDeterministicResults(t *testing.T) {
	t.Parallel()
	specs := append(specsOf(smallDay(t, "worn"), 3, fleet.Module, OraclePolicy), specsOf(smallDay(t, "network"), 2, fleet.Module, "loss")...)
	var got [2]map[string]string
	for i, jobs := range []int{1, 4} {
		r := Runner{Dir: t.TempDir(), Jobs: jobs}
		if _, err := r.Run(t.Context(), specs); err != nil {
			t.Fatal(err)
		}
		got[i] = readFiles(t, r.Dir)
	}
	if len(got[0]) != 3*len(specs) {
		t.Fatalf("%d files for %d runs, want three per run", len(got[0]), len(specs))
	}
	for name, b := range got[0] {
		if got[1][name] != b {
			t.Errorf("%s differs between one and four parallel runs", name)
		}
	}
}

// TestInterruptedRunResumes checks that an interrupted set of runs leaves complete results only and that a second
// attempt runs only the missing ones.
func TestInterruptedRunResumes(t *testing.T) {
	t.Parallel()
	specs := specsOf(smallDay(t, "bad"), 8, fleet.Module)
	ctx, cancel := context.WithCancel(t.Context())
	r := Runner{Dir: t.TempDir(), Jobs: 1, OnResult: func(done, _ int, _ *Result) {
		if done == 3 {
			cancel()
		}
	}}
	if _, err := r.Run(ctx, specs); err == nil {
		t.Fatal("no error after cancellation")
	}
	before := readFiles(t, r.Dir)
	complete := 0
	for name := range before {
		if strings.HasPrefix(name, ".") || strings.HasSuffix(name, ".json") && before[name] == "" {
			t.Errorf("incomplete file %s", name)
		}
		if strings.HasSuffix(name, ".json") {
			complete++
		}
	}
	if complete < 3 || complete >= 8 {
		t.Fatalf("%d of 8 results are complete, want 3 to 7", complete)
	}
	var moduleCalls atomic.Int64
	r.OnResult = nil
	r.InjectFault = func(_ time.Duration, _ larkrouter.Event, acts []larkrouter.Action) []larkrouter.Action {
		moduleCalls.Add(1) // every run calls the module
		return acts
	}
	all, err := r.Run(t.Context(), specs)
	if err != nil || len(all) != 8 {
		t.Fatal(err, len(all))
	}
	after := readFiles(t, r.Dir)
	for name, b := range before {
		if after[name] != b {
			t.Errorf("%s was written again", name)
		}
	}
	callsBefore := moduleCalls.Load()
	if _, err := r.Run(t.Context(), specs); err != nil || moduleCalls.Load() != callsBefore || callsBefore == 0 {
		t.Errorf("existing results were run again: error %v, %d module calls, then %d", err, callsBefore, moduleCalls.Load())
	}
	// A damaged result is reported as an error.
	name := filepath.Join(r.Dir, specs[0].ID()+".json")
	if err := os.WriteFile(name, []byte(after[filepath.Base(name)][:100]), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Run(t.Context(), specs); err == nil || !strings.Contains(err.Error(), name) {
		t.Errorf("damaged result: error %v, want one that names the file", err)
	}
}

// TestFilesAreConsistent checks that the files agree: the sums of the series are the counts of the result, and the
// histograms hold every call that stood.
func TestFilesAreConsistent(t *testing.T) {
	t.Parallel()
	r := Runner{Dir: t.TempDir()}
	all, err := r.Run(t.Context(), specsOf(smallDay(t, "worn"), 1, fleet.Module))
	if err != nil {
		t.Fatal(err)
	}
	result := all[0]
	columns, err := ReadSeries(r.Dir, result.ID)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(filepath.Join(r.Dir, result.ID+".hlog"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	histograms := hdrhistogram.NewHistogramLogReader(f)
	for _, c := range result.Classes {
		sum := 0.0
		for _, v := range columns[c.Name+"_in_aim"] {
			sum += v
		}
		if uint64(sum) != c.InAim || c.InAim == 0 {
			t.Errorf("%s: %v calls in aim in the series, %d in the result", c.Name, sum, c.InAim)
		}
		h, err := histograms.NextIntervalHistogram()
		if err != nil || h == nil || h.Tag() != c.Name || uint64(h.TotalCount()) < c.InAim+c.Late {
			t.Errorf("%s: histogram %v, %v", c.Name, h, err)
		}
	}
	if len(columns["second"]) != int(result.Seconds)+10 || len(columns["server2_wait_ms"]) != len(columns["second"]) {
		t.Errorf("%d rows for %v seconds", len(columns["second"]), result.Seconds)
	}
}

// TestSetAndGrid checks that keys can be set by path, that invalid settings are rejected with a reason, and that a
// day's text can be read back.
func TestSetAndGrid(t *testing.T) {
	file := smallDay(t, "worn")
	got, err := Override(file, []string{"fleet.load=1", "trouble.1.for=3s", "servers.work.cv=0.7", "node.max_attempts=2",
		"callers.shape=swing"})
	if err != nil {
		t.Fatal(err)
	}
	if got.Fleet.Load != 1 || got.Troubles[1].For != day.Duration(3*time.Second) || got.Servers.Work.CV != 0.7 || got.Node.MaxAttempts != 2 ||
		got.Callers.Shape != "swing" || file.Fleet.Load == 1 {
		t.Errorf("the five overrides are not all set, or the original has changed: %+v", got)
	}
	for set, want := range map[string]string{"fleet.load=-2": "fleet.load = -2", "fleet.loud=1": "no such key",
		"moon.x=1":          `there is no "moon"`,
		"trouble.99.for=1s": "must be an index from 0", "fleet": "must be key=value", "fleet.load.x=1": "has no keys below it"} {
		if _, err := Override(file, []string{set}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", set, err, want)
		}
	}
	g, err := ParseGrid([]string{"fleet.load=0.7,1.3", "node.max_attempts=1,2,4"})
	if err != nil || len(g.Points()) != 6 || g.Points()[4][1] != "node.max_attempts=2" {
		t.Errorf("points %v, error %v, want 6 points, the fifth with node.max_attempts=2", g.Points(), err)
	}
	if _, err := ParseGrid([]string{"fleet.load"}); err == nil {
		t.Error("axis without values: no error")
	}
	text, err := FormatDay(file)
	if err != nil {
		t.Fatal(err)
	}
	again, err := day.Read("again", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if back, err := FormatDay(again); err != nil || !bytes.Equal(back, text) {
		t.Errorf("%v: the text of the day differs after reading it back", err)
	}
}

// TestStatistics checks the statistics against known values: a paired comparison needs fewer seeds than an unpaired
// one, and references that are close together do not inflate the score.
func TestStatistics(t *testing.T) {
	if score := NormalizedScore(0.9, 0.5, 0.9); score != 1 {
		t.Errorf("score of the oracle: %v, want 1", score)
	}
	if score := NormalizedScore(0.95, 0.949, 0.96); math.Abs(score-0.9) > 1e-9 {
		t.Errorf("references close together: score %v, want 0.9", score)
	}
	interval := IntervalOf([]float64{1, 2, 3, 4, 5}) // t(4) = 2.776, deviation 1.5811
	if interval.Mean != 3 || math.Abs(interval.HalfWidth-1.963) > 0.001 {
		t.Errorf("%+v, want mean 3 and half width 1.963", interval)
	}
	if n := SeedsNeeded(0.03, 0.03); n != 7 { // 2.447 / sqrt(7) = 0.925
		t.Errorf("%d seeds, want 7", n)
	}
	var a, b []Result
	for k := range 10 {
		base := 0.5 + 0.04*float64(k)
		a = append(a, Result{Day: "d", Seed: uint64(k), Served: base})
		b = append(b, Result{Day: "d", Seed: uint64(k), Served: base + 0.02 + 0.001*float64(k%3)})
	}
	pairs := Compare(a, b)
	if len(pairs) != 1 || math.Abs(pairs[0].Diff.Mean-0.0209) > 0.0002 || pairs[0].Diff.HalfWidth > 0.001 ||
		pairs[0].SeedsPaired >= pairs[0].SeedsUnpaired {
		t.Errorf("%+v, want one pair with difference 0.0209 and fewer seeds paired than unpaired", pairs)
	}
}

// misrouteToDraining returns injectors that send every n-th attempt to a server that the list shows as draining.
func misrouteToDraining(every int) func() fleet.FaultInjector {
	return func() fleet.FaultInjector {
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

// TestHuntFindsInjectedFault checks that a hunt finds a fault that is injected into the module within 200 runs, and
// that the shrunk day still breaks the same rule after it was written to a file and read back, and breaks no rule
// without the fault.
func TestHuntFindsInjectedFault(t *testing.T) {
	t.Parallel()
	ranges := Ranges{Nodes: [2]int{2, 6}, Servers: [2]int{2, 4}, Load: [2]float64{0.5, 0.9}, ServerCapacity: 15,
		Seconds: 20, Troubles: [2]int{1, 3}}
	hunt := Hunt{Runner: Runner{Jobs: 2, NewInjector: misrouteToDraining(40)}, Ranges: ranges, Seed: 2, Budget: 120,
		FindViolations: true, MaxDays: 1, Version: "test"}
	found, runs, err := hunt.Run(t.Context())
	if err != nil || len(found) != 1 || runs > 200 {
		t.Fatalf("%v: %d days found in %d runs", err, len(found), runs)
	}
	shrunk := found[0]
	if shrunk.Reason != "rule 3 broken" || len(shrunk.Day.Troubles) != 1 {
		t.Errorf("%s, %d troubles left, want rule 3 and 1 trouble", shrunk.Reason, len(shrunk.Day.Troubles))
	}
	text, err := FormatDay(shrunk.Day)
	if err != nil {
		t.Fatal(err)
	}
	reread, err := day.Read("found.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	for fault, want := range map[string]string{"injected": shrunk.Reason, "": ""} {
		r := Runner{}
		if fault != "" {
			r.NewInjector = misrouteToDraining(40)
		}
		res, err := r.Run(t.Context(), []Spec{{Day: reread, Policy: fleet.Module, Seed: shrunk.Seed, Version: "test"}})
		if err != nil || violationOf(&res[0]) != want {
			t.Errorf("fault %q: the day read back gives error %v, violation %q", fault, err, violationOf(&res[0]))
		}
	}
	t.Logf("%d runs: %s\n%s", runs, shrunk.Reason, text)
}

// TestRandomDaysAreValid checks that every day that a hunt draws is a valid day file.
func TestRandomDaysAreValid(t *testing.T) {
	r := DefaultRanges()
	kinds := map[string]bool{}
	for i := range 400 {
		d := r.Draw(newRand(uint64(i)), "drawn")
		text, err := FormatDay(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := day.Read("drawn.toml", text); err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		for _, x := range d.Troubles {
			kinds[x.Kind] = true
		}
	}
	if len(kinds) != len(DrawnKinds()) {
		t.Errorf("%d of %d kinds of trouble drawn, want all", len(kinds), len(DrawnKinds()))
	}
}

// TestReport checks that a report contains a table, the charts and every trouble, and refers to no other file.
func TestReport(t *testing.T) {
	t.Parallel()
	runner := Runner{Dir: t.TempDir()}
	var specs []Spec
	for _, load := range []string{"fleet.load=0.7", "fleet.load=1.2"} {
		for _, spec := range specsOf(smallDay(t, "worn", load), 2, fleet.Module, RandomPolicy, OraclePolicy) {
			spec.Overrides = []string{load}
			specs = append(specs, spec)
		}
	}
	if _, err := runner.Run(t.Context(), specs); err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := WriteReport(&page, runner.Dir, "a <test>"); err != nil {
		t.Fatal(err)
	}
	html := page.String()
	for want, n := range map[string]int{"<svg": 2*4 + 2, "a &lt;test&gt;": 2, "fleet.load=1.2": 3, "ageing server": 2} {
		if got := strings.Count(html, want); got < n {
			t.Errorf("%q appears %d times, want at least %d", want, got, n)
		}
	}
	for _, forbidden := range []string{"http://", "https://", "<script", "src="} {
		if strings.Contains(strings.ReplaceAll(html, "http://www.w3.org/", ""), forbidden) {
			t.Errorf("the page contains %q: it must not refer to other files", forbidden)
		}
	}
	if err := WriteReport(&page, t.TempDir(), "none"); err == nil {
		t.Error("report of an empty directory: no error")
	}
}

// TestReplacedServersAreCharted guards against a report without the servers that replace others during the day.
func TestReplacedServersAreCharted(t *testing.T) {
	t.Parallel()
	runner := Runner{Dir: t.TempDir()}
	if _, err := runner.Run(t.Context(), specsOf(smallDay(t, "reload", "fleet.seconds=40"), 1, fleet.Module)); err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := WriteReport(&page, runner.Dir, "test"); err != nil {
		t.Fatal(err)
	}
	for server, want := range map[string]bool{"server 2": true, "server 5": true, "server 6": false} { // 3 servers, each replaced
		if got := strings.Contains(page.String(), server+"<"); got != want {
			t.Errorf("%s is in a legend: %v, want %v", server, got, want)
		}
	}
}

// TestGroupsSortSeeds guards against results in an order that depends on the seeds' distance: a difference of seeds overflows.
func TestGroupsSortSeeds(t *testing.T) {
	seeds := []uint64{1 << 63, 1, math.MaxUint64, 0, 1<<63 + 1}
	var all []Result
	for _, seed := range seeds {
		all = append(all, Result{Seed: seed})
	}
	slices.Sort(seeds)
	for i, result := range Groups(all)[0].Results {
		if result.Seed != seeds[i] {
			t.Errorf("result %d has seed %d, want %d", i, result.Seed, seeds[i])
		}
	}
}

// TestLargeDay checks that a day of the planned size, 261 nodes and 11 servers at 850 calls per second, runs in bounded
// memory. At its end memory holds the nodes and what the rule checker stores of each call.
func TestLargeDay(t *testing.T) {
	d, err := Override(smallDay(t, "bad"), []string{"fleet.nodes=261", "fleet.servers=11", "fleet.rate=850", "fleet.seconds=10"})
	if err != nil {
		t.Fatal(err)
	}
	output, err := RunDay(t.Context(), Spec{Day: d, Policy: fleet.Module, Seed: 1, Version: "test"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	if output.Broken() > 0 || output.Collapsed > 0 || output.Rules[0].Checks < 7000 {
		t.Errorf("%d rules broken, %d servers collapsed, %d answers checked", output.Broken(), output.Collapsed, output.Rules[0].Checks)
	}
	if memory.Sys > 2<<30 {
		t.Errorf("%d MB from the system", memory.Sys>>20)
	}
	for i, v := range output.Rules {
		if v.Violations > 0 {
			t.Errorf("rule %d: %q", i+1, v.Examples)
		}
	}
	t.Logf("%d MB from the system, served %.3f", memory.Sys>>20, output.Served)
}

// TestSelectDistinct checks that the days that a hunt returns have no kind of trouble in common, as far as there are
// enough of these.
func TestSelectDistinct(t *testing.T) {
	dayOf := func(name string, kinds ...string) FoundDay {
		d := &day.File{Name: name}
		for _, k := range kinds {
			d.Troubles = append(d.Troubles, day.Trouble{Kind: k})
		}
		return FoundDay{Day: d}
	}
	found := []FoundDay{dayOf("a", "burst", "pauses"), dayOf("b", "burst"), dayOf("c", "pauses", "late list"), dayOf("d", "late list"),
		dayOf("e", "burst")}
	for keep, want := range map[int]string{1: "a", 2: "ad", 3: "adb", 9: "adbce"} {
		got := ""
		for _, f := range (&Hunt{MaxDays: keep}).selectDistinct(found) {
			got += f.Day.Name
		}
		if got != want {
			t.Errorf("best %d days: got %s, want %s", keep, got, want)
		}
	}
}
