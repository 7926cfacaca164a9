package load

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of each plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Curve is one line of a plot; Y[i] is its value in second i.
type Curve struct {
	Name string
	Y    []float64
}

// WritePlots writes three PNG files to dir: latency percentiles, and throughput
// and refusals by team, over the seconds of the run.
func (r Report) WritePlots(dir string) error {
	if err := DrawPlot(filepath.Join(dir, "latency.png"), "latency from the intended send time", "ms", r.latencyCurves()); err != nil {
		return err
	}
	served := r.teamCurves(func(s secondStats) []int { return s.ok })
	if err := DrawPlot(filepath.Join(dir, "throughput.png"), "requests served by team", "requests/s", served); err != nil {
		return err
	}
	refused := r.teamCurves(func(s secondStats) []int { return s.refused })
	return DrawPlot(filepath.Join(dir, "refusals.png"), "requests refused by team", "requests/s", refused)
}

func (r Report) latencyCurves() []Curve {
	var curves []Curve
	for _, percent := range []float64{50, 99, 99.9} {
		c := Curve{Name: fmt.Sprintf("p%g", percent)}
		for _, s := range r.timeline {
			c.Y = append(c.Y, quantileMS(s.latency, percent))
		}
		curves = append(curves, c)
	}
	return curves
}

func (r Report) teamCurves(counts func(secondStats) []int) []Curve {
	var curves []Curve
	for i, t := range r.Teams {
		c := Curve{Name: t.Team}
		for _, s := range r.timeline {
			c.Y = append(c.Y, float64(counts(s)[i]))
		}
		curves = append(curves, c)
	}
	return curves
}

// DrawPlot writes a PNG file with the curves over seconds.
func DrawPlot(file, title, unit string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		points := make(plotter.XYs, len(c.Y))
		for x, y := range c.Y {
			points[x] = plotter.XY{X: float64(x), Y: y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", file, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
