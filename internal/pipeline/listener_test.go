package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// failingListener fails once before each connection.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

type acceptError struct{}

func (acceptError) Error() string   { return "no file descriptors" }
func (acceptError) Timeout() bool   { return false }
func (acceptError) Temporary() bool { return true }

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, acceptError{}
	}
	defer l.failed.Store(false)
	return l.Listener.Accept()
}

// Guards against a listener that accepts nothing any more after a temporary failure, such
// as a lack of file descriptors.
func TestListenerGoesOnAfterAFailure(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &http.Server{ConnContext: ConnContext, ConnState: ConnState, Handler: http.HandlerFunc((&server{}).serve)}
	go func() { _ = h.Serve(NewListener(&failingListener{Listener: inner}, func(Cut) {})) }()
	t.Cleanup(func() { _ = h.Close() })
	for range 3 {
		c := dial(t, inner.Addr().String())
		_, _ = io.WriteString(c, get("/x"))
		if got, err := readResponse(bufio.NewReader(c)); got != "GET /x " || err != nil {
			t.Fatalf("got response %q and error %v", got, err)
		}
	}
}
