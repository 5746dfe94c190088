// Package quetzalreport collects latencies in HDR histograms and writes them as a text
// table and as an HTML page with plots.
package quetzalreport

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// The range of the histograms, in nanoseconds, and the number of significant digits
// that they keep.
const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 3
)

// Series is a histogram of latencies with a name.
type Series struct {
	Name      string
	histogram *hdrhistogram.Histogram
}

// NewSeries returns a series without latencies.
func NewSeries(name string) *Series {
	return &Series{Name: name, histogram: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}

// Record adds a latency, clamped to the range of the histogram.
func (s *Series) Record(d time.Duration) {
	_ = s.histogram.RecordValue(min(max(int64(d), lowestLatency), highestLatency))
}

// Count returns the number of recorded latencies.
func (s *Series) Count() int64 {
	return s.histogram.TotalCount()
}

// Percentile returns the latency at a percentile from 0 to 100.
func (s *Series) Percentile(p float64) time.Duration {
	return time.Duration(s.histogram.ValueAtQuantile(p))
}

// WriteTable writes a header and a line of percentiles for each series.
func WriteTable(w io.Writer, series []*Series) {
	_, _ = fmt.Fprintf(w, "%-28s %8s %10s %10s %10s %10s\n", "series", "count", "p50", "p90", "p99", "max")
	for _, s := range series {
		_, _ = fmt.Fprintf(w, "%-28s %8d %10s %10s %10s %10s\n", s.Name, s.Count(),
			round(s.Percentile(50)), round(s.Percentile(90)), round(s.Percentile(99)), round(s.Percentile(100)))
	}
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

// Dimensions of a plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 240
	plotMargin = 40
)

// palette contains the colours of the lines, in the order of the series.
var palette = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"}

// line is the curve of one series, with the y coordinate of its legend.
type line struct {
	Name   string
	Colour string
	Points string
	Y      int
}

// page contains the data for pageTemplate.
type page struct {
	Title, Summary, Table string
	Lines                 []line
	Labels                []axisLabel
	Decades               []gridLine
	Width, Height         int
}

// gridLine is a horizontal line with its label on the latency axis.
type gridLine struct {
	Y    int
	Text string
}

// decadeLines returns a grid line for each power of ten on the latency axis.
func decadeLines() []gridLine {
	var list []gridLine
	for i, text := range []string{"10µs", "100µs", "1ms", "10ms", "100ms", "1s", "10s"} {
		list = append(list, gridLine{Y: plotY(float64(i)), Text: text})
	}
	return list
}

// plotY returns the y coordinate of the latency that is n decades above 10 µs.
func plotY(n float64) int {
	const decades = 6
	return plotHeight - plotMargin - int(n/decades*(plotHeight-2*plotMargin))
}

// axisLabel is a label on the percentile axis.
type axisLabel struct {
	X    int
	Text string
}

// pageTemplate is the HTML report on a run.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow-x:auto}</style></head>
<body><h1>{{.Title}}</h1><p>{{.Summary}}</p><pre>{{.Table}}</pre>
<h2>Latency by percentile</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="Latency by percentile, logarithmic">
{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/>
<text x="470" y="{{.Y}}" fill="{{.Colour}}" font-size="12">{{.Name}}</text>{{end}}
{{range .Labels}}<text x="{{.X}}" y="235" font-size="11">{{.Text}}</text>{{end}}
{{range .Decades}}<text x="0" y="{{.Y}}" font-size="11">{{.Text}}</text><line x1="45" x2="600" y1="{{.Y}}" y2="{{.Y}}" stroke="#ddd"/>{{end}}
</svg></body></html>
`))

// WritePage writes an HTML page with the table and a plot of the series.
func WritePage(w io.Writer, title, summary string, series []*Series) error {
	var table strings.Builder
	WriteTable(&table, series)
	p := page{Title: title, Summary: summary, Table: table.String(), Width: plotWidth, Height: plotHeight, Decades: decadeLines()}
	percentiles := []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}
	for i, s := range series {
		if s.Count() == 0 {
			continue
		}
		p.Lines = append(p.Lines, line{
			Name: s.Name, Colour: palette[i%len(palette)], Points: polylinePoints(s, percentiles), Y: 130 + 15*i,
		})
	}
	for i, q := range percentiles {
		p.Labels = append(p.Labels, axisLabel{X: plotX(i, len(percentiles)) - 8, Text: fmt.Sprintf("p%g", q)})
	}
	return eris.Wrap(pageTemplate.Execute(w, p), "write page")
}

// plotX returns the x coordinate of the i-th of n evenly spaced points.
func plotX(i, n int) int {
	return plotMargin + i*(plotWidth-2*plotMargin)/(n-1)
}

// polylinePoints returns the points of a curve in SVG syntax. The latency axis is
// logarithmic and spans six decades from 10 µs.
func polylinePoints(s *Series, percentiles []float64) string {
	var b strings.Builder
	for i, q := range percentiles {
		y := plotY(math.Log10(max(1, float64(s.Percentile(q))/float64(10*time.Microsecond))))
		_, _ = fmt.Fprintf(&b, "%d,%d ", plotX(i, len(percentiles)), y)
	}
	return b.String()
}
