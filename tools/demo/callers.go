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
	// maxEntryAttempts limits how many nodes a caller tries for one request
	// when connections fail.
	maxEntryAttempts = 3
)

// callers sends calls from several goroutines at once and checks the responses.
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

// run sends the calls of one caller to the nodes in turn. Each call carries the
// newest version that the caller has received, so that a response from an older
// version is detected.
func (c *callers) run(index int) {
	defer c.wg.Done()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	var minVersion snapshot.ID
	for n := index; ; n++ {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		c.calls.Add(1)
		body := fmt.Sprintf("caller %d call %d", index, n)
		minVersion = c.call(n, body, minVersion)
	}
}

func (c *callers) call(n int, body string, minVersion snapshot.ID) snapshot.ID {
	path := "/recall/status"
	switch n % 4 {
	case 0:
		path = "/certificates/bundle"
	case 1:
		return c.refund(n, body, minVersion)
	}
	for attempt := range maxEntryAttempts {
		resp, err := c.send(http.MethodPut, c.entry(n, attempt)+path, body, "", minVersion)
		if err != nil {
			c.retried.Add(1)
			continue
		}
		return c.check(resp, body, minVersion)
	}
	c.failed.Add(1)
	return minVersion
}

// entry returns the base URL of the node for one attempt of call n. Successive
// attempts go to different nodes.
func (c *callers) entry(n, attempt int) string { return c.vms[(n+attempt*5)%len(c.vms)].CallURL() }

func (c *callers) send(method, url, body, key string, minVersion snapshot.ID) (*http.Response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set(call.HeaderIdempotencyKey, key)
	}
	if !minVersion.IsZero() {
		req.Header.Set(call.HeaderVersion, minVersion.String())
	}
	return c.client.Do(req)
}

func (c *callers) check(resp *http.Response, body string, minVersion snapshot.ID) snapshot.ID {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.failed.Add(1)
		return minVersion
	}
	id, err := snapshot.ParseID(resp.Header.Get(call.HeaderVersion))
	if err != nil || id.Less(minVersion) || string(data) != body {
		c.wrong.Add(1)
		return minVersion
	}
	return id
}
