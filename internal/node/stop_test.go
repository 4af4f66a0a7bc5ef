package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/testkit/nodes"
)

// echoHandler returns the handler of an upstream that echoes the body after the
// duration in the query parameter work, at least 10 ms.
func echoHandler(string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		d, _ := time.ParseDuration(r.URL.Query().Get("work"))
		timer := time.NewTimer(max(d, 10*time.Millisecond))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(body)
	})
}

// load sends calls from several callers. A caller that cannot connect to a node,
// or finds it not ready, uses another node, as a client with several addresses
// does.
type load struct {
	cluster                    *nodes.Cluster
	stop                       chan struct{}
	wg                         sync.WaitGroup
	served, failed, redirected atomic.Int64
	// mu guards firstFailure.
	mu           sync.Mutex
	firstFailure string
}

func startLoad(c *nodes.Cluster, callers int) *load {
	l := &load{cluster: c, stop: make(chan struct{})}
	for i := range callers {
		l.wg.Add(1)
		go l.run(i)
	}
	return l
}

// run sends calls until stop is closed. Callers with an even number send calls
// with an idempotency key.
func (l *load) run(caller int) {
	defer l.wg.Done()
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		path, key, body := "/recall", "", fmt.Sprintf("caller %d call %d", caller, n)
		if caller%2 == 0 {
			path = "/refunds"
			resp, err := l.send(client, call.KeysPath+"?route=refunds", "", "")
			if err != nil || resp.StatusCode != http.StatusCreated {
				l.recordFailure(fmt.Sprintf("requesting an idempotency key: %v %v", resp, err))
				continue
			}
			_ = resp.Body.Close()
			key = resp.Header.Get(call.HeaderIdempotencyKey)
		}
		l.call(client, path, key, body)
	}
}

func (l *load) call(client *http.Client, path, key, body string) {
	resp, err := l.send(client, path, key, body)
	if err != nil {
		l.recordFailure(path + ": " + err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(got) != body {
		l.recordFailure(fmt.Sprintf("%s: status %d, body %s, error %v", path, resp.StatusCode, got, err))
		return
	}
	l.served.Add(1)
}

// send sends a request to a random node, and to another one if it cannot connect
// or the node is not ready.
func (l *load) send(client *http.Client, path, key, body string) (*http.Response, error) {
	for {
		v := l.cluster.VMs[rand.IntN(len(l.cluster.VMs))]
		req, err := http.NewRequest(http.MethodPost, v.URL()+path, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		if key != "" {
			req.Header.Set(call.HeaderIdempotencyKey, key)
		}
		resp, err := client.Do(req)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			l.redirected.Add(1)
			continue
		}
		if err == nil && resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(resp.Header.Get("Content-Type"), "problem") {
			raw, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if strings.Contains(string(raw), string(call.ProblemNotReady)) {
				l.redirected.Add(1)
				continue
			}
			return nil, fmt.Errorf("%s", raw)
		}
		return resp, err
	}
}

// recordFailure counts a failed call and keeps the first failure for the test log.
func (l *load) recordFailure(failure string) {
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstFailure == "" {
		l.firstFailure = failure
	}
}

// finish stops the callers and checks that no call failed and at least 100 were
// served.
func (l *load) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("served %d, redirected to another node %d, failed %d, first failure: %s", l.served.Load(), l.redirected.Load(), l.failed.Load(), l.firstFailure)
	if l.failed.Load() > 0 || l.served.Load() < 100 {
		t.Error("calls failed, or fewer than 100 were served")
	}
}

func clusterSpec(zones ...string) nodes.Spec {
	return nodes.Spec{Zones: zones, Services: []string{"recall", "refunds"}, Sections: nodes.Sections(), DrainMs: 8000}
}

// TestRollingRestartLosesNoCall guards against planned stops that abort calls
// in flight, lose calls that arrive during the stop, or leave the outcome of
// calls with an idempotency key unknown.
func TestRollingRestartLosesNoCall(t *testing.T) {
	c := nodes.Start(t, clusterSpec("a", "b"), echoHandler)
	l := startLoad(c, 6)
	for _, v := range c.VMs {
		slow := make(chan string, 1)
		go func() {
			resp, err := http.Post(v.URL()+"/recall?work=2500ms", "text/plain", strings.NewReader("slow"))
			if err != nil {
				slow <- err.Error()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			raw, _ := io.ReadAll(resp.Body)
			slow <- string(raw)
		}()
		c.Await("the slow call to run", func() bool {
			running := 0
			for _, other := range c.VMs {
				running += other.Node.Status().Running
			}
			return running > 0
		})
		v.Node.Stop()
		if got := <-slow; got != "slow" {
			t.Errorf("call in flight at the stop of %s: got %q, want \"slow\"", v.Settings.VM, got)
		}
		c.StartNode(v)
		for _, other := range c.VMs {
			c.AwaitReady(other)
		}
	}
	l.finish(t)
}

// TestUpstreamStopLosesNoIdempotentCall guards against failing calls that
// arrive while an upstream stops, alone and together with its node.
func TestUpstreamStopLosesNoIdempotentCall(t *testing.T) {
	c := nodes.Start(t, clusterSpec("a", "b"), echoHandler)
	l := &load{cluster: c, stop: make(chan struct{})}
	// Callers with an odd number send idempotent calls without a key.
	for i := range 4 {
		l.wg.Add(1)
		go l.run(2*i + 1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var recall []*nodes.VM
	for _, v := range c.VMs {
		if v.Settings.Service == "recall" {
			recall = append(recall, v)
		}
	}
	if err := c.Upstream(recall[0]).Shutdown(ctx); err != nil {
		t.Error(err)
	}
	c.Await("more than 300 calls served while the upstream is stopped", func() bool { return l.served.Load() > 300 })
	c.StartUpstream(recall[0], echoHandler(""))
	// Otherwise a call that failed at the first upstream could also hit the stop
	// of the second one.
	c.Await("more than 500 calls served after its restart", func() bool { return l.served.Load() > 500 })
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); recall[1].Node.Stop() }()
	if err := c.Upstream(recall[1]).Shutdown(ctx); err != nil {
		t.Error(err)
	}
	wg.Wait()
	l.finish(t)
}
