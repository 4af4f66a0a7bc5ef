package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/prometheus/client_golang/prometheus"
)

// observer logs and counts what the reader does. It implements
// replica.Observer.
type observer struct {
	log   hclog.Logger
	reads *prometheus.CounterVec
	// down is set while the platform does not answer, so that an outage is one
	// line.
	down atomic.Bool
}

func newObserver(log hclog.Logger, r prometheus.Registerer) *observer {
	o := &observer{log: log, reads: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "filbertpier", Name: "replica_events_total", Help: "Events of reading the published items.",
	}, []string{"event"})}
	r.MustRegister(o.reads)
	return o
}

// ReadFailed implements replica.Observer.
func (o *observer) ReadFailed(err error) {
	o.reads.WithLabelValues("read-failed").Inc()
	if !o.down.Swap(true) {
		o.log.Warn("platform lost", "error", err.Error())
	}
}

// Recovered implements replica.Observer.
func (o *observer) Recovered(after time.Duration) {
	o.reads.WithLabelValues("regained").Inc()
	o.down.Store(false)
	o.log.Info("platform answers", "after_ms", after.Milliseconds())
}

// Relisting implements replica.Observer.
func (o *observer) Relisting(after uint64) {
	o.reads.WithLabelValues("relisting").Inc()
	o.log.Info("history gone, listing again", "revision", after)
}

// PeerFailed implements replica.Observer.
func (o *observer) PeerFailed(addr string, err error) {
	o.reads.WithLabelValues("peer-failed").Inc()
	o.log.Debug("peer did not answer", "addr", addr, "error", err.Error())
}

// MergedFromPeer implements replica.Observer.
func (o *observer) MergedFromPeer(addr string, at uint64, news int) {
	o.reads.WithLabelValues("from-peer").Inc()
	o.log.Info("items from a peer", "addr", addr, "revision", at, "news", news)
}
