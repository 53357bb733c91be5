package rounds

import (
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// ErrNotDrawn: the picture could not be made.
var ErrNotDrawn = errors.New("day can't be drawn")

// Size of a picture, and of a bar of it.
const (
	width    = 24 * vg.Centimeter
	height   = 12 * vg.Centimeter
	barWidth = 0.5 * vg.Centimeter
)

// series is one outcome of requests.
type series struct {
	name   string
	colour color.RGBA
	of     func(Outcome) int
}

var outcomes = []series{
	{"in time", color.RGBA{R: 46, G: 125, B: 50, A: 255}, func(w Outcome) int { return w.InTime }},
	{"late", color.RGBA{R: 251, G: 192, B: 45, A: 255}, func(w Outcome) int { return w.Late }},
	{"refused", color.RGBA{R: 239, G: 108, B: 0, A: 255}, func(w Outcome) int { return w.Refused }},
	{"failed", color.RGBA{R: 198, G: 40, B: 40, A: 255}, func(w Outcome) int { return w.Failed }},
	{"not owed", color.RGBA{R: 189, G: 189, B: 189, A: 255}, func(w Outcome) int { return w.NotOwed }},
}

// Draw makes a picture of the day over time, stacked by what became of the
// requests. The file's ending says of which kind: png, svg or pdf.
func Draw(file, title string, r Report) error {
	if len(r.Windows) == 0 {
		return errors.Wrap(ErrNotDrawn, "the report has no windows")
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "from second", "requests"
	p.Legend.Top = true
	var below *plotter.BarChart
	for _, s := range outcomes {
		bars, err := plotter.NewBarChart(valuesOf(r, s.of), barWidth)
		if err != nil {
			return errors.Wrap(ErrNotDrawn, err.Error())
		}
		bars.Color, bars.LineStyle.Width = s.colour, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	var seconds []string
	for _, w := range r.Windows {
		seconds = append(seconds, w.Name)
	}
	p.NominalX(seconds...)
	if err := p.Save(width, height, file); err != nil {
		return errors.Wrap(ErrNotDrawn, err.Error())
	}
	return nil
}

func valuesOf(r Report, of func(Outcome) int) plotter.Values {
	values := make(plotter.Values, len(r.Windows))
	for i, w := range r.Windows {
		values[i] = float64(of(w))
	}
	return values
}
