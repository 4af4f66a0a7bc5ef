package sidecar_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/testkit/endless"
)

const (
	// maxHeapGrowth is memory_mb of a machine. The test holds two nodes and the
	// callers in one process.
	maxHeapGrowth = 284 << 20
	// endlessCallers is how many callers get bytes without end at once.
	endlessCallers = 24
)

// endlessResponses are the beginnings of responses that do not end, each with the bytes
// that follow without end. %s stands for the attempt id.
func endlessResponses() map[string]struct{ first, chunk string } {
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nFilbertpier-Result: answered\r\n"
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nFilbertpier-Result: not-run\r\n"
	const whole = head + "Content-Length: 2\r\n\r\nok"
	return map[string]struct{ first, chunk string }{
		"status line":         {"HTTP/1.1 200 ", "x"},
		"no answer at all":    {"", "x"},
		"header line":         {head + "A: ", "x"},
		"header lines":        {head, "A: b\r\n"},
		"interim responses":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"interim headers":     {"HTTP/1.1 102 Processing\r\n", "A: b\r\n"},
		"earlier responses":   {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		"body with length":    {head + "Content-Length: 100000000000\r\n\r\n", "x"},
		"body without length": {head + "Connection: close\r\n\r\n", "x"},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		"chunk size":          {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {head + "Transfer-Encoding: chunked\r\n\r\n7;a=", "b"},
		"chunk extensions":    {head + "Transfer-Encoding: chunked\r\n\r\n", "1;a=" + strings.Repeat("b", 1000) + "\r\nx\r\n"},
		"trailer line":        {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\nA: ", "x"},
		"trailer lines":       {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n2\r\nok\r\n0\r\n", "A: b\r\n"},
		"after the response":  {whole, "x"},
		"further responses":   {whole, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		"refusal":             {notRun + "Content-Length: 100000000000\r\n\r\n", "x"},
	}
}

// Guards against keeping the bytes of a faulty upstream that do not end. It stands beside
// the callers' node or beside another one. The calls of others are served meanwhile.
func TestEndlessBytesOfAnUpstreamAreNotKept(t *testing.T) {
	for name, c := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			faulty := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(http.ErrAbortHandler)
				}
				defer func() { _ = conn.Close() }()
				endless.Write(conn, strings.ReplaceAll(c.first, "%s", r.Header.Get(headerNames.AttemptID)), c.chunk)
			}).start()
			other := f.add("b", "z1", respondAfter(0)).start()
			for _, v := range f.vms {
				await(t, "the nodes to be ready", v.ready)
				await(t, "the nodes to know the sound upstream", func() bool { return v.call("GET", "/other/x").status == http.StatusOK })
			}
			for _, entry := range []*vm{faulty, other} {
				checkEndlessCalls(t, entry, name)
			}
		})
	}
}

// Guards against keeping the bytes of another node that do not end.
func TestEndlessBytesOfANodeAreNotKept(t *testing.T) {
	for name, c := range endlessResponses() {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			entry := f.add("b", "z1", respondAfter(0)).start()
			faulty := f.add("a", "z1", respondAfter(0))
			endless.Listen(t, faulty.addr(2), headerNames.AttemptID, c.first, c.chunk)
			await(t, "the node to be ready", entry.ready)
			await(t, "the node to know the sound upstream", func() bool { return entry.call("GET", "/other/x").status == http.StatusOK })
			checkEndlessCalls(t, entry, name)
		})
	}
}

// checkEndlessCalls sends calls that are answered without end, checks what the process
// holds meanwhile, and that calls to a sound upstream are served.
func checkEndlessCalls(t *testing.T, entry *vm, name string) {
	t.Helper()
	sent, served := 0, 0
	grown := endless.PeakHeap(t, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		var callers sync.WaitGroup
		for range endlessCallers {
			callers.Go(func() {
				for ctx.Err() == nil {
					entry.discard(ctx, "/once/endless")
				}
			})
		}
		for ctx.Err() == nil {
			sent++
			if entry.call("GET", "/other/x").status == http.StatusOK {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		callers.Wait()
	})
	if grown > maxHeapGrowth {
		t.Errorf("%s, calls by %s: the heap grew by %d bytes, want at most %d", name, entry.id, grown, maxHeapGrowth)
	}
	if served != sent {
		t.Errorf("%s, calls by %s: %d of %d calls to a sound upstream served, want all", name, entry.id, served, sent)
	}
	t.Logf("%s, calls by %s: the heap grew by %d MiB", name, entry.id, grown>>20)
}

// discard sends a call and reads the response without keeping it, until ctx ends.
func (v *vm) discard(ctx context.Context, path string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.addr(1)+path, nil)
	if err != nil {
		return
	}
	req.Host = "h"
	req.Header.Set(headerNames.AttemptID, "7")
	req.Header.Set(headerNames.TimeLeft, "2500")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// Guards against a call that is held until its deadline because the body of another
// node's refusal does not end: it is tried elsewhere or refused at once.
func TestEndlessRefusalOfANodeDoesNotHoldTheCall(t *testing.T) {
	refusal := endlessResponses()["refusal"]
	f := newFleet(t)
	entry := f.add("b", "z1", respondAfter(0)).start()
	faulty := f.add("a", "z1", respondAfter(0))
	endless.Listen(t, faulty.addr(2), headerNames.AttemptID, refusal.first, refusal.chunk)
	await(t, "the node to be ready", entry.ready)
	await(t, "the node to know the sound upstream", func() bool { return entry.call("GET", "/other/x").status == http.StatusOK })
	began := time.Now()
	if got := entry.call("POST", "/once/x"); got.status != http.StatusServiceUnavailable || time.Since(began) > time.Second {
		t.Errorf("got %+v after %s, want status 503 long before the deadline of 2.5 s", got, time.Since(began))
	}
}
