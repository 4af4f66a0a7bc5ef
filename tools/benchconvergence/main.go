// Command benchconvergence measures configuration convergence and the cost of
// control traffic, and prints a table. It exits non-zero if a measurement fails.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/tools/convergence"
)

func main() {
	app := kingpin.New("benchconvergence", "Convergence and control traffic of a fleet on this machine.")
	bin := app.Flag("bin", "Directory of the filbertpier binaries.").Default("bin").String()
	seed := app.Flag("seed", "Seed of the virtual fleets.").Default("1").Uint64()
	sizes := app.Flag("virtual", "Nodes per zone of a virtual fleet of 6 zones; repeatable.").Default("20", "50").Ints()
	subnet := app.Flag("subnet", "Second octet of the loopback addresses.").Default("30").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := convergence.Run(os.Stdout, convergence.Options{Bin: *bin, Seed: *seed, NodesPerZone: *sizes, Subnet: *subnet}); err != nil {
		fmt.Fprintln(os.Stderr, "bench-convergence:", err)
		os.Exit(1)
	}
}
