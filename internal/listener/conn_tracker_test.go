package listener

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a stop that does not wait for a response that is being written, or that
// waits for idle connections and, after a while, for those without a request.
func TestConnTrackerWaitsForRequestsOnly(t *testing.T) {
	const newConnTime = 50 * time.Millisecond
	tracker := NewConnTracker()
	active, fresh := &net.TCPConn{}, &net.UnixConn{}
	tracker.SetState(active, http.StateNew)
	tracker.SetState(active, http.StateActive)
	tracker.SetState(fresh, http.StateNew)
	ctx, cancel := context.WithTimeout(context.Background(), 4*newConnTime)
	defer cancel()
	if tracker.WaitIdle(ctx, newConnTime) {
		t.Error("idle while a request is in flight")
	}
	tracker.SetState(active, http.StateIdle)
	ctx, cancel = context.WithTimeout(context.Background(), 100*newConnTime)
	defer cancel()
	if began := time.Now(); !tracker.WaitIdle(ctx, newConnTime) || time.Since(began) < newConnTime {
		t.Errorf("a new connection was waited for %s, want %s", time.Since(began), newConnTime)
	}
	if !tracker.WaitIdle(ctx, 0) {
		t.Error("not idle without requests in flight")
	}
}
