package telemetry

import (
	"fmt"
	"sync/atomic"
)

// Invariants checks conditions that must always hold. A violation is counted,
// and with fatal set, as in test runs, it also panics. It is safe for concurrent
// use.
type Invariants struct {
	metrics *Metrics
	fatal   atomic.Bool
	count   atomic.Uint64
}

// NewInvariants returns a checker that counts violations in metrics.
func NewInvariants(metrics *Metrics, fatal bool) *Invariants {
	i := &Invariants{metrics: metrics}
	i.fatal.Store(fatal)
	return i
}

// Check records a violation of the named invariant unless ok. The detail is
// formatted only if violations are fatal; Check then panics with a
// *ViolationError.
func (i *Invariants) Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	i.count.Add(1)
	i.metrics.Violations.WithLabelValues(name).Inc()
	if i.fatal.Load() {
		panic(&ViolationError{Invariant: name, Detail: fmt.Sprintf(format, args...)})
	}
}

// Count returns the number of violations since the start of the node.
func (i *Invariants) Count() uint64 { return i.count.Load() }
