package main

import (
	"encoding/json"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/standin/upstream"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

// countRefunds compares the refunds that upstreams executed with the responses
// that callers got: no key may be executed twice, and a refund with a success
// response must have been executed.
func (s *summary) countRefunds(f *fleet.Fleet, c *callers, vms []fleet.VM) error {
	runs := map[string]int64{}
	for _, v := range vms {
		stats, err := upstreamStats(v)
		if err != nil {
			return err
		}
		for key, n := range stats.KeyRuns {
			runs[key] += n
		}
	}
	for _, n := range runs {
		s.refunds++
		if n > 1 {
			s.repeatedRefunds++
		}
	}
	s.wrong += c.refundsWithoutRun(runs, vms)
	return nil
}

func upstreamStats(v fleet.VM) (upstream.Stats, error) {
	var stats upstream.Stats
	resp, err := http.Get(v.UpstreamURL() + "/standin/stats")
	if err != nil {
		return stats, &fleet.LaunchError{Process: "upstream " + v.ID, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil {
		return stats, &fleet.LaunchError{Process: "upstream " + v.ID, Err: err}
	}
	return stats, nil
}
