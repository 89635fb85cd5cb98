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

// labCmd groups the commands for experiments.
type labCmd struct {
	Run     labRunCmd     `cmd:"" help:"Simulate days with several seeds and policies, on all cores, and store the results."`
	Sweep   labSweepCmd   `cmd:"" help:"Simulate a grid over any keys of a day, such as load, sizes or settings of the nodes."`
	Compare labCompareCmd `cmd:"" help:"Simulate the same days with two settings, policies or builds, paired by seed."`
	Hunt    labHuntCmd    `cmd:"" help:"Search for days on which the module does worst or breaks a rule, and reduce them to minimal ones."`
	Replay  labReplayCmd  `cmd:"" help:"Run a day on loopback sockets in real time, with each node as a process of the program."`
	Report  labReportCmd  `cmd:"" help:"Write stored results as a single HTML page."`
}

// labDays holds the flags that select the days to simulate and where results are stored.
type labDays struct {
	Day  []string `default:"bad" help:"Built-in days (${days}), or paths of day files that end in .toml."`
	Set  []string `sep:"none" help:"key=value, overriding a key of the day file, such as fleet.load=1.3 or node.max_attempts=2."`
	Seed uint64   `default:"1" help:"First seed."`
	Jobs int      `help:"Concurrent simulations; 0: one per core."`
	Out  string   `type:"path" help:"Directory for the results; results that it already holds are not computed again."`
}

// readDay reads a built-in day or a day file.
func readDay(name string) (*day.File, error) { return day.Open(name, os.ReadFile) }

// specs returns the simulations for all combinations of days, settings, policies and seeds.
func (c *labDays) specs(points [][]string, policies []string, seedCount int, version string) ([]lab.Spec, error) {
	if seedCount < 1 {
		return nil, fmt.Errorf("lab: --seeds %d: must be at least 1", seedCount)
	}
	for _, policy := range policies {
		if err := checkPolicy(policy); err != nil {
			return nil, err
		}
	}
	var specs []lab.Spec
	for _, name := range c.Day {
		base, err := readDay(name)
		if err != nil {
			return nil, err
		}
		for _, point := range points {
			variant, err := lab.Override(base, append(append([]string(nil), c.Set...), point...))
			if err != nil {
				return nil, err
			}
			overrides := append(append([]string(nil), point...), c.Set...)
			for _, policy := range policies {
				for offset := range seedCount {
					specs = append(specs, lab.Spec{Day: variant, Policy: policy, Seed: c.Seed + uint64(offset), Overrides: overrides, Version: version})
				}
			}
		}
	}
	return specs, nil
}

// checkPolicy returns an error if there is no policy of that name.
func checkPolicy(policy string) error {
	if policy == fleet.Module {
		return nil
	}
	for _, name := range baseline.Names {
		if policy == name {
			return nil
		}
	}
	return fmt.Errorf("lab: unknown policy %q: must be one of %s, %s", policy, fleet.Module, strings.Join(baseline.Names, ", "))
}

// buildID returns a hash of this executable, which distinguishes the results of different builds.
func buildID() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	executable, err := os.ReadFile(self)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%012x", xxhash.Sum64(executable)>>16), nil
}

// newRunner returns a runner that prints a line on standard error for each completed simulation.
func (c *labDays) newRunner() *lab.Runner {
	start := time.Now()
	return &lab.Runner{Dir: c.Out, Jobs: c.Jobs, OnResult: func(done, total int, result *lab.Result) {
		fmt.Fprintf(os.Stderr, "%4d of %d, %5.0f s  %s, seed %d, %s: %.3f\n", done, total, time.Since(start).Seconds(), result.Day,
			result.Seed, result.Policy, result.Served)
	}}
}

// signalContext returns a context that an interrupt signal cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// printRows prints a table of results. It returns errReported if the module broke a rule or made a cold server collapse.
func printRows(results []lab.Result) error {
	groups := lab.Groups(results)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "day\tset\tpolicy\tseeds\tserved\tnormalized score\tworst 10 s\tbound\trules broken\tservers collapsed")
	violations := 0
	for _, row := range lab.Rows(groups) {
		score := "-"
		if row.Score.N > 0 {
			score = fmt.Sprintf("%.3f", row.Score.Mean)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%.3f\t%.3f\t%d\t%d\n", row.Day, row.Overrides, row.Policy, row.Seeds,
			formatInterval(row.Served), score, row.WorstTenSeconds.Mean, row.Bound, row.Broken, row.Collapsed)
		if row.Policy == fleet.Module {
			violations += row.Broken + row.Collapsed
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if violations > 0 {
		return errReported
	}
	return nil
}

// formatInterval formats a mean with the half width of its confidence interval, if it has one.
func formatInterval(interval lab.Interval) string {
	if interval.N < 2 {
		return fmt.Sprintf("%.3f", interval.Mean)
	}
	return fmt.Sprintf("%.3f ± %.3f", interval.Mean, interval.HalfWidth)
}

// printUsage prints the time, CPU and memory that the simulations took, which the results do not hold.
func printUsage(start time.Time, cpuBefore time.Duration, results []lab.Result) {
	var virtualSeconds, calls float64
	for i := range results {
		virtualSeconds += results[i].Seconds + 10
		for _, class := range results[i].Classes {
			calls += float64(class.Offered)
		}
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	elapsed, cpuSeconds := time.Since(start).Seconds(), (cpuTime() - cpuBefore).Seconds()
	fmt.Fprintf(os.Stderr, "%d simulations in %.1f s: %.1f virtual seconds per second, %.0f calls per CPU second, %d MB\n", len(results),
		elapsed, virtualSeconds/elapsed, calls/cpuSeconds, memory.Sys>>20)
}

// labRunCmd simulates the days with several seeds and policies.
type labRunCmd struct {
	labDays
	Seeds    int      `default:"8" help:"Number of seeds."`
	Policies []string `default:"module" help:"Policies: module, random, first-choice, least-delay, token-gate, window, loss, oracle."`
}

func (c *labRunCmd) Run() error {
	return c.run([][]string{nil}, c.Policies, c.Seeds)
}

// run simulates the days at each point (a list of key=value overrides) with each policy and seed, and prints the results.
func (c *labDays) run(points [][]string, policies []string, seeds int) error {
	ctx, stop := signalContext()
	defer stop()
	version, err := buildID()
	if err != nil {
		return err
	}
	specs, err := c.specs(points, policies, seeds, version)
	if err != nil {
		return err
	}
	start, cpuBefore := time.Now(), cpuTime()
	results, err := c.newRunner().Run(ctx, specs)
	if err != nil {
		return explainInterrupt(err, c.Out)
	}
	printUsage(start, cpuBefore, results)
	return printRows(results)
}

// explainInterrupt replaces the error of an interrupted command by one that says how to resume it, if results are stored.
func explainInterrupt(err error, dir string) error {
	if errors.Is(err, context.Canceled) && dir != "" {
		return fmt.Errorf("interrupted: the results so far are in %s; run the same command again to continue", dir)
	}
	return err
}

// labSweepCmd simulates the days at each point of a grid of settings.
type labSweepCmd struct {
	labDays
	Axis     []string `required:"" sep:"none" help:"key=value,value; repeat the flag for a grid."`
	Seeds    int      `default:"4" help:"Number of seeds."`
	Policies []string `default:"module" help:"Policies to simulate; see lab run."`
}

func (c *labSweepCmd) Run() error {
	grid, err := lab.ParseGrid(c.Axis)
	if err != nil {
		return err
	}
	return c.run(grid.Points(), c.Policies, c.Seeds)
}

// labCompareCmd simulates the same days on two sides that differ in settings, policy or build, and compares them by seed.
type labCompareCmd struct {
	labDays
	Seeds   int      `default:"20" help:"Number of seeds."`
	With    []string `sep:"none" help:"key=value, set for the second side only."`
	Policy  string   `help:"Policy of the second side instead of the module."`
	Against string   `type:"path" help:"Another build of the program as the first side; this build is the second."`
}

func (c *labCompareCmd) Run() error {
	given := 0
	for _, isSet := range []bool{len(c.With) > 0, c.Policy != "", c.Against != ""} {
		if isSet {
			given++
		}
	}
	if given != 1 {
		return errors.New("lab compare: exactly one of --with, --policy and --against is required: the two sides must differ in one thing")
	}
	ctx, stop := signalContext()
	defer stop()
	version, err := buildID()
	if err != nil {
		return err
	}
	firstSpecs, err := c.specs([][]string{nil}, []string{fleet.Module}, c.Seeds, version)
	if err != nil {
		return err
	}
	var firstResults, secondResults []lab.Result
	names := [2]string{"unchanged", ""}
	switch {
	case c.Against != "":
		names = [2]string{filepath.Base(c.Against), "this build"}
		if firstResults, err = c.runOtherBuild(ctx); err == nil {
			secondResults, err = c.newRunner().Run(ctx, firstSpecs)
		}
	case c.Policy != "":
		names[1] = c.Policy
		secondSpecs := append([]lab.Spec(nil), firstSpecs...)
		for i := range secondSpecs {
			secondSpecs[i].Policy = c.Policy
		}
		firstResults, secondResults, err = c.runBoth(ctx, firstSpecs, secondSpecs)
	default:
		names[1] = strings.Join(c.With, " ")
		secondSpecs := append([]lab.Spec(nil), firstSpecs...)
		for i := range secondSpecs {
			if secondSpecs[i].Day, err = lab.Override(firstSpecs[i].Day, c.With); err != nil {
				return err
			}
		}
		firstResults, secondResults, err = c.runBoth(ctx, firstSpecs, secondSpecs)
	}
	if err != nil {
		return explainInterrupt(err, c.Out)
	}
	fmt.Printf("first: %s; second: %s; paired by seed, intervals of 95 in 100\n", names[0], names[1])
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "day\tseeds\tfirst\tsecond\tdifference\tseeds to detect 0.03 paired\tunpaired")
	pairs := lab.Compare(firstResults, secondResults)
	if len(pairs) == 0 {
		return errors.New("lab compare: no result of one side matches one of the other: both sides must have the same days and seeds")
	}
	for _, pair := range pairs {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%+.4f ± %.4f\t%d\t%d\n", pair.Day, pair.Diff.N, pair.First.Mean, pair.Second.Mean,
			pair.Diff.Mean, pair.Diff.HalfWidth, pair.SeedsPaired, pair.SeedsUnpaired)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for side, results := range [2][]lab.Result{firstResults, secondResults} {
		broken, collapsed := 0, 0
		for i := range results {
			broken, collapsed = broken+results[i].Broken(), collapsed+results[i].Collapsed
		}
		fmt.Printf("%s: rules broken %d, servers collapsed %d\n", names[side], broken, collapsed)
	}
	return nil
}

// runBoth runs the simulations of both sides with one runner and returns their results separately.
func (c *labCompareCmd) runBoth(ctx context.Context, first, second []lab.Spec) (a, b []lab.Result, err error) {
	all, err := c.newRunner().Run(ctx, append(append([]lab.Spec(nil), first...), second...))
	if err != nil {
		return nil, nil, err
	}
	return all[:len(first)], all[len(first):], nil
}

// runOtherBuild makes the build given by --against simulate the same days, with results in a directory of its own.
func (c *labCompareCmd) runOtherBuild(ctx context.Context) ([]lab.Result, error) {
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
	for _, name := range c.Day {
		args = append(args, "--day", name)
	}
	for _, setting := range c.Set {
		args = append(args, "--set", setting)
	}
	cmd := exec.CommandContext(ctx, c.Against, args...)
	cmd.Stderr = os.Stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1) { // exit status 1: a rule was broken
		return nil, fmt.Errorf("lab compare: %s lab run: %w: must be a build of this program that has the command", c.Against, err)
	}
	return lab.ReadResults(dir)
}

// labHuntCmd searches for days on which the module does worst or breaks a rule.
type labHuntCmd struct {
	Seed    uint64    `default:"1" help:"Seed of the search."`
	Budget  int       `default:"160" help:"Number of simulations of the search; reducing the days found takes more."`
	Rules   bool      `help:"Search for days that break a rule, instead of those served worst."`
	Keep    int       `default:"3" help:"Maximum number of days to report."`
	Only    []string  `help:"Kinds of trouble (injected faults) to draw; empty: all."`
	Nodes   []int     `default:"3,24" help:"Minimum and maximum number of nodes."`
	Servers []int     `name:"servers" default:"2,6" help:"Minimum and maximum number of call servers."`
	Load    []float64 `default:"0.5,1.2" help:"Minimum and maximum load."`
	Seconds float64   `name:"seconds" default:"40" help:"Seconds during which callers dial."`
	Jobs    int       `help:"Concurrent simulations; 0: one per core."`
	Out     string    `type:"path" help:"Directory for the day files found."`
}

// ranges validates the flags and returns the ranges that days are drawn from.
func (c *labHuntCmd) ranges() (lab.Ranges, error) {
	r := lab.DefaultRanges()
	r.Kinds, r.Seconds = c.Only, c.Seconds
	invalid := func(flag string) (lab.Ranges, error) {
		return r, fmt.Errorf("lab hunt: %s: must be two values, the minimum above 0 and the maximum not less, such as 3,24", flag)
	}
	if len(c.Nodes) != 2 || c.Nodes[0] < 1 || c.Nodes[1] < c.Nodes[0] {
		return invalid("--nodes")
	}
	if len(c.Servers) != 2 || c.Servers[0] < 1 || c.Servers[1] < c.Servers[0] {
		return invalid("--servers")
	}
	if len(c.Load) != 2 || c.Load[0] <= 0 || c.Load[1] < c.Load[0] {
		return invalid("--load")
	}
	if c.Seconds < 10 {
		return r, fmt.Errorf("lab hunt: --seconds %g: must be at least 10", c.Seconds)
	}
	r.Nodes, r.Servers, r.Load = [2]int(c.Nodes), [2]int(c.Servers), [2]float64(c.Load)
	return r, nil
}

func (c *labHuntCmd) Run() error {
	ctx, stop := signalContext()
	defer stop()
	version, err := buildID()
	if err != nil {
		return err
	}
	hunt := lab.Hunt{Runner: lab.Runner{Jobs: c.Jobs}, Seed: c.Seed, Budget: c.Budget, FindViolations: c.Rules, MaxDays: c.Keep,
		Version: version, Logf: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }}
	for _, kind := range c.Only {
		if needs, _ := day.KeysOfKind(kind); needs == nil {
			return fmt.Errorf("lab hunt: unknown trouble %q: must be one of %s", kind, strings.Join(lab.DrawnKinds(), ", "))
		}
	}
	if hunt.Ranges, err = c.ranges(); err != nil {
		return err
	}
	found, runs, err := hunt.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("%d simulations, %d days found\n", runs, len(found))
	for index, candidate := range found {
		text, err := lab.FormatDay(candidate.Day)
		if err != nil {
			return err
		}
		fmt.Printf("\n# %s; served %.3f of at most %.3f; seed %d\n%s", candidate.Reason, candidate.Result.Served, candidate.Result.Bound,
			candidate.Seed, text)
		if c.Out == "" {
			continue
		}
		if err := os.MkdirAll(c.Out, 0o755); err != nil {
			return err
		}
		path := filepath.Join(c.Out, fmt.Sprintf("hunt-%d-%d.toml", c.Seed, index+1))
		header := fmt.Sprintf("# %s; served %.3f of at most %.3f.\n# larkrouter fleet --day %s --seed %d\n", candidate.Reason,
			candidate.Result.Served, candidate.Result.Bound,
			filepath.Base(path), candidate.Seed)
		if err := os.WriteFile(path, append([]byte(header), text...), 0o644); err != nil {
			return err
		}
	}
	if c.Rules && len(found) > 0 {
		return errReported
	}
	return nil
}

// labReportCmd writes stored results as an HTML page.
type labReportCmd struct {
	Dir   string `arg:"" type:"existingdir" help:"Directory of results."`
	Out   string `default:"report.html" type:"path" help:"File to write the page to."`
	Title string `default:"larkrouter: days played" help:"Title of the page."`
}

func (c *labReportCmd) Run() error {
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(lab.WriteReport(f, c.Dir, c.Title), f.Close())
}
