package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
