package quetzalreport

import (
	"fmt"
	"html/template"
	"io"
	"math"

	"github.com/rotisserie/eris"
)

// Bar is a labelled value of a chart.
type Bar struct {
	Label string
	Value float64
}

// Chart is a table and a horizontal bar chart of one of its columns.
type Chart struct {
	Title   string
	Columns []string
	Rows    [][]string
	// Measure is the quantity that the bars show, with its unit.
	Measure string
	Bars    []Bar
}

// Dimensions of the bar charts, in pixels. barHeight includes the gap to the next bar.
const (
	barHeight = 22
	barWidth  = 360
)

// drawnBar contains the texts of a bar and its position and width in pixels.
type drawnBar struct {
	Label, Value    string
	Y, TextY, Width int
}

// drawnChart is a chart with the layout of its bars.
type drawnChart struct {
	Chart
	Drawn  []drawnBar
	Height int
}

// chartsTemplate is the HTML report on a comparison.
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

// WriteCharts writes an HTML page with a table and a bar chart for each chart.
func WriteCharts(w io.Writer, title string, charts []Chart) error {
	drawn := make([]drawnChart, 0, len(charts))
	for _, c := range charts {
		drawn = append(drawn, layOut(c))
	}
	page := struct {
		Title  string
		Charts []drawnChart
	}{title, drawn}
	return eris.Wrap(chartsTemplate.Execute(w, page), "write charts")
}

// logScaleRatio is the ratio of the largest to the smallest positive value above
// which bars are drawn on a logarithmic scale.
const logScaleRatio = 20

// scale maps a value to the fraction of the full width that its bar takes.
type scale func(float64) float64

// chooseScale returns the scale for the bars and a suffix for the name of the measure.
func chooseScale(bars []Bar) (scale, string) {
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
	case largest/smallest > logScaleRatio:
		base := math.Log(largest / smallest * 2)
		return func(v float64) float64 { return max(0, math.Log(v/smallest*2)/base) }, " (logarithmic)"
	}
	return func(v float64) float64 { return v / largest }, ""
}

// formatValue formats a value with three significant digits, or from 1000 on as an
// integer.
func formatValue(v float64) string {
	const large = 1000
	if v >= large {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// layOut computes the layout of the bars; the largest value takes the full width.
func layOut(c Chart) drawnChart {
	fraction, suffix := chooseScale(c.Bars)
	c.Measure += suffix
	d := drawnChart{Chart: c, Height: barHeight*len(c.Bars) + barHeight}
	for i, b := range c.Bars {
		width := max(1, int(fraction(b.Value)*barWidth))
		d.Drawn = append(d.Drawn, drawnBar{
			Label: b.Label, Value: formatValue(b.Value), Y: i * barHeight, TextY: i*barHeight + 13, Width: width,
		})
	}
	return d
}
