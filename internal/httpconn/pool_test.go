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

// script answers the requests of one connection after another with raw bytes.
// %s stands for the request's id.
func script(t *testing.T, conns ...[]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, answers := range conns {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go play(c, answers)
		}
	}()
	return l.Addr().String()
}

func play(c net.Conn, answers []string) {
	br := bufio.NewReader(c)
	for _, answer := range answers {
		r, err := http.ReadRequest(br)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%s", r.Header.Get("Id")))
	}
	if len(answers) == 0 || !strings.Contains(answers[len(answers)-1], "Connection: close") {
		_, _ = http.ReadRequest(br)
	}
	_ = c.Close()
}

const good = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

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

// Guards against taking a second, unasked answer for that of the next request.
func TestExtraAnswerBelongsToNoRequest(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad"
	addr := script(t, []string{good + extra}, []string{good})
	p := newTestPool()
	for _, id := range []string{"1", "2"} {
		time.Sleep(20 * time.Millisecond)
		if got, err := send(p, addr, id); err != nil || got != "ok" {
			t.Errorf("request %s: %q, %v", id, got, err)
		}
	}
}

// Guards against taking a late answer of an earlier request for the answer of
// the request that is under way.
func TestLateAnswerIsSkipped(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 3\r\n\r\nbad"
	addr := script(t, []string{late + good})
	if got, err := send(newTestPool(), addr, "1"); err != nil || got != "ok" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against a connection that is kept although its answer says close or
// ended early, and against calling a short answer complete.
func TestShortAnswer(t *testing.T) {
	short := "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 20\r\nConnection: close\r\n\r\nshort"
	addr := script(t, []string{short}, []string{good})
	p := newTestPool()
	var b *BrokenError
	if got, err := send(p, addr, "1"); !errors.As(err, &b) {
		t.Errorf("%q, %v", got, err)
	}
	if got, err := send(p, addr, "2"); err != nil || got != "ok" {
		t.Errorf("%q, %v", got, err)
	}
}

// Guards against using a connection that the other side closed while idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closing := strings.Replace(good, "Content-Length", "X-Note: Connection: close\r\nContent-Length", 1)
	addr := script(t, []string{closing}, []string{good})
	p := newTestPool()
	if _, err := send(p, addr, "1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if got, err := send(p, addr, "2"); err != nil || got != "ok" || p.Dialled() != 2 {
		t.Errorf("%q, %v, %d connections", got, err, p.Dialled())
	}
}

// Guards against telling that a request may have been processed although no
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
		t.Errorf("%v", err)
	}
}

// Guards against waiting for an answer after the caller has left.
func TestCanceledRequestEndsTheConnection(t *testing.T) {
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
		t.Errorf("%v", err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}

// Guards against a body of unknown length that is not framed.
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
		t.Errorf("got %s", raw)
	}
}
