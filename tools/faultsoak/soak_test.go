package main

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against guarantees that no longer hold under faults. It is a short run of
// the real programs with a fixed seed; make fault-soak does longer runs.
func TestShortSoak(t *testing.T) {
	bin := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/fpsidecar").CombinedOutput(); err != nil {
		t.Fatalf("building fpsidecar: %v: %s", err, out)
	}
	r, err := run(options{BinDir: bin, Seed: 7, VMs: 6, Duration: 12 * time.Second, Subnet: 59})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.violations {
		t.Error(v)
	}
	if r.requests < 1000 || r.steps < 10 {
		t.Errorf("got %d requests and %d steps, want at least 1000 and 10", r.requests, r.steps)
	}
}

// Guards against checks that miss violations, so that a soak always passes.
func TestChecksReportViolations(t *testing.T) {
	cases := []struct {
		wantRule   string
		node       http.HandlerFunc
		executions int
	}{
		{"MIXED", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerNames.AttemptID, r.Header.Get(headerNames.AttemptID))
			w.Header().Set(headerNames.Seal, "seal of another response")
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
		tb := &testbed{ledger: newLedger(), violations: &violationLog{start: time.Now()}}
		node := httptest.NewServer(c.node)
		m := &vm{testbed: tb}
		sender := &caller{vm: m, name: "c", keepAlive: true, client: &http.Client{Transport: redirect(node.URL)}}
		tb.ledger.update("c/1", func(a *attempt) { a.executions = c.executions })
		sender.send("c/1", http.MethodPost, "/once/x", true)
		node.Close()
		tb.ledger.check(tb.violations)
		if got := tb.violations.all(); len(got) != 1 || got[0].Rule != c.wantRule {
			t.Errorf("want one violation of rule %s, got %v", c.wantRule, got)
		}
	}
}

// redirect is an http.RoundTripper that sends all requests to the server with
// this URL.
type redirect string

func (target redirect) RoundTrip(r *http.Request) (*http.Response, error) {
	r.URL.Host = strings.TrimPrefix(string(target), "http://")
	return http.DefaultTransport.RoundTrip(r)
}

// Guards against a check that misses calls of callers that have left, and against one
// that reports calls whose callers wait or have just left.
func TestCallsOfCallersThatLeftAreReported(t *testing.T) {
	for _, c := range []struct {
		leftAt time.Time
		want   int
	}{{time.Time{}, 0}, {time.Now(), 0}, {time.Now().Add(-time.Second), 1}} {
		tb := &testbed{ledger: newLedger(), violations: &violationLog{start: time.Now()}}
		tb.ledger.update("c/1", func(a *attempt) { a.sent, a.leftAt = true, c.leftAt })
		u := &upstream{testbed: tb}
		u.checkLeft("c/1")
		if got := tb.violations.all(); len(got) != c.want {
			t.Errorf("left at %v: got %v, want %d violations", c.leftAt, got, c.want)
		}
	}
}

// Guards against a check that misses a request sent ahead which was executed and got no
// response, and against one that reports a request which was not passed on.
func TestLostRequestsSentAheadAreReported(t *testing.T) {
	for executions := range 2 {
		tb := &testbed{ledger: newLedger(), violations: &violationLog{start: time.Now()}}
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(headerNames.AttemptID)
			w.Header().Set(headerNames.AttemptID, id)
			w.Header().Set(headerNames.Seal, seal(id, []byte("body")))
			w.Header().Set("Connection", "close")
			_, _ = w.Write([]byte("body"))
		}))
		c := newAheadCaller(&vm{testbed: tb})
		var err error
		if c.conn, err = net.Dial("tcp", strings.TrimPrefix(node.URL, "http://")); err != nil {
			t.Fatal(err)
		}
		c.reader = bufio.NewReader(c.conn)
		for i := range maxSentAhead {
			tb.ledger.update(c.name+"/0."+strconv.Itoa(i), func(a *attempt) { a.executions = executions })
		}
		c.sendBatch(0)
		node.Close()
		got := tb.violations.all()
		if executions == 0 && len(got) > 0 {
			t.Errorf("got %v for requests that were not passed on, want no violation", got)
		}
		if executions > 0 && (len(got) == 0 || got[0].Rule != "LOST") {
			t.Errorf("got %v for requests that were executed, want violations of rule LOST", got)
		}
	}
}

// Guards against a check of drains that excuses calls because the store went away after
// the news of the drain had reached the nodes, and against one that reports calls although
// it went away before that.
func TestOnlyAnEarlyReturnOfTheStoreExcusesLateNews(t *testing.T) {
	for _, c := range []struct {
		awayAfter time.Duration
		ended     bool
		want      bool
	}{
		{-10 * time.Second, true, true}, {-10 * time.Second, false, false}, {-time.Second, true, false},
		{newsTime / 2, true, false}, {newsTime + time.Millisecond, true, true}, {newsTime + time.Millisecond, false, true},
	} {
		tb := &testbed{}
		drained := time.Now().Add(-3 * time.Second)
		tb.returns.begin(drained.Add(c.awayAfter))
		if c.ended {
			tb.returns.end(drained.Add(c.awayAfter + time.Second))
		}
		if got := tb.newsOverdue(drained, maxDrainDelay); got != c.want {
			t.Errorf("store away %s after the drain, returned: %t: overdue is %t, want %t", c.awayAfter, c.ended, got, c.want)
		}
	}
}
