package main

import "github.com/filbertpier/filbertpier/tools/fleet"

// addNodeMetrics adds the cross-region bytes and invariant violations that the
// nodes report in their metrics.
func (s *summary) addNodeMetrics(vms []fleet.VM) error {
	for _, v := range vms {
		m, err := fleet.Scrape(v)
		if err != nil {
			return err
		}
		s.crossRegionBytes += m.Sum("filbertpier_control_sent_bytes_total", "cross_region", "true")
		s.violations += m.Sum("filbertpier_invariant_violations_total", "", "")
	}
	return nil
}
