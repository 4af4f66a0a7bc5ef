package dataplane_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

func clusterSpec(zones ...string) nodes.Spec {
	return nodes.Spec{Zones: zones, Services: []string{"recall", "refunds"}, Sections: nodes.Sections()}
}

func echo(vm string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
}

// TestDeadNodeAndUpstreamAreRetriedElsewhere guards against failing calls that
// another upstream could have served, right after a node or an upstream
// stopped.
func TestDeadNodeAndUpstreamAreRetriedElsewhere(t *testing.T) {
	c := nodes.Start(t, clusterSpec("a", "b", "c"), echo)
	client := newClient(t)
	recall := vmsOfService(c, "recall")
	recall[0].Node.Close()
	_ = c.Upstream(recall[1]).Close()
	for _, v := range c.VMs {
		if v == recall[0] {
			continue
		}
		for _, body := range []string{"", "small", strings.Repeat("x", 60<<10)} {
			r := send(client, v.URL(), http.MethodPut, "/recall/status", body)
			if r.status != http.StatusOK || r.body != body {
				t.Errorf("through %s with a body of %d bytes: status %d, %d bytes, problem %+v; want 200 and the same body", v.Settings.VM, len(body), r.status, len(r.body), r.problem)
			}
		}
	}
}

// TestNestedAndLargeCallsAreNotResent guards against retries that multiply over
// nested calls, and against resending a body that was already partly streamed.
func TestNestedAndLargeCallsAreNotResent(t *testing.T) {
	var runs atomic.Int64
	c := nodes.Start(t, clusterSpec("a", "b"), func(string) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
	})
	client := newClient(t)
	// The bodies differ because a request that crashed two upstreams is quarantined.
	for _, tc := range []struct {
		name, body, depth string
		attempts          int64
	}{{"plain", "x", "0", 2}, {"nested", "y", "1", 1}, {"large", strings.Repeat("x", 100<<10), "0", 1}} {
		runs.Store(0)
		r := send(client, c.VMs[0].URL(), http.MethodPut, "/recall", tc.body, call.HeaderDepth, tc.depth)
		if r.ran != call.RanUnknown || r.status != http.StatusBadGateway || runs.Load() != tc.attempts {
			t.Errorf("%s call: %d attempts, want %d; response %+v, want 502 and an unknown outcome", tc.name, runs.Load(), tc.attempts, r)
		}
	}
}

// TestCancellationReachesTheUpstream guards against upstreams that keep working
// for a caller that has disconnected, through one node and through two.
func TestCancellationReachesTheUpstream(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	c := nodes.Start(t, clusterSpec("a"), func(string) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			started <- struct{}{}
			<-r.Context().Done()
			cancelled <- struct{}{}
		})
	})
	client := newClient(t)
	for _, v := range c.VMs {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, v.URL()+"/recall", strings.NewReader("x"))
		done := make(chan struct{})
		go func() {
			defer close(done)
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		<-started
		cancel()
		<-cancelled
		<-done
	}
}
