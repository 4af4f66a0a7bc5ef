package node_test

import (
	"encoding/base64"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/admin"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
	"github.com/filbertpier/filbertpier/internal/node"
	"github.com/filbertpier/filbertpier/internal/platform"
	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/internal/standin/platformserver"
	"github.com/filbertpier/filbertpier/internal/testkit"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startNode starts a platform that publishes version 1 and a node that reads it,
// and returns the node's settings.
func startNode(t *testing.T) *settings.Node {
	t.Helper()
	publisher, sections := testkit.NewPublisher(), testkit.Sections(1, "recall")
	store := platformserver.New()
	for _, s := range sections {
		store.Put(platform.SectionKey(manifest.Sum(s.Raw)), s.Raw)
	}
	raw, err := publisher.SignedByBothLeads(1, sections).Encode()
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.ManifestKey, raw)
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	publicKeys := func(lead manifest.Lead) []string {
		return []string{base64.StdEncoding.EncodeToString(publisher.Keys()[lead][0])}
	}
	s := &settings.Node{
		VM: "vm-1", Zone: "z1", Region: "r1", Service: "recall", Upstream: freeAddr(t),
		Listen:        settings.Listen{Calls: freeAddr(t), Peers: freeAddr(t), Admin: freeAddr(t)},
		Platform:      settings.Platform{URL: server.URL, Region: "r1"},
		Keys:          settings.Keys{Product: publicKeys(manifest.LeadProduct), Operations: publicKeys(manifest.LeadOperations)},
		JoinTimeoutMs: 200, DrainMs: 100,
	}
	n, err := node.Start(s, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Stop)
	return s
}

func requestStatus(t *testing.T, method, url string) int {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against exposing the administration API on the call port of a ready
// node.
func TestCallPortServesNoAdministration(t *testing.T) {
	s := startNode(t)
	ready := "http://" + s.Listen.Admin + "/readyz"
	deadline := time.Now().Add(20 * time.Second)
	for requestStatus(t, http.MethodGet, ready) != http.StatusNoContent {
		if time.Now().After(deadline) {
			t.Fatal("the node did not become ready")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, path := range admin.Paths() {
		method := http.MethodGet
		if path == "/v1/log-level/debug" {
			method = http.MethodPut
		}
		if got := requestStatus(t, method, "http://"+s.Listen.Admin+path); got/100 != 2 {
			t.Errorf("administration port, %s %s: status %d, want 2xx", method, path, got)
		}
		if got := requestStatus(t, method, "http://"+s.Listen.Calls+path); got != http.StatusNotFound {
			t.Errorf("call port, %s %s: status %d, want 404", method, path, got)
		}
	}
	checkFleetClient(t, "http://"+s.Listen.Admin)
}

// checkFleetClient guards against an administration API that the client of the
// operator's tool cannot read.
func checkFleetClient(t *testing.T, url string) {
	t.Helper()
	c := fleet.NewClient([]string{url}, fleet.DefaultTimeout)
	if list, err := c.Behind(t.Context(), 1); err != nil || len(list.Nodes) != 0 {
		t.Errorf("nodes behind version 1: got %+v, %v, want none", list, err)
	}
	if list, err := c.Versions(t.Context()); err != nil || len(list.Versions) != 1 || list.Versions[0].ID.Version != 1 {
		t.Errorf("versions: got %+v, %v, want only version 1", list, err)
	}
	if list, err := c.Upstreams(t.Context()); err != nil || list.Upstreams[0].Limits.Services[0].Slots != 6 {
		t.Errorf("upstreams: got %+v, %v, want 6 slots", list, err)
	}
	if changed, err := c.SetLogLevel(t.Context(), "warn"); err != nil || len(changed.Changed) != 1 {
		t.Errorf("log level: got %+v, %v, want one changed node", changed, err)
	}
}
