package sidecar

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertpier/filbertpier/internal/revision"
)

// observer logs and counts the events of the node's replica.Reader. It
// implements replica.Observer.
type observer struct {
	log    hclog.Logger
	events *prometheus.CounterVec
	// platformDown is set while the platform does not respond, so that an
	// outage is logged once.
	platformDown atomic.Bool
}

func newObserver(log hclog.Logger, r prometheus.Registerer) *observer {
	o := &observer{log: log, events: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "filbertpier", Name: "replica_events_total", Help: "Events of reading the published items.",
	}, []string{"event"})}
	r.MustRegister(o.events)
	return o
}

// ReadFailed implements replica.Observer. It logs the first failure of an
// outage only.
func (o *observer) ReadFailed(err error) {
	o.events.WithLabelValues("read-failed").Inc()
	if !o.platformDown.Swap(true) {
		o.log.Warn("platform not responding", "error", err.Error())
	}
}

// Recovered implements replica.Observer. It is also called for the first
// successful read after the start, with the time since the start.
func (o *observer) Recovered(outage time.Duration) {
	o.events.WithLabelValues("regained").Inc()
	o.platformDown.Store(false)
	o.log.Info("platform responding", "after_ms", outage.Milliseconds())
}

// Listed implements replica.Observer.
func (o *observer) Listed(at revision.Revision, items int) {
	o.events.WithLabelValues("listed").Inc()
	o.log.Info("listed all items", "revision", at.String(), "items", items)
}

// Relisting implements replica.Observer.
func (o *observer) Relisting(after revision.Revision) {
	o.events.WithLabelValues("relisting").Inc()
	o.log.Info("platform history compacted, listing all items again", "revision", after.String())
}

// EraBegun implements replica.Observer.
func (o *observer) EraBegun(held, first revision.Revision, applied, dropped int) {
	o.events.WithLabelValues("era-begun").Inc()
	o.log.Warn("platform returned from an older copy", "held", held.String(), "revision", first.String(), "applied", applied,
		"dropped", dropped)
}

// PeerFailed implements replica.Observer.
func (o *observer) PeerFailed(addr string, err error) {
	o.events.WithLabelValues("peer-failed").Inc()
	o.log.Debug("peer did not respond", "addr", addr, "error", err.Error())
}

// MergedFromPeer implements replica.Observer.
func (o *observer) MergedFromPeer(addr string, at revision.Revision, changes int) {
	o.events.WithLabelValues("from-peer").Inc()
	o.log.Info("received items from a peer", "addr", addr, "revision", at.String(), "news", changes)
}
