package main

import (
	"context"
	"net/http"
	"strconv"
)

// newRequest returns an attempt of a caller on a VM, and notes in the ledger
// that it is sent; once marks what may run once only.
func newRequest(ctx context.Context, m *vm, id, method, path string, once bool) (*http.Request, error) {
	m.world.ledger.with(id, func(a *attempt) { a.sent, a.once = true, once })
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.addr(outboundPort)+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set(names.AttemptID, id)
	req.Header.Set(names.TimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	return req, nil
}
