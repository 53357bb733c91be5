package rounds

import (
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// ErrDraw is returned if a day can't be drawn.
var ErrDraw = errors.New("can't draw the day")

// Sizes of the picture and of a bar.
const (
	width    = 24 * vg.Centimeter
	height   = 12 * vg.Centimeter
	barWidth = 0.5 * vg.Centimeter
)

// series is one layer of the stacked bars: the requests with one outcome.
type series struct {
	name      string
	fillColor color.RGBA
	// count returns the number of requests with the outcome.
	count func(Outcome) int
}

var outcomes = []series{
	{"in time", color.RGBA{R: 46, G: 125, B: 50, A: 255}, func(w Outcome) int { return w.InTime }},
	{"late", color.RGBA{R: 251, G: 192, B: 45, A: 255}, func(w Outcome) int { return w.Late }},
	{"refused", color.RGBA{R: 239, G: 108, B: 0, A: 255}, func(w Outcome) int { return w.Refused }},
	{"failed", color.RGBA{R: 198, G: 40, B: 40, A: 255}, func(w Outcome) int { return w.Failed }},
	{"not owed", color.RGBA{R: 189, G: 189, B: 189, A: 255}, func(w Outcome) int { return w.NotOwed }},
}

// Draw writes a stacked bar chart of a day's requests over time, by outcome. The
// file's extension selects the format: png, svg or pdf. Errors wrap ErrDraw.
func Draw(file, title string, r Report) error {
	if len(r.Windows) == 0 {
		return errors.Wrap(ErrDraw, "the report has no windows")
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "from second", "requests"
	p.Legend.Top = true
	var previous *plotter.BarChart
	for _, s := range outcomes {
		bars, err := plotter.NewBarChart(windowValues(r, s.count), barWidth)
		if err != nil {
			return errors.Wrap(ErrDraw, err.Error())
		}
		bars.Color, bars.LineStyle.Width = s.fillColor, 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	var seconds []string
	for _, w := range r.Windows {
		seconds = append(seconds, w.Name)
	}
	p.NominalX(seconds...)
	if err := p.Save(width, height, file); err != nil {
		return errors.Wrap(ErrDraw, err.Error())
	}
	return nil
}

func windowValues(r Report, count func(Outcome) int) plotter.Values {
	values := make(plotter.Values, len(r.Windows))
	for i, w := range r.Windows {
		values[i] = float64(count(w))
	}
	return values
}
