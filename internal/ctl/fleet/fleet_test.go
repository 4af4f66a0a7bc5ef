package fleet_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
	"github.com/filbertpier/filbertpier/snapshot"
)

// startNode starts a server that responds like a node with a version in force
// and returns its base URL.
func startNode(t *testing.T, vm string, version uint64, content string) string {
	t.Helper()
	id := snapshot.ID{Version: version, Digest: manifest.Sum([]byte(content))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"vm":%q,"ready":true,"version":%q,"platformAgeMs":-1}`, vm, id)
	})
	mux.HandleFunc("GET /v1/limits", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"vm":%q,"services":[{"service":"recall","slots":6,"connections":110}],"running":5,"waiting":2}`, vm)
	})
	mux.HandleFunc("PUT /v1/log-level/debug", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against counting a node as up to date if it does not answer, has an
// older version, or has the lesser of two documents with the same version.
func TestBehindNamesEveryNodeThatIsNotUpToDate(t *testing.T) {
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(hanging.Close)
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	// Nodes "a" and "b" have the same version. IDs are then ordered by digest, so
	// one of the two nodes is behind.
	nodes := []string{startNode(t, "a", 2, "a"), startNode(t, "b", 2, "b"), startNode(t, "old", 1, "a"), hanging.URL, broken.URL}
	c := fleet.NewClient(nodes, 200*time.Millisecond)
	list, err := c.Behind(t.Context(), 0)
	var failed *fleet.Error
	if !errors.As(err, &failed) || len(failed.Failed) != 4 || len(list.Nodes) != 2 {
		t.Fatalf("behind the greatest version: %+v, %v", list, err)
	}
	list, err = c.Behind(t.Context(), 1)
	if !errors.As(err, &failed) || len(failed.Failed) != 2 || len(list.Nodes) != 0 {
		t.Errorf("behind version 1: %+v, %v", list, err)
	}
	versions, err := c.Versions(t.Context())
	if err == nil || len(versions.Versions) != 3 || versions.Versions[2].VMs[0] != "old" {
		t.Errorf("versions: %+v, %v", versions, err)
	}
}

// Guards against results that omit nodes or are not in the order of the nodes.
func TestResultsFollowTheOrderOfNodes(t *testing.T) {
	var nodes []string
	for i := range 100 {
		nodes = append(nodes, startNode(t, fmt.Sprintf("vm-%d", i), 3, "x"))
	}
	c := fleet.NewClient(nodes, fleet.DefaultTimeout)
	upstreams, err := c.Upstreams(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for i, u := range upstreams.Upstreams {
		if u.Node != nodes[i] || u.Limits.VM != fmt.Sprintf("vm-%d", i) {
			t.Fatalf("result %d is from another node: %+v", i, u)
		}
	}
	var text strings.Builder
	if err := upstreams.Text(&text); err != nil || strings.Count(text.String(), "\n") != 101 {
		t.Errorf("text: %v\n%s", err, text.String())
	}
	if changed, err := c.SetLogLevel(t.Context(), "debug"); err != nil || len(changed.Changed) != 100 {
		t.Errorf("log level: %+v, %v", changed, err)
	}
	if changed, err := c.SetLogLevel(t.Context(), "loud"); err == nil || len(changed.Changed) != 0 {
		t.Errorf("unknown log level: %+v, %v", changed, err)
	}
}
