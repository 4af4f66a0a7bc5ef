package sidecar_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against calls that a caller sends ahead on one connection and that wait for
// each other, and against one that may run only once and runs before the responses ahead
// of it are complete: callers send again what stands behind a response that closes the
// connection.
func TestCallsSentAheadRunTogetherUnlessTheyMayRunOnlyOnce(t *testing.T) {
	var running, most, onceEarly atomic.Int64
	f := newFleet(t)
	f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		most.Store(max(most.Load(), n))
		if strings.HasPrefix(r.URL.Path, "/once/") && n > 1 {
			onceEarly.Add(1)
		}
		respondAfter(200*time.Millisecond)(w, r)
	}).start()
	entry := f.add("b", "z1", respondAfter(0)).start()
	f.awaitServing("/safe/x")
	most.Store(0)
	c := entry.newCaller(t)
	for i, path := range []string{"/safe/1", "/safe/2", "/safe/3", "/once/4"} {
		_, _ = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\nId: ahead%d\r\nLeft: 2500\r\n\r\n", path, i)
	}
	for _, path := range []string{"/safe/1", "/safe/2", "/safe/3", "/once/4"} {
		head := c.receive()
		body := make([]byte, len("done ")+len(path))
		_, err := io.ReadFull(c.conn, body)
		if !strings.HasPrefix(head, "HTTP/1.1 200") || string(body) != "done "+path || err != nil {
			t.Fatalf("got response %q with body %q and error %v, want that to %s", head, body, err, path)
		}
	}
	if most.Load() < 3 {
		t.Errorf("at most %d of 3 calls ran together", most.Load())
	}
	if onceEarly.Load() > 0 {
		t.Error("a call that may run only once ran beside those ahead of it")
	}
}
