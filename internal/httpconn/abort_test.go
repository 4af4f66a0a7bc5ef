package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against a request that stays on its way after its call has ended: a server
// that reads it later, or only a part of it, would run the call.
func TestAbortedExchangeDropsWhatIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := NewPool(Options{IdleTimeout: time.Second, MaxIdle: 4, DialTimeout: time.Second})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := p.Do(ctx, l.Addr().String(), &Request{
			Method: "POST", Target: "/", Host: "h", Header: http.Header{}, BodyTail: strings.NewReader(strings.Repeat("x", 32<<20)), Length: 32 << 20,
		})
		done <- err
	}()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	// The socket buffers are full by then.
	time.Sleep(200 * time.Millisecond)
	cancel()
	var broken *BrokenError
	if err := <-done; !errors.As(err, &broken) {
		t.Errorf("got %v, want a *BrokenError", err)
	}
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, server); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server's read ended with %v, want a reset", err)
	}
}

// Guards against keeping a connection on which the server answered without reading the
// body: bytes of the body would be taken for the next request.
func TestConnectionIsClosedIfTheBodyWasNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	answered := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			answered <- c
		}
	}()
	p := NewPool(Options{IdleTimeout: time.Minute, MaxIdle: 4, DialTimeout: time.Second})
	defer p.Close()
	resp, err := p.Do(t.Context(), l.Addr().String(), &Request{
		Method: "POST", Target: "/", Host: "h", Header: http.Header{}, BodyTail: strings.NewReader(strings.Repeat("x", 32<<20)), Length: 32 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if err := resp.Discard(); err != nil || time.Since(began) > bodySettleTime {
		t.Errorf("reading the response took %s, error %v, want no wait for the body", time.Since(began), err)
	}
	server := <-answered
	defer func() { _ = server.Close() }()
	// A server that reads the body in time may keep the connection.
	time.Sleep(4 * bodySettleTime)
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, server); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection is still open after 5 s")
	}
}

// Guards against returning a connection to the pool although the body was shorter than
// announced: the server takes the next request for the rest of it.
func TestConnectionIsClosedIfTheBodyEndsEarly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	p := NewPool(Options{IdleTimeout: 5 * time.Second, MaxIdle: 4, DialTimeout: time.Second})
	defer p.Close()
	received := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		all, _ := io.ReadAll(c)
		received <- all
	}()
	short := &Request{Method: "POST", Target: "/short", Host: "h", Header: http.Header{}, BodyTail: strings.NewReader("abc"), Length: 10}
	resp, err := p.Do(t.Context(), l.Addr().String(), short)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Discard(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	// Nobody accepts a second connection.
	_, _ = p.Do(ctx, l.Addr().String(), &Request{Method: "GET", Target: "/next", Host: "h", Header: http.Header{}})
	if all := <-received; strings.Contains(string(all), "/next") || !strings.HasSuffix(string(all), "abc") {
		t.Errorf("the server received %q, want the short request only", all)
	}
}
