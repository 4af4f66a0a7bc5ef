package main

import "time"

// sample counts the calls of one rank in one interval of the time series.
type sample struct {
	offered, inTarget, late, refused int
	latency                          time.Duration // sum over served calls
}

// sampleTime is the interval of the time series.
const sampleTime = 50 * time.Millisecond
