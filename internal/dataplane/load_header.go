package dataplane

import (
	"fmt"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/member"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// loadReport returns the load of the upstream beside this node.
func (s *Server) loadReport() *routing.LoadReport {
	r := s.limiter.Report()
	return &routing.LoadReport{
		Running: r.Running, Waiting: r.Waiting, Slots: r.Slots,
		Leaving: r.Draining || s.draining.Load() || s.control.Self().Status == member.Leaving,
	}
}

// setLoadHeader adds a load report to a response to another node.
func setLoadHeader(h http.Header, r *routing.LoadReport) {
	leaving := 0
	if r.Leaving {
		leaving = 1
	}
	h.Set(call.HeaderLoad, fmt.Sprintf("%d %d %d %d", r.Running, r.Waiting, r.Slots, leaving))
}

// parseLoadHeader returns the load report of a response, or nil if there is none
// or it is malformed.
func parseLoadHeader(h http.Header) *routing.LoadReport {
	text := h.Get(call.HeaderLoad)
	if text == "" {
		return nil
	}
	var r routing.LoadReport
	var leaving int
	if _, err := fmt.Sscanf(text, "%d %d %d %d", &r.Running, &r.Waiting, &r.Slots, &leaving); err != nil {
		return nil
	}
	r.Leaving = leaving != 0
	return &r
}
