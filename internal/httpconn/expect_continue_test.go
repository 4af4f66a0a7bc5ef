package httpconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func sendHeld(p *Pool, addr, target, body string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &Request{
		Method: "POST", Target: target, Host: "h", Header: http.Header{},
		Body: []byte(body), Length: int64(len(body)), ExpectContinue: true,
	})
	if err != nil {
		return nil, err
	}
	return resp, resp.Discard()
}

// awaitIdleConn waits until a connection is in the pool: it returns there only after
// the goroutine that wrote the request body has ended.
func awaitIdleConn(t *testing.T, p *Pool, addr string) {
	t.Helper()
	idle := func() bool {
		s := p.shard(addr)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.idle[addr]) > 0
	}
	for deadline := time.Now().Add(5 * time.Second); !idle(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection did not return to the pool within 5 s")
		}
	}
}

// Guards against sending the body of a request that the server refuses by its head,
// against losing the body of one that it accepts, and against using a connection
// again on which the body was not sent.
func TestHeldBodyIsSentOnceTheServerAsks(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		received.Add(n)
	}))
	defer server.Close()
	p := NewPool(Options{IdleTimeout: time.Second, MaxIdle: 4, DialTimeout: time.Second})
	defer p.Close()
	addr, body := server.Listener.Addr().String(), strings.Repeat("x", 60_000)
	for i, target := range []string{"/accept", "/refuse", "/accept", "/accept", "/refuse"} {
		want := http.StatusOK
		if target == "/refuse" {
			want = http.StatusServiceUnavailable
		}
		resp, err := sendHeld(p, addr, target, body)
		if err != nil || resp.Status != want {
			t.Fatalf("request %d to %s: %+v, error %v, want status %d", i, target, resp, err, want)
		}
		if want == http.StatusOK {
			awaitIdleConn(t, p, addr)
		}
	}
	if n := received.Load(); n != int64(3*len(body)) {
		t.Errorf("the server received %d bytes, want three whole bodies", n)
	}
	if n := p.DialCount(); n != 2 {
		t.Errorf("%d connections, want 2: one until the first refusal, one after it", n)
	}
}

// Guards against reporting that a request may have been processed whose body was
// never sent.
func TestHeldBodyIsReportedAsNotSent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	p := NewPool(Options{IdleTimeout: time.Second, MaxIdle: 4, DialTimeout: time.Second})
	defer p.Close()
	for target, held := range map[string]bool{"/abort": true, "/read": false} {
		_, err := sendHeld(p, server.Listener.Addr().String(), target, "body")
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.BodyHeld != held {
			t.Errorf("%s: error %+v, want a *BrokenError with BodyHeld %t", target, err, held)
		}
	}
}
