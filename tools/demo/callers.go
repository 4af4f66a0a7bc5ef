package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/snapshot"
	"github.com/filbertpier/filbertpier/tools/fleet"
)

const (
	callerCount = 8
	// callInterval is the time between the calls of one caller.
	callInterval = 5 * time.Millisecond
	// maxEntryTries bounds the nodes that a caller tries when one is gone.
	maxEntryTries = 3
)

// callers sends calls from several callers at once and checks the answers.
type callers struct {
	vms     []fleet.VM
	client  *http.Client
	stop    chan struct{}
	wg      sync.WaitGroup
	calls   atomic.Int64
	failed  atomic.Int64
	wrong   atomic.Int64
	retried atomic.Int64
	unknown atomic.Int64
	refunds refundLog
}

func startCallers(vms []fleet.VM) *callers {
	c := &callers{vms: vms, client: &http.Client{Timeout: 15 * time.Second}, stop: make(chan struct{})}
	for i := range callerCount {
		c.wg.Add(1)
		go c.run(i)
	}
	return c
}

func (c *callers) finish() {
	close(c.stop)
	c.wg.Wait()
}

// run is one caller: it goes from node to node and carries the version that it
// has seen, so that a node behind it would show.
func (c *callers) run(index int) {
	defer c.wg.Done()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	var seen snapshot.ID
	for n := index; ; n++ {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		c.calls.Add(1)
		body := fmt.Sprintf("caller %d call %d", index, n)
		seen = c.call(n, body, seen)
	}
}

func (c *callers) call(n int, body string, seen snapshot.ID) snapshot.ID {
	path := "/recall/status"
	switch n % 4 {
	case 0:
		path = "/certificates/bundle"
	case 1:
		return c.refund(n, body, seen)
	}
	for try := range maxEntryTries {
		resp, err := c.send(http.MethodPut, c.entry(n, try)+path, body, "", seen)
		if err != nil {
			c.retried.Add(1)
			continue
		}
		return c.check(resp, body, seen)
	}
	c.failed.Add(1)
	return seen
}

// entry returns the base URL of the node that a try of a call goes to.
func (c *callers) entry(n, try int) string { return c.vms[(n+try*5)%len(c.vms)].CallURL() }

func (c *callers) send(method, url, body, key string, seen snapshot.ID) (*http.Response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set(call.HeaderIdempotencyKey, key)
	}
	if !seen.IsZero() {
		req.Header.Set(call.HeaderVersion, seen.String())
	}
	return c.client.Do(req)
}

func (c *callers) check(resp *http.Response, body string, seen snapshot.ID) snapshot.ID {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return seen
	}
	id, err := snapshot.ParseID(resp.Header.Get(call.HeaderVersion))
	if err != nil || id.Less(seen) || string(data) != body {
		c.wrong.Add(1)
		return seen
	}
	return id
}
