package mesh

import (
	"context"
	"time"
)

// hop is the next process to which a node sends a call.
type hop string

const (
	hopNode     hop = "node"
	hopUpstream hop = "upstream"
)

// disconnected reports whether the caller has left before the call is sent to the
// next hop, and counts and logs that. ctx ends some time after the caller has
// disconnected, once a goroutine of the HTTP server has run.
func (s *Server) disconnected(ctx context.Context, q *request, next hop) bool {
	ended := ctx.Err() != nil
	if !ended && !q.caller.Closed() {
		return false
	}
	s.cfg.Metrics.DisconnectedBeforeSend.WithLabelValues(string(next)).Inc()
	s.cfg.Log.Info("caller disconnected before send", "id", q.id, "hop", string(next),
		"ms", time.Since(q.arrived).Milliseconds(), "context_ended", ended, "retrying", q.retrying)
	return true
}
