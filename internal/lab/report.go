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

var page = template.Must(template.New("report").Funcs(template.FuncMap{
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
		return fmt.Sprintf("%.3f ± %.3f", v.Mean, v.Has)
	},
	"inc": func(i int) int { return i + 1 },
}).Parse(pageText))

// Row is a line of the report's table.
type Row struct {
	Day, Set, Policy, Version string
	Seeds                     int
	Served, Way, Worst        Interval
	Most                      float64
	Broken, Fallen            int
}

// DayCharts are the charts of one day with one setting.
type DayCharts struct {
	Title    string
	Troubles []Mark
	Charts   []template.HTML
}

// Report is what the page shows.
type Report struct {
	Title    string
	Rows     []Row
	Overview []template.HTML
	Days     []DayCharts
	Breaks   []string
}

// Rows are the table of some groups.
func Rows(groups []*Group) []Row {
	var rows []Row
	for _, g := range groups {
		r := Row{Day: g.Day, Set: strings.Join(g.Set, " "), Policy: g.Policy, Version: g.Version, Seeds: len(g.Results), Served: g.Served(),
			Worst: IntervalOf(g.Of(func(r *Result) float64 { return r.WorstTen })),
			Most:  IntervalOf(g.Of(func(r *Result) float64 { return r.Most })).Mean}
		r.Way, _ = WayOf(g, groups)
		r.Broken, r.Fallen = g.Broken()
		rows = append(rows, r)
	}
	slices.SortStableFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Day, b.Day); c != 0 {
			return c
		}
		if c := strings.Compare(a.Set, b.Set); c != 0 {
			return c
		}
		return policyRank(a.Policy) - policyRank(b.Policy)
	})
	return rows
}

// WriteReport draws the results of a directory as one page that needs nothing else.
func WriteReport(w io.Writer, dir, title string) error {
	all, err := Read(dir)
	if err != nil {
		return err
	}
	groups := Groups(all)
	rep := Report{Title: title, Rows: Rows(groups)}
	for i := range all {
		for k, v := range all[i].Rules {
			if v.Breaks > 0 && all[i].Policy == fleet.Module {
				rep.Breaks = append(rep.Breaks, fmt.Sprintf("%s: rule %d (%s): %s", all[i].ID, k+1, v.Name, strings.Join(v.Examples, "; ")))
			}
		}
	}
	if rep.Overview, err = overview(rep.Rows, groups); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, g := range groups {
		key := g.Day + " " + strings.Join(g.Set, " ")
		if g.Policy != fleet.Module || seen[key] {
			continue
		}
		seen[key] = true
		d, err := chartsOf(dir, g, groups)
		if err != nil {
			return err
		}
		d.Title = strings.TrimSpace(key)
		rep.Days = append(rep.Days, *d)
	}
	return page.Execute(w, rep)
}

// overview are the charts over all days: shares of the way, and heat maps of the grid if there is one.
func overview(rows []Row, groups []*Group) ([]template.HTML, error) {
	var out []template.HTML
	var dots []Bars
	for _, r := range rows {
		if r.Way.N > 0 && r.Policy != Bottom && r.Policy != Top && len(dots) < 40 {
			dots = append(dots, Bars{strings.TrimSpace(r.Day+" "+r.Set) + ": " + r.Policy, r.Way})
		}
	}
	if len(dots) > 0 {
		s, err := Dots("Share of the way from random (0) to the oracle (1), 95 in 100", "share of the way", dots, false)
		if err != nil {
			return nil, err
		}
		out = append(out, template.HTML(s)) // drawn here, of numbers and names that the plot library escapes
	}
	byDay := map[string][]*Group{}
	var days []string
	for _, g := range groups {
		if g.Policy == fleet.Module && len(g.Set) > 0 && len(g.Set) <= 2 {
			if byDay[g.Day] == nil {
				days = append(days, g.Day)
			}
			byDay[g.Day] = append(byDay[g.Day], g)
		}
	}
	for _, d := range days {
		s, err := heatOf(d, byDay[d])
		if err != nil {
			return nil, err
		}
		if s != "" {
			out = append(out, template.HTML(s))
		}
	}
	return out, nil
}

func heatOf(title string, groups []*Group) (string, error) {
	var keys [2]string
	var vals [2][]string
	at := func(g *Group, axis int) string {
		if axis >= len(g.Set) {
			return ""
		}
		k, v, _ := strings.Cut(g.Set[axis], "=")
		keys[axis] = k
		return v
	}
	for _, g := range groups {
		for axis := range 2 {
			if v := at(g, axis); !slices.Contains(vals[axis], v) {
				vals[axis] = append(vals[axis], v)
			}
		}
	}
	if len(vals[0])*len(vals[1]) < 2 {
		return "", nil
	}
	z := make([][]float64, len(vals[1]))
	for r := range z {
		z[r] = make([]float64, len(vals[0]))
		for c := range z[r] {
			z[r][c] = nan
		}
	}
	for _, g := range groups {
		z[slices.Index(vals[1], at(g, 1))][slices.Index(vals[0], at(g, 0))] = g.Served().Mean
	}
	return Heat("Share served by worth: "+title, keys[0], keys[1], vals[0], vals[1], z)
}

// chartsOf draws a day: all policies' service over time, and of the module's first seed outcomes, waits and gates.
func chartsOf(dir string, g *Group, groups []*Group) (*DayCharts, error) {
	first := &g.Results[0]
	d := &DayCharts{Troubles: first.Troubles}
	add := func(s string, err error) error {
		if err == nil {
			d.Charts = append(d.Charts, template.HTML(s))
		}
		return err
	}
	var same []*Group
	for _, o := range groups {
		if o.Day == g.Day && slices.Equal(o.Set, g.Set) {
			same = append(same, o)
		}
	}
	slices.SortStableFunc(same, func(a, b *Group) int { return policyRank(a.Policy) - policyRank(b.Policy) })
	var served []Line
	for _, o := range same {
		l, err := meanOf(dir, o, "served")
		if err != nil {
			return nil, err
		}
		if l.Name = o.Policy; len(groupsOfPolicy(same, o.Policy)) > 1 {
			l.Name += " " + o.Version
		}
		l.Y = capped(l.Y, 1.05) // calls of the second before may stand in this one
		served = append(served, l)
	}
	const over = "Share served by worth of what was offered in the second, mean of the seeds"
	if err := add(Lines(over, "share", served, d.Troubles, 0, 1.05)); err != nil {
		return nil, err
	}
	cols, err := ReadSeries(dir, first.ID)
	if err != nil {
		return nil, err
	}
	t := cols["second"]
	var outcomes, waits, gates []Line
	for _, what := range []string{"offered", "in_aim", "late", "refused", "failed", "cut"} {
		sum := make([]float64, len(t))
		for _, c := range first.Classes {
			for i, v := range cols[c.Name+"_"+what] {
				sum[i] += v
			}
		}
		outcomes = append(outcomes, Line{strings.ReplaceAll(what, "_", " "), t, sum})
	}
	for i := range min(first.Servers, len(inks)) {
		name := fmt.Sprintf("server %d", i)
		waits = append(waits, Line{name, t, capped(cols[fmt.Sprintf("server%d_wait_ms", i)], 5000)})
		gates = append(gates, Line{name, t, capped(cols[fmt.Sprintf("server%d_gate", i)], 3)})
	}
	title := fmt.Sprintf("Calls a second by outcome, seed %d", first.Seed)
	if err := add(Lines(title, "calls a second", outcomes, d.Troubles, 0, nan)); err != nil {
		return nil, err
	}
	title = fmt.Sprintf("Wait of a set-up at the servers, seed %d (5 s and more as 5 s)", first.Seed)
	if err := add(Lines(title, "ms", waits, d.Troubles, 0, nan)); err != nil {
		return nil, err
	}
	title = fmt.Sprintf("What the gates of all nodes let through, in servers' capacities, seed %d", first.Seed)
	return d, add(Lines(title, "capacities", gates, d.Troubles, 0, nan))
}

func groupsOfPolicy(groups []*Group, policy string) (of []*Group) {
	for _, g := range groups {
		if g.Policy == policy {
			of = append(of, g)
		}
	}
	return of
}

func capped(x []float64, most float64) []float64 {
	c := slices.Clone(x)
	for i := range c {
		c[i] = min(c[i], most)
	}
	return c
}

// meanOf is a column's mean over a group's seeds.
func meanOf(dir string, g *Group, column string) (Line, error) {
	var l Line
	for i := range g.Results {
		cols, err := ReadSeries(dir, g.Results[i].ID)
		if err != nil {
			return l, err
		}
		if l.X == nil {
			l.X, l.Y = cols["second"], make([]float64, len(cols["second"]))
		}
		for k, v := range cols[column] {
			if k < len(l.Y) {
				l.Y[k] += v / float64(len(g.Results))
			}
		}
	}
	n := len(l.X)
	for n > 0 && l.X[n-1] > g.Results[0].Seconds { // callers dial no more
		n--
	}
	l.X, l.Y = l.X[:n], l.Y[:n]
	return l, nil
}
