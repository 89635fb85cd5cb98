package lab

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// inks can be told apart by the colour-blind (Okabe and Ito, 2008); each goes with a dash of its own, so that they can be
// told apart in black and white too.
var inks = []color.RGBA{{0, 0, 0, 255}, {0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {120, 120, 120, 255}}

var dashes = [][]vg.Length{nil, {6, 2}, {2, 2}, {8, 2, 2, 2}, {4, 4}, {1, 3}, {10, 3}, {3, 1}}

// Line is a line of a chart.
type Line struct {
	Name string
	X, Y []float64
}

// svg draws a plot as SVG that can stand in a page.
func svg(p *plot.Plot, w, h vg.Length) (string, error) {
	c := vgsvg.New(w, h)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	s := b.String()
	if i := strings.Index(s, "<svg"); i >= 0 { // without the XML declaration
		s = s[i:]
	}
	return s, nil
}

// Lines draws lines over time, with troubles as marks below.
func Lines(title, unit string, lines []Line, marks []Mark, least, most float64) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	p.Legend.XOffs = -4
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		var xy plotter.XYs
		for k := range l.X {
			if !math.IsNaN(l.Y[k]) && !math.IsInf(l.Y[k], 0) {
				xy = append(xy, plotter.XY{X: l.X[k], Y: l.Y[k]})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", fmt.Errorf("chart %q, line %q: %w", title, l.Name, err)
		}
		line.Color, line.Dashes, line.Width = inks[i%len(inks)], dashes[i%len(dashes)], vg.Points(1.2)
		p.Add(line)
		if l.Name != "" {
			p.Legend.Add(l.Name, line)
		}
	}
	p.X.Max += 0.2 * (p.X.Max - p.X.Min) // room for the names
	if !math.IsNaN(least) {
		p.Y.Min = least
	}
	if !math.IsNaN(most) {
		p.Y.Max = most
	}
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	for i, m := range marks {
		v, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: p.Y.Min}, {X: m.At, Y: p.Y.Max}})
		if err != nil {
			return "", err
		}
		v.Color, v.Width, v.Dashes = color.Gray{120}, vg.Points(0.7), []vg.Length{1, 2}
		l, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.At, Y: p.Y.Min}}, Labels: []string{fmt.Sprint(i + 1)}})
		if err != nil {
			return "", err
		}
		p.Add(v, l)
	}
	return svg(p, 640, 230)
}

// grid is a heat map's numbers.
type grid struct {
	x, y []string
	z    [][]float64 // by y, x
}

func (g *grid) Dims() (c, r int)   { return len(g.x), len(g.y) }
func (g *grid) Z(c, r int) float64 { return g.z[r][c] }
func (g *grid) X(c int) float64    { return float64(c) }
func (g *grid) Y(r int) float64    { return float64(r) }

// blues are one hue from light to dark: order can be read without colour.
type blues struct{}

func (blues) Colors() []color.Color {
	var all []color.Color
	for i := range 24 {
		f := float64(i) / 23
		all = append(all, color.RGBA{uint8(245 - 225*f), uint8(248 - 165*f), uint8(252 - 90*f), 255})
	}
	slices.Reverse(all) // what is served least is darkest
	return all
}

var _ palette.Palette = blues{}

// Heat draws a grid, each cell with its figure.
func Heat(title, xKey, yKey string, xs, ys []string, z [][]float64) (string, error) {
	g := &grid{xs, ys, z}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xKey, yKey
	h := plotter.NewHeatMap(g, blues{})
	if h.Max <= h.Min {
		h.Max = h.Min + 1e-6
	}
	p.Add(h)
	var xy plotter.XYs
	var text []string
	for r := range ys {
		for c := range xs {
			if !math.IsNaN(z[r][c]) {
				xy, text = append(xy, plotter.XY{X: float64(c), Y: float64(r)}), append(text, fmt.Sprintf("%.3f", z[r][c]))
			}
		}
	}
	l, err := plotter.NewLabels(plotter.XYLabels{XYs: xy, Labels: text})
	if err != nil {
		return "", err
	}
	for i := range l.TextStyle {
		l.TextStyle[i].XAlign, l.TextStyle[i].YAlign = -0.5, -0.5
		if v := z[int(xy[i].Y)][int(xy[i].X)]; v < h.Min+0.45*(h.Max-h.Min) {
			l.TextStyle[i].Color = color.White
		}
	}
	p.Add(l)
	p.X.Tick.Marker, p.Y.Tick.Marker = named(xs), named(ys)
	return svg(p, vg.Length(140+90*len(xs)), vg.Length(80+40*len(ys)))
}

func named(names []string) plot.ConstantTicks {
	var t plot.ConstantTicks
	for i, n := range names {
		t = append(t, plot.Tick{Value: float64(i), Label: n})
	}
	return t
}

// Bars is a mean with its interval, by name.
type Bars struct {
	Name string
	Of   Interval
}

// Dots draws means with their intervals, one below another.
func Dots(title, unit string, rows []Bars, zero bool) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, unit
	var xy plotter.XYs
	var errs plotter.XErrors
	var names []string
	for i, r := range rows {
		y := float64(len(rows) - 1 - i)
		has := r.Of.Has
		if math.IsInf(has, 0) || math.IsNaN(has) {
			has = 0
		}
		xy = append(xy, plotter.XY{X: r.Of.Mean, Y: y})
		errs = append(errs, struct{ Low, High float64 }{has, has})
		names = append([]string{r.Name}, names...)
	}
	points, err := plotter.NewScatter(xy)
	if err != nil {
		return "", err
	}
	points.Shape, points.Color, points.Radius = draw.CircleGlyph{}, inks[1], vg.Points(3)
	bars, err := plotter.NewXErrorBars(struct {
		plotter.XYs
		plotter.XErrors
	}{xy, errs})
	if err != nil {
		return "", err
	}
	bars.Color = inks[1]
	p.Add(plotter.NewGrid(), points, bars)
	if zero {
		v, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(rows)) - 0.5}})
		if err != nil {
			return "", err
		}
		v.Color = inks[0]
		p.Add(v)
	}
	p.Y.Min, p.Y.Max = -0.5, float64(len(rows))-0.5
	p.Y.Tick.Marker = named(names)
	return svg(p, 640, vg.Length(70+22*len(rows)))
}
