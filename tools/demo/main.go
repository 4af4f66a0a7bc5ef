// Command demo starts a small fleet as separate processes in three regions,
// publishes a configuration, changes it under load, kills one node, stops
// another and prints a summary. It exits non-zero if a guarantee was violated.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Demonstration of filbertpier on this machine.")
	bin := app.Flag("bin", "Directory of the filbertpier binaries.").Default("bin").String()
	logs := app.Flag("logs", "Directory for the nodes' logs; if empty, no logs are kept.").String()
	subnet := app.Flag("subnet", "Second octet of the loopback addresses, so that demonstrations can run side by side.").Default("20").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := run(*bin, *logs, *subnet)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	s.print()
	if s.hasFailures() {
		os.Exit(1)
	}
}
