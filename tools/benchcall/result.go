package main

import "fmt"

// result holds the figures of one measurement. Latency percentiles are in
// milliseconds, and rate is in calls per second on each path.
type result struct {
	name      string
	rate      int
	directP50 float64
	directP99 float64
	nodeP50   float64
	nodeP99   float64
	failed    int
	// callsPerCoreSecond is the number of calls per second of the nodes' CPU
	// time.
	callsPerCoreSecond float64
}

func (r result) addedP50() float64 { return r.nodeP50 - r.directP50 }

func (r result) addedP99() float64 { return r.nodeP99 - r.directP99 }

func (r result) print() {
	fmt.Printf("%-16s %6d calls/s each  direct p50 %.3f p99 %.3f ms  nodes p50 %.3f p99 %.3f ms  added p50 %.3f p99 %.3f ms  failed %d  %.0f calls/s per core\n",
		r.name, r.rate, r.directP50, r.directP99, r.nodeP50, r.nodeP99, r.addedP50(), r.addedP99(), r.failed, r.callsPerCoreSecond)
}
