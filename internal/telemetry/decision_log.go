package telemetry

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// DecisionLog writes one line per routing or placement decision. With sampling
// it writes only every nth line; the others are counted. It is safe for
// concurrent use.
type DecisionLog struct {
	log       hclog.Logger
	metrics   *Metrics
	every     uint64
	decisions atomic.Uint64
}

// NewDecisionLog returns a log that writes every nth line, where n is every. With
// 0 or 1 it writes all lines.
func NewDecisionLog(log hclog.Logger, metrics *Metrics, every uint64) *DecisionLog {
	return &DecisionLog{log: log, metrics: metrics, every: max(every, 1)}
}

// Record counts a decision and, unless sampling skips it, logs it with fields,
// which are alternating keys and values.
func (d *DecisionLog) Record(decision string, fields ...any) {
	d.metrics.CallDecisions.WithLabelValues(decision).Inc()
	if d.every > 1 && d.decisions.Add(1)%d.every != 1 {
		d.metrics.LogLinesSampledOut.Inc()
		return
	}
	d.log.Info(decision, fields...)
}
