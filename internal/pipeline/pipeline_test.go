package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// server is an HTTP server behind a splitting listener.
type server struct {
	addr string
	// running and most count the requests that are served at the same time.
	running, most atomic.Int64
	canceled      atomic.Int64
	cuts          chan Cut
}

// startServer serves requests: /wait/N takes N milliseconds, /close closes the
// connection after the response, /turn waits for the requests before it, /abort aborts its
// response. Each response repeats the method, the path and the body.
func startServer(t testing.TB) *server {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: inner.Addr().String(), cuts: make(chan Cut, 100)}
	serve(t, NewListener(inner, func(c Cut) { s.cuts <- c }), s.serve)
	return s
}

// serve serves connections of a listener until the test ends.
func serve(t testing.TB, l net.Listener, h http.HandlerFunc) *http.Server {
	out := &http.Server{ConnContext: ConnContext, ConnState: ConnState, ReadHeaderTimeout: 5 * time.Second, Handler: h}
	go func() { _ = out.Serve(l) }()
	t.Cleanup(func() { _ = out.Close() })
	return out
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for most := s.most.Load(); n > most && !s.most.CompareAndSwap(most, n); most = s.most.Load() {
	}
	var ms int
	switch _, _ = fmt.Sscanf(r.URL.Path, "/wait/%d", &ms); {
	case strings.HasPrefix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	case strings.HasPrefix(r.URL.Path, "/turn"):
		AwaitTurn(r.Context())
	case strings.HasPrefix(r.URL.Path, "/abort"):
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
		s.canceled.Add(1)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL.Path, body, strings.Repeat("x", 5000))
}

func dial(t testing.TB, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// readResponse returns the beginning of the body of the next response.
func readResponse(r *bufio.Reader) (string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	text, _, _ := strings.Cut(string(body), " x")
	return text, err
}

// Guards against requests sent ahead that are served one after the other, and against
// responses in another order than the requests.
func TestRequestsSentAheadRunTogether(t *testing.T) {
	s := startServer(t)
	c := dial(t, s.addr)
	const n = 6
	var requests, want []string
	for i := range n {
		path := fmt.Sprintf("/wait/%d", (n-i)*60)
		requests, want = append(requests, get(path)), append(want, "GET "+path+" ")
	}
	began := time.Now()
	_, _ = io.WriteString(c, strings.Join(requests, ""))
	r := bufio.NewReader(c)
	for _, text := range want {
		if got, err := readResponse(r); got != text || err != nil {
			t.Fatalf("got response %q and error %v, want %q", got, err, text)
		}
	}
	if most := s.most.Load(); most < n {
		t.Errorf("at most %d of %d requests ran together (%s in all)", most, n, time.Since(began))
	}
}

// Guards against a mixed-up, lost or smuggled request, whatever a client sends ahead on
// a connection and however its bytes arrive.
func TestAnySequenceIsAnsweredInOrder(t *testing.T) {
	s := startServer(t)
	rapid.Check(t, func(rt *rapid.T) {
		var stream strings.Builder
		var want []string
		for i := range rapid.IntRange(1, 30).Draw(rt, "requests") {
			path := fmt.Sprintf("/%s/%d", rapid.SampledFrom([]string{"wait", "turn", "x"}).Draw(rt, "kind"), i%4)
			if rapid.Bool().Draw(rt, "get") {
				stream.WriteString(get(path))
				want = append(want, "GET "+path+" ")
				continue
			}
			body := rapid.SampledFrom([]string{"b", get("/smuggled"), post("/smuggled", "y"), strings.Repeat("z", 9000)}).Draw(rt, "body")
			stream.WriteString(post(path, body))
			want = append(want, "POST "+path+" "+body)
		}
		c := dial(t, s.addr)
		defer func() { _ = c.Close() }()
		go func() {
			text := stream.String()
			for len(text) > 0 {
				n := min(len(text), 1+(len(text)*7)%5000)
				_, _ = io.WriteString(c, text[:n])
				text = text[n:]
			}
		}()
		r := bufio.NewReader(c)
		for i, text := range want {
			got, err := readResponse(r)
			if err != nil || strings.TrimSuffix(got, " ") != strings.TrimSuffix(text, " ") {
				rt.Fatalf("response %d is %q with error %v, want %q", i, got, err, text)
			}
		}
	})
}

// Guards against answers behind a response that closes the connection: clients send
// those requests again.
func TestNothingIsAnsweredBehindAClose(t *testing.T) {
	s := startServer(t)
	c := dial(t, s.addr)
	_, _ = io.WriteString(c, get("/wait/50")+get("/close")+get("/wait/1"))
	r := bufio.NewReader(c)
	for _, want := range []string{"GET /wait/50 ", "GET /close "} {
		if got, err := readResponse(r); got != want || err != nil {
			t.Fatalf("got response %q and error %v, want %q", got, err, want)
		}
	}
	if got, err := readResponse(r); err == nil {
		t.Errorf("got response %q behind the one that closes the connection", got)
	}
}

// Guards against a connection that is closed before all requests on it are answered
// without a report.
func TestCutConnectionIsReported(t *testing.T) {
	s := startServer(t)
	for _, path := range []string{"/abort", "/close"} {
		c := dial(t, s.addr)
		_, _ = io.WriteString(c, get("/wait/100")+get(path)+get("/wait/2000")+get("/wait/2000"))
		want := Cut{Client: c.LocalAddr().String(), Unanswered: 2}
		select {
		case got := <-s.cuts:
			if got != want {
				t.Errorf("got report %+v, want %+v", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("no report of the connection that %s closes", path)
		}
	}
}

// Guards against calls that go on after their client has left.
func TestLeavingClientCancelsAllItsRequests(t *testing.T) {
	s := startServer(t)
	c := dial(t, s.addr)
	const n = 4
	_, _ = io.WriteString(c, strings.Repeat(get("/wait/5000"), n))
	deadline := time.Now().Add(5 * time.Second)
	for s.running.Load() < n && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	_ = c.Close()
	for s.canceled.Load() < n && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	if got := s.canceled.Load(); got != n {
		t.Errorf("%d of %d requests were canceled", got, n)
	}
}

// Guards against an unbounded number of requests in hand for a client that reads no
// responses, and against a connection that no longer works once it reads them.
func TestRequestsInHandAreBounded(t *testing.T) {
	s := startServer(t)
	c := dial(t, s.addr)
	const n = 300
	var writes sync.WaitGroup
	writes.Go(func() { _, _ = io.WriteString(c, strings.Repeat(get("/wait/0"), n)) })
	time.Sleep(200 * time.Millisecond)
	r := bufio.NewReader(c)
	for i := range n {
		if got, err := readResponse(r); err != nil {
			t.Fatalf("response %d is %q with error %v", i, got, err)
		}
	}
	writes.Wait()
	if most := s.most.Load(); most > maxParts {
		t.Errorf("%d requests were served at the same time, want at most %d", most, maxParts)
	}
}

// Guards against a close or a failure of idle and kept connections, as ordinary clients
// use them.
func TestOrdinaryClientsKeepTheirConnections(t *testing.T) {
	s := startServer(t)
	var dials atomic.Int64
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := range 50 {
		var resp *http.Response
		var err error
		if i%3 == 0 {
			resp, err = client.Post("http://"+s.addr+"/x", "", strings.NewReader(strings.Repeat("b", i*1000)))
		} else {
			resp, err = client.Get("http://" + s.addr + "/x")
		}
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections were opened for requests one after the other, want 1", n)
	}
}
