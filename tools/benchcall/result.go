package main

import "fmt"

// result is one measurement.
type result struct {
	name     string
	rate     int
	direct50 float64
	direct99 float64
	node50   float64
	node99   float64
	failed   int
	// perCore is the number of calls served per second of the nodes'
	// processor time.
	perCore float64
}

func (r result) added50() float64 { return r.node50 - r.direct50 }

func (r result) added99() float64 { return r.node99 - r.direct99 }

func (r result) print() {
	fmt.Printf("%-16s %6d calls/s each  direct p50 %.3f p99 %.3f ms  nodes p50 %.3f p99 %.3f ms  added p50 %.3f p99 %.3f ms  failed %d  %.0f calls/s per core\n",
		r.name, r.rate, r.direct50, r.direct99, r.node50, r.node99, r.added50(), r.added99(), r.failed, r.perCore)
}
