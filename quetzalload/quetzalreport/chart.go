package quetzalreport

import (
	"fmt"
	"html/template"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// Bar is one bar of a chart.
type Bar struct {
	Label string
	Value float64
}

// Chart is a table with bars of one of its figures.
type Chart struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Measure names the figure and its unit.
	Measure string
	Bars    []Bar
}

// The geometry of bars, in pixels.
const (
	barHeight = 22
	barWidth  = 360
)

// drawnBar is a bar with its place on the page.
type drawnBar struct {
	Label, Value    string
	Y, TextY, Width int
}

// drawnChart is a chart with its bars in place.
type drawnChart struct {
	Chart
	Drawn  []drawnBar
	Height int
}

var chartsTemplate = template.Must(template.New("charts").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}</style></head>
<body><h1>{{.Title}}</h1>
{{range .Charts}}<h2>{{.Title}}</h2>
<table><tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
<p>{{.Measure}}</p>
<svg width="760" height="{{.Height}}" role="img" aria-label="{{.Measure}}">
{{range .Drawn}}<text x="0" y="{{.TextY}}" font-size="12">{{.Label}}</text><rect x="300" y="{{.Y}}" width="{{.Width}}" height="16" fill="#1b6ca8"/><text x="670" y="{{.TextY}}" font-size="12">{{.Value}}</text>
{{end}}</svg>
{{end}}</body></html>
`))

// WriteCharts writes a page with a table and bars for each chart.
func WriteCharts(w io.Writer, title string, charts []Chart) error {
	drawn := make([]drawnChart, 0, len(charts))
	for _, c := range charts {
		drawn = append(drawn, draw(c))
	}
	page := struct {
		Title  string
		Charts []drawnChart
	}{title, drawn}
	return eris.Wrap(chartsTemplate.Execute(w, page), "write charts")
}

// logarithmicFrom is the ratio of the largest to the smallest bar from which on
// bars are drawn on a logarithmic scale.
const logarithmicFrom = 20

// scale returns the part of the full width that a value takes.
type scale func(float64) float64

// scaleOf chooses the scale of a chart and names it.
func scaleOf(bars []Bar) (scale, string) {
	smallest, largest := math.Inf(1), 0.0
	for _, b := range bars {
		largest = max(largest, b.Value)
		if b.Value > 0 {
			smallest = min(smallest, b.Value)
		}
	}
	switch {
	case largest == 0:
		return func(float64) float64 { return 0 }, ""
	case largest/smallest > logarithmicFrom:
		base := math.Log(largest / smallest * 2)
		return func(v float64) float64 { return max(0, math.Log(v/smallest*2)/base) }, " (logarithmic)"
	}
	return func(v float64) float64 { return v / largest }, ""
}

// figure writes a value with three digits or all before the point.
func figure(v float64) string {
	const large = 1000
	if v >= large {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// draw scales the bars of a chart to its largest.
func draw(c Chart) drawnChart {
	part, name := scaleOf(c.Bars)
	c.Measure += name
	d := drawnChart{Chart: c, Height: barHeight*len(c.Bars) + barHeight}
	for i, b := range c.Bars {
		width := max(1, int(part(b.Value)*barWidth))
		d.Drawn = append(d.Drawn, drawnBar{
			Label: b.Label, Value: figure(b.Value), Y: i * barHeight, TextY: i*barHeight + 13, Width: width,
		})
	}
	return d
}
