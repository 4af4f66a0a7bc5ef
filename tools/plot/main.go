// Command plot draws the results of a benchmark run, a CSV file with a header,
// as an SVG line chart with one line per series.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("plot", "Draws the CSV results of a run as an SVG line chart.")
	in := app.Flag("in", "CSV file with a header.").Required().ExistingFile()
	out := app.Flag("out", "SVG file to write.").Required().String()
	c := chart{filter: map[string]string{}}
	app.Flag("x", "Column of the horizontal axis.").Required().StringVar(&c.x)
	app.Flag("y", "Column of the vertical axis.").Required().StringVar(&c.y)
	app.Flag("series", "Columns whose values identify a line; may be repeated.").Required().StringsVar(&c.series)
	app.Flag("where", "Keep only the rows with column=value; may be repeated.").StringMapVar(&c.filter)
	app.Flag("title", "Title of the chart.").StringVar(&c.title)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := draw(c, *in, *out); err != nil {
		fmt.Fprintln(os.Stderr, "plot:", err)
		os.Exit(1)
	}
}
