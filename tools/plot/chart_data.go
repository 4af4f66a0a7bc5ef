package main

import (
	"encoding/csv"
	"os"
	"strconv"
	"strings"

	"gonum.org/v1/plot/plotter"
)

// chartData holds the points of each line of a chart, keyed by series name.
type chartData struct {
	lines map[string]plotter.XYs
}

// readChartData reads the columns that a chart needs. Errors are of type
// *ChartError.
func readChartData(c chart, path string) (*chartData, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &ChartError{File: path, Detail: "open", Err: err}
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) < 2 {
		return nil, &ChartError{File: path, Detail: "cannot read data rows", Err: err}
	}
	columns := map[string]int{}
	for i, name := range rows[0] {
		columns[name] = i
	}
	for _, name := range append([]string{c.x, c.y}, c.series...) {
		if _, ok := columns[name]; !ok {
			return nil, &ChartError{File: path, Line: 1, Detail: "column not found: " + name}
		}
	}
	r := &chartData{lines: map[string]plotter.XYs{}}
	for i, row := range rows[1:] {
		if err := r.add(c, columns, row); err != nil {
			return nil, &ChartError{File: path, Line: i + 2, Detail: "not a number", Err: err}
		}
	}
	return r, nil
}

func (r *chartData) add(c chart, columns map[string]int, row []string) error {
	for name, want := range c.filter {
		if column, ok := columns[name]; !ok || row[column] != want {
			return nil
		}
	}
	var names []string
	for _, name := range c.series {
		names = append(names, row[columns[name]])
	}
	x, err := strconv.ParseFloat(row[columns[c.x]], 64)
	if err != nil {
		return err
	}
	y, err := strconv.ParseFloat(row[columns[c.y]], 64)
	if err != nil {
		return err
	}
	key := strings.Join(names, " ")
	r.lines[key] = append(r.lines[key], plotter.XY{X: x, Y: y})
	return nil
}
