// Command benchcall measures the latency and CPU time that nodes add to a call.
// It sends interleaved calls directly to upstreams and through nodes, at one
// rate below capacity and one near it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("benchcall", "Latency and CPU time that nodes add to a call.")
	bin := app.Flag("bin", "Directory of the filbertpier binaries.").Default("bin").String()
	seconds := app.Flag("seconds", "Duration of each measurement in seconds.").Default("8").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*bin, *seconds); err != nil {
		fmt.Fprintln(os.Stderr, "benchcall:", err)
		os.Exit(1)
	}
}
