package sidecar_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkForwardedCall measures a call that is forwarded from one node to
// another, with its caller and its upstream in the same process.
func BenchmarkForwardedCall(b *testing.B) {
	f := newFleet(b)
	entry := f.add("b", "z1", respondAfter(0)).start()
	target := f.add("a", "z1", respondAfter(0)).start()
	await(b, "both nodes to be ready", func() bool { return entry.ready() && target.ready() })
	client := &http.Client{Transport: &http.Transport{}}
	b.ReportAllocs()
	for i := range b.N {
		req, err := http.NewRequest(http.MethodGet, "http://"+entry.addr(1)+"/safe/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set(headerNames.AttemptID, "b"+strconv.Itoa(i))
		resp, err := client.Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
