package mesh

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of the data plane.
type Metrics struct {
	// Calls counts the calls of callers on the VM by rank, outcome and reason.
	Calls *prometheus.CounterVec
	// CallSeconds is the time from a call's arrival until the node starts to send
	// the response.
	CallSeconds *prometheus.HistogramVec
	// Attempts counts attempts by service, result and reason.
	Attempts *prometheus.CounterVec
	// Admissions counts the calls to the upstream beside the node by result and
	// reason. Calls refused earlier, such as for a busy link, are not included.
	Admissions *prometheus.CounterVec
	// Retries counts retry decisions by service and reason.
	Retries *prometheus.CounterVec
	// Resends counts the calls that were sent to the upstream beside the node a
	// second time after a reused connection broke.
	Resends prometheus.Counter
	// DisconnectedBeforeSend counts the calls whose caller had disconnected when the
	// node was about to send them, by the next hop: node or upstream.
	DisconnectedBeforeSend *prometheus.CounterVec
	// UpstreamCrashes counts the crashes of the upstream beside the node during a call.
	UpstreamCrashes prometheus.Counter
	// UpstreamCold is 1 while the calls to the upstream beside the node are limited
	// because it is cold, else 0.
	UpstreamCold prometheus.Gauge
}

// NewMetrics creates the metrics and registers them with r. It panics if one of
// them is already registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Calls:       newCounterVec("mesh_calls_total", "Calls of callers on the VM.", "rank", "outcome", "reason"),
		CallSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "mesh_call_seconds", Help: "Time from a call's arrival to its answer.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13)}, []string{"rank", "outcome"}),
		Attempts:    newCounterVec("mesh_attempts_total", "Attempts at upstreams.", "service", "result", "reason"),
		Admissions:  newCounterVec("mesh_admissions_total", "Decisions of the node beside the upstream.", "result", "reason"),
		Retries:     newCounterVec("mesh_retries_total", "Further attempts.", "service", "reason"),
		Resends: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "mesh_upstream_resends_total",
			Help: "Calls sent to the upstream again after a reused connection broke."}),
		DisconnectedBeforeSend: newCounterVec("mesh_disconnected_before_send_total",
			"Calls whose caller had disconnected when they were about to be sent.", "hop"),
		UpstreamCrashes: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "mesh_upstream_crashes_total",
			Help: "Crashes of the upstream during a call."}),
		UpstreamCold: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "mesh_upstream_cold",
			Help: "Whether the upstream is cold and its calls are limited."}),
	}
	r.MustRegister(m.Calls, m.CallSeconds, m.Attempts, m.Admissions, m.Retries, m.Resends, m.DisconnectedBeforeSend, m.UpstreamCrashes, m.UpstreamCold)
	return m
}

func (m *Metrics) setUpstreamCold(cold bool) {
	value := 0.0
	if cold {
		value = 1
	}
	m.UpstreamCold.Set(value)
}

const namespace = "filbertpier"

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
