package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"larkrouter/internal/rules"
	"larkrouter/internal/standin"
)

// Table writes aligned tables one after another.
type Table struct{ writer *tabwriter.Writer }

// NewTable returns a table that writes to an output.
func NewTable(out io.Writer) *Table {
	return &Table{tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)}
}

// WriteRow writes a row. A single empty cell separates tables.
func (t *Table) WriteRow(cells ...any) {
	for _, c := range cells {
		fmt.Fprint(t.writer, c, "\t")
	}
	fmt.Fprintln(t.writer)
}

// WriteClasses writes a table of the calls by class and outcome.
func (t *Table) WriteClasses(classes []standin.CallerClass, counts []standin.ClassCounts) {
	t.WriteRow("class", "offered", "in aim", "late", "refused", "failed", "unanswered", "left", "cut", "redials")
	for i, c := range counts {
		t.WriteRow(classes[i].Name, c.Offered, c.InAim, c.Late, c.Refused, c.Failed, c.Unanswered, c.Left, c.Cut, c.Redials)
	}
	t.WriteRow("")
}

// WriteRules writes a table of the checks and violations by rule, followed by descriptions of the first violations.
func (t *Table) WriteRules(w io.Writer, rep rules.Report) error {
	t.WriteRow("rule", "checks", "breaks", "verdict")
	for i, v := range rep.Verdicts {
		t.WriteRow(fmt.Sprintf("%d %s", i+1, rules.Names[i]), v.Checks, v.Violations, v)
	}
	if err := t.writer.Flush(); err != nil {
		return err
	}
	for i, v := range rep.Verdicts {
		for _, e := range v.Examples {
			fmt.Fprintf(w, "rule %d broken %s\n", i+1, e)
		}
	}
	return nil
}

// Print writes the results: calls by class and outcome, set-ups by server, checks and violations by rule.
func (sc *Scenario) Print(w io.Writer, rep rules.Report) error {
	t := NewTable(w)
	t.WriteClasses(callerClasses, sc.Callers.Counts)
	t.WriteRow("server", "set-ups", "stood", "rejected", "cancelled", "lost responses", "starts", "state")
	for i, s := range sc.Servers {
		c, state := sc.ServerCounts(i), "warm"
		switch {
		case s.Collapsed:
			state = "collapsed"
		case sc.isDown[i]:
			state = "down"
		case s.Speed() < 0.99:
			state = fmt.Sprintf("cold, %.0f%%", 100*s.Speed())
		}
		t.WriteRow(sc.serverParticipants[i].Name, c.SetUps, c.Stood, c.Rejected, c.Cancelled, c.LostAnswers, sc.serverRuns[i], state)
	}
	t.WriteRow("")
	if err := t.WriteRules(w, rep); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "share of the worth served in aim: %.3f\n%s\n", sc.Callers.Served(), rep.Summary())
	return err
}
