package trace

import (
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// colours of the lines of a plot, in their order.
var colours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xc2, G: 0x4d, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x3b, G: 0x8b, B: 0x4b, A: 0xff},
	color.RGBA{R: 0x7a, G: 0x52, B: 0x9e, A: 0xff},
}

// Figure is one plot of a replay over the time of its trace.
type Figure struct {
	Name  string
	Title string
	Axis  string
	lines []line
}

type line struct {
	name   string
	points plotter.XYs
}

// Figures returns the plots of waiting time, packing and share, of the policy
// beside the baseline where that says something.
func Figures(t Trace, got, base Result) []Figure {
	waiting := Figure{
		Name:  "waiting",
		Title: t.Name + ": p99 of the waits that ended in each second",
		Axis:  "seconds",
	}
	packing := Figure{
		Name:  "packing",
		Title: t.Name + ": part of the fleet's processors in use",
		Axis:  "part",
	}
	for _, of := range []struct {
		name   string
		result Result
	}{
		{name: "policy", result: got},
		{name: "first-fit FIFO", result: base},
	} {
		waiting.add(of.name, of.result, func(s Sample) float64 { return s.Wait / 1000 })
		packing.add(of.name, of.result, func(s Sample) float64 { return s.Packing })
	}
	share := Figure{
		Name:  "share",
		Title: t.Name + ": dominant share of each team under the policy",
		Axis:  "part",
	}
	for _, team := range t.Teams {
		share.add(team.Name, got, func(s Sample) float64 { return s.Shares[team.Name] })
	}
	return []Figure{waiting, packing, share}
}

func (f *Figure) add(name string, r Result, value func(Sample) float64) {
	l := line{name: name}
	for _, s := range r.Samples {
		l.points = append(l.points, plotter.XY{
			X: s.At.Seconds(),
			Y: value(s),
		})
	}
	f.lines = append(f.lines, l)
}

// Save draws the figure into a file, whose ending chooses SVG or PNG.
func (f Figure) Save(path string) error {
	p := plot.New()
	p.Title.Text = f.Title
	p.X.Label.Text = "seconds of the trace"
	p.Y.Label.Text = f.Axis
	p.Y.Min = 0
	p.Legend.Top = true
	for i, l := range f.lines {
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return errors.Wrap(err, "draw line")
		}
		drawn.Color = colours[i%len(colours)]
		drawn.Width = vg.Points(1.2)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
