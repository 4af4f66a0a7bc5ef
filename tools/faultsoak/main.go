package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("faultsoak", "Runs filbertpier nodes under randomized faults and checks their guarantees.")
	o := options{}
	app.Flag("bin", "Folder of the built programs.").Default("bin").StringVar(&o.BinDir)
	app.Flag("logs", "Folder for the nodes' logs; if empty, they are discarded.").StringVar(&o.LogDir)
	app.Flag("vms", "Number of VMs.").Default("6").IntVar(&o.VMs)
	app.Flag("duration", "How long each seed injects faults.").Default("16s").DurationVar(&o.Duration)
	app.Flag("subnet", "Second octet of the loopback addresses; concurrent runs need different ones.").Default("60").IntVar(&o.Subnet)
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Int()
	seed := app.Flag("seed", "First seed; 0 picks a random one.").Default("0").Uint64()
	replayRegressions := app.Flag("regressions", "Run the seeds of past failures first.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seed == 0 {
		*seed = rand.Uint64N(1_000_000)
	}
	var allSeeds []uint64
	if *replayRegressions {
		for _, r := range regressions {
			allSeeds = append(allSeeds, r.seed)
		}
	}
	for n := range *seeds {
		allSeeds = append(allSeeds, *seed+uint64(n))
	}
	if !runSeeds(o, allSeeds) {
		os.Exit(1)
	}
}

// runSeeds runs seeds one after another, prints the results and reports whether
// there was no violation.
func runSeeds(o options, seeds []uint64) bool {
	var total report
	for _, seed := range seeds {
		o.Seed = seed
		start := time.Now()
		r, err := run(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultsoak:", err)
			return false
		}
		fmt.Printf("seed=%d steps=%d requests=%d violations=%d took=%s\n", o.Seed, r.steps, r.requests, len(r.violations), time.Since(start).Round(time.Second))
		for _, v := range r.violations {
			fmt.Println("  " + v.String())
		}
		total.steps += r.steps
		total.requests += r.requests
		total.violations = append(total.violations, r.violations...)
	}
	fmt.Printf("fault-soak: seeds=%d steps=%d requests=%d violations=%d\n", len(seeds), total.steps, total.requests, len(total.violations))
	return len(total.violations) == 0
}
