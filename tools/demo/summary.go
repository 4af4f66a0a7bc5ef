package main

import (
	"fmt"
	"time"
)

// summary is what the demonstration counted.
type summary struct {
	nodes       int
	calls       int64
	failed      int64
	wrong       int64
	retried     int64
	unknown     int64
	refunds     int64
	repeated    int64
	convergence []time.Duration
	crossRegion int64
	violations  int64
	missing     int
}

func (s *summary) broken() bool {
	return s.repeated > 0 || s.failed > 0 || s.wrong > 0 || s.violations > 0 || s.missing > 0 || s.calls == 0
}

// add takes over the counts of the callers.
func (s *summary) add(c *callers) {
	s.calls, s.failed, s.wrong = c.calls.Load(), c.failed.Load(), c.wrong.Load()
	s.retried, s.unknown = c.retried.Load(), c.unknown.Load()
}

// p99 returns the 99th percentile of the convergence times in milliseconds.
func (s *summary) p99() int64 {
	if len(s.convergence) == 0 {
		return -1
	}
	return s.convergence[(len(s.convergence)-1)*99/100].Milliseconds()
}

func (s *summary) print() {
	fmt.Printf("nodes                          %d in 3 regions and 6 availability zones\n", s.nodes)
	fmt.Printf("calls                          %d, of which %d failed and %d got a wrong answer\n", s.calls, s.failed, s.wrong)
	fmt.Printf("calls sent to another node     %d (their first node was killed or stopped)\n", s.retried)
	fmt.Printf("refunds                        %d keys ran, %d ran more than once, %d calls were told that the outcome is unknown\n", s.refunds, s.repeated, s.unknown)
	fmt.Printf("nodes without the last version %d\n", s.missing)
	fmt.Printf("convergence per node           %v\n", s.convergence)
	fmt.Printf("demo: calls=%d failed=%d wrong=%d converged_ms_p99=%d cross_region_bytes=%d violations=%d\n",
		s.calls, s.failed, s.wrong, s.p99(), s.crossRegion, s.violations)
}
