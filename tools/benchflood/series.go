package main

import (
	"encoding/csv"
	"os"
	"strconv"
	"time"
)

// series writes the time series of all runs as CSV.
type series struct {
	results []*result
}

func (s series) write(path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	w := csv.NewWriter(file)
	_ = w.Write([]string{"deployment", "scenario", "policy", "rank", "ms", "offered", "in_target", "late", "refused", "mean_latency_ms"})
	for _, r := range s.results {
		for rank, samples := range r.stats.series {
			for i, p := range samples {
				_ = w.Write(r.row(rank, i, p))
			}
		}
	}
	w.Flush()
	return w.Error()
}

func (r *result) row(rank, i int, p sample) []string {
	mean := ""
	if n := p.inTarget + p.late; n > 0 {
		mean = strconv.FormatFloat(p.latency.Seconds()*1000/float64(n), 'f', 2, 64)
	}
	return []string{
		r.deployment.name, r.scenario.name, string(r.policy), r.deployment.ranks[rank].Name,
		strconv.FormatInt((time.Duration(i) * sampleTime).Milliseconds(), 10),
		strconv.Itoa(p.offered), strconv.Itoa(p.inTarget), strconv.Itoa(p.late), strconv.Itoa(p.refused), mean,
	}
}
