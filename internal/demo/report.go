package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"larkrouter/internal/rules"
)

// Print writes the day's table: calls by class and outcome, set-ups by server, checks and breaks by rule.
func (d *Day) Print(w io.Writer, rep rules.Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	row := func(cells ...any) {
		for _, c := range cells {
			fmt.Fprint(t, c, "\t")
		}
		fmt.Fprintln(t)
	}
	row("class", "offered", "in aim", "late", "refused", "failed", "unanswered", "left", "cut", "redials")
	for i, c := range d.Callers.Counts {
		row(callerClasses[i].Name, c.Offered, c.InAim, c.Late, c.Refused, c.Failed, c.Unanswered, c.Left, c.Cut, c.Redials)
	}
	row("")
	row("server", "set-ups", "stood", "turned away", "called off", "lost answers", "starts", "state")
	for i, s := range d.Servers {
		c, state := d.Counts(i), "warm"
		switch {
		case s.Over:
			state = "pushed over"
		case d.dead[i]:
			state = "down"
		case s.Speed() < 0.99:
			state = fmt.Sprintf("cold, %.0f%%", 100*s.Speed())
		}
		row(d.at[i].Name, c.SetUps, c.Stood, c.TurnedAway, c.Cancelled, c.Lost, d.run[i], state)
	}
	row("")
	row("rule", "checks", "breaks")
	for i, v := range rep.Rules {
		row(fmt.Sprintf("%d %s", i+1, rules.Names[i]), v.Checks, v.Breaks)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, v := range rep.Rules {
		for _, e := range v.Examples {
			fmt.Fprintf(w, "rule %d broken %s\n", i+1, e)
		}
	}
	_, err := fmt.Fprintf(w, "share served in aim, by worth: %.3f\n%s\n", d.Callers.Served(), rep.Line())
	return err
}
