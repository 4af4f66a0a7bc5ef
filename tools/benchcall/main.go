// Command benchcall measures what the nodes add to a call: it sends calls
// directly to upstreams and through nodes, interleaved, at a rate below and
// near capacity.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("benchcall", "Latency and processor time that nodes add to a call.")
	bin := app.Flag("bin", "Folder of the programs.").Default("bin").String()
	seconds := app.Flag("seconds", "Length of each measurement.").Default("8").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*bin, *seconds); err != nil {
		fmt.Fprintln(os.Stderr, "benchcall:", err)
		os.Exit(1)
	}
}
