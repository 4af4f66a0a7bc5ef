package sidecar_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// cutAt returns a handler that writes text, in which %s stands for the id of the
// attempt, in place of a whole response and closes the connection.
func cutAt(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", r.Header.Get(headerNames.AttemptID)))
	}
}

// Guards against a success that is framed as whole for a response that the upstream
// stopped sending in its head or body, and against a second run of the call. The
// upstream is beside the caller's node or beside another one, and its connection is
// new or has served a call before.
func TestCutResponseIsNoSuccess(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n"
	cases := map[string]string{
		"status line":    "HTTP/1.1 20",
		"whole status":   "HTTP/1.1 200 OK",
		"header name":    "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Le",
		"header value":   head + "Content-Length: 1",
		"end of head":    head + "Content-Length: 12\r\n\r",
		"head only":      head + "Content-Length: 12\r\n\r\n",
		"half of length": head + "Content-Length: 12\r\n\r\nhello,",
		"no chunk":       head + "Transfer-Encoding: chunked\r\n\r\n",
		"chunk size":     head + "Transfer-Encoding: chunked\r\n\r\n1",
		"chunk":          head + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello,",
		"last chunk":     head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
		"trailer":        head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n5\r\nhello\r\n0\r\nT: a",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/whole") {
					respondAfter(0)(w, r)
					return
				}
				cutAt(text)(w, r)
			}
			local := f.add("a", "z1", handler).start()
			remote := f.add("b", "z1", respondAfter(0)).start()
			for _, v := range f.vms {
				await(t, "the nodes to be ready", v.ready)
			}
			await(t, "both nodes to know the upstream", func() bool {
				return remote.call("GET", "/safe/whole").status == http.StatusOK
			})
			for _, entry := range f.vms {
				for _, warm := range []bool{false, true} {
					for _, method := range []string{"POST", "GET"} {
						checkCutCall(t, entry, local, method, warm)
					}
				}
			}
		})
	}
}

// checkCutCall sends a call whose response is cut, on a connection of the upstream
// that has served a call before if warm is set.
func checkCutCall(t *testing.T, entry, upstream *vm, method string, warm bool) {
	t.Helper()
	path := "/once/cut"
	if method == "GET" {
		path = "/safe/cut"
	}
	if warm {
		if got := entry.call("GET", "/safe/whole"); got.status != http.StatusOK {
			t.Fatalf("call before: got %+v, want status 200", got)
		}
	}
	before := upstream.runs.Load()
	got := entry.call(method, path)
	runs := upstream.runs.Load() - before
	what := fmt.Sprintf("%s by %s, warm %t", method, entry.id, warm)
	if got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("%s: got %+v after %d runs, want status 502", what, got, runs)
	}
	if method == "POST" && runs != 1 {
		t.Errorf("%s: %d runs, want 1", what, runs)
	}
}
