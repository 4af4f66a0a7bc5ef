package sidecar_test

import (
	"net/http"
	"testing"
	"time"
)

// Guards against an endless body that outlasts the deadline or looks complete.
func TestEndlessBodyEndsAtTheDeadlineIncomplete(t *testing.T) {
	f := newFleet(t)
	chunk := make([]byte, 16<<10)
	endless := func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	f.add("a", "z1", endless).start()
	f.add("b", "z1", respondAfter(0)).start()
	for _, v := range f.vms {
		await(t, "the nodes to be ready", v.ready)
		await(t, "a call that reached the upstream", func() bool {
			began := time.Now()
			got := v.call("GET", "/safe/x")
			if got.status == http.StatusServiceUnavailable {
				return false
			}
			if got.status == http.StatusOK && got.err == nil {
				t.Errorf("got a complete response of %d bytes, want none", len(got.body))
			}
			// The caller's deadline is in 2.5 s.
			if took := time.Since(began); took > 3500*time.Millisecond {
				t.Errorf("the call ended after %s, want within a second of its deadline", took)
			}
			return true
		})
	}
}
