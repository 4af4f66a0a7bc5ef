package fleet

import (
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics holds the metric families of one node by name.
type Metrics map[string]*dto.MetricFamily

// Scrape reads the metrics of the node on a VM.
func Scrape(v VM) (Metrics, error) {
	resp, err := http.Get(v.AdminURL() + "/metrics")
	if err != nil {
		return nil, &LaunchError{Process: "metrics of " + v.ID, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, &LaunchError{Process: "metrics of " + v.ID, Err: err}
	}
	return families, nil
}

// Sum returns the sum of the counters of a family that have the given label value.
// An empty label selects all counters.
func (m Metrics) Sum(family, label, value string) int64 {
	total := 0.0
	for _, metric := range m[family].GetMetric() {
		match := label == ""
		for _, l := range metric.GetLabel() {
			match = match || l.GetName() == label && l.GetValue() == value
		}
		if match {
			total += metric.GetCounter().GetValue()
		}
	}
	return int64(total)
}
