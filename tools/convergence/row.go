package convergence

import (
	"fmt"
	"io"
)

// Row is the outcome of one scenario.
type Row struct {
	// Part names the fleet: real processes or virtual time.
	Part     string
	Scenario string
	Nodes    int
	Samples  Samples
	// Missing counts running nodes that never got the version.
	Missing int
}

func (r Row) print(w io.Writer) {
	fmt.Fprintf(w, "%-8s %5d  %-34s p50 %6d ms  p99 %6d ms  max %6d ms  missing %d\n", r.Part, r.Nodes, r.Scenario,
		r.Samples.Percentile(50).Milliseconds(), r.Samples.Percentile(99).Milliseconds(),
		r.Samples.Percentile(100).Milliseconds(), r.Missing)
}
