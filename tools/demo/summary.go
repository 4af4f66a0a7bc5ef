package main

import (
	"fmt"
	"time"
)

// summary holds the counts and convergence times of one demonstration.
type summary struct {
	nodes            int
	calls            int64
	failed           int64
	wrong            int64
	retried          int64
	unknown          int64
	refunds          int64
	repeatedRefunds  int64
	convergence      []time.Duration
	crossRegionBytes int64
	violations       int64
	unconverged      int
}

func (s *summary) hasFailures() bool {
	return s.repeatedRefunds > 0 || s.failed > 0 || s.wrong > 0 || s.violations > 0 || s.unconverged > 0 || s.calls == 0
}

// addCallCounts copies the callers' counters into the summary.
func (s *summary) addCallCounts(c *callers) {
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
	fmt.Printf("calls                          %d, of which %d failed and %d got a wrong response\n", s.calls, s.failed, s.wrong)
	fmt.Printf("calls sent to another node     %d (their first node was killed or stopped)\n", s.retried)
	fmt.Printf("refunds                        %d keys executed, %d executed more than once, %d calls got an unknown outcome\n", s.refunds, s.repeatedRefunds, s.unknown)
	fmt.Printf("nodes without the last version %d\n", s.unconverged)
	fmt.Printf("convergence per node           %v\n", s.convergence)
	fmt.Printf("demo: calls=%d failed=%d wrong=%d converged_ms_p99=%d cross_region_bytes=%d violations=%d\n",
		s.calls, s.failed, s.wrong, s.p99(), s.crossRegionBytes, s.violations)
}
