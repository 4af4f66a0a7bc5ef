package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// startEndlessServer accepts connections, writes first and then chunk until the
// client closes, and reports how many bytes it wrote.
func startEndlessServer(t *testing.T, first, chunk string) (addr string, written <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := io.ReadAtLeast(c, make([]byte, 1024), 1); err != nil {
			return
		}
		total, _ := io.WriteString(c, first)
		raw := []byte(chunk)
		for {
			n, err := c.Write(raw)
			total += n
			if err != nil {
				done <- total
				return
			}
		}
	}()
	return l.Addr().String(), done
}

// Guards against reading a head, or responses to earlier calls, without end.
func TestEndlessResponseEndsTheExchange(t *testing.T) {
	const line = 64 << 10
	cases := map[string]struct{ first, chunk string }{
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", line)},
		"no answer at all":  {"", strings.Repeat("x", line)},
		"one header line":   {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", line)},
		"header lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 64)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		"earlier response":  {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", line) + "\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, written := startEndlessServer(t, c.first, c.chunk)
			p := newTestPool()
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := p.Do(ctx, addr, &Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "7"})
			runtime.ReadMemStats(&after)
			var broken *BrokenError
			if !errors.As(err, &broken) || ctx.Err() != nil {
				t.Fatalf("got %v, want a *BrokenError long before the deadline", err)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > 4<<20 {
				t.Errorf("the exchange allocated %d bytes, want at most 4 MiB", n)
			}
			if n := <-written; n > 16<<20 {
				t.Errorf("the server could write %d bytes, want at most 16 MiB", n)
			}
		})
	}
}
