package listener

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"time"
)

// connShards is the number of shards of a ConnTracker.
const connShards = 16

// ConnTracker tracks the connections that have a request in flight, until its response is
// written, and those that still wait for their first request. http.Server.Shutdown is not
// enough: it drops requests that are read after it was called, and closes a connection
// after its current response although others wait behind it for their turn. It is safe
// for concurrent use.
type ConnTracker struct {
	seed   maphash.Seed
	shards [connShards]connShard
	// changed holds a value if a connection has become idle or closed since WaitIdle last
	// looked.
	changed chan struct{}
}

// NewConnTracker returns a tracker without connections.
func NewConnTracker() *ConnTracker {
	t := &ConnTracker{seed: maphash.MakeSeed(), changed: make(chan struct{}, 1)}
	for i := range t.shards {
		t.shards[i].hasRequest = map[net.Conn]bool{}
	}
	return t
}

// SetState records the state of a connection, for http.Server.ConnState.
func (t *ConnTracker) SetState(c net.Conn, state http.ConnState) {
	shard := &t.shards[maphash.Comparable(t.seed, c)%connShards]
	if state == http.StateNew || state == http.StateActive {
		shard.set(c, state == http.StateActive)
		return
	}
	shard.remove(c)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// WaitIdle returns true once no connection is busy, or false when ctx ends. New
// connections that are still without a request after newConnTime are taken as idle ones
// from a client's connection pool and are ignored. One goroutine may wait at a time.
func (t *ConnTracker) WaitIdle(ctx context.Context, newConnTime time.Duration) bool {
	timer := time.NewTimer(newConnTime)
	defer timer.Stop()
	ignoreNew := newConnTime <= 0
	for {
		if t.countBusy(ignoreNew) == 0 {
			return true
		}
		select {
		case <-t.changed:
		case <-timer.C:
			ignoreNew = true
		case <-ctx.Done():
			return false
		}
	}
}

// countBusy returns the number of busy connections, without new ones if ignoreNew is set.
func (t *ConnTracker) countBusy(ignoreNew bool) int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].countBusy(ignoreNew)
	}
	return n
}
