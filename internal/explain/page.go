package explain

import (
	_ "embed" // for the page
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
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

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

// WritePage writes the report as one HTML page that needs nothing else.
func (r Report) WritePage(w io.Writer) error {
	return page.Execute(w, struct {
		Report
		Outcomes []Outcome
		Plots    []plot
	}{r, Outcomes, []plot{r.plotOutcomes(), r.plotFirst()}})
}

// plotOutcomes stacks the outcomes of each second.
func (r Report) plotOutcomes() plot {
	most := 1
	for _, s := range r.Seconds {
		most = max(most, s.total())
	}
	p := r.newPlot("Requests that ended in each second", fmt.Sprint(most))
	for i, s := range r.Seconds {
		top := plotHeight
		for _, o := range Outcomes {
			height := plotHeight * float64(s.Ended[o]) / float64(most)
			if height == 0 {
				continue
			}
			top -= height
			p.Bars = append(p.Bars, bar{X: float64(i) * barWidth, Y: top, Height: height, Class: string(o),
				Title: fmt.Sprintf("%s %s: %d", s.Time.Format("15:04:05"), o, s.Ended[o])})
		}
	}
	return p
}

// plotFirst shows the time to the first event or answer that 95 in 100 keep.
func (r Report) plotFirst() plot {
	most := 1.0
	for _, s := range r.Seconds {
		most = max(most, s.First95)
	}
	p := r.newPlot("Time to the first event or answer, 95 in 100 of the served, ms", fmt.Sprintf("%.0f", most))
	for i, s := range r.Seconds {
		height := plotHeight * s.First95 / most
		p.Bars = append(p.Bars, bar{X: float64(i) * barWidth, Y: plotHeight - height, Height: height, Class: "time",
			Title: fmt.Sprintf("%s: %.0f ms", s.Time.Format("15:04:05"), s.First95)})
	}
	return p
}

func (r Report) newPlot(title, most string) plot {
	return plot{Title: title, Width: barWidth * float64(len(r.Seconds)), Height: plotHeight, BarWidth: barWidth - 1, Max: most}
}

func (s Second) total() int {
	n := 0
	for _, count := range s.Ended {
		n += count
	}
	return n
}
