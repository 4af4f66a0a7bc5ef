package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the connections that have a request in flight or are still
// waiting for their first one. http.Server.Shutdown is not enough: it drops
// requests that are read after it was called. It is safe for concurrent use.
type connTracker struct {
	// mu guards hasRequest and changed.
	mu sync.Mutex
	// hasRequest is true for connections with a request in flight and false for
	// new ones.
	hasRequest map[net.Conn]bool
	// changed is closed and replaced when a connection is removed from
	// hasRequest.
	changed chan struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{hasRequest: map[net.Conn]bool{}, changed: make(chan struct{})}
}

// setState records the state of a connection. It is the ConnState hook of the
// call server.
func (t *connTracker) setState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		t.hasRequest[c] = state == http.StateActive
	default:
		delete(t.hasRequest, c)
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// waitIdle returns when no connection is busy, or when ctx ends. New connections
// that are still without a request after grace are taken as idle ones from a
// client's connection pool and are ignored.
func (t *connTracker) waitIdle(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	ignoreNew := false
	for {
		busy, changed := t.countBusy(ignoreNew)
		if busy == 0 {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ignoreNew = true
		case <-ctx.Done():
			return
		}
	}
}

// countBusy returns the number of busy connections, without new ones if
// ignoreNew is set, and the channel that is closed when one is next removed.
func (t *connTracker) countBusy(ignoreNew bool) (int, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, active := range t.hasRequest {
		if active || !ignoreNew {
			n++
		}
	}
	return n, t.changed
}
