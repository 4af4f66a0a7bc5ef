package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("faultsoak", "Runs filbertpier nodes under randomized faults and checks their promises.")
	o := options{}
	app.Flag("bin", "Folder of the programs.").Default("bin").StringVar(&o.Bin)
	app.Flag("logs", "Folder for the nodes' logs; empty keeps none.").StringVar(&o.Logs)
	app.Flag("vms", "Number of VMs.").Default("6").IntVar(&o.VMs)
	app.Flag("duration", "How long each seed injects faults.").Default("16s").DurationVar(&o.Duration)
	app.Flag("subnet", "Second octet of the loopback addresses, so that soaks can run side by side.").Default("60").IntVar(&o.Subnet)
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Int()
	seed := app.Flag("seed", "First seed; 0 picks one.").Default("0").Uint64()
	again := app.Flag("regressions", "Plays the seeds that once failed first.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seed == 0 {
		*seed = rand.Uint64N(1_000_000)
	}
	var list []uint64
	if *again {
		for _, r := range regressions {
			list = append(list, r.seed)
		}
	}
	for n := range *seeds {
		list = append(list, *seed+uint64(n))
	}
	if !soak(o, list) {
		os.Exit(1)
	}
}

// soak plays seeds one after another and reports whether all promises held.
func soak(o options, seeds []uint64) bool {
	var total report
	for _, seed := range seeds {
		o.Seed = seed
		began := time.Now()
		r, err := run(o)
		if err != nil {
			fmt.Fprintln(os.Stderr, "faultsoak:", err)
			return false
		}
		fmt.Printf("seed=%d steps=%d requests=%d violations=%d took=%s\n", o.Seed, r.steps, r.requests, len(r.violations), time.Since(began).Round(time.Second))
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
