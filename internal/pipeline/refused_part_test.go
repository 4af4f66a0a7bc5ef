package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// refusingListener closes the third connection that it accepts, as a listener does that
// has no room for it.
type refusingListener struct {
	*Listener
	accepted atomic.Int64
}

func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.accepted.Add(1) != 3 {
			return c, err
		}
		_ = c.Close()
	}
}

// Guards against a request that is served although its connection ends with an earlier
// one that found no room: its client gets no answer.
func TestNothingIsServedBehindARefusedPart(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started, release := make(chan string, 10), make(chan struct{})
	l := &refusingListener{Listener: NewListener(inner, func(c Cut) { t.Errorf("cut: %+v", c) })}
	serve(t, l, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, inner.Addr().String())
	_, _ = io.WriteString(c, get("/1")+get("/2")+get("/3")+get("/4")+get("/5"))
	for range 2 {
		if path := awaitStart(t, started); path != "/1" && path != "/2" {
			t.Errorf("%s is served behind the refused request", path)
		}
	}
	select {
	case path := <-started:
		t.Errorf("%s is served behind the refused request", path)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	r := bufio.NewReader(c)
	for _, path := range []string{"/1", "/2"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no response to %s: %v", path, err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != path || err != nil {
			t.Errorf("got response %q with error %v, want that to %s", body, err, path)
		}
	}
	if resp, err := http.ReadResponse(r, nil); err == nil {
		t.Errorf("got response %v behind the refused request", resp)
	}
}
