package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startServer accepts one connection after another and answers the requests on
// each with raw responses, in which %s stands for the request's id.
func startServer(t *testing.T, conns ...[]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, responses := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, responses)
		}
	}()
	return l.Addr().String()
}

// serveConn sends one response per request. Then it waits for another request
// before it closes the connection, unless the last response contains
// "Connection: close".
func serveConn(c net.Conn, responses []string) {
	br := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(br)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "%s", r.Header.Get("Id")))
	}
	if len(responses) == 0 || !strings.Contains(responses[len(responses)-1], "Connection: close") {
		_, _ = http.ReadRequest(br)
	}
	_ = c.Close()
}

const okResponse = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

func newTestPool() *Pool {
	return NewPool(Options{IdleTimeout: time.Second, MaxIdle: 4, DialTimeout: time.Second, TCPUserTimeout: time.Second, EchoHeader: "Id"})
}

func send(p *Pool, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// Guards against taking an unsolicited second response for that of the next
// request.
func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad"
	addr := startServer(t, []string{okResponse + extra}, []string{okResponse})
	p := newTestPool()
	for _, id := range []string{"1", "2"} {
		time.Sleep(20 * time.Millisecond)
		if got, err := send(p, addr, id); err != nil || got != "ok" {
			t.Errorf("request %s: got %q, %v, want ok", id, got, err)
		}
	}
}

// Guards against taking a late response to an earlier request for that of the
// current request.
func TestStaleResponseIsSkipped(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 3\r\n\r\nbad"
	addr := startServer(t, []string{late + okResponse})
	if got, err := send(newTestPool(), addr, "1"); err != nil || got != "ok" {
		t.Errorf("got %q, %v, want ok", got, err)
	}
}

// Guards against reusing a connection whose response was truncated or contains
// "Connection: close", and against returning a truncated response as complete.
func TestTruncatedResponse(t *testing.T) {
	short := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 20\r\nConnection: close\r\n\r\nshort"
	addr := startServer(t, []string{short}, []string{okResponse})
	p := newTestPool()
	var b *BrokenError
	if got, err := send(p, addr, "1"); !errors.As(err, &b) {
		t.Errorf("truncated response: got %q, %v, want a *BrokenError", got, err)
	}
	if got, err := send(p, addr, "2"); err != nil || got != "ok" {
		t.Errorf("next request: got %q, %v, want ok", got, err)
	}
}

// Guards against using a connection that the server closed while it was idle.
// The X-Note header makes serveConn close the connection without notice to the
// client.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closing := strings.Replace(okResponse, "Content-Length", "X-Note: Connection: close\r\nContent-Length", 1)
	addr := startServer(t, []string{closing}, []string{okResponse})
	p := newTestPool()
	if _, err := send(p, addr, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if got, err := send(p, addr, "2"); err != nil || got != "ok" || p.DialCount() != 2 {
		t.Errorf("got %q, %v on %d connections, want ok on 2", got, err, p.DialCount())
	}
}

// Guards against reporting that a request may have been processed although no
// connection was opened.
func TestDialErrorMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	var d *DialError
	if _, err := send(newTestPool(), addr, "1"); !errors.As(err, &d) {
		t.Errorf("got %v, want a *DialError", err)
	}
}

// Guards against waiting for a response after the context was canceled, and
// against leaving the connection open.
func TestCanceledRequestClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err = newTestPool().Do(ctx, l.Addr().String(), &Request{Method: "GET", Target: "/", Host: "h"})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against sending a body of unknown length without chunked framing.
func TestBodyOfUnknownLength(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d", len(raw))
	})}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	p := NewPool(Options{IdleTimeout: time.Second, MaxIdle: 1, DialTimeout: time.Second})
	resp, err := p.Do(t.Context(), l.Addr().String(), &Request{
		Method: "POST", Target: "/", Host: "h", Body: []byte("begin"), BodyTail: strings.NewReader(strings.Repeat("x", 100_000)), Length: -1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if raw, _ := io.ReadAll(resp.Body); string(raw) != "100005" {
		t.Errorf("the server received %s bytes, want 100005", raw)
	}
}
