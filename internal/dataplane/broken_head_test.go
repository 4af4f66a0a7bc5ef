package dataplane_test

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/brokenhead"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// brokenHeads returns responses whose heads are broken.
func brokenHeads() map[string]string {
	return brokenhead.All(call.HeaderRan+": yes\r\n"+call.HeaderCall+": %s\r\n", "body")
}

// brokenHeadHandler answers requests whose query names a response with that response.
func brokenHeadHandler(heads map[string]string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		text, broken := heads[r.URL.Query().Get("head")]
		if !broken {
			_, _ = io.WriteString(w, "done")
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", r.Header.Get(call.HeaderCall)))
		// The connection stays open.
		_, _ = io.Copy(io.Discard, conn)
	})
}

// checkBrokenHead sends calls through a VM's node whose response is the named one.
func checkBrokenHead(t *testing.T, client *http.Client, v *nodes.VM, name string) {
	t.Helper()
	for range 2 {
		r := send(client, v.URL(), http.MethodPut, "/recall?head="+url.QueryEscape(name)+"&by="+v.Settings.VM, "x")
		if r.err != nil || r.status != http.StatusBadGateway || r.ran != call.RanUnknown || r.problem.Type != call.ProblemUpstreamFailed {
			t.Errorf("through %s: got %+v, want status 502 without a promise", v.Settings.VM, r)
		}
	}
}

// Guards against a response with a broken head that its caller gets as an answer, that
// ends the caller's connection, or that counts as a crash of the upstream: further calls
// of the same kind would be refused. The upstream is called through the node beside it
// and through another one.
func TestBrokenHeadOfAnUpstreamIsABadGateway(t *testing.T) {
	heads := brokenHeads()
	c := nodes.Start(t, clusterSpec("a"), func(string) http.Handler { return brokenHeadHandler(heads) })
	client := newClient(t)
	for name := range heads {
		t.Run(name, func(t *testing.T) {
			for _, v := range c.VMs {
				checkBrokenHead(t, client, v, name)
				if r := send(client, v.URL(), http.MethodPut, "/recall", "x"); r.status != http.StatusOK || r.body != "done" {
					t.Errorf("through %s: the next call got %+v, want status 200", v.Settings.VM, r)
				}
			}
		})
	}
}

// Guards against a response with a broken head that came from another node, or from the
// process that has its address now.
func TestBrokenHeadOfANodeIsABadGateway(t *testing.T) {
	heads := brokenHeads()
	c := nodes.Start(t, clusterSpec("a"), echo)
	recall, refunds := vmsOfService(c, "recall")[0], vmsOfService(c, "refunds")[0]
	recall.Node.Close()
	l, err := net.Listen("tcp", recall.Settings.Listen.Calls)
	if err != nil {
		t.Fatal(err)
	}
	other := &http.Server{Handler: brokenHeadHandler(heads)}
	go func() { _ = other.Serve(l) }()
	t.Cleanup(func() { _ = other.Close() })
	client := newClient(t)
	for name := range heads {
		t.Run(name, func(t *testing.T) { checkBrokenHead(t, client, refunds, name) })
	}
}
