package sidecar_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a response that looks complete to a caller of HTTP/1.0, which takes the
// end of the connection for its end, although the upstream broke it off.
func TestCutResponseIsNoSuccessForACallerOfHTTP10(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunks := head + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", 1500)
	f := newFleet(t)
	f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/cut") {
			cutAt(chunks)(w, r)
			return
		}
		cutAt(chunks+"0\r\n\r\n")(w, r)
	}).start()
	f.add("b", "z1", respondAfter(0)).start()
	f.awaitServing("/safe/whole")
	for _, entry := range f.vms {
		for range 5 {
			status, n, err := callHTTP10(t, entry, "/safe/cut")
			if status == http.StatusOK && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("by %s: got status 200 and a body of %d bytes that ends with %v, want a reset", entry.id, n, err)
			}
			if status, n, err := callHTTP10(t, entry, "/safe/whole"); status != http.StatusOK || n != 1500<<10 || err != nil {
				t.Errorf("by %s: got status %d and a body of %d bytes that ends with %v, want a whole one", entry.id, status, n, err)
			}
		}
	}
}

// callHTTP10 sends a call by HTTP/1.0 and returns the status, the length of the body and
// how the read of the body ended.
func callHTTP10(t *testing.T, entry *vm, path string) (status, length int, err error) {
	t.Helper()
	c := entry.newCaller(t)
	_, _ = fmt.Fprintf(c.conn, "GET %s HTTP/1.0\r\nHost: h\r\nId: %d\r\nLeft: 2500\r\n\r\n", path, lastAttemptID.Add(1))
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, int(n), err
}
