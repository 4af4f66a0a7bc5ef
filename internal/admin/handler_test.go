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

func get(t *testing.T, url string, status int, into any) http.Header {
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

// Guards against an API that hides what an operator needs in trouble: why a
// node is not ready, what is wrong, what is in force and what was refused.
func TestAPIShowsStateWithReasons(t *testing.T) {
	s := httptest.NewServer(admin.NewHandler(newFake(), prometheus.NewRegistry()))
	defer s.Close()
	var ready admin.Readiness
	get(t, s.URL+"/readyz", http.StatusServiceUnavailable, &ready)
	if ready.Ready || len(ready.Reasons) != 1 {
		t.Errorf("readiness: %+v", ready)
	}
	get(t, s.URL+"/healthz", http.StatusNoContent, nil)
	var health admin.Health
	get(t, s.URL+"/v1/health", http.StatusOK, &health)
	if text := strings.Join(health.Reasons, "\n"); health.Healthy || !strings.Contains(text, "2 broken invariants") ||
		!strings.Contains(text, "61 s ago") || !strings.Contains(text, "version 8") || strings.Contains(text, "version 6") {
		t.Errorf("health: %+v", health)
	}
	var version admin.Version
	get(t, s.URL+"/v1/version", http.StatusOK, &version)
	if version.Version != 7 || version.Digest.String() == "" || len(version.Sections) != 2 || len(version.Signers) != 2 {
		t.Errorf("version: %+v", version)
	}
	var refused []admin.RefusedVersion
	get(t, s.URL+"/v1/refused", http.StatusOK, &refused)
	if len(refused) != 2 || refused[0].ID.Version != 8 || len(refused[0].Faults) != 1 {
		t.Errorf("refused: %+v", refused)
	}
	var limits admin.Limits
	get(t, s.URL+"/v1/limits", http.StatusOK, &limits)
	if len(limits.Services) != 1 || limits.Services[0].Slots != 6 || len(limits.Ranks) != 2 {
		t.Errorf("limits: %+v", limits)
	}
}

// Guards against answers that grow with the fleet without bound, and against
// pages that lose members.
func TestMembersComeInBoundedPages(t *testing.T) {
	s := httptest.NewServer(admin.NewHandler(newFake(), prometheus.NewRegistry()))
	defer s.Close()
	var page []member.Member
	header := get(t, s.URL+"/v1/members", http.StatusOK, &page)
	if len(page) != 1000 || header.Get(admin.HeaderTotal) != "1200" || page[0].VM != "vm-0000" {
		t.Fatalf("%d members of %s", len(page), header.Get(admin.HeaderTotal))
	}
	var rest []member.Member
	get(t, s.URL+"/v1/members?limit=500&after="+page[999].VM, http.StatusOK, &rest)
	if len(rest) != 200 || rest[0].VM != "vm-1000" {
		t.Errorf("second page: %d members", len(rest))
	}
	get(t, s.URL+"/v1/members?zone=z0&status=alive&limit=99999", http.StatusOK, &rest)
	if len(rest) != 300 {
		t.Errorf("filter: %d members, want 300", len(rest))
	}
	var peers admin.Peers
	get(t, s.URL+"/v1/peers", http.StatusOK, &peers)
	if len(peers.Zones) != 2 || peers.Zones[0].ByStatus["alive"] != 300 || len(peers.Neighbours) != 1 {
		t.Errorf("peers: %+v", peers)
	}
}

// Guards against an API through which a node could be changed, other than its
// log level.
func TestOnlyTheLogLevelCanBeChanged(t *testing.T) {
	node := newFake()
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
		t.Errorf("unknown level: status %d", w.Code)
	}
}

// Guards against a scraper that leaks connections and uses up a node's memory.
func TestListenerBoundsConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := admin.NewServer(admin.NewHandler(newFake(), prometheus.NewRegistry()), hclog.NewNullLogger())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(admin.LimitConnections(l))
	}()
	ask := func() error {
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
	answered := 0
	for answered < 200 && ask() == nil {
		answered++
	}
	if answered == 0 || answered == 200 {
		t.Errorf("%d open connections were served", answered)
	}
	_ = server.Close()
	<-done
}

// Guards against requests that use up the memory or the time of a node.
func TestServerRefusesLargeRequests(t *testing.T) {
	server := admin.NewServer(admin.NewHandler(newFake(), prometheus.NewRegistry()), hclog.NewNullLogger())
	if server.ReadTimeout <= 0 || server.WriteTimeout <= 0 || server.IdleTimeout <= 0 || server.MaxHeaderBytes <= 0 {
		t.Errorf("unbounded: %+v", server)
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
		t.Errorf("large header: status %d", resp.StatusCode)
	}
	client.CloseIdleConnections()
	_ = server.Close()
	<-done
}
