package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker knows the connections on which a request runs or a first one may
// be under way. http.Server.Shutdown alone does not do: it drops requests that
// are read after it was called. It is safe for concurrent use.
type connTracker struct {
	// mu guards busy and changed.
	mu sync.Mutex
	// busy holds true for connections with a request and false for new ones.
	busy map[net.Conn]bool
	// changed is closed and replaced when a connection leaves busy.
	changed chan struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{busy: map[net.Conn]bool{}, changed: make(chan struct{})}
}

// note is the ConnState hook of a server.
func (t *connTracker) note(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		t.busy[c] = state == http.StateActive
	default:
		delete(t.busy, c)
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// wait returns when no connection is busy, or when ctx ends. Connections that
// have sent no request within grace are spare ones of a client and are ignored.
func (t *connTracker) wait(ctx context.Context, grace time.Duration) {
	timer := time.NewTimer(grace)
	defer timer.Stop()
	ignoreNew := false
	for {
		left, changed := t.count(ignoreNew)
		if left == 0 {
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

func (t *connTracker) count(ignoreNew bool) (int, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, active := range t.busy {
		if active || !ignoreNew {
			n++
		}
	}
	return n, t.changed
}
