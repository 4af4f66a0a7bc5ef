package main

import (
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	dto "github.com/prometheus/client_model/go"

	"github.com/filbertpier/filbertpier/tools/fleet"
)

// scrape adds up the nodes' own counters.
func (s *summary) scrape(vms []fleet.VM) error {
	for _, v := range vms {
		families, err := scrapeNode(v)
		if err != nil {
			return err
		}
		s.crossRegion += sum(families["filbertpier_control_sent_bytes_total"], "cross_region", "true")
		s.violations += sum(families["filbertpier_invariant_violations_total"], "", "")
	}
	return nil
}

func scrapeNode(v fleet.VM) (map[string]*dto.MetricFamily, error) {
	resp, err := http.Get(v.AdminURL() + "/metrics")
	if err != nil {
		return nil, &fleet.LaunchError{Process: "metrics of " + v.ID, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, &fleet.LaunchError{Process: "metrics of " + v.ID, Err: err}
	}
	return families, nil
}

// sum adds the values of a family with a label value; an empty label adds all.
func sum(family *dto.MetricFamily, label, value string) int64 {
	total := 0.0
	for _, m := range family.GetMetric() {
		match := label == ""
		for _, l := range m.GetLabel() {
			match = match || l.GetName() == label && l.GetValue() == value
		}
		if match {
			total += m.GetCounter().GetValue()
		}
	}
	return int64(total)
}
