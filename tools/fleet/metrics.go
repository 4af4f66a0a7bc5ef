package fleet

import (
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Metrics are the counters of one node by family name.
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

// Sum adds the values of a family with a label value; an empty label adds all.
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
