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

// palette holds the line colors of a plot in order of use.
var palette = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xc2, G: 0x4d, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x3b, G: 0x8b, B: 0x4b, A: 0xff},
	color.RGBA{R: 0x7a, G: 0x52, B: 0x9e, A: 0xff},
}

// Figure is a plot of replay metrics over trace time.
type Figure struct {
	Name   string
	Title  string
	YLabel string
	series []series
}

type series struct {
	name   string
	points plotter.XYs
}

// Figures returns the plots of wait time, CPU utilization and team shares. The
// first two compare the policy with the baseline.
func Figures(t Trace, policy, baseline Result) []Figure {
	waitTime := Figure{
		Name:   "waiting",
		Title:  t.Name + ": p99 wait time of the tasks started in each second",
		YLabel: "seconds",
	}
	utilization := Figure{
		Name:   "packing",
		Title:  t.Name + ": fraction of the fleet's CPU in use",
		YLabel: "fraction",
	}
	for _, run := range []struct {
		name   string
		result Result
	}{
		{name: "policy", result: policy},
		{name: "first-fit FIFO", result: baseline},
	} {
		waitTime.addSeries(run.name, run.result, func(s Sample) float64 { return s.WaitP99 / 1000 })
		utilization.addSeries(run.name, run.result, func(s Sample) float64 { return s.CPUUtilization })
	}
	share := Figure{
		Name:   "share",
		Title:  t.Name + ": dominant share of each team under the policy",
		YLabel: "fraction",
	}
	for _, team := range t.Teams {
		share.addSeries(team.Name, policy, func(s Sample) float64 { return s.TeamShares[team.Name] })
	}
	return []Figure{waitTime, utilization, share}
}

func (f *Figure) addSeries(name string, r Result, valueOf func(Sample) float64) {
	s := series{name: name}
	for _, sample := range r.Samples {
		s.points = append(s.points, plotter.XY{
			X: sample.Elapsed.Seconds(),
			Y: valueOf(sample),
		})
	}
	f.series = append(f.series, s)
}

// Save writes the figure to a file. The extension selects the format, such as
// SVG or PNG.
func (f Figure) Save(path string) error {
	p := plot.New()
	p.Title.Text = f.Title
	p.X.Label.Text = "trace time in seconds"
	p.Y.Label.Text = f.YLabel
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range f.series {
		plotted, err := plotter.NewLine(s.points)
		if err != nil {
			return errors.Wrap(err, "create line plot")
		}
		plotted.Color = palette[i%len(palette)]
		plotted.Width = vg.Points(1.2)
		p.Add(plotted)
		p.Legend.Add(s.name, plotted)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
