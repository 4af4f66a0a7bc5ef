package admin_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/filbertpier/filbertpier/internal/admin"
	"github.com/filbertpier/filbertpier/internal/member"
)

func getJSON(t *testing.T, url string, status int, into any) http.Header {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("%s: status %d, want %d, %v\n%s", url, resp.StatusCode, status, err, raw)
	}
	if into != nil {
		if err := json.Unmarshal(raw, into); err != nil {
			t.Fatalf("%s: %v\n%s", url, err, raw)
		}
	}
	return resp.Header
}

// Guards against missing diagnostics in the API: why a node is not ready or not
// healthy, which version is in force and which versions were refused.
func TestAPIShowsStateWithReasons(t *testing.T) {
	s := httptest.NewServer(admin.NewHandler(newFakeNode(), prometheus.NewRegistry()))
	defer s.Close()
	var ready admin.Readiness
	getJSON(t, s.URL+"/readyz", http.StatusServiceUnavailable, &ready)
	if ready.Ready || len(ready.Reasons) != 1 {
		t.Errorf("readiness: %+v", ready)
	}
	getJSON(t, s.URL+"/healthz", http.StatusNoContent, nil)
	var health admin.Health
	getJSON(t, s.URL+"/v1/health", http.StatusOK, &health)
	if text := strings.Join(health.Reasons, "\n"); health.Healthy || !strings.Contains(text, "2 invariant violations") ||
		!strings.Contains(text, "61 s ago") || !strings.Contains(text, "version 8") || strings.Contains(text, "version 6") {
		t.Errorf("health: %+v", health)
	}
	var version admin.Version
	getJSON(t, s.URL+"/v1/version", http.StatusOK, &version)
	if version.Version != 7 || version.Digest.String() == "" || len(version.Sections) != 2 || len(version.Signers) != 2 {
		t.Errorf("version: %+v", version)
	}
	var refused []admin.RefusedVersion
	getJSON(t, s.URL+"/v1/refused", http.StatusOK, &refused)
	if len(refused) != 2 || refused[0].ID.Version != 8 || len(refused[0].Faults) != 1 {
		t.Errorf("refused: %+v", refused)
	}
	var limits admin.Limits
	getJSON(t, s.URL+"/v1/limits", http.StatusOK, &limits)
	if len(limits.Services) != 1 || limits.Services[0].Slots != 6 || len(limits.Ranks) != 2 {
		t.Errorf("limits: %+v", limits)
	}
}

// Guards against responses that grow without limit as the fleet grows, and
// against members that are missing from all pages.
func TestMembersComeInBoundedPages(t *testing.T) {
	s := httptest.NewServer(admin.NewHandler(newFakeNode(), prometheus.NewRegistry()))
	defer s.Close()
	var page []member.Member
	header := getJSON(t, s.URL+"/v1/members", http.StatusOK, &page)
	if len(page) != 1000 || header.Get(admin.HeaderTotal) != "1200" || page[0].VM != "vm-0000" {
		t.Fatalf("first page: %d members, total %s; want 1000 of 1200 from vm-0000", len(page), header.Get(admin.HeaderTotal))
	}
	var members []member.Member
	getJSON(t, s.URL+"/v1/members?limit=500&after="+page[999].VM, http.StatusOK, &members)
	if len(members) != 200 || members[0].VM != "vm-1000" {
		t.Errorf("second page: %d members; want 200 from vm-1000", len(members))
	}
	getJSON(t, s.URL+"/v1/members?zone=z0&status=alive&limit=99999", http.StatusOK, &members)
	if len(members) != 300 {
		t.Errorf("filter: %d members, want 300", len(members))
	}
	var peers admin.Peers
	getJSON(t, s.URL+"/v1/peers", http.StatusOK, &peers)
	if len(peers.Zones) != 2 || peers.Zones[0].ByStatus["alive"] != 300 || len(peers.Neighbours) != 1 {
		t.Errorf("peers: %+v", peers)
	}
}

// Guards against API requests that change anything on a node other than its log
// level.
func TestOnlyTheLogLevelCanBeChanged(t *testing.T) {
	node := newFakeNode()
	h := admin.NewHandler(node, prometheus.NewRegistry())
	for _, path := range admin.Paths() {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
			if allowed := method == http.MethodPut && strings.HasPrefix(path, "/v1/log-level/"); allowed != (w.Code < 300) {
				t.Errorf("%s %s: status %d", method, path, w.Code)
			}
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/log-level/loud", nil))
	if w.Code != http.StatusBadRequest {
		t.Errorf("unknown log level: status %d, want 400", w.Code)
	}
}

// Guards against a listener without a connection limit: a scraper that leaks
// connections would exhaust the node's memory.
func TestListenerBoundsConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.NewServer(admin.NewHandler(newFakeNode(), prometheus.NewRegistry()), hclog.NewNullLogger())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(admin.LimitConnections(l))
	}()
	sendRequest := func() error {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write([]byte("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"))
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		return err
	}
	servedConnections := 0
	for servedConnections < 200 && sendRequest() == nil {
		servedConnections++
	}
	if servedConnections == 0 || servedConnections == 200 {
		t.Errorf("%d of 200 open connections were served; want some but not all", servedConnections)
	}
	_ = server.Close()
	<-done
}

// Guards against a server without timeouts or size limits, where large or slow
// requests would exhaust the node's memory and connections.
func TestServerRefusesLargeRequests(t *testing.T) {
	server := admin.NewServer(admin.NewHandler(newFakeNode(), prometheus.NewRegistry()), hclog.NewNullLogger())
	if server.ReadTimeout <= 0 || server.WriteTimeout <= 0 || server.IdleTimeout <= 0 || server.MaxHeaderBytes <= 0 {
		t.Errorf("a timeout or size limit is missing: %+v", server)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(admin.LimitConnections(l))
	}()
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/v1/status", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Large", strings.Repeat("x", 64<<10))
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("64 KiB header: status %d, want 431", resp.StatusCode)
	}
	client.CloseIdleConnections()
	_ = server.Close()
	<-done
}
