package convergence

import (
	"slices"
	"time"
)

// Samples are convergence times of nodes.
type Samples []time.Duration

// Percentile returns the value below which p hundredths of the samples lie.
func (s Samples) Percentile(p int) time.Duration {
	if len(s) == 0 {
		return -1
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[(len(sorted)*p+99)/100-1]
}
