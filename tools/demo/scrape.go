package main

import "github.com/filbertpier/filbertpier/tools/fleet"

// scrape adds up the nodes' own counters.
func (s *summary) scrape(vms []fleet.VM) error {
	for _, v := range vms {
		m, err := fleet.Scrape(v)
		if err != nil {
			return err
		}
		s.crossRegion += m.Sum("filbertpier_control_sent_bytes_total", "cross_region", "true")
		s.violations += m.Sum("filbertpier_invariant_violations_total", "", "")
	}
	return nil
}
