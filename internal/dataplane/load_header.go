package dataplane

import (
	"fmt"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/admission"
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/routing"
)

// setLoad reports the upstream's load to the sending node.
func setLoad(h http.Header, r admission.Report) {
	leaving := 0
	if r.Draining {
		leaving = 1
	}
	h.Set(call.HeaderLoad, fmt.Sprintf("%d %d %d %d", r.Running, r.Waiting, r.Slots, leaving))
}

// parseLoad returns the load report of an answer, or nil.
func parseLoad(h http.Header) *routing.LoadReport {
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
