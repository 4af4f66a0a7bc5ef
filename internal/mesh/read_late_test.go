package mesh_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/mesh"
	"github.com/filbertpier/filbertpier/internal/quarantine"
	"github.com/filbertpier/filbertpier/internal/quarantine/reports"
	"github.com/filbertpier/filbertpier/internal/revision"
	"github.com/filbertpier/filbertpier/snapshot"
)

// newBesideUpstream returns a server with one route, to the upstream at addr.
func newBesideUpstream(t *testing.T, addr string) *mesh.Server {
	t.Helper()
	doc, err := config.CompileBody(config.SectionBody{
		Section: "main", Owner: "ops",
		Ranks:    []config.Rank{{Name: "r", TargetMs: 1000, Worth: 1}},
		Services: []config.Service{{Name: "a", Selector: "a", SlotsAnnounced: true, Connections: 20}},
		Retries:  []config.RetryPolicy{{Name: "two", MaxAttempts: 2, BudgetRatio: 0.2}},
		Routes:   []config.Route{{Name: "safe", Host: "h", PathPrefix: "/", Service: "a", Rank: "r", Idempotent: true, TimeoutMs: 3000, Retry: "two"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	store, directory := snapshot.NewStore(), instance.NewDirectory()
	if err := store.Apply(snapshot.NewUnsigned(1, []byte("{}"), doc)); err != nil {
		t.Fatal(err)
	}
	directory.Put(&instance.Instance{ID: "i", Service: "a", Addr: addr, Zone: "z", Region: "r", Slots: 100, State: instance.Ready})
	return mesh.NewServer(mesh.Config{
		HeaderNames: mesh.HeaderNames{AttemptID: "Id", TimeLeft: "Left", Seal: "Seal", ExpectedInstance: "Want", NotRun: "Not-Run", CallerService: "Caller"},
		Zone:        "z", Region: "r", Service: "a", UpstreamAddr: addr, Store: store, Directory: directory,
		Revision: func() revision.Revision { return revision.Revision{Number: 1} }, ObservePeerRevision: func(string, revision.Revision) {},
		Quarantine: quarantine.NewGuard(), Crashes: reports.NewSender(func() []string { return nil }),
		Log: hclog.NewNullLogger(), Metrics: mesh.NewMetrics(prometheus.NewRegistry()),
	})
}

// Guards against sending a request on that a busy node reads only after its caller
// has closed the connection.
func TestRequestReadAfterItsCallerLeftIsNotSent(t *testing.T) {
	const callers = 20
	var arrivals, answered atomic.Int64
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/warm":
			time.Sleep(100 * time.Millisecond)
		case "/stayed":
			answered.Add(1)
		default:
			arrivals.Add(1)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
	}))
	defer upstream.Close()
	s := newBesideUpstream(t, upstream.Listener.Addr().String())
	handlers := map[string]http.Handler{"from a caller": s.CallerHandler(), "from another node": s.PeerHandler()}
	for name, h := range handlers {
		for _, body := range []string{"", strings.Repeat("x", 4000), strings.Repeat("x", 20_000)} {
			t.Run(fmt.Sprintf("%s, %d bytes", name, len(body)), func(t *testing.T) {
				openIdleConnections(t, s, callers)
				arrivals.Store(0)
				answered.Store(0)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				for range callers {
					_ = sendRequest(t, l.Addr().String(), "/left", body).Close()
				}
				stays := sendRequest(t, l.Addr().String(), "/stayed", body)
				defer func() { _ = stays.Close() }()
				server := &http.Server{Handler: h, ConnContext: disconnect.ConnContext}
				defer func() { _ = server.Close() }()
				go func() { _ = server.Serve(l) }()
				if _, err := io.ReadAll(io.LimitReader(stays, 1)); err != nil {
					t.Fatal(err)
				}
				// Calls of the callers that left would arrive meanwhile.
				time.Sleep(200 * time.Millisecond)
				if arrivals.Load() != 0 || answered.Load() != 1 {
					t.Errorf("%d of %d requests of callers that had left were sent, and %d of 1 of a caller that had not",
						arrivals.Load(), callers, answered.Load())
				}
			})
		}
	}
}

// openIdleConnections makes calls at the same time, after which the server has as many
// idle connections to the upstream. On these a request is sent without a wait.
func openIdleConnections(t *testing.T, s *mesh.Server, count int) {
	t.Helper()
	server := httptest.NewServer(s.CallerHandler())
	defer server.Close()
	var conns []net.Conn
	for range count {
		conns = append(conns, sendRequest(t, server.Listener.Addr().String(), "/warm", ""))
	}
	for _, c := range conns {
		if _, err := io.ReadAll(io.LimitReader(c, 1)); err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}

// sendRequest opens a connection and sends a POST request on it.
func sendRequest(t *testing.T, addr, path, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 2500\r\nFilbertpier-Target: i\r\nFilbertpier-Rank: r\r\n"+
		"Filbertpier-Idempotent: 1\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
