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

// Result is the result of a simulation. It does not depend on the machine or the time of the run: the same simulation
// gives the same bytes.
type Result struct {
	ID              string        `json:"id"`
	Day             string        `json:"day"`
	Policy          string        `json:"policy"`
	Seed            uint64        `json:"seed"`
	Version         string        `json:"version"`
	Overrides       []string      `json:"set,omitempty"`
	Nodes           int           `json:"nodes"`
	Servers         int           `json:"servers"`
	Rate            float64       `json:"rate"`
	Load            float64       `json:"load"`
	Seconds         float64       `json:"seconds"`
	Served          float64       `json:"served"`     // share served by worth
	Bound           float64       `json:"most"`       // upper bound on Served that follows from the servers' work
	WorstTenSeconds float64       `json:"worst_10_s"` // smallest share served in any ten consecutive seconds
	Classes         []ClassResult `json:"classes"`
	Rules           []RuleResult  `json:"rules"`
	Collapsed       int           `json:"pushed_over"`
	Asserts         uint64        `json:"asserts"`
	Records         int           `json:"records"`
	Troubles        []TroubleMark `json:"troubles"`
	DayText         string        `json:"day_file"`
}

// ClassResult holds the results of a class of calls.
type ClassResult struct {
	Name string `json:"name"`
	standin.ClassCounts
	P50 float64 `json:"p50_ms"` // quantiles of the set-up time
	P99 float64 `json:"p99_ms"`
}

// RuleResult is the verdict on a rule.
type RuleResult struct {
	Name       string   `json:"name"`
	Verdict    string   `json:"verdict"`
	Checks     int      `json:"checks"`
	Violations int      `json:"breaks"`
	Examples   []string `json:"examples,omitempty"`
}

// TroubleMark is the start of a trouble.
type TroubleMark struct {
	At   float64 `json:"at_s"`
	Text string  `json:"what"`
}

// Broken returns the number of rules that were broken.
func (r *Result) Broken() (n int) {
	for _, v := range r.Rules {
		if v.Violations > 0 {
			n++
		}
	}
	return n
}

// RunOutput is a result with its time series and histograms.
type RunOutput struct {
	Result
	Series     []fleet.Sample
	SetUpTimes []*hdrhistogram.Histogram // set-up times in microseconds, by class
}

// write writes the files of a run: series, histograms, and the result last, whose presence marks the run as complete.
func (o *RunOutput) write(dir string) error {
	var series, hist bytes.Buffer
	if err := o.writeSeries(&series); err != nil {
		return err
	}
	if err := o.writeHistograms(&hist); err != nil {
		return err
	}
	resultJSON, err := json.MarshalIndent(o.Result, "", "  ")
	if err != nil {
		return err
	}
	for _, f := range []struct {
		suffix string
		b      []byte
	}{{".csv", series.Bytes()}, {".hlog", hist.Bytes()}, {".json", append(resultJSON, '\n')}} {
		if err := replaceFile(filepath.Join(dir, o.ID+f.suffix), f.b); err != nil {
			return err
		}
	}
	return nil
}

// replaceFile writes a file atomically.
func replaceFile(path string, b []byte) error {
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

// writeSeries writes the time series as CSV, with one row per second.
func (o *RunOutput) writeSeries(to *bytes.Buffer) error {
	csvWriter := csv.NewWriter(to)
	header := []string{"second", "served", "waiting", "held", "standing", "nodes"}
	for _, c := range o.Classes {
		for _, column := range []string{"offered", "in_aim", "late", "refused", "failed", "unanswered", "cut", "redials"} {
			header = append(header, c.Name+"_"+column)
		}
	}
	servers := 0
	for i := range o.Series {
		servers = max(servers, len(o.Series[i].Servers))
	}
	for i := range servers {
		for _, column := range []string{"up", "speed", "wait_ms", "line", "set_ups", "turned_away", "gate", "shut"} {
			header = append(header, fmt.Sprintf("server%d_%s", i, column))
		}
	}
	rows := [][]string{header}
	formatFloat := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	formatUint := func(n uint64) string { return strconv.FormatUint(n, 10) }
	for _, s := range o.Series {
		row := []string{formatFloat(s.At.Seconds()), formatFloat(s.Served), strconv.Itoa(s.WaitingCalls), strconv.Itoa(s.HeldCalls),
			strconv.Itoa(s.StandingCalls), strconv.Itoa(s.RunningNodes)}
		for _, c := range s.Classes {
			row = append(row, formatUint(c.Offered), formatUint(c.InAim), formatUint(c.Late), formatUint(c.Refused), formatUint(c.Failed),
				formatUint(c.Unanswered), formatUint(c.Cut), formatUint(c.Redials))
		}
		for i := range servers {
			if i >= len(s.Servers) {
				row = append(row, "", "", "", "", "", "", "", "")
				continue
			}
			server := s.Servers[i]
			gate := ""
			if server.GateShare == server.GateShare { // not NaN: at least one node has a gate
				gate = formatFloat(server.GateShare)
			}
			row = append(row, strconv.FormatBool(server.IsUp), formatFloat(server.Speed), formatFloat(float64(server.Wait)/1e6),
				strconv.Itoa(server.QueueLength), formatUint(server.SetUps), formatUint(server.Rejected),
				gate, formatFloat(server.UnavailableShare))
		}
		rows = append(rows, row)
	}
	return csvWriter.WriteAll(rows)
}

// writeHistograms writes the set-up times in the log format of HdrHistogram, with one interval per class that is tagged
// with the class's name.
func (o *RunOutput) writeHistograms(to *bytes.Buffer) error {
	w := hdrhistogram.NewHistogramLogWriter(to)
	err := errors.Join(w.OutputLogFormatVersion(), w.OutputComment("#[microseconds until a try stood, by class]"), w.OutputLegend())
	if err != nil {
		return err
	}
	for i, h := range o.SetUpTimes {
		h.SetTag(strings.ReplaceAll(o.Classes[i].Name, ",", "_"))
		h.SetStartTimeMs(0)
		h.SetEndTimeMs(int64(o.Seconds * 1000))
		if err := w.OutputIntervalHistogram(h); err != nil {
			return err
		}
	}
	return nil
}

// ReadResults reads all results in a directory, in the order of their file names.
func ReadResults(dir string) ([]Result, error) {
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
		return nil, fmt.Errorf("results: no results in %s: must be a directory written by lab run, sweep or compare", dir)
	}
	return all, nil
}

// readOne reads one result file.
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
		return nil, fmt.Errorf("results: %s: contains result %q: the file name must match the id", name, r.ID)
	}
	return r, nil
}

// ReadSeries reads the series of a run by column. Values that are empty or not a number become NaN.
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
	columns := map[string][]float64{}
	for _, row := range rows[1:] {
		for i, v := range row {
			x, err := strconv.ParseFloat(v, 64)
			if err != nil {
				x = notANumber
			}
			columns[rows[0][i]] = append(columns[rows[0][i]], x)
		}
	}
	return columns, nil
}

// loadExisting returns the result of a simulation that is already complete, or nil.
func loadExisting(dir, id string) (*Result, error) {
	r, err := readOne(filepath.Join(dir, id+".json"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return r, err
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int64) float64 {
	return float64((time.Duration(us) * time.Microsecond).Microseconds()) / 1000
}
