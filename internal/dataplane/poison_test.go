package dataplane_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// TestPoisonRequestCrashesAtMostTwoUpstreams guards against a request that
// crashes every upstream of a service, and against quarantining a request that
// ran at the same time on a crashed upstream.
func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	var crashed atomic.Int64
	var c *nodes.Cluster
	ready, healthyRunning := make(chan struct{}), make(chan struct{}, 100)
	crash := func(vm string) {
		<-ready
		for _, v := range c.VMs {
			if v.Settings.VM == vm {
				crashed.Add(1)
				_ = c.Upstream(v).Close()
			}
		}
	}
	s := clusterSpec("a", "b", "c", "d")
	s.Services = []string{"recall"}
	c = nodes.Start(t, s, func(vm string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if string(body) == "poison" {
				crash(vm)
				return
			}
			healthyRunning <- struct{}{}
			timer := time.NewTimer(100 * time.Millisecond)
			defer timer.Stop()
			select {
			case <-timer.C:
				_, _ = w.Write(body)
			case <-r.Context().Done():
			}
		})
	})
	close(ready)
	client := newClient(t)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			body := "healthy " + string(rune('a'+i))
			if r := send(client, c.VMs[0].URL(), http.MethodPut, "/recall", body); r.status != http.StatusOK || r.body != body {
				t.Errorf("%s, beside the crashing request: %+v, want status 200 and the same body", body, r)
			}
		}()
		<-healthyRunning
	}
	for try := range 8 {
		r := send(client, c.VMs[try%len(c.VMs)].URL(), http.MethodPut, "/recall", "poison")
		if r.problem.Type != call.ProblemQuarantined || try > 0 && r.ran != call.RanNo {
			t.Errorf("try %d: %+v, want quarantined", try, r)
		}
	}
	wg.Wait()
	if crashed.Load() != 2 {
		t.Errorf("%d upstreams crashed, want 2", crashed.Load())
	}
	for _, v := range c.VMs {
		for _, body := range []string{"healthy a", "healthy b", "healthy c"} {
			if r := send(client, v.URL(), http.MethodPut, "/recall", body); r.status != http.StatusOK {
				t.Errorf("%s, through %s after the crashes: %+v, want status 200", body, v.Settings.VM, r)
			}
		}
	}
}
