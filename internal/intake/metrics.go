package intake

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of a Guard.
type Metrics struct {
	// TurnedAway counts refused requests and closed connections by class and cause.
	TurnedAway *prometheus.CounterVec
	// MemoryBytes is the memory that clients make the process hold, Connections the
	// number of their connections.
	MemoryBytes, Connections prometheus.Gauge
}

// NewMetrics creates the metrics and registers them with r. It panics if one of them is
// already registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	const namespace = "filbertpier"
	m := &Metrics{
		TurnedAway: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "intake_turned_away_total", Help: "Requests refused and connections closed to protect the process.",
		}, []string{"class", "cause"}),
		MemoryBytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "intake_memory_bytes", Help: "Memory held for clients, sampled each second.",
		}),
		Connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "intake_connections", Help: "Connections of clients, sampled each second.",
		}),
	}
	r.MustRegister(m.TurnedAway, m.MemoryBytes, m.Connections)
	return m
}
