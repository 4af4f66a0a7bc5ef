package telemetry

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// DecisionLog writes one line per routing or placement decision. With sampling
// it writes one line in a configured number; the rest is counted. It is safe
// for concurrent use.
type DecisionLog struct {
	log     hclog.Logger
	metrics *Metrics
	every   uint64
	n       atomic.Uint64
}

// NewDecisionLog returns a log that writes one in every lines; 0 and 1 write
// all.
func NewDecisionLog(log hclog.Logger, metrics *Metrics, every uint64) *DecisionLog {
	return &DecisionLog{log: log, metrics: metrics, every: max(every, 1)}
}

// Record counts a decision and writes it with alternating keys and values.
func (d *DecisionLog) Record(decision string, fields ...any) {
	d.metrics.CallDecisions.WithLabelValues(decision).Inc()
	if d.every > 1 && d.n.Add(1)%d.every != 1 {
		d.metrics.LogLinesSampledOut.Inc()
		return
	}
	d.log.Info(decision, fields...)
}
