package sidecar

import (
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertpier/filbertpier/internal/pipeline"
)

// cutObserver logs and counts the connections of callers that the node closes although
// calls sent ahead on them are not answered. It is safe for concurrent use.
type cutObserver struct {
	log        hclog.Logger
	unanswered prometheus.Counter
}

func newCutObserver(log hclog.Logger, r prometheus.Registerer) *cutObserver {
	o := &cutObserver{log: log, unanswered: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "filbertpier", Name: "sent_ahead_unanswered_total",
		Help: "Calls sent ahead on connections that the node closed before it had answered them.",
	})}
	r.MustRegister(o.unanswered)
	return o
}

// observe records a connection that was cut.
func (o *cutObserver) observe(c pipeline.Cut) {
	o.unanswered.Add(float64(c.Unanswered))
	o.log.Warn("connection closed before all calls on it were answered", "caller", c.Client, "unanswered", c.Unanswered)
}
