package telemetry

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of one node. It is safe for concurrent
// use.
type Metrics struct {
	Registry *prometheus.Registry

	// ControlDecisions counts decisions of the control logic by event.
	ControlDecisions *prometheus.CounterVec
	// ControlSentBytes counts bytes sent to peers, by whether the peer is in another
	// region.
	ControlSentBytes *prometheus.CounterVec
	// DroppedMessages counts messages dropped at full queues.
	DroppedMessages prometheus.Counter
	// SilentConnections counts connections replaced because the peer did not
	// respond to a probe in time.
	SilentConnections prometheus.Counter
	// MalformedMessages counts incoming messages that cannot be decoded or are
	// too long.
	MalformedMessages prometheus.Counter
	// PlatformReads counts platform reads by query.
	PlatformReads *prometheus.CounterVec
	// PlatformValueBytes counts the bytes of values read from the platform.
	PlatformValueBytes prometheus.Counter
	// Version is the number of the version in force.
	Version prometheus.Gauge
	// Calls counts calls by route, rank and outcome.
	Calls *prometheus.CounterVec
	// CallSeconds is the time from the arrival of a call to the end of its
	// response, in seconds, by rank.
	CallSeconds *prometheus.HistogramVec
	// CallDecisions counts decisions about calls by name; sampling of the log
	// does not affect it.
	CallDecisions *prometheus.CounterVec
	// LogLinesSampledOut counts decision log lines left out by sampling.
	LogLinesSampledOut prometheus.Counter
	// Violations counts violated invariants by name.
	Violations *prometheus.CounterVec
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:           prometheus.NewRegistry(),
		ControlDecisions:   counterVec("control_decisions_total", "Decisions of the control logic.", "event"),
		ControlSentBytes:   counterVec("control_sent_bytes_total", "Bytes sent to peers.", "cross_region"),
		DroppedMessages:    counter("control_dropped_messages_total", "Messages dropped at full queues."),
		SilentConnections:  counter("control_silent_connections_total", "Connections replaced because they went silent."),
		MalformedMessages:  counter("control_malformed_messages_total", "Incoming messages that cannot be decoded or are too long."),
		PlatformReads:      counterVec("platform_reads_total", "Platform reads.", "query"),
		PlatformValueBytes: counter("platform_value_bytes_total", "Bytes of values read from the platform."),
		Version:            prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "version", Help: "Version number in force."}),
		Calls:              counterVec("calls_total", "Calls by route, rank and outcome.", "route", "rank", "outcome"),
		CallSeconds:        callSeconds(),
		CallDecisions:      counterVec("call_decisions_total", "Decisions about calls.", "decision"),
		LogLinesSampledOut: counter("log_lines_sampled_out_total", "Decision log lines left out by sampling."),
		Violations:         counterVec("invariant_violations_total", "Broken invariants.", "invariant"),
	}
	m.Registry.MustRegister(m.ControlDecisions, m.ControlSentBytes, m.DroppedMessages, m.SilentConnections, m.PlatformReads,
		m.PlatformValueBytes, m.MalformedMessages, m.Version, m.Calls, m.CallSeconds, m.CallDecisions, m.LogLinesSampledOut, m.Violations)
	return m
}

// Sent implements peer.Traffic.
func (m *Metrics) Sent(crossRegion bool, bytes int) {
	m.ControlSentBytes.WithLabelValues(strconv.FormatBool(crossRegion)).Add(float64(bytes))
}

// Dropped implements peer.Traffic.
func (m *Metrics) Dropped() { m.DroppedMessages.Inc() }

// SilentConnection implements peer.Traffic.
func (m *Metrics) SilentConnection() { m.SilentConnections.Inc() }

// Malformed implements peer.Traffic.
func (m *Metrics) Malformed() { m.MalformedMessages.Inc() }

const namespace = "filbertpier"

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func callSeconds() *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "call_seconds", Help: "Time from entry to the end of the answer.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 18),
	}, []string{"rank"})
}
