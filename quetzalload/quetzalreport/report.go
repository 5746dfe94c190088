// Package quetzalreport summarises latencies in HDR histograms and writes them
// as a table and as a page with plots.
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

const (
	lowest  = int64(time.Microsecond)
	highest = int64(10 * time.Minute)
	digits  = 3
)

// Series is a named histogram of latencies.
type Series struct {
	Name      string
	histogram *hdrhistogram.Histogram
}

// NewSeries returns an empty series.
func NewSeries(name string) *Series {
	return &Series{Name: name, histogram: hdrhistogram.New(lowest, highest, digits)}
}

// Record adds a latency.
func (s *Series) Record(d time.Duration) {
	_ = s.histogram.RecordValue(min(max(int64(d), lowest), highest))
}

// Count returns the number of latencies.
func (s *Series) Count() int64 {
	return s.histogram.TotalCount()
}

// Quantile returns the latency at a percentile.
func (s *Series) Quantile(p float64) time.Duration {
	return time.Duration(s.histogram.ValueAtQuantile(p))
}

// WriteTable writes a line for each series.
func WriteTable(w io.Writer, series []*Series) {
	_, _ = fmt.Fprintf(w, "%-28s %8s %10s %10s %10s %10s\n", "series", "count", "p50", "p90", "p99", "max")
	for _, s := range series {
		_, _ = fmt.Fprintf(w, "%-28s %8d %10s %10s %10s %10s\n", s.Name, s.Count(),
			round(s.Quantile(50)), round(s.Quantile(90)), round(s.Quantile(99)), round(s.Quantile(100)))
	}
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

// The geometry of a plot, in pixels.
const (
	plotWidth  = 640
	plotHeight = 240
	plotMargin = 40
)

var palette = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"}

// line is one line of a plot.
type line struct {
	Name   string
	Colour string
	Points string
	Y      int
}

// page is the data of the page's template.
type page struct {
	Title, Verdict, Table string
	Lines                 []line
	Labels                []label
	Decades               []decade
	Width, Height         int
}

// decade is a line of the vertical axis.
type decade struct {
	Y    int
	Text string
}

// decades lists the powers of ten of the vertical axis.
func decades() []decade {
	var list []decade
	for i, text := range []string{"10µs", "100µs", "1ms", "10ms", "100ms", "1s", "10s"} {
		list = append(list, decade{Y: plotY(float64(i)), Text: text})
	}
	return list
}

// plotY places a number of decades above 10 µs.
func plotY(n float64) int {
	const shown = 6
	return plotHeight - plotMargin - int(n/shown*(plotHeight-2*plotMargin))
}

type label struct {
	X    int
	Text string
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow-x:auto}</style></head>
<body><h1>{{.Title}}</h1><p>{{.Verdict}}</p><pre>{{.Table}}</pre>
<h2>Latency by percentile</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="Latency by percentile, logarithmic">
{{range .Lines}}<polyline fill="none" stroke="{{.Colour}}" stroke-width="2" points="{{.Points}}"/>
<text x="470" y="{{.Y}}" fill="{{.Colour}}" font-size="12">{{.Name}}</text>{{end}}
{{range .Labels}}<text x="{{.X}}" y="235" font-size="11">{{.Text}}</text>{{end}}
{{range .Decades}}<text x="0" y="{{.Y}}" font-size="11">{{.Text}}</text><line x1="45" x2="600" y1="{{.Y}}" y2="{{.Y}}" stroke="#ddd"/>{{end}}
</svg></body></html>
`))

// WritePage writes a page with the table and a plot of the series.
func WritePage(w io.Writer, title, verdict string, series []*Series) error {
	var table strings.Builder
	WriteTable(&table, series)
	p := page{Title: title, Verdict: verdict, Table: table.String(), Width: plotWidth, Height: plotHeight, Decades: decades()}
	percentiles := []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100}
	for i, s := range series {
		if s.Count() == 0 {
			continue
		}
		p.Lines = append(p.Lines, line{
			Name: s.Name, Colour: palette[i%len(palette)], Points: points(s, percentiles), Y: 130 + 15*i,
		})
	}
	for i, q := range percentiles {
		p.Labels = append(p.Labels, label{X: plotX(i, len(percentiles)) - 8, Text: fmt.Sprintf("p%g", q)})
	}
	return eris.Wrap(pageTemplate.Execute(w, p), "write page")
}

func plotX(i, n int) int {
	return plotMargin + i*(plotWidth-2*plotMargin)/(n-1)
}

// points places the percentiles on a logarithmic scale of six decades from 10 µs.
func points(s *Series, percentiles []float64) string {
	var b strings.Builder
	for i, q := range percentiles {
		y := plotY(math.Log10(max(1, float64(s.Quantile(q))/float64(10*time.Microsecond))))
		_, _ = fmt.Fprintf(&b, "%d,%d ", plotX(i, len(percentiles)), y)
	}
	return b.String()
}
