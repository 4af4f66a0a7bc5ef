package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/alitto/pond/v2"
)

func main() {
	app := kingpin.New("benchflood", "Measures call decisions under floods in virtual time.")
	csvPath := app.Flag("csv", "Write time series to this file.").String()
	seed := app.Flag("seed", "Seed of the random numbers.").Default("1").Uint64()
	workers := app.Flag("workers", "Number of runs at once.").Default("4").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	results := runAll(*seed, *workers)
	for _, r := range results {
		r.print(os.Stdout)
	}
	if *csvPath != "" {
		if err := (series{results}).write(*csvPath); err != nil {
			app.Fatalf("%v", err)
		}
	}
	s := summarize(results)
	if s.uncounted > 0 {
		app.Fatalf("%d of %d runs have calls without an outcome or exceeded the slots", s.uncounted, len(results))
	}
	fmt.Println(s)
}

// runAll runs each scenario of each deployment under each policy.
func runAll(seed uint64, workers int) []*result {
	var results []*result
	pool := pond.NewPool(workers)
	for i := range deployments {
		for j := range scenarios {
			for _, p := range policies {
				r := &result{deployment: &deployments[i], scenario: &scenarios[j], policy: p}
				results = append(results, r)
				pool.Submit(func() { r.stats = newSim(r.deployment, r.scenario, p, fullFlood, seed).run() })
			}
		}
	}
	pool.StopAndWait()
	return results
}
