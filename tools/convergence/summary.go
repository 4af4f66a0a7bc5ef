package convergence

import (
	"fmt"
	"io"
)

// summary holds the figures of the last line. All come from the real fleet:
// the convergence of its calm changes and its own byte counters.
type summary struct {
	run     *RealRun
	samples Samples
	missing int
	// perChange are the cross-region bytes of one change, fixed cost of the
	// idle fleet excluded; platform is the part read from the platform.
	perChange int64
	platform  int64
	// wholeDocument is what a change costs across regions when every node
	// outside the platform's region reads the document there, and wholeCopy
	// when each such region takes one copy.
	wholeDocument int64
	wholeCopy     int64
}

func newSummary(r *RealRun) *summary {
	s := &summary{run: r}
	for _, row := range r.Rows {
		s.missing += row.Missing
		if row.Scenario == "calm" {
			s.samples = row.Samples
		}
	}
	idle := int64(r.Idle.CrossRegionPerSecond() * r.Busy.Over.Seconds())
	s.platform = r.Busy.PlatformBytes / Changes
	s.perChange = (r.Busy.CrossRegionBytes-idle)/Changes + s.platform
	far, regions := int64(0), map[string]bool{}
	for _, v := range r.fleet.VMs {
		if v.Region != r.fleet.PlatformRegion() {
			far++
			regions[v.Region] = true
		}
	}
	s.wholeDocument, s.wholeCopy = far*r.DocumentBytes, int64(len(regions))*r.DocumentBytes
	return s
}

func (s *summary) print(w io.Writer) error {
	r := s.run
	for name, c := range map[string]Cost{"idle": r.Idle, "changing": r.Busy} {
		fmt.Fprintf(w, "real     %-8s per node: cpu %.2f%% of a core, resident %.1f MB, %.0f B/s to peers; fleet across regions %.0f B/s\n",
			name, c.CPUPercent(), float64(c.Resident)/float64(c.Nodes)/1e6, c.BytesPerSecond(), c.CrossRegionPerSecond())
	}
	fmt.Fprintf(w, "real     cross-region bytes per change %d, of which %d read from the platform; one whole copy per region %d; every node reads all %d\n",
		s.perChange, s.platform, s.wholeCopy, s.wholeDocument)
	switch {
	case len(s.samples) == 0 || s.missing > 0:
		return &UncountedError{Field: fmt.Sprintf("convergence: %d nodes without the version", s.missing)}
	case s.perChange <= 0:
		return &UncountedError{Field: "cross_region_bytes_per_change"}
	case r.PlatformCallsPerSecond == 0:
		return &UncountedError{Field: "platform_calls_per_s_max"}
	}
	fmt.Fprintf(w, "bench-convergence: nodes=%d p50_ms=%d p99_ms=%d max_ms=%d cross_region_bytes_per_change=%d baseline_whole_document_bytes=%d platform_calls_per_s_max=%d\n",
		len(r.fleet.VMs), s.samples.Percentile(50).Milliseconds(), s.samples.Percentile(99).Milliseconds(), s.samples.Percentile(100).Milliseconds(),
		s.perChange, s.wholeDocument, r.PlatformCallsPerSecond)
	return nil
}
