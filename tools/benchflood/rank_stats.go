package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// rankStats counts the calls of one rank that arrived during the flood.
type rankStats struct {
	offered, served, inTarget, refused int
	// useful is the service time, on a warm upstream, of calls in target.
	useful time.Duration
	// worked is the service time on a warm upstream done during the flood.
	worked  time.Duration
	latency *hdrhistogram.Histogram
}

func newRankStats() *rankStats {
	return &rankStats{latency: hdrhistogram.New(1, (10 * time.Second).Microseconds(), 3)}
}

func (r *rankStats) quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}
