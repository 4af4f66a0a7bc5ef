// Command demo starts a small fleet as separate processes in three regions,
// publishes a configuration, changes it under calls, kills one node and prints
// a summary. It exits non-zero if a promise was broken.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Demonstration of filbertpier on this machine.")
	bin := app.Flag("bin", "Folder of the programs.").Default("bin").String()
	logs := app.Flag("logs", "Folder for the nodes' logs; empty keeps none.").String()
	subnet := app.Flag("subnet", "Second octet of the loopback addresses, so that demonstrations can run side by side.").Default("20").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := run(*bin, *logs, *subnet)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	s.print()
	if s.broken() {
		os.Exit(1)
	}
}
