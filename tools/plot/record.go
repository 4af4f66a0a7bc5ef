package main

import (
	"encoding/csv"
	"os"
	"strconv"
	"strings"

	"gonum.org/v1/plot/plotter"
)

// record holds the points of each line of a chart.
type record struct {
	lines map[string]plotter.XYs
}

// readRecord reads the columns that a chart needs. It returns a *RecordError.
func readRecord(c chart, path string) (*record, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &RecordError{File: path, Detail: "open", Err: err}
	}
	defer func() { _ = f.Close() }()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil || len(rows) < 2 {
		return nil, &RecordError{File: path, Detail: "no rows", Err: err}
	}
	columns := map[string]int{}
	for i, name := range rows[0] {
		columns[name] = i
	}
	for _, name := range append([]string{c.x, c.y}, c.series...) {
		if _, ok := columns[name]; !ok {
			return nil, &RecordError{File: path, Line: 1, Detail: "no column " + name}
		}
	}
	r := &record{lines: map[string]plotter.XYs{}}
	for i, row := range rows[1:] {
		if err := r.add(c, columns, row); err != nil {
			return nil, &RecordError{File: path, Line: i + 2, Detail: "not a number", Err: err}
		}
	}
	return r, nil
}

func (r *record) add(c chart, columns map[string]int, row []string) error {
	for name, want := range c.where {
		if at, ok := columns[name]; !ok || row[at] != want {
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
