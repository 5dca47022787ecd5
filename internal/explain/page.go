package explain

import (
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"io"
)

// Sizes of the plots, in pixels.
const (
	plotHeight = 160.0
	barWidth   = 12.0
)

//go:embed page.html
var pageTemplate string

var page = template.Must(template.New("page").Parse(pageTemplate))

// bar is one rectangle of a plot.
type bar struct {
	X, Y, Height float64
	Class, Title string
}

type plot struct {
	Title         string
	Width, Height float64
	BarWidth      float64
	Bars          []bar
	Max           string
}

// WritePage writes the report as one self-contained HTML page.
func (r Report) WritePage(w io.Writer) error {
	return page.Execute(w, struct {
		Report
		Outcomes []Outcome
		Plots    []plot
	}{r, Outcomes, []plot{r.plotOutcomes(), r.plotFirstResponse()}})
}

// plotOutcomes returns stacked bars of the outcomes in each second.
func (r Report) plotOutcomes() plot {
	maxTotal := 1
	for _, s := range r.Seconds {
		maxTotal = max(maxTotal, s.total())
	}
	p := r.newPlot("Requests that ended in each second", fmt.Sprint(maxTotal))
	for i, s := range r.Seconds {
		y := plotHeight
		for _, o := range Outcomes {
			height := plotHeight * float64(s.Ended[o]) / float64(maxTotal)
			if height == 0 {
				continue
			}
			y -= height
			p.Bars = append(p.Bars, bar{X: float64(i) * barWidth, Y: y, Height: height, Class: string(o),
				Title: fmt.Sprintf("%s %s: %d", s.Time.Format("15:04:05"), o, s.Ended[o])})
		}
	}
	return p
}

// plotFirstResponse plots the 95th percentile of the time to the first event or
// response.
func (r Report) plotFirstResponse() plot {
	maxMs := 1.0
	for _, s := range r.Seconds {
		maxMs = max(maxMs, s.First95)
	}
	p := r.newPlot("Time to the first event or answer, 95 in 100 of the served, ms", fmt.Sprintf("%.0f", maxMs))
	for i, s := range r.Seconds {
		height := plotHeight * s.First95 / maxMs
		p.Bars = append(p.Bars, bar{X: float64(i) * barWidth, Y: plotHeight - height, Height: height, Class: "time",
			Title: fmt.Sprintf("%s: %.0f ms", s.Time.Format("15:04:05"), s.First95)})
	}
	return p
}

func (r Report) newPlot(title, highest string) plot {
	return plot{Title: title, Width: barWidth * float64(len(r.Seconds)), Height: plotHeight, BarWidth: barWidth - 1, Max: highest}
}

func (s Second) total() int {
	n := 0
	for _, count := range s.Ended {
		n += count
	}
	return n
}
