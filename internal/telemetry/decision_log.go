package telemetry

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// DecisionLog writes one log line per decision about a call, such as admission,
// routing or a retry. With sampling it writes only one of every sampleInterval
// lines and counts the others. It is safe for concurrent use.
type DecisionLog struct {
	log            hclog.Logger
	metrics        *Metrics
	sampleInterval uint64
	decisions      atomic.Uint64
}

// NewDecisionLog returns a log that writes one of every sampleInterval lines.
// With 0 or 1 it writes all lines.
func NewDecisionLog(log hclog.Logger, metrics *Metrics, sampleInterval uint64) *DecisionLog {
	return &DecisionLog{log: log, metrics: metrics, sampleInterval: max(sampleInterval, 1)}
}

// Record counts a decision by its name and, unless sampling skips it, logs it
// with fields, which are alternating keys and values.
func (d *DecisionLog) Record(decision string, fields ...any) {
	d.metrics.CallDecisions.WithLabelValues(decision).Inc()
	if d.sampleInterval > 1 && d.decisions.Add(1)%d.sampleInterval != 1 {
		d.metrics.LogLinesSampledOut.Inc()
		return
	}
	d.log.Info(decision, fields...)
}
