package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a connection that ends without notice after an upload whose response
// came before its end: the next call on it gets no response.
func TestCallBehindAnUploadAnsweredEarlyIsServed(t *testing.T) {
	f := newFleet(t)
	local := f.add("a", "z1", resetDuringUpload("part")).start()
	remote := f.add("b", "z1", respondAfter(0)).start()
	f.awaitServing("/safe/x")
	for _, chunked := range []bool{true, false} {
		upload := slowUpload{length: 1_200_000, atOnce: 1_060_000, piece: 7_000, gap: time.Millisecond, chunked: chunked}
		for _, entry := range []*vm{local, remote} {
			for range 20 {
				c := entry.newCaller(t)
				var sent sync.WaitGroup
				sent.Go(func() {
					upload.send(c.conn, lastAttemptID.Add(1))
					_, _ = fmt.Fprintf(c.conn, "GET /safe/next HTTP/1.1\r\nHost: h\r\nId: %d\r\nLeft: 2500\r\n\r\n", lastAttemptID.Add(1))
				})
				_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				r := bufio.NewReader(c.conn)
				first, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Errorf("by %s, chunks %t: no response to the upload: %v", entry.id, chunked, err)
					continue
				}
				_, _ = io.Copy(io.Discard, first.Body)
				if next, err := http.ReadResponse(r, nil); !first.Close && (err != nil || next.StatusCode != http.StatusOK) {
					t.Errorf("by %s, chunks %t: after status %d the next call got %+v and error %v, want status 200", entry.id, chunked, first.StatusCode, next, err)
				}
				sent.Wait()
			}
		}
	}
}
