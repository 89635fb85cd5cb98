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

// lineColors is a palette that colour-blind readers can distinguish (Okabe and Ito, 2008). Each colour is combined with
// one of lineDashes, so that the lines can be distinguished in black and white too.
var lineColors = []color.RGBA{{0, 0, 0, 255}, {0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255},
	{230, 159, 0, 255}, {86, 180, 233, 255}, {120, 120, 120, 255}}

// lineDashes holds the dash pattern of each colour in lineColors.
var lineDashes = [][]vg.Length{nil, {6, 2}, {2, 2}, {8, 2, 2, 2}, {4, 4}, {1, 3}, {10, 3}, {3, 1}}

// LineSeries is one line of a chart.
type LineSeries struct {
	Name string
	X, Y []float64
}

// renderSVG renders a plot as an SVG element to be embedded in HTML.
func renderSVG(p *plot.Plot, w, h vg.Length) (string, error) {
	canvas := vgsvg.New(w, h)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // HTML allows no XML declaration here
		text = text[i:]
	}
	return text, nil
}

// LineChart draws lines over time, with the starts of troubles as numbered vertical marks. If yMin or
// yMax is NaN, that limit of the y axis follows from the data.
func LineChart(title, unit string, lines []LineSeries, marks []TroubleMark, yMin, yMax float64) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Legend.Top = true
	p.Legend.XOffs = -4
	p.Add(plotter.NewGrid())
	for i, series := range lines {
		var xy plotter.XYs
		for k := range series.X {
			if !math.IsNaN(series.Y[k]) && !math.IsInf(series.Y[k], 0) {
				xy = append(xy, plotter.XY{X: series.X[k], Y: series.Y[k]})
			}
		}
		if len(xy) == 0 {
			continue
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", fmt.Errorf("chart %q, line %q: %w", title, series.Name, err)
		}
		line.Color, line.Dashes, line.Width = lineColors[i%len(lineColors)], lineDashes[i%len(lineDashes)], vg.Points(1.2)
		p.Add(line)
		if series.Name != "" {
			p.Legend.Add(series.Name, line)
		}
	}
	p.X.Max += 0.2 * (p.X.Max - p.X.Min) // space for the legend
	if !math.IsNaN(yMin) {
		p.Y.Min = yMin
	}
	if !math.IsNaN(yMax) {
		p.Y.Max = yMax
	}
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	for i, mark := range marks {
		markLine, err := plotter.NewLine(plotter.XYs{{X: mark.At, Y: p.Y.Min}, {X: mark.At, Y: p.Y.Max}})
		if err != nil {
			return "", err
		}
		markLine.Color, markLine.Width, markLine.Dashes = color.Gray{120}, vg.Points(0.7), []vg.Length{1, 2}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: mark.At, Y: p.Y.Min}}, Labels: []string{fmt.Sprint(i + 1)}})
		if err != nil {
			return "", err
		}
		p.Add(markLine, labels)
	}
	return renderSVG(p, 640, 230)
}

// heatGrid is the data of a heat map. It implements plotter.GridXYZ.
type heatGrid struct {
	x, y []string
	z    [][]float64 // indexed by y, then x
}

func (g *heatGrid) Dims() (c, r int)   { return len(g.x), len(g.y) }
func (g *heatGrid) Z(c, r int) float64 { return g.z[r][c] }
func (g *heatGrid) X(c int) float64    { return float64(c) }
func (g *heatGrid) Y(r int) float64    { return float64(r) }

// bluePalette has a single hue from light to dark, so that the order can be read without colour.
type bluePalette struct{}

func (bluePalette) Colors() []color.Color {
	var all []color.Color
	for i := range 24 {
		f := float64(i) / 23
		all = append(all, color.RGBA{uint8(245 - 225*f), uint8(248 - 165*f), uint8(252 - 90*f), 255})
	}
	slices.Reverse(all) // the smallest share served is the darkest
	return all
}

var _ palette.Palette = bluePalette{}

// HeatMap draws a grid with the value of each cell.
func HeatMap(title, xKey, yKey string, xs, ys []string, z [][]float64) (string, error) {
	grid := &heatGrid{xs, ys, z}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xKey, yKey
	heatMap := plotter.NewHeatMap(grid, bluePalette{})
	if heatMap.Max <= heatMap.Min {
		heatMap.Max = heatMap.Min + 1e-6
	}
	p.Add(heatMap)
	var xy plotter.XYs
	var text []string
	for r := range ys {
		for c := range xs {
			if !math.IsNaN(z[r][c]) {
				xy, text = append(xy, plotter.XY{X: float64(c), Y: float64(r)}), append(text, fmt.Sprintf("%.3f", z[r][c]))
			}
		}
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: xy, Labels: text})
	if err != nil {
		return "", err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].XAlign, labels.TextStyle[i].YAlign = -0.5, -0.5
		if v := z[int(xy[i].Y)][int(xy[i].X)]; v < heatMap.Min+0.45*(heatMap.Max-heatMap.Min) {
			labels.TextStyle[i].Color = color.White
		}
	}
	p.Add(labels)
	p.X.Tick.Marker, p.Y.Tick.Marker = namedTicks(xs), namedTicks(ys)
	return renderSVG(p, vg.Length(140+90*len(xs)), vg.Length(80+40*len(ys)))
}

// namedTicks returns one tick for each name, at 0, 1 and so on.
func namedTicks(names []string) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for i, n := range names {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: n})
	}
	return ticks
}

// NamedInterval is a mean with its confidence interval and a label.
type NamedInterval struct {
	Name     string
	Interval Interval
}

// IntervalChart draws means with their confidence intervals, one row each, and a vertical line at 0 if zero is set.
func IntervalChart(title, unit string, rows []NamedInterval, zero bool) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, unit
	var xy plotter.XYs
	var errs plotter.XErrors
	var names []string
	for i, r := range rows {
		y := float64(len(rows) - 1 - i)
		halfWidth := r.Interval.HalfWidth
		if math.IsInf(halfWidth, 0) || math.IsNaN(halfWidth) {
			halfWidth = 0
		}
		xy = append(xy, plotter.XY{X: r.Interval.Mean, Y: y})
		errs = append(errs, struct{ Low, High float64 }{halfWidth, halfWidth})
		names = append([]string{r.Name}, names...)
	}
	points, err := plotter.NewScatter(xy)
	if err != nil {
		return "", err
	}
	points.Shape, points.Color, points.Radius = draw.CircleGlyph{}, lineColors[1], vg.Points(3)
	bars, err := plotter.NewXErrorBars(struct {
		plotter.XYs
		plotter.XErrors
	}{xy, errs})
	if err != nil {
		return "", err
	}
	bars.Color = lineColors[1]
	p.Add(plotter.NewGrid(), points, bars)
	if zero {
		zeroLine, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(rows)) - 0.5}})
		if err != nil {
			return "", err
		}
		zeroLine.Color = lineColors[0]
		p.Add(zeroLine)
	}
	p.Y.Min, p.Y.Max = -0.5, float64(len(rows))-0.5
	p.Y.Tick.Marker = namedTicks(names)
	return renderSVG(p, 640, vg.Length(70+22*len(rows)))
}
