package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// steadyUpload is a request body that ends only when it is stopped. It delivers a piece
// each millisecond.
type steadyUpload struct{ stopped chan struct{} }

func (u steadyUpload) Read(p []byte) (int, error) {
	select {
	case <-u.stopped:
		return 0, io.EOF
	case <-time.After(time.Millisecond):
		return copy(p, "piece"), nil
	}
}

// startEarlyServer answers a request as soon as its head has arrived, without a length,
// and then ends the connection with end, which is called once the client has the head of
// the response.
func startEarlyServer(t *testing.T, end func(c *net.TCPConn)) (addr string, headRead chan<- struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	read := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\npart")
		<-read
		end(c.(*net.TCPConn))
	}()
	return l.Addr().String(), read
}

// readEarlyResponse sends an upload to a server of startEarlyServer and returns what the
// client reads of the body 50 ms after the server has ended the connection.
func readEarlyResponse(t *testing.T, end func(c *net.TCPConn)) (string, error) {
	t.Helper()
	ended := make(chan struct{})
	addr, headRead := startEarlyServer(t, func(c *net.TCPConn) {
		end(c)
		close(ended)
	})
	p := newTestPool()
	defer p.Close()
	stopped := make(chan struct{})
	defer close(stopped)
	resp, err := p.Do(t.Context(), addr, &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, BodyTail: steadyUpload{stopped}, Length: -1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	close(headRead)
	<-ended
	time.Sleep(50 * time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against taking a body without a length for complete whose connection the server
// has reset during the upload: the kernel reports the reset only once, to the write of
// the request body, and the read of the response then ends like that of a whole body.
func TestBodyWithoutLengthResetDuringUploadIsBroken(t *testing.T) {
	body, err := readEarlyResponse(t, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	var broken *BrokenError
	if !errors.As(err, &broken) {
		t.Errorf("got body %q and error %v, want a *BrokenError", body, err)
	}
}

// Guards against the loss of a body without a length that the server has sent in full: it
// closed the connection in order, and only then refused the rest of the upload.
func TestBodyWithoutLengthClosedDuringUploadIsWhole(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"the server reads on": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, c) }()
		},
		"the server reads no more": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"the server resets after the end": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			if body, err := readEarlyResponse(t, end); body != "part" || err != nil {
				t.Errorf("got body %q and error %v, want the whole body", body, err)
			}
		})
	}
}

// Guards against waiting for the rest of an upload that the server does not read, once a
// body without a length has ended.
func TestEndOfBodyWithoutLengthDoesNotWaitForTheUpload(t *testing.T) {
	addr, headRead := startEarlyServer(t, func(c *net.TCPConn) { _ = c.CloseWrite() })
	p := newTestPool()
	defer p.Close()
	const size = 64 << 20
	resp, err := p.Do(t.Context(), addr, &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, BodyTail: strings.NewReader(strings.Repeat("x", size)), Length: size})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	close(headRead)
	type outcome struct {
		body string
		err  error
	}
	read := make(chan outcome, 1)
	go func() {
		body, err := io.ReadAll(resp.Body)
		read <- outcome{string(body), err}
	}()
	select {
	case got := <-read:
		if got.body != "part" || got.err != nil {
			t.Errorf("got body %q and error %v, want the whole body", got.body, got.err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the read of the body did not end within 5 s")
	}
}
