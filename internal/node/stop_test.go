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

func worker(string) http.Handler {
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

// load sends calls from several callers. A caller whose node does not accept a
// connection goes to another one, as it would with several addresses.
type load struct {
	c                     *nodes.Cluster
	stop                  chan struct{}
	wg                    sync.WaitGroup
	served, lost, refused atomic.Int64
	// mu guards first.
	mu    sync.Mutex
	first string
}

func startLoad(c *nodes.Cluster, callers int) *load {
	l := &load{c: c, stop: make(chan struct{})}
	for i := range callers {
		l.wg.Add(1)
		go l.run(i)
	}
	return l
}

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
				l.fail(fmt.Sprintf("key: %v %v", resp, err))
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
		l.fail(path + ": " + err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || string(got) != body {
		l.fail(fmt.Sprintf("%s: %d %s %v", path, resp.StatusCode, got, err))
		return
	}
	l.served.Add(1)
}

func (l *load) send(client *http.Client, path, key, body string) (*http.Response, error) {
	for {
		v := l.c.VMs[rand.IntN(len(l.c.VMs))]
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
			l.refused.Add(1)
			continue
		}
		if err == nil && resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(resp.Header.Get("Content-Type"), "problem") {
			raw, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if strings.Contains(string(raw), string(call.ProblemNotReady)) {
				l.refused.Add(1)
				continue
			}
			return nil, fmt.Errorf("%s", raw)
		}
		return resp, err
	}
}

func (l *load) fail(what string) {
	l.lost.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == "" {
		l.first = what
	}
}

func (l *load) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("served %d, sent to another node %d, lost %d %s", l.served.Load(), l.refused.Load(), l.lost.Load(), l.first)
	if l.lost.Load() > 0 || l.served.Load() < 100 {
		t.Error("calls were lost")
	}
}

func spec(zones ...string) nodes.Spec {
	return nodes.Spec{Zones: zones, Services: []string{"recall", "refunds"}, Sections: nodes.Sections(), DrainMs: 8000}
}

// TestRollingRestartLosesNoCall guards against planned stops that cut calls in
// flight, lose those that arrive meanwhile, or end keyed calls as unknown.
func TestRollingRestartLosesNoCall(t *testing.T) {
	c := nodes.Start(t, spec("a", "b"), worker)
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
		c.Await("the slow call", func() bool {
			running := 0
			for _, other := range c.VMs {
				running += other.Node.Status().Running
			}
			return running > 0
		})
		v.Node.Stop()
		if got := <-slow; got != "slow" {
			t.Errorf("a call in flight at %s got %q", v.Settings.VM, got)
		}
		c.StartNode(v)
		for _, other := range c.VMs {
			c.AwaitReady(other)
		}
	}
	l.finish(t)
}

// TestUpstreamStopLosesNoIdempotentCall guards against failing calls that come
// while an upstream stops, alone and together with its node.
func TestUpstreamStopLosesNoIdempotentCall(t *testing.T) {
	c := nodes.Start(t, spec("a", "b"), worker)
	l := &load{c: c, stop: make(chan struct{})}
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
	c.Await("calls without the upstream", func() bool { return l.served.Load() > 300 })
	c.StartUpstream(recall[0], worker(""))
	// A call that found the first upstream down must not meet the second stop.
	c.Await("calls with the upstream", func() bool { return l.served.Load() > 500 })
	var both sync.WaitGroup
	both.Add(1)
	go func() { defer both.Done(); recall[1].Node.Stop() }()
	if err := c.Upstream(recall[1]).Shutdown(ctx); err != nil {
		t.Error(err)
	}
	both.Wait()
	l.finish(t)
}
