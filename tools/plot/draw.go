package main

import (
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 4.5 * vg.Inch
)

// draw reads the CSV file in and writes the chart to out. Errors are of type
// *ChartError.
func draw(c chart, in, out string) error {
	r, err := readChartData(c, in)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text, p.Y.Label.Text = c.x, c.y
	p.Legend.Top = true
	var lines []any
	for _, name := range slices.Sorted(maps.Keys(r.lines)) {
		lines = append(lines, name, r.lines[name])
	}
	if len(lines) == 0 {
		return &ChartError{File: in, Detail: "no row matches the filter"}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return &ChartError{File: in, Detail: "draw", Err: err}
	}
	if err := p.Save(chartWidth, chartHeight, out); err != nil {
		return &ChartError{File: out, Detail: "write", Err: err}
	}
	return nil
}
