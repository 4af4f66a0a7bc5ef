package sidecar_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resetDuringUpload answers a long request before its body is in, without a length, and
// resets the connection 20 ms later. Short requests are served.
func resetDuringUpload(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			respondAfter(0)(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\n%s", r.Header.Get(headerNames.AttemptID), part)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// Guards against a success that looks complete although the upstream, which gave no
// length, reset the connection before the end of its response while the request body was
// being sent. It stands beside the caller's node or beside another one.
func TestResponseResetDuringUploadIsNoSuccess(t *testing.T) {
	uploads := map[string]slowUpload{
		"length, streamed": {length: 1_900_000, atOnce: 1_060_000, piece: 5_000, gap: time.Millisecond},
		"chunks, streamed": {length: 1_900_000, atOnce: 1_060_000, piece: 5_000, gap: time.Millisecond, chunked: true},
		"length, buffered": {length: 1_040_000, atOnce: 1_040_000},
	}
	parts := map[string]string{"part that fits the buffer": "part", "long part": strings.Repeat("part", 400_000)}
	for uploadName, upload := range uploads {
		for partName, part := range parts {
			t.Run(uploadName+", "+partName, func(t *testing.T) {
				f := newFleet(t)
				local := f.add("a", "z1", resetDuringUpload(part)).start()
				remote := f.add("b", "z1", respondAfter(0)).start()
				f.awaitServing("/safe/x")
				for _, entry := range []*vm{local, remote} {
					for range 8 {
						before := local.runs.Load()
						got := upload.response(entry)
						if got.err == nil && got.status < http.StatusInternalServerError {
							t.Errorf("by %s: got status %d with a body of %d bytes that looks complete", entry.id, got.status, len(got.body))
						}
						if runs := local.runs.Load() - before; runs != 1 {
							t.Errorf("by %s: %d runs, want 1", entry.id, runs)
						}
						if got := entry.call("POST", "/once/short"); got.status != http.StatusOK {
							t.Errorf("by %s: the next call got %+v, want status 200", entry.id, got)
						}
					}
				}
			})
		}
	}
}
