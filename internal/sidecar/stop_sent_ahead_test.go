package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/instance"
)

// aheadCall is a call that is sent ahead on a connection.
type aheadCall struct {
	path string
	// left is how long its caller waits for it.
	left time.Duration
	// want is the status that it must get.
	want int
}

// sendAhead sends calls in one piece.
func (c *caller) sendAhead(calls ...aheadCall) {
	c.t.Helper()
	var text strings.Builder
	for _, q := range calls {
		_, _ = fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: h\r\nId: %d\r\nLeft: %d\r\n\r\n", q.path, lastAttemptID.Add(1), q.left.Milliseconds())
	}
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		c.t.Error(err)
	}
}

// expectAll reads the responses to calls sent ahead. It returns whether the last one
// closes the connection, and fails the test if one is missing or another one does.
func (c *caller) expectAll(calls ...aheadCall) (closed bool) {
	c.t.Helper()
	r := bufio.NewReader(c.conn)
	for _, q := range calls {
		if closed {
			c.t.Errorf("the response before that to %s closed the connection", q.path)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			c.t.Errorf("no response to %s: %v", q.path, err)
			return true
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != q.want || err != nil || q.want == http.StatusOK && string(body) != "done "+q.path {
			c.t.Errorf("%s: got status %d with body %q and error %v, want status %d", q.path, resp.StatusCode, body, err, q.want)
		}
		closed = resp.Close
	}
	return closed
}

// Guards against the refusal of a call at a planned stop that closes the connection for
// the calls sent ahead behind it, which the node has taken and the upstream has run.
func TestRefusalAtStopLeavesCallsBehindItTheirResponses(t *testing.T) {
	f := newFleet(t)
	body := sectionBody("a")
	body.Routes[0].TimeoutMs = 20_000
	f.store.put("config", version{Number: 2, Body: body})
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/first") {
			time.Sleep(600 * time.Millisecond)
		}
		respondAfter(0)(w, r)
	})
	// The node takes short calls from 2.5 to 4 s into the stop and cancels them at 7.2 s.
	const arrival = 2700 * time.Millisecond
	a.settings.StopGracePeriod = 8 * time.Second
	a.start()
	f.awaitServing("/safe/x")
	c := a.newCaller(t)
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.node.Stop() }()
	time.Sleep(arrival)
	calls := []aheadCall{
		{path: "/safe/first", left: 4 * time.Second, want: http.StatusOK},
		{path: "/safe/refused", left: 10 * time.Second, want: http.StatusServiceUnavailable},
		{path: "/safe/last", left: 4 * time.Second, want: http.StatusOK},
	}
	c.sendAhead(calls...)
	if !c.expectAll(calls...) {
		t.Error("the last response does not close the connection to the node that stops")
	}
	<-stopped
}

// Guards against a stop that closes connections once all handlers have returned: the
// responses to calls sent ahead then still wait for their turn.
func TestStopSendsResponsesThatWaitForTheirTurn(t *testing.T) {
	const connections, callsPerConnection = 20, 8
	f := newFleet(t)
	body := sectionBody("a")
	body.Services[0].Connections = 200
	body.Routes[0].TimeoutMs = 20_000
	f.store.put("config", version{Number: 2, Body: body})
	release := make(chan struct{})
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/first") {
			<-release
		}
		respondAfter(0)(w, r)
	})
	f.store.put("up/"+a.id, instance.Instance{ID: a.id, Service: "a", Addr: a.addr(0), Zone: "z1", Region: "r", Slots: connections * callsPerConnection, State: instance.Ready})
	a.settings.StopGracePeriod = 6 * time.Second
	a.start()
	f.awaitServing("/safe/x")
	before := a.runs.Load()
	calls := []aheadCall{{path: "/safe/first", left: 15 * time.Second, want: http.StatusOK}}
	for range callsPerConnection - 1 {
		calls = append(calls, aheadCall{path: "/safe/next", left: 15 * time.Second, want: http.StatusOK})
	}
	var callers []*caller
	for range connections {
		c := a.newCaller(t)
		c.sendAhead(calls...)
		callers = append(callers, c)
	}
	await(t, "all calls to run", func() bool { return a.runs.Load()-before == connections*callsPerConnection })
	stopped := make(chan struct{})
	go func() { defer close(stopped); a.node.Stop() }()
	// The node refuses new calls from 3 s into the stop and cancels calls at 5.3 s.
	time.Sleep(3300 * time.Millisecond)
	close(release)
	for _, c := range callers {
		c.expectAll(calls...)
	}
	<-stopped
}

// Guards against a call that may run only once, was sent ahead and is passed on after its
// turn although the node takes no calls any more: the end of the stop breaks it off, and
// its caller does not learn whether it has run.
func TestStopRefusesNonIdempotentCallWhoseTurnComesLate(t *testing.T) {
	f := newFleet(t)
	body := sectionBody("a")
	for i := range body.Routes {
		body.Routes[i].TimeoutMs = 20_000
	}
	f.store.put("config", version{Number: 2, Body: body})
	a := f.add("a", "z1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			time.Sleep(3 * time.Second)
		}
		if strings.HasSuffix(r.URL.Path, "/first") {
			time.Sleep(3500 * time.Millisecond)
		}
		respondAfter(0)(w, r)
	}).start()
	entry := f.add("b", "z1", respondAfter(0))
	entry.settings.StopGracePeriod = 6 * time.Second
	entry.start()
	f.awaitServing("/safe/x")
	c := entry.newCaller(t)
	calls := []aheadCall{
		{path: "/safe/first", left: 10 * time.Second, want: http.StatusOK},
		{path: "/once/x", left: 10 * time.Second, want: http.StatusServiceUnavailable},
	}
	before := a.runs.Load()
	c.sendAhead(calls...)
	await(t, "the first call to run", func() bool { return a.runs.Load() > before })
	stopped := make(chan struct{})
	// The node takes no new calls from 3 s into the stop and cancels calls at 5.3 s.
	go func() { defer close(stopped); entry.node.Stop() }()
	c.expectAll(calls...)
	<-stopped
	if n := a.runs.Load() - before; n != 1 {
		t.Errorf("%d calls ran, want the first one only", n)
	}
}
