package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// startCuttingServer answers the last request on each connection with the first
// cut bytes of response and closes, or resets the connection. The requests before
// it get okResponse.
func startCuttingServer(t *testing.T, before int, response string, cut int, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		for n := range before + 1 {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			out := okResponse
			if n == before {
				out = response
			}
			out = strings.ReplaceAll(out, "%s", r.Header.Get("Id"))
			if n == before {
				out = out[:cut]
			}
			_, _ = c.Write([]byte(out))
		}
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return l.Addr().String()
}

// Guards against taking a response for complete that the server stopped sending at
// any byte of its status line, head, body, chunk sizes or trailer.
func TestResponseCutAnywhereIsBroken(t *testing.T) {
	responses := map[string]string{
		"with a length":        "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: a b\r\nContent-Length: 12\r\n\r\nhello, world",
		"empty":                "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: a b\r\nContent-Length: 0\r\n\r\n",
		"in chunks":            "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
		"with a trailer":       "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\nTrailer: Seal\r\n\r\n5\r\nhello\r\n0\r\nSeal: a b\r\n\r\n",
		"after an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
		"without a body":       "HTTP/1.1 204 No Content\r\nId: %s\r\nSeal: a b\r\n\r\n",
		"without a length":     "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: a b\r\n\r\n",
	}
	for name, response := range responses {
		length := len(strings.ReplaceAll(response, "%s", "1"))
		for _, before := range []int{0, 1} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d earlier, reset %t", name, before, reset), func(t *testing.T) {
					t.Parallel()
					for cut := range length {
						checkCut(t, before, response, cut, reset)
					}
				})
			}
		}
	}
}

// checkCut sends a request whose response is cut, after earlier requests on the
// same connection, and fails the test if the response looks complete.
func checkCut(t *testing.T, before int, response string, cut int, reset bool) {
	t.Helper()
	p := newTestPool()
	defer p.Close()
	addr := startCuttingServer(t, before, response, cut, reset)
	for range before {
		if body, err := send(p, addr, "0"); err != nil || body != "ok" {
			t.Fatalf("earlier request: body %q, error %v", body, err)
		}
	}
	body, err := send(p, addr, "1")
	var broken *BrokenError
	if !errors.As(err, &broken) {
		t.Errorf("cut after %d bytes: body %q, error %v, want a *BrokenError", cut, body, err)
	}
}

// Guards against taking a response for complete whose body has no length and whose
// connection is reset before the body has ended.
func TestResetBodyWithoutLengthIsBroken(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: a b\r\n\r\nhello"
	length := len(strings.ReplaceAll(response, "%s", "1"))
	for cut := length - len("hello"); cut <= length; cut++ {
		checkCut(t, 0, response, cut, true)
	}
}

// Guards against a body that ended early and then reads as if it had ended: a copy
// that continues after the error would pass it on as complete.
func TestReadAfterBrokenBodyFails(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 12\r\n\r\nhello"
	p := newTestPool()
	defer p.Close()
	addr := startCuttingServer(t, 0, response, len(response)-1, false)
	resp, err := p.Do(t.Context(), addr, &Request{Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, ID: "1"})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		var broken *BrokenError
		if _, err := io.ReadAll(resp.Body); !errors.As(err, &broken) {
			t.Errorf("read of a body that ended early: error %v, want a *BrokenError", err)
		}
		_ = resp.Body.Close()
	}
}
