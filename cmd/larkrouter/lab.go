package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"

	"larkrouter/internal/baseline"
	"larkrouter/internal/day"
	"larkrouter/internal/fleet"
	"larkrouter/internal/lab"
)

type labCmd struct {
	Run     labRunCmd     `cmd:"" help:"Play days with some seeds and policies, over all cores, and keep the results."`
	Sweep   labSweepCmd   `cmd:"" help:"Play a grid over any keys of a day: load, sizes, figures of the nodes."`
	Compare labCompareCmd `cmd:"" help:"Play the same days with two settings, policies or builds, paired by seed."`
	Hunt    labHuntCmd    `cmd:"" help:"Search for the days on which the module does worst or breaks a rule, and cut them down."`
	Replay  labReplayCmd  `cmd:"" help:"Play a day on loopback sockets in the time that it takes, every node a process of the program."`
	Report  labReportCmd  `cmd:"" help:"Draw kept results as one HTML page."`
}

// labDays says what is played.
type labDays struct {
	Day  []string `default:"bad" help:"Days that come with the program (${days}), or paths that end in .toml."`
	Set  []string `sep:"none" help:"key=value, of the day file, as fleet.load=1.3 or node.max_attempts=2."`
	Seed uint64   `default:"1" help:"First seed."`
	Jobs int      `help:"Plays at once; 0: as many as cores."`
	Out  string   `type:"path" help:"Directory for the results; what is there already is not played again."`
}

func readDay(name string) (*day.File, error) { return day.Open(name, os.ReadFile) }

// specs are the plays of some days, settings, policies and seeds.
func (c *labDays) specs(points [][]string, policies []string, seeds int, version string) ([]lab.Spec, error) {
	if seeds < 1 {
		return nil, fmt.Errorf("lab: %d seeds: 1 at least is right", seeds)
	}
	for _, p := range policies {
		if err := knownPolicy(p); err != nil {
			return nil, err
		}
	}
	var all []lab.Spec
	for _, name := range c.Day {
		base, err := readDay(name)
		if err != nil {
			return nil, err
		}
		for _, point := range points {
			d, err := lab.With(base, append(append([]string(nil), c.Set...), point...))
			if err != nil {
				return nil, err
			}
			set := append(append([]string(nil), point...), c.Set...)
			for _, p := range policies {
				for k := range seeds {
					all = append(all, lab.Spec{Day: d, Policy: p, Seed: c.Seed + uint64(k), Set: set, Version: version})
				}
			}
		}
	}
	return all, nil
}

func knownPolicy(p string) error {
	if p == fleet.Module {
		return nil
	}
	for _, n := range baseline.Names {
		if p == n {
			return nil
		}
	}
	return fmt.Errorf("lab: there is no policy %q: one of %s, %s is right", p, fleet.Module, strings.Join(baseline.Names, ", "))
}

// build names this program by what it is made of: two that differ in anything have two names.
func build() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	b, err := os.ReadFile(self)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%012x", xxhash.Sum64(b)>>16), nil
}

func (c *labDays) runner() *lab.Runner {
	begin := time.Now()
	return &lab.Runner{Dir: c.Out, Jobs: c.Jobs, Done: func(done, all int, r *lab.Result) {
		fmt.Fprintf(os.Stderr, "%4d of %d, %5.0f s  %s, seed %d, %s: %.3f\n", done, all, time.Since(begin).Seconds(), r.Day,
			r.Seed, r.Policy, r.Served)
	}}
}

func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// printRows is the table of some results, and the exit status by the module's rules.
func printRows(results []lab.Result) error {
	groups := lab.Groups(results)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "day\tset\tpolicy\tseeds\tserved\tof the way\tworst 10 s\tbound\trules broken\tpushed over")
	bad := 0
	for _, r := range lab.Rows(groups) {
		way := "-"
		if r.Way.N > 0 {
			way = fmt.Sprintf("%.3f", r.Way.Mean)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%.3f\t%.3f\t%d\t%d\n", r.Day, r.Set, r.Policy, r.Seeds, plusMinus(r.Served), way,
			r.Worst.Mean, r.Most, r.Broken, r.Fallen)
		if r.Policy == fleet.Module {
			bad += r.Broken + r.Fallen
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if bad > 0 {
		return errSilent
	}
	return nil
}

func plusMinus(v lab.Interval) string {
	if v.N < 2 {
		return fmt.Sprintf("%.3f", v.Mean)
	}
	return fmt.Sprintf("%.3f ± %.3f", v.Mean, v.Has)
}

// usage tells what it took, which no result holds.
func usage(begin time.Time, used time.Duration, results []lab.Result) {
	var virtual, calls float64
	for i := range results {
		virtual += results[i].Seconds + 10
		for _, c := range results[i].Classes {
			calls += float64(c.Offered)
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	took, work := time.Since(begin).Seconds(), (cpu() - used).Seconds()
	fmt.Fprintf(os.Stderr, "%d plays in %.1f s: %.1f virtual seconds a second, %.0f calls a CPU second, %d MB\n", len(results), took,
		virtual/took, calls/work, m.Sys>>20)
}

type labRunCmd struct {
	labDays
	Seeds    int      `default:"8" help:"How many seeds."`
	Policies []string `default:"module" help:"module, random, first-choice, least-delay, token-gate, window, loss, oracle."`
}

func (c *labRunCmd) Run() error {
	return c.play([][]string{nil}, c.Policies, c.Seeds)
}

func (c *labDays) play(points [][]string, policies []string, seeds int) error {
	ctx, stop := interruptible()
	defer stop()
	version, err := build()
	if err != nil {
		return err
	}
	specs, err := c.specs(points, policies, seeds, version)
	if err != nil {
		return err
	}
	begin, used := time.Now(), cpu()
	all, err := c.runner().Run(ctx, specs)
	if err != nil {
		return resumable(err, c.Out)
	}
	usage(begin, used, all)
	return printRows(all)
}

func resumable(err error, dir string) error {
	if errors.Is(err, context.Canceled) && dir != "" {
		return fmt.Errorf("interrupted: what was played is in %s, and the same command goes on from there", dir)
	}
	return err
}

type labSweepCmd struct {
	labDays
	Axis     []string `required:"" sep:"none" help:"key=value,value; given twice or more it makes a grid."`
	Seeds    int      `default:"4" help:"How many seeds."`
	Policies []string `default:"module" help:"As in run."`
}

func (c *labSweepCmd) Run() error {
	g, err := lab.ParseGrid(c.Axis)
	if err != nil {
		return err
	}
	return c.play(g.Points(), c.Policies, c.Seeds)
}

type labCompareCmd struct {
	labDays
	Seeds   int      `default:"20" help:"How many seeds."`
	With    []string `sep:"none" help:"key=value, set for the second side alone."`
	Policy  string   `help:"The second side's policy, in place of the module."`
	Against string   `type:"path" help:"Another build of the program: the first side; this one is the second."`
}

func (c *labCompareCmd) Run() error {
	sides := 0
	for _, given := range []bool{len(c.With) > 0, c.Policy != "", c.Against != ""} {
		if given {
			sides++
		}
	}
	if sides != 1 {
		return errors.New("lab compare: one of --with, --policy and --against is right: the two sides have to differ in one thing")
	}
	ctx, stop := interruptible()
	defer stop()
	version, err := build()
	if err != nil {
		return err
	}
	first, err := c.specs([][]string{nil}, []string{fleet.Module}, c.Seeds, version)
	if err != nil {
		return err
	}
	var a, b []lab.Result
	names := [2]string{"as it is", ""}
	switch {
	case c.Against != "":
		names = [2]string{filepath.Base(c.Against), "this build"}
		if a, err = c.other(ctx); err == nil {
			b, err = c.runner().Run(ctx, first)
		}
	case c.Policy != "":
		names[1] = c.Policy
		other := append([]lab.Spec(nil), first...)
		for i := range other {
			other[i].Policy = c.Policy
		}
		a, b, err = c.both(ctx, first, other)
	default:
		names[1] = strings.Join(c.With, " ")
		other := append([]lab.Spec(nil), first...)
		for i := range other {
			if other[i].Day, err = lab.With(first[i].Day, c.With); err != nil {
				return err
			}
		}
		a, b, err = c.both(ctx, first, other)
	}
	if err != nil {
		return resumable(err, c.Out)
	}
	fmt.Printf("first: %s; second: %s; paired by seed, 95 in 100\n", names[0], names[1])
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "day\tseeds\tfirst\tsecond\tdifference\tseeds that tell 0.03 in pairs\tunpaired")
	pairs := lab.Compare(a, b)
	if len(pairs) == 0 {
		return errors.New("lab compare: no play of the one side has its like on the other: the same days and seeds are right")
	}
	for _, p := range pairs {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%+.4f ± %.4f\t%d\t%d\n", p.Day, p.Diff.N, p.A.Mean, p.B.Mean,
			p.Diff.Mean, p.Diff.Has, p.Seeds, p.SeedsApart)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for side, all := range [2][]lab.Result{a, b} {
		broken, fallen := 0, 0
		for i := range all {
			broken, fallen = broken+all[i].Broken(), fallen+all[i].Fallen
		}
		fmt.Printf("%s: rules broken %d, servers pushed over %d\n", names[side], broken, fallen)
	}
	return nil
}

func (c *labCompareCmd) both(ctx context.Context, first, second []lab.Spec) (a, b []lab.Result, err error) {
	all, err := c.runner().Run(ctx, append(append([]lab.Spec(nil), first...), second...))
	if err != nil {
		return nil, nil, err
	}
	return all[:len(first)], all[len(first):], nil
}

// other lets another build play the same days, in a directory of its own.
func (c *labCompareCmd) other(ctx context.Context) ([]lab.Result, error) {
	dir := ""
	if c.Out != "" {
		dir = filepath.Join(c.Out, "against")
	} else {
		var err error
		if dir, err = os.MkdirTemp("", "larkrouter-lab-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
	}
	args := []string{"lab", "run", "--seeds", strconv.Itoa(c.Seeds), "--seed", strconv.FormatUint(c.Seed, 10), "--out", dir,
		"--jobs", strconv.Itoa(c.Jobs)}
	for _, d := range c.Day {
		args = append(args, "--day", d)
	}
	for _, s := range c.Set {
		args = append(args, "--set", s)
	}
	cmd := exec.CommandContext(ctx, c.Against, args...)
	cmd.Stderr = os.Stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1) { // 1: a rule was broken
		return nil, fmt.Errorf("lab compare: %s lab run: %w: a build of this program that has the command is right", c.Against, err)
	}
	return lab.Read(dir)
}

type labHuntCmd struct {
	Seed   uint64    `default:"1" help:"Seed of what is drawn."`
	Budget int       `default:"160" help:"Plays of the search; cutting down takes more."`
	Rules  bool      `help:"Look for a rule that breaks, in place of the worst served."`
	Keep   int       `default:"3" help:"Days to come back with."`
	Only   []string  `help:"Kinds of trouble to draw; empty: all."`
	Nodes  []int     `default:"3,24" help:"Least and most nodes."`
	Server []int     `name:"servers" default:"2,6" help:"Least and most call servers."`
	Load   []float64 `default:"0.5,1.2" help:"Least and most load."`
	Secs   float64   `name:"seconds" default:"40" help:"How long callers dial."`
	Jobs   int       `help:"Plays at once; 0: as many as cores."`
	Out    string    `type:"path" help:"Directory for the days found."`
}

// ranges are what is drawn from.
func (c *labHuntCmd) ranges() (lab.Ranges, error) {
	r := lab.DefaultRanges()
	r.Only, r.Seconds = c.Only, c.Secs
	wrong := func(what string) (lab.Ranges, error) {
		return r, fmt.Errorf("lab hunt: %s: two values, the least above 0 and the most no less, are right, as 3,24", what)
	}
	if len(c.Nodes) != 2 || c.Nodes[0] < 1 || c.Nodes[1] < c.Nodes[0] {
		return wrong("--nodes")
	}
	if len(c.Server) != 2 || c.Server[0] < 1 || c.Server[1] < c.Server[0] {
		return wrong("--servers")
	}
	if len(c.Load) != 2 || c.Load[0] <= 0 || c.Load[1] < c.Load[0] {
		return wrong("--load")
	}
	if c.Secs < 10 {
		return r, fmt.Errorf("lab hunt: --seconds %g: 10 or more is right", c.Secs)
	}
	r.Nodes, r.Servers, r.Load = [2]int(c.Nodes), [2]int(c.Server), [2]float64(c.Load)
	return r, nil
}

func (c *labHuntCmd) Run() error {
	ctx, stop := interruptible()
	defer stop()
	version, err := build()
	if err != nil {
		return err
	}
	h := lab.Hunt{Runner: lab.Runner{Jobs: c.Jobs}, Seed: c.Seed, Budget: c.Budget, Rules: c.Rules, Keep: c.Keep,
		Version: version, Say: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }}
	for _, k := range c.Only {
		if needs, _ := day.Keys(k); needs == nil {
			return fmt.Errorf("lab hunt: there is no trouble %q: one of %s is right", k, strings.Join(lab.Drawn(), ", "))
		}
	}
	if h.Ranges, err = c.ranges(); err != nil {
		return err
	}
	found, plays, err := h.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%d plays, %d days found\n", plays, len(found))
	for i, f := range found {
		text, err := lab.Text(f.Day)
		if err != nil {
			return err
		}
		fmt.Printf("\n# %s; served %.3f of at most %.3f; seed %d\n%s", f.Why, f.Result.Served, f.Result.Most, f.Seed, text)
		if c.Out == "" {
			continue
		}
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
		path := filepath.Join(c.Out, fmt.Sprintf("hunt-%d-%d.toml", c.Seed, i+1))
		head := fmt.Sprintf("# %s; served %.3f of at most %.3f.\n# larkrouter fleet --day %s --seed %d\n", f.Why, f.Result.Served, f.Result.Most,
			filepath.Base(path), f.Seed)
		if err := os.WriteFile(path, append([]byte(head), text...), 0o644); err != nil {
			return err
		}
	}
	if c.Rules && len(found) > 0 {
		return errSilent
	}
	return nil
}

type labReportCmd struct {
	Dir   string `arg:"" type:"existingdir" help:"Directory of results."`
	Out   string `default:"report.html" type:"path" help:"The page."`
	Title string `default:"larkrouter: days played" help:"Its title."`
}

func (c *labReportCmd) Run() error {
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(lab.WriteReport(f, c.Dir, c.Title), f.Close())
}
