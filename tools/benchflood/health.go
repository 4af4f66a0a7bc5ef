package main

import "time"

// health is the state of an upstream during a run.
type health uint8

const (
	healthy health = iota
	// cold starts at the beginning of the run and serves slowly at first.
	cold
	// gone is dead while the VM list and the member view still name it.
	gone
)

const (
	// coldFactor is how many times longer calls take right after a start;
	// it falls to 1 over coldTime.
	coldFactor = 4.0
	coldTime   = 3 * time.Second
)

// slowdown returns the factor on service times at a time since the start.
func (h health) slowdown(at time.Duration) float64 {
	if h != cold || at >= coldTime {
		return 1
	}
	return coldFactor - (coldFactor-1)*at.Seconds()/coldTime.Seconds()
}
