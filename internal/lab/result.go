package lab

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larkrouter/internal/fleet"
	"larkrouter/internal/standin"
)

// Result is what came of a play. It holds nothing that the machine or the hour had a part in: the same play gives the
// same bytes.
type Result struct {
	ID       string        `json:"id"`
	Day      string        `json:"day"`
	Policy   string        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Version  string        `json:"version"`
	Set      []string      `json:"set,omitempty"`
	Nodes    int           `json:"nodes"`
	Servers  int           `json:"servers"`
	Rate     float64       `json:"rate"`
	Load     float64       `json:"load"`
	Seconds  float64       `json:"seconds"`
	Served   float64       `json:"served"`     // by worth
	Most     float64       `json:"most"`       // that could be, by the servers' work
	WorstTen float64       `json:"worst_10_s"` // least share served of what was offered in ten seconds on end
	Classes  []ClassResult `json:"classes"`
	Rules    []RuleResult  `json:"rules"`
	Fallen   int           `json:"pushed_over"`
	Asserts  uint64        `json:"asserts"`
	Records  int           `json:"records"`
	Troubles []Mark        `json:"troubles"`
	Text     string        `json:"day_file"`
}

// ClassResult is what became of a class.
type ClassResult struct {
	Name string `json:"name"`
	standin.ClassCounts
	P50 float64 `json:"p50_ms"` // of the time until a try stood
	P99 float64 `json:"p99_ms"`
}

// RuleResult is the verdict on a rule.
type RuleResult struct {
	Name     string   `json:"name"`
	Verdict  string   `json:"verdict"`
	Checks   int      `json:"checks"`
	Breaks   int      `json:"breaks"`
	Examples []string `json:"examples,omitempty"`
}

// Mark is a trouble's beginning.
type Mark struct {
	At   float64 `json:"at_s"`
	What string  `json:"what"`
}

// Broken is how many rules were broken.
func (r *Result) Broken() (n int) {
	for _, v := range r.Rules {
		if v.Breaks > 0 {
			n++
		}
	}
	return n
}

// Played is a result with what is kept beside it.
type Played struct {
	Result
	Series []fleet.Sample
	Times  []*hdrhistogram.Histogram // microseconds until a try stood, by class
}

// write puts a play into a directory: series, histograms, and the result last, which says that all is there.
func (p *Played) write(dir string) error {
	var series, hist bytes.Buffer
	if err := p.csv(&series); err != nil {
		return err
	}
	if err := p.histograms(&hist); err != nil {
		return err
	}
	b, err := json.MarshalIndent(p.Result, "", "  ")
	if err != nil {
		return err
	}
	for _, f := range []struct {
		suffix string
		b      []byte
	}{{".csv", series.Bytes()}, {".hlog", hist.Bytes()}, {".json", append(b, '\n')}} {
		if err := replace(filepath.Join(dir, p.ID+f.suffix), f.b); err != nil {
			return err
		}
	}
	return nil
}

// replace writes a file whole or not at all.
func replace(path string, b []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	_, err = tmp.Write(b)
	err = errors.Join(err, tmp.Chmod(0o644), tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		return errors.Join(fmt.Errorf("results: %w", err), os.Remove(tmp.Name()))
	}
	return nil
}

func (p *Played) csv(to *bytes.Buffer) error {
	w := csv.NewWriter(to)
	head := []string{"second", "served", "waiting", "held", "standing", "nodes"}
	for _, c := range p.Classes {
		for _, what := range []string{"offered", "in_aim", "late", "refused", "failed", "unanswered", "cut", "redials"} {
			head = append(head, c.Name+"_"+what)
		}
	}
	servers := 0
	for i := range p.Series {
		servers = max(servers, len(p.Series[i].Servers))
	}
	for i := range servers {
		for _, what := range []string{"up", "speed", "wait_ms", "line", "set_ups", "turned_away", "gate", "shut"} {
			head = append(head, fmt.Sprintf("server%d_%s", i, what))
		}
	}
	rows := [][]string{head}
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	u := func(n uint64) string { return strconv.FormatUint(n, 10) }
	for _, s := range p.Series {
		row := []string{f(s.At.Seconds()), f(s.Served), strconv.Itoa(s.Waiting), strconv.Itoa(s.Held),
			strconv.Itoa(s.Calls), strconv.Itoa(s.Nodes)}
		for _, c := range s.Classes {
			row = append(row, u(c.Offered), u(c.InAim), u(c.Late), u(c.Refused), u(c.Failed), u(c.Unanswered), u(c.Cut), u(c.Redials))
		}
		for i := range servers {
			if i >= len(s.Servers) {
				row = append(row, "", "", "", "", "", "", "", "")
				continue
			}
			v := s.Servers[i]
			gate := ""
			if v.Gate == v.Gate { // not NaN: somebody has a gate
				gate = f(v.Gate)
			}
			row = append(row, strconv.FormatBool(v.Up), f(v.Speed), f(float64(v.Wait)/1e6), strconv.Itoa(v.Line), u(v.SetUps), u(v.Away),
				gate, f(v.Shut))
		}
		rows = append(rows, row)
	}
	return w.WriteAll(rows)
}

// histograms writes the log format of HdrHistogram, an interval a class, tagged with its name.
func (p *Played) histograms(to *bytes.Buffer) error {
	w := hdrhistogram.NewHistogramLogWriter(to)
	err := errors.Join(w.OutputLogFormatVersion(), w.OutputComment("#[microseconds until a try stood, by class]"), w.OutputLegend())
	if err != nil {
		return err
	}
	for i, h := range p.Times {
		h.SetTag(strings.ReplaceAll(p.Classes[i].Name, ",", "_"))
		h.SetStartTimeMs(0)
		h.SetEndTimeMs(int64(p.Seconds * 1000))
		if err := w.OutputIntervalHistogram(h); err != nil {
			return err
		}
	}
	return nil
}

// Read reads all results of a directory, in the order of their names.
func Read(dir string) ([]Result, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var all []Result
	for _, name := range names {
		r, err := readOne(name)
		if err != nil {
			return nil, err
		}
		all = append(all, *r)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("results: no results in %s: a directory that lab run, sweep or compare wrote is right", dir)
	}
	return all, nil
}

func readOne(name string) (*Result, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("results: %s: %w", name, err)
	}
	if r.ID+".json" != filepath.Base(name) {
		return nil, fmt.Errorf("results: %s: holds %q: a file that lab wrote is right, under its own name", name, r.ID)
	}
	return r, nil
}

// ReadSeries reads a play's series: by column, as numbers; what is empty or no number is not there.
func ReadSeries(dir, id string) (map[string][]float64, error) {
	f, err := os.Open(filepath.Join(dir, id+".csv"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) < 2 {
		return nil, fmt.Errorf("results: %s: %d rows: %w", f.Name(), len(rows), err)
	}
	cols := map[string][]float64{}
	for _, row := range rows[1:] {
		for i, v := range row {
			x, err := strconv.ParseFloat(v, 64)
			if err != nil {
				x = nan
			}
			cols[rows[0][i]] = append(cols[rows[0][i]], x)
		}
	}
	return cols, nil
}

// known says whether a play's result is there already, whole.
func known(dir, id string) (*Result, error) {
	r, err := readOne(filepath.Join(dir, id+".json"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return r, err
}

func millis(us int64) float64 {
	return float64((time.Duration(us) * time.Microsecond).Microseconds()) / 1000
}
