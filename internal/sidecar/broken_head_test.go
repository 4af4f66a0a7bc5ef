package sidecar_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/testkit/brokenhead"
)

// brokenHeadFields are the fields of a response that an upstream, or another node, would
// send for a call.
const brokenHeadFields = "Id: %s\r\nSeal: s\r\nFilbertpier-Result: answered\r\n"

// brokenHeads returns responses whose heads are broken.
func brokenHeads() map[string]string {
	return brokenhead.All(brokenHeadFields, "body")
}

// brokenHeadHandler answers calls whose path ends with /broken with text and serves others.
func brokenHeadHandler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/broken") {
			respondAfter(0)(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", r.Header.Get(headerNames.AttemptID)))
		// The upstream leaves the connection open.
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Guards against a response with a broken head that its caller gets as an answer, or that
// ends the connection for the calls behind it. The upstream stands beside the caller's
// node or beside another one.
func TestBrokenHeadOfAnUpstreamIsABadGateway(t *testing.T) {
	for name, text := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			upstream := f.add("a", "z1", brokenHeadHandler(text)).start()
			remote := f.add("b", "z1", respondAfter(0)).start()
			f.awaitServing("/safe/x")
			for _, entry := range []*vm{upstream, remote} {
				checkBrokenHead(t, entry, upstream)
			}
		})
	}
}

// Guards against a second run of a call on the upstream whose response had an invalid
// head on a kept connection, as if the upstream had closed that connection while it was
// idle.
func TestCallWithABrokenHeadIsNotResent(t *testing.T) {
	names := brokenhead.FieldNames(brokenHeadFields, "body")
	for name, text := range map[string]string{
		"status":      brokenhead.Statuses(brokenHeadFields, "body")["status 000"],
		"field name":  names["blank in a name"],
		"folded line": names["blank before a name"],
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			upstream := f.add("a", "z1", brokenHeadHandler(text)).start()
			f.awaitServing("/safe/x")
			before := upstream.runs.Load()
			got := upstream.call("GET", "/safe/broken")
			if runs := upstream.runs.Load() - before; got.status != http.StatusBadGateway || runs != 1 {
				t.Errorf("got %+v after %d runs, want status 502 after 1", got, runs)
			}
		})
	}
}

// checkBrokenHead sends calls whose response has a broken head, between others on one
// connection.
func checkBrokenHead(t *testing.T, entry, upstream *vm) {
	t.Helper()
	began, before := time.Now(), upstream.runs.Load()
	if got := entry.call("POST", "/once/broken"); got.err != nil || got.status != http.StatusBadGateway || time.Since(began) > 2*time.Second {
		t.Errorf("by %s: got %+v after %s, want status 502 before the deadline", entry.id, got, time.Since(began))
	}
	if runs := upstream.runs.Load() - before; runs != 1 {
		t.Errorf("by %s: %d runs of a call that may run only once, want 1", entry.id, runs)
	}
	c := entry.newCaller(t)
	calls := []aheadCall{
		{path: "/safe/1", left: 2 * time.Second, want: http.StatusOK},
		{path: "/safe/broken", left: 2 * time.Second, want: http.StatusBadGateway},
		{path: "/once/broken", left: 2 * time.Second, want: http.StatusBadGateway},
		{path: "/safe/2", left: 2 * time.Second, want: http.StatusOK},
		{path: "/once/3", left: 2 * time.Second, want: http.StatusOK},
	}
	c.sendAhead(calls...)
	if c.expectAll(calls...) {
		t.Errorf("by %s: the connection was closed", entry.id)
	}
}

// Guards against a response with a broken head that came from another node, or from the
// process that has its address now.
func TestBrokenHeadOfANodeIsABadGateway(t *testing.T) {
	for name, text := range brokenHeads() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			entry := f.add("b", "z1", respondAfter(0)).start()
			faulty := f.add("a", "z1", respondAfter(0))
			brokenhead.Listen(t, faulty.addr(2), headerNames.AttemptID, text)
			await(t, "the node to be ready", entry.ready)
			await(t, "the node to know the sound upstream", func() bool { return entry.call("GET", "/other/x").status == http.StatusOK })
			if got := entry.call("POST", "/once/x"); got.err != nil || got.status != http.StatusBadGateway {
				t.Errorf("got %+v, want status 502", got)
			}
			if got := entry.call("GET", "/other/x"); got.status != http.StatusOK {
				t.Errorf("a call to a sound upstream got %+v, want status 200", got)
			}
		})
	}
}
