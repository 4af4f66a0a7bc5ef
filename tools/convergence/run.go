package convergence

import (
	"fmt"
	"io"
	"sync"
)

// realRounds makes 24 real nodes: 2 VMs per round in each of 6 zones.
const realRounds = 2

// Run measures the real fleet first, alone, then the virtual fleets side by
// side, and prints a table and a last line for scripts. It returns an
// *UncountedError if a field could not be counted.
func Run(w io.Writer, o Options) error {
	real, err := RunReal(o.Bin, o.Subnet, realRounds)
	if err != nil {
		return err
	}
	for _, row := range real.Rows {
		row.print(w)
	}
	runs := make([]*VirtualRun, len(o.NodesPerZone))
	var wg sync.WaitGroup
	for i, n := range o.NodesPerZone {
		wg.Go(func() { runs[i] = RunVirtual(n, o.Seed) })
	}
	wg.Wait()
	for _, r := range runs {
		for _, row := range r.Rows {
			row.print(w)
		}
		fmt.Fprintf(w, "virtual  mass restart: at most %d platform calls in a second\n", r.PlatformCallsPerSecond)
	}
	return newSummary(real).print(w)
}
