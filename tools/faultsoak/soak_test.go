package main

import (
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// Guards against promises broken under faults: a short run of the real programs
// with a fixed seed. Longer ones: make fault-soak.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/fpsidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	r, err := run(options{Bin: bin, Seed: 7, VMs: 6, Duration: 12 * time.Second, Subnet: 59})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.violations {
		t.Error(v)
	}
	if r.requests < 1000 || r.steps < 10 {
		t.Errorf("%d requests, %d steps", r.requests, r.steps)
	}
}

// Guards against a soak that finds nothing because its checks see nothing.
func TestChecksFindBrokenPromises(t *testing.T) {
	cases := []struct {
		rule string
		node http.HandlerFunc
		runs int
	}{
		{"MIXED", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
			w.Header().Set(names.Seal, "of another answer")
			_, _ = w.Write([]byte("body"))
		}, 1},
		{"TWICE", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, 2},
		{"REFUSED", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0.1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 1},
		{"DENIED", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, 0},
		{"LOST", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1},
	}
	for _, c := range cases {
		w := &world{ledger: newLedger(), verdict: &verdict{began: time.Now()}}
		node := httptest.NewServer(c.node)
		m := &vm{world: w}
		sender := &caller{vm: m, name: "c", keeps: true, client: &http.Client{Transport: redirect(node.URL)}}
		w.ledger.with("c/1", func(a *attempt) { a.runs = c.runs })
		sender.send("c/1", http.MethodPost, "/once/x", true)
		node.Close()
		w.ledger.check(w.verdict)
		if got := w.verdict.violations(); len(got) != 1 || got[0].Rule != c.rule {
			t.Errorf("%s: %v", c.rule, got)
		}
	}
}

// redirect sends all requests to one server.
type redirect string

func (u redirect) RoundTrip(r *http.Request) (*http.Response, error) {
	r.URL.Host = strings.TrimPrefix(string(u), "http://")
	return http.DefaultTransport.RoundTrip(r)
}
