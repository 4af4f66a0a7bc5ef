package main

import (
	"context"
	"net/http"
	"strconv"
)

// newRequest returns a request to the node on a VM and records in the ledger that
// it is sent. A non-idempotent request must not be executed more than once.
func newRequest(ctx context.Context, m *vm, id, method, path string, nonIdempotent bool) (*http.Request, error) {
	m.testbed.ledger.update(id, func(a *attempt) { a.sent, a.nonIdempotent = true, nonIdempotent })
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(outboundPort)+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set(headerNames.AttemptID, id)
	req.Header.Set(headerNames.TimeLeft, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	return req, nil
}
