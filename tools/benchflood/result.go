package main

import (
	"fmt"
	"io"
	"time"
)

// result is one finished run.
type result struct {
	deployment *deployment
	scenario   *scenario
	policy     policy
	stats      *stats
}

func (r *result) print(w io.Writer) {
	for i, rank := range r.deployment.ranks {
		s := r.stats.ranks[i]
		_, _ = fmt.Fprintf(w, "%-8s %-12s %-7s %-7s offered=%-6d in_target=%-6d late=%-5d refused=%-6d p50=%-9s p99=%s\n",
			r.deployment.name, r.scenario.name, r.policy, rank.Name, s.offered, s.inTarget, s.served-s.inTarget, s.refused,
			s.quantile(50).Round(100*time.Microsecond), s.quantile(99).Round(100*time.Microsecond))
	}
	_, _ = fmt.Fprintf(w, "%-8s %-12s %-7s urgent_in_target=%.3f floor_kept=%.3f floor_share=%.3f useful_share=%.3f accounted=%t\n",
		r.deployment.name, r.scenario.name, r.policy, r.stats.urgentInTarget(), r.stats.floorKept(), r.stats.floorShare(), r.stats.usefulShare(), r.stats.accounted())
}
