package main

import "fmt"

// summary is the least value of each measure over deployments and scenarios.
type summary struct {
	urgentInTarget, floorKept, usefulShare, fcfsUrgentInTarget float64
	// uncounted is the number of runs in which a measure could not be counted.
	uncounted int
}

func summarize(results []*result) summary {
	s := summary{1, 1, 1, 1, 0}
	for _, r := range results {
		if !r.stats.accounted() {
			s.uncounted++
		}
		switch r.policy {
		case policyNode:
			s.urgentInTarget = min(s.urgentInTarget, r.stats.urgentInTarget())
			s.floorKept = min(s.floorKept, r.stats.floorKept())
			if r.stats.floorKept() < 0 {
				s.uncounted++
			}
			s.usefulShare = min(s.usefulShare, r.stats.usefulShare())
		case policyFCFS:
			s.fcfsUrgentInTarget = min(s.fcfsUrgentInTarget, r.stats.urgentInTarget())
		}
	}
	return s
}

func (s summary) String() string {
	return fmt.Sprintf("bench-flood: urgent_in_target=%.3f floor_kept=%.3f useful_share=%.3f fcfs_urgent_in_target=%.3f",
		s.urgentInTarget, s.floorKept, s.usefulShare, s.fcfsUrgentInTarget)
}
