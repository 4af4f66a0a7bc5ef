package dataplane_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// response is what a caller received. err is set if the connection broke.
type response struct {
	status  int
	ran     call.Ran
	body    string
	problem call.Problem
	err     error
}

// send sends a request. The headers are pairs of name and value.
func send(client *http.Client, base, method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	r := response{status: resp.StatusCode, ran: call.Ran(resp.Header.Get(call.HeaderRan)), body: string(raw), err: err}
	if resp.Header.Get("Content-Type") == call.ContentTypeProblem {
		_ = json.Unmarshal(raw, &r.problem)
	}
	return r
}

func issueKey(t *testing.T, client *http.Client, base string) string {
	t.Helper()
	r := send(client, base, http.MethodPost, call.KeysPath+"?route=refunds", "")
	var issued struct{ Key string }
	if r.err != nil || r.status != http.StatusCreated || json.Unmarshal([]byte(r.body), &issued) != nil {
		t.Fatalf("cannot issue a key: %+v", r)
	}
	return issued.Key
}

func newClient(t *testing.T) *http.Client {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: 10 * time.Second}
}

func vmsOfService(c *nodes.Cluster, service string) []*nodes.VM {
	var out []*nodes.VM
	for _, v := range c.VMs {
		if v.Settings.Service == service {
			out = append(out, v)
		}
	}
	return out
}
