package lab

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"larkrouter/internal/fleet"
)

//go:embed report.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"f3": func(x float64) string {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return "–"
		}
		return fmt.Sprintf("%.3f", x)
	},
	"interval": func(v Interval) string {
		switch {
		case v.N == 0:
			return "–"
		case v.N == 1:
			return fmt.Sprintf("%.3f", v.Mean)
		}
		return fmt.Sprintf("%.3f ± %.3f", v.Mean, v.HalfWidth)
	},
	"inc": func(i int) int { return i + 1 },
}).Parse(pageText))

// Row is a row of the table of results, which reports and the lab commands print.
type Row struct {
	Day, Overrides, Policy, Version string
	Seeds                           int
	Served, Score, WorstTenSeconds  Interval
	Bound                           float64
	Broken, Collapsed               int
}

// DayCharts holds the charts of one day with the same overrides.
type DayCharts struct {
	Title    string
	Troubles []TroubleMark
	Charts   []template.HTML
}

// Report is the data of the page template.
type Report struct {
	Title      string
	Rows       []Row
	Overview   []template.HTML
	Days       []DayCharts
	Violations []string
}

// Rows returns the table rows of groups, sorted by day, overrides and policy.
func Rows(groups []*Group) []Row {
	var rows []Row
	for _, g := range groups {
		row := Row{Day: g.Day, Overrides: strings.Join(g.Overrides, " "), Policy: g.Policy, Version: g.Version,
			Seeds: len(g.Results), Served: g.Served(),
			WorstTenSeconds: IntervalOf(g.Values(func(result *Result) float64 { return result.WorstTenSeconds })),
			Bound:           IntervalOf(g.Values(func(result *Result) float64 { return result.Bound })).Mean}
		row.Score, _ = GroupScore(g, groups)
		row.Broken, row.Collapsed = g.Failures()
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Day, b.Day); c != 0 {
			return c
		}
		if c := strings.Compare(a.Overrides, b.Overrides); c != 0 {
			return c
		}
		return policyOrder(a.Policy) - policyOrder(b.Policy)
	})
	return rows
}

// WriteReport writes a self-contained HTML page with the results of a directory.
func WriteReport(w io.Writer, dir, title string) error {
	results, err := ReadResults(dir)
	if err != nil {
		return err
	}
	groups := Groups(results)
	report := Report{Title: title, Rows: Rows(groups)}
	for i := range results {
		for k, v := range results[i].Rules {
			if v.Violations > 0 && results[i].Policy == fleet.Module {
				report.Violations = append(report.Violations, fmt.Sprintf("%s: rule %d (%s): %s", results[i].ID, k+1, v.Name,
					strings.Join(v.Examples, "; ")))
			}
		}
	}
	if report.Overview, err = overview(report.Rows, groups); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, group := range groups {
		key := group.Day + " " + strings.Join(group.Overrides, " ")
		if group.Policy != fleet.Module || seen[key] {
			continue
		}
		seen[key] = true
		charts, err := chartsOf(dir, group, groups)
		if err != nil {
			return err
		}
		charts.Title = strings.TrimSpace(key)
		report.Days = append(report.Days, *charts)
	}
	return pageTemplate.Execute(w, report)
}

// overview returns the charts over all days: the normalized scores, and heat maps of the results of a sweep.
func overview(rows []Row, groups []*Group) ([]template.HTML, error) {
	var charts []template.HTML
	var intervals []NamedInterval
	for _, r := range rows {
		if r.Score.N > 0 && r.Policy != RandomPolicy && r.Policy != OraclePolicy && len(intervals) < 40 {
			intervals = append(intervals, NamedInterval{strings.TrimSpace(r.Day+" "+r.Overrides) + ": " + r.Policy, r.Score})
		}
	}
	if len(intervals) > 0 {
		s, err := IntervalChart("Normalized score from random (0) to the oracle (1), 95% confidence intervals", "normalized score", intervals,
			false)
		if err != nil {
			return nil, err
		}
		charts = append(charts, template.HTML(s)) // safe: consists of numbers, and of names that the plot library escapes
	}
	byDay := map[string][]*Group{}
	var days []string
	for _, g := range groups {
		if g.Policy == fleet.Module && len(g.Overrides) > 0 && len(g.Overrides) <= 2 {
			if byDay[g.Day] == nil {
				days = append(days, g.Day)
			}
			byDay[g.Day] = append(byDay[g.Day], g)
		}
	}
	for _, day := range days {
		s, err := heatMapOf(day, byDay[day])
		if err != nil {
			return nil, err
		}
		if s != "" {
			charts = append(charts, template.HTML(s))
		}
	}
	return charts, nil
}

// heatMapOf draws the share served by the module over the one or two keys of a sweep.
func heatMapOf(title string, groups []*Group) (string, error) {
	var keys [2]string
	var values [2][]string
	axisValue := func(g *Group, axis int) string {
		if axis >= len(g.Overrides) {
			return ""
		}
		k, v, _ := strings.Cut(g.Overrides[axis], "=")
		keys[axis] = k
		return v
	}
	for _, g := range groups {
		for axis := range 2 {
			if v := axisValue(g, axis); !slices.Contains(values[axis], v) {
				values[axis] = append(values[axis], v)
			}
		}
	}
	if len(values[0])*len(values[1]) < 2 {
		return "", nil
	}
	z := make([][]float64, len(values[1]))
	for r := range z {
		z[r] = make([]float64, len(values[0]))
		for c := range z[r] {
			z[r][c] = notANumber
		}
	}
	for _, g := range groups {
		z[slices.Index(values[1], axisValue(g, 1))][slices.Index(values[0], axisValue(g, 0))] = g.Served().Mean
	}
	return HeatMap("Share served by worth: "+title, keys[0], keys[1], values[0], values[1], z)
}

// Limits of what the charts show.
const (
	maxChartedWaitMs = 5000
	maxChartedGate   = 3 // multiple of a server's capacity
)

// chartsOf draws the charts of a day: the share served over time by all policies, and the outcomes, waiting times and gate
// rates of the module with the first seed.
func chartsOf(dir string, group *Group, groups []*Group) (*DayCharts, error) {
	result := &group.Results[0]
	charts := &DayCharts{Troubles: result.Troubles}
	add := func(s string, err error) error {
		if err == nil {
			charts.Charts = append(charts.Charts, template.HTML(s))
		}
		return err
	}
	var comparable []*Group
	for _, other := range groups {
		if other.Day == group.Day && slices.Equal(other.Overrides, group.Overrides) {
			comparable = append(comparable, other)
		}
	}
	slices.SortStableFunc(comparable, func(a, b *Group) int { return policyOrder(a.Policy) - policyOrder(b.Policy) })
	var served []LineSeries
	for _, other := range comparable {
		series, err := meanSeries(dir, other, "served")
		if err != nil {
			return nil, err
		}
		if series.Name = other.Policy; len(groupsOfPolicy(comparable, other.Policy)) > 1 {
			series.Name += " " + other.Version
		}
		series.Y = clampMax(series.Y, 1.05) // may exceed 1: calls of the previous second may stand in this one
		served = append(served, series)
	}
	const over = "Share served by worth of the calls offered in the second, mean of the seeds"
	if err := add(LineChart(over, "share", served, charts.Troubles, 0, 1.05)); err != nil {
		return nil, err
	}
	columns, err := ReadSeries(dir, result.ID)
	if err != nil {
		return nil, err
	}
	outcomes := outcomeLines(result, columns)
	waits := serverLines(columns, "wait_ms", maxChartedWaitMs)
	gates := serverLines(columns, "gate", maxChartedGate)
	title := fmt.Sprintf("Calls a second by outcome, seed %d", result.Seed)
	if err := add(LineChart(title, "calls a second", outcomes, charts.Troubles, 0, notANumber)); err != nil {
		return nil, err
	}
	title = fmt.Sprintf("Waiting time of a set-up at the servers, seed %d (limited to 5 s)", result.Seed)
	if err := add(LineChart(title, "ms", waits, charts.Troubles, 0, notANumber)); err != nil {
		return nil, err
	}
	title = fmt.Sprintf("Sum of the nodes' gate rates, as a multiple of the server's capacity, seed %d", result.Seed)
	return charts, add(LineChart(title, "capacities", gates, charts.Troubles, 0, notANumber))
}

// groupsOfPolicy returns the groups of a policy.
func groupsOfPolicy(groups []*Group, policy string) (matching []*Group) {
	for _, g := range groups {
		if g.Policy == policy {
			matching = append(matching, g)
		}
	}
	return matching
}

// clampMax returns a copy of x whose values are limited to a maximum.
func clampMax(x []float64, limit float64) []float64 {
	c := slices.Clone(x)
	for i := range c {
		c[i] = min(c[i], limit)
	}
	return c
}

// meanSeries returns the mean of a column over a group's seeds, for the time in which callers dial.
func meanSeries(dir string, group *Group, column string) (LineSeries, error) {
	var series LineSeries
	for i := range group.Results {
		columns, err := ReadSeries(dir, group.Results[i].ID)
		if err != nil {
			return series, err
		}
		if series.X == nil {
			series.X, series.Y = columns["second"], make([]float64, len(columns["second"]))
		}
		for k, v := range columns[column] {
			if k < len(series.Y) {
				series.Y[k] += v / float64(len(group.Results))
			}
		}
	}
	n := len(series.X)
	for n > 0 && series.X[n-1] > group.Results[0].Seconds { // callers have stopped dialling
		n--
	}
	series.X, series.Y = series.X[:n], series.Y[:n]
	return series, nil
}

// outcomeLines returns the calls of all classes by outcome, over time.
func outcomeLines(result *Result, columns map[string][]float64) (lines []LineSeries) {
	for _, what := range []string{"offered", "in_aim", "late", "refused", "failed", "cut"} {
		sum := make([]float64, len(columns["second"]))
		for _, class := range result.Classes {
			for i, v := range columns[class.Name+"_"+what] {
				sum[i] += v
			}
		}
		lines = append(lines, LineSeries{strings.ReplaceAll(what, "_", " "), columns["second"], sum})
	}
	return lines
}

// serverLines returns a column of each server over time, for as many servers as there are colors. Servers that were added
// during the day follow those of its start.
func serverLines(columns map[string][]float64, what string, limit float64) (lines []LineSeries) {
	for i := range len(lineColors) {
		values, ok := columns[fmt.Sprintf("server%d_%s", i, what)]
		if !ok {
			break
		}
		lines = append(lines, LineSeries{fmt.Sprintf("server %d", i), columns["second"], clampMax(values, limit)})
	}
	return lines
}
