package disconnect

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a wait that goes on after the client has left without sending its
// whole body: net/http does not read from the connection then.
func TestWatchSeesClientLeaveBeforeItsBodyIsRead(t *testing.T) {
	for _, unread := range []string{"", "a part"} {
		client, server := connect(t)
		if _, err := client.Write([]byte(unread)); err != nil {
			t.Fatal(err)
		}
		closed := make(chan struct{}, 1)
		w := NewWatch(server, func() { closed <- struct{}{} })
		select {
		case <-closed:
			t.Errorf("%q unread: the client counts as gone before it has left", unread)
		case <-time.After(50 * time.Millisecond):
		}
		_ = client.Close()
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Errorf("%q unread: the client's close was not seen within 5 s", unread)
		}
		w.Stop()
	}
}

// Guards against a watch that takes bytes of the body or spoils the connection for
// later reads, and against one that no longer watches after a read.
func TestBodyIsReadWholeWhileWatched(t *testing.T) {
	const half = 40_000
	client, server := connect(t)
	closed := make(chan struct{}, 1)
	w := NewWatch(server, func() { closed <- struct{}{} })
	body := w.Body(server.netConn)
	go func() {
		_, _ = client.Write([]byte(strings.Repeat("a", half)))
		time.Sleep(20 * time.Millisecond)
		_, _ = client.Write([]byte(strings.Repeat("b", half)))
	}()
	got := make([]byte, 2*half)
	if _, err := io.ReadFull(body, got); err != nil || string(got) != strings.Repeat("a", half)+strings.Repeat("b", half) {
		t.Fatalf("the body is not what the client sent, error %v", err)
	}
	_ = client.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the close after the read was not seen within 5 s")
	}
	w.Stop()
	if n, err := server.netConn.Read(got); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read after Stop: %d bytes, error %v, want the end of the stream", n, err)
	}
}

// Guards against a watch that blocks the HTTP server when it reads the remainder of a
// body, and against ending the request's context although the client stays.
func TestConnectionServesFurtherRequestsAfterAWatch(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch := NewWatch(FromContext(r.Context()), func() { t.Error("the client counts as gone") })
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, watch.Body(r.Body))
		}
		time.Sleep(10 * time.Millisecond)
		watch.Stop()
		if err := r.Context().Err(); err != nil {
			t.Errorf("%s: context ended: %v", r.URL.Path, err)
		}
	}))
	server.Config.ConnContext = ConnContext
	server.Start()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for _, path := range []string{"/read", "/skip", "/read", "/skip"} {
		resp, err := client.Post(server.URL+path, "", strings.NewReader(strings.Repeat("x", 100_000)))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against a failure at servers that do not pass connections on.
func TestWatchOfUnknownConnectionHasNoEffect(t *testing.T) {
	w := NewWatch(nil, func() { t.Error("a client whose connection is unknown counts as gone") })
	if got, err := io.ReadAll(w.Body(strings.NewReader("body"))); err != nil || string(got) != "body" {
		t.Errorf("read %q, error %v, want the body", got, err)
	}
	w.Stop()
}
