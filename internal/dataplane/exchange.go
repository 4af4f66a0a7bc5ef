package dataplane

import (
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/snapshot"
)

// exchange is one call being served. It belongs to one goroutine.
type exchange struct {
	w    http.ResponseWriter
	r    *http.Request
	call *call.Call
	snap *snapshot.Snapshot
	body *body
	// started is set once the answer's header has been sent.
	started bool
}
