package dataplane_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/testkit/endless"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// Guards against keeping the bytes of a faulty upstream that do not end. The calls of
// others are served meanwhile.
func TestEndlessBytesOfAnUpstreamAreNotKept(t *testing.T) {
	const (
		// maxHeapGrowth is what a node may use for control.
		maxHeapGrowth = 64 << 20
		callers       = 24
		head          = "HTTP/1.1 200 OK\r\n"
	)
	cases := map[string]struct{ first, chunk string }{
		"status line":        {"HTTP/1.1 200 ", "x"},
		"header line":        {head + "A: ", "x"},
		"header lines":       {head, "A: b\r\n"},
		"interim responses":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim headers":    {"HTTP/1.1 102 Processing\r\n", "A: b\r\n"},
		"body with length":   {head + "Content-Length: 100000000000\r\n\r\n", "x"},
		"chunks":             {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"chunk extension":    {head + "Transfer-Encoding: chunked\r\n\r\n7;a=", "b"},
		"trailer lines":      {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\n", "A: b\r\n"},
		"after the response": {head + "Content-Length: 2\r\n\r\nok", "x"},
	}
	s := clusterSpec("a", "b")
	s.Services = []string{"recall"}
	cluster := nodes.Start(t, s, func(string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			c, isEndless := cases[string(body)]
			if !isEndless {
				_, _ = w.Write([]byte("sound"))
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			defer func() { _ = conn.Close() }()
			endless.Write(conn, c.first, c.chunk)
		})
	})
	client := newClient(t)
	for name := range cases {
		t.Run(name, func(t *testing.T) {
			grown := endless.PeakHeap(t, func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
				defer cancel()
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						for ctx.Err() == nil {
							discard(ctx, cluster.VMs[i%2].URL()+"/recall", name)
						}
					})
				}
				wg.Wait()
			})
			if grown > maxHeapGrowth {
				t.Errorf("the heap grew by %d bytes, want at most %d", grown, maxHeapGrowth)
			}
			t.Logf("%s: the heap grew by %d MiB", name, grown>>20)
			awaitSound(t, client, cluster)
		})
	}
}

// awaitSound waits until a sound call is served. A node that was short of processor time
// joins the fleet again before it serves, and says so in its refusals.
func awaitSound(t *testing.T, client *http.Client, cluster *nodes.Cluster) {
	t.Helper()
	var last response
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if last = send(client, cluster.VMs[0].URL(), http.MethodPut, "/recall", "sound call"); last.status == http.StatusOK {
			return
		}
	}
	t.Errorf("a sound call afterwards: %+v, want status 200", last)
}

// discard sends a call that is answered without end and reads the response without
// keeping it, until ctx ends.
func discard(ctx context.Context, url, body string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 32<<10)
	for {
		if _, err := resp.Body.Read(buf); err != nil {
			return
		}
	}
}
