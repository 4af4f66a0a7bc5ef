package dataplane_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// TestSilentConnectionIsDistinguishedFromSlowUpstream guards against waiting
// until the deadline on a connection that went silent, and against failing a call
// whose upstream is only slow.
func TestSilentConnectionIsDistinguishedFromSlowUpstream(t *testing.T) {
	var runs atomic.Int64
	s := clusterSpec("a", "b")
	s.Links = true
	c := nodes.Start(t, s, func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			d, _ := time.ParseDuration(r.URL.Query().Get("work"))
			timer := time.NewTimer(d)
			defer timer.Stop()
			<-timer.C
			_, _ = io.WriteString(w, "done")
		})
	})
	client, recall, entry := newClient(t), vmsOfService(c, "recall"), vmsOfService(c, "refunds")[0]
	if r := send(client, entry.URL(), http.MethodPut, "/recall?work=3s", "x"); r.body != "done" || runs.Load() != 1 {
		t.Errorf("slow upstream: %d runs, want 1; response %+v", runs.Load(), r)
	}
	recall[0].Link.DropData(true)
	start := time.Now()
	if r := send(client, entry.URL(), http.MethodPut, "/recall", "x"); r.body != "done" || time.Since(start) > 4*time.Second {
		t.Errorf("silent connection: after %v, want at most 4 s; response %+v", time.Since(start), r)
	}
	owner := vmsOfService(c, "refunds")[0]
	// Routing prefers other upstreams while this one has only just started, so the
	// first key may name another owner.
	key := issueKey(t, client, owner.URL())
	for n := 0; !strings.HasSuffix(key, owner.Settings.VM); n++ {
		if n > 100 {
			t.Fatalf("no issued key names %s as its owner", owner.Settings.VM)
		}
		key = issueKey(t, client, owner.URL())
	}
	owner.Link.DropData(true)
	r := send(client, recall[0].URL(), http.MethodPost, "/refunds", "x", call.HeaderIdempotencyKey, key)
	if r.ran != call.RanUnknown || r.problem.Type != call.ProblemOutcomeUnknown {
		t.Errorf("silent owner: %+v, want an unknown outcome", r)
	}
}

// truncatingUpstream returns an upstream that truncates its responses or refuses
// the call, as the query parameter "how" says.
func truncatingUpstream(string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rc := http.NewResponseController(w)
		switch r.URL.Query().Get("how") {
		case "length":
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "part")
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		case "chunks":
			_, _ = io.WriteString(w, "part")
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		case "close":
			writeRaw(rc, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		case "status line":
			writeRaw(rc, "HTTP/1.1 200 OK")
		case "header name":
			writeRaw(rc, "HTTP/1.1 200 OK\r\nContent-Le")
		case "header value":
			writeRaw(rc, "HTTP/1.1 200 OK\r\nContent-Length: 1")
		case "end of head":
			writeRaw(rc, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r")
		case "last chunk":
			writeRaw(rc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n")
		case "refuse":
			w.Header().Set(call.HeaderRan, string(call.RanNo))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// writeRaw writes text in place of a response and closes the connection.
func writeRaw(rc *http.ResponseController, text string) {
	conn, _, err := rc.Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// TestTruncatedResponsesAreDetected guards against truncated responses that look
// complete, through the node beside the upstream and through another one, and
// against reporting a call that the upstream refused as run.
func TestTruncatedResponsesAreDetected(t *testing.T) {
	c := nodes.Start(t, clusterSpec("a"), truncatingUpstream)
	client := newClient(t)
	for _, v := range c.VMs {
		for _, how := range []string{"length", "chunks", "close", "status line", "header name", "header value", "end of head", "last chunk"} {
			r := send(client, v.URL(), http.MethodPut, "/recall?how="+url.QueryEscape(how), "x")
			if r.err == nil && r.status < http.StatusInternalServerError {
				t.Errorf("truncation by %s through %s was not detected: %+v", how, v.Settings.VM, r)
			}
		}
		r := send(client, v.URL(), http.MethodPut, "/recall?how=refuse", "x")
		if r.ran != call.RanNo || r.problem.Type != call.ProblemOverloaded || r.problem.RetryAfterMs == 0 {
			t.Errorf("call refused by the upstream, through %s: %+v, want overloaded with Retry-After", v.Settings.VM, r)
		}
	}
}

// TestLargeBodiesStream guards against buffering large bodies in memory, and
// against losing a part of a request once its response has begun.
func TestLargeBodiesStream(t *testing.T) {
	const size = 64 << 20
	c := nodes.Start(t, clusterSpec("a"), echo)
	client := newClient(t)
	for _, length := range []int64{size, -1} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		body := io.LimitReader(strings.NewReader(strings.Repeat("0123456789abcdef", size/16)), size)
		req, _ := http.NewRequest(http.MethodPut, c.VMs[1].URL()+"/recall", body)
		req.ContentLength = length
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		runtime.ReadMemStats(&after)
		allocated := after.TotalAlloc - before.TotalAlloc - size
		if n != size || err != nil || allocated > size/4 {
			t.Errorf("content length %d: received %d of %d bytes, error %v, %s bytes allocated", length, n, size, err, fmt.Sprint(allocated))
		}
	}
}
