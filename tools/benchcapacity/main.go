// Command benchcapacity measures how the cost of the control plane grows with
// the size of the fleet and prints the slopes that docs/CAPACITY.md uses.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/tools/capacity"
)

func main() {
	app := kingpin.New("benchcapacity", "Growth of control-plane cost with fleet size.")
	bin := app.Flag("bin", "Directory of the filbertpier binaries.").Default("bin").String()
	subnet := app.Flag("subnet", "Second octet of the loopback addresses.").Default("30").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := capacity.Run(os.Stdout, *bin, *subnet); err != nil {
		fmt.Fprintln(os.Stderr, "bench-capacity:", err)
		os.Exit(1)
	}
}
