package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// refusingServer refuses the requests under /refuse and closes their connection: the
// refusal goes on once goOn is closed, and refused is closed once it has asked for the
// end of the connection. Other requests receive from finish before they are answered.
// started receives the path of each request, decided once it is known whether its response
// closes the connection.
type refusingServer struct {
	started       chan string
	decided       chan string
	goOn, refused chan struct{}
	finish        chan struct{}
}

func startRefusingServer(t *testing.T) (*refusingServer, net.Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &refusingServer{started: make(chan string, 10), decided: make(chan string, 10), goOn: make(chan struct{}), refused: make(chan struct{}), finish: make(chan struct{})}
	serve(t, NewListener(inner, func(Cut) {}), s.serve)
	return s, dial(t, inner.Addr().String())
}

func (s *refusingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.started <- r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/refuse") {
		<-s.goOn
		BeginClose(r.Context())
		close(s.refused)
	}
	<-s.finish
	if ClosesAfter(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	s.decided <- r.URL.Path
	_, _ = io.WriteString(w, r.URL.Path)
}

func (s *refusingServer) awaitStarted(t *testing.T, n int) {
	t.Helper()
	for range n {
		awaitStart(t, s.started)
	}
}

// awaitStart returns the path of the next request that a server reports.
func awaitStart(t *testing.T, started <-chan string) string {
	t.Helper()
	select {
	case path := <-started:
		return path
	case <-time.After(5 * time.Second):
		t.Fatal("timed out waiting for a request to start")
		return ""
	}
}

// expectResponses reads the responses to paths, of which only the last one may close the
// connection, and then the end of the connection.
func expectResponses(t *testing.T, c net.Conn, paths ...string) {
	t.Helper()
	r := bufio.NewReader(c)
	for i, path := range paths {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("no response to %s: %v", path, err)
		}
		body, err := io.ReadAll(resp.Body)
		if string(body) != path || err != nil {
			t.Errorf("got response %q with error %v, want that to %s", body, err, path)
		}
		if last := i == len(paths)-1; resp.Close != last {
			t.Errorf("the response to %s closes the connection: %t, want %t", path, resp.Close, last)
		}
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("got error %v behind the response that closes the connection, want EOF", err)
	}
}

// Guards against a refusal that closes the connection for requests behind it that are
// being served: their clients get no answer although they have run.
func TestCloseComesAfterRequestsThatAreServed(t *testing.T) {
	s, c := startRefusingServer(t)
	_, _ = io.WriteString(c, get("/1")+get("/refuse")+get("/2")+get("/3"))
	s.awaitStarted(t, 4)
	close(s.goOn)
	<-s.refused
	close(s.finish)
	expectResponses(t, c, "/1", "/refuse", "/2", "/3")
}

// Guards against requests that are read and served behind the response that closes their
// connection.
func TestNothingIsServedBehindTheLastResponse(t *testing.T) {
	s, c := startRefusingServer(t)
	_, _ = io.WriteString(c, get("/1")+get("/refuse"))
	s.awaitStarted(t, 2)
	close(s.goOn)
	<-s.refused
	_, _ = io.WriteString(c, get("/2"))
	select {
	case path := <-s.started:
		t.Errorf("%s is served behind the response that closes the connection", path)
	case <-time.After(100 * time.Millisecond):
	}
	close(s.finish)
	expectResponses(t, c, "/1", "/refuse")
}

// Guards against a connection that stays open when the last response on it was complete
// before an earlier one asked for its end: the next response must close it.
func TestCloseIsMadeUpForByTheNextResponse(t *testing.T) {
	s, c := startRefusingServer(t)
	_, _ = io.WriteString(c, get("/refuse")+get("/1"))
	s.awaitStarted(t, 2)
	s.finish <- struct{}{}
	awaitStart(t, s.decided)
	// The response to /1 says nothing of a close now, and waits for its turn.
	close(s.goOn)
	close(s.finish)
	r := bufio.NewReader(c)
	for _, path := range []string{"/refuse", "/1"} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.Close {
			t.Fatalf("response to %s: %v, error %v", path, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_, _ = io.WriteString(c, get("/2"))
	expectResponses(t, c, "/2")
}
