package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	host = "app.example"
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 1500 * time.Millisecond
	// earlyCloseGrace is how soon after a request was sent a new connection may
	// close without a response, because the node may not have read the request.
	earlyCloseGrace = 200 * time.Millisecond
	// maxRetryWait caps the wait that a Retry-After header asks for. It is also
	// the wait after a request that got no response.
	maxRetryWait = 300 * time.Millisecond
	// One request out of leaveEvery is left by its caller within maxLeaveTime.
	leaveEvery   = 10
	maxLeaveTime = 60 * time.Millisecond
)

// caller sends requests to the node on its VM, one at a time. Half of the
// callers reuse their connections.
type caller struct {
	vm        *vm
	client    *http.Client
	keepAlive bool
	name      string
	served    int
}

func newCaller(m *vm, n int) *caller {
	keepAlive := n%2 == 0
	return &caller{
		vm: m, keepAlive: keepAlive, name: m.ip + "/" + strconv.Itoa(n),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive, DisableCompression: true}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		nonIdempotent := rand.IntN(3) == 0
		path, method := "/safe/x", http.MethodGet
		if nonIdempotent {
			path, method = "/once/x", http.MethodPost
		}
		id, wait := fmt.Sprintf("%s/%d", c.name, n), time.Duration(0)
		if rand.IntN(leaveEvery) == 0 {
			c.sendAndLeave(id, method, path, nonIdempotent)
		} else {
			wait = c.send(id, method, path, nonIdempotent)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait + rand.N(30*time.Millisecond)):
		}
	}
}

// send sends one request, checks the response and returns how long to wait
// before the next one.
func (c *caller) send(id, method, path string, nonIdempotent bool) time.Duration {
	boot, _, _, _ := c.vm.state()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := newRequest(ctx, c.vm, id, method, path, nonIdempotent)
	if err != nil {
		return 0
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		c.checkLostResponse(id, boot, time.Since(start), ctx.Err() != nil, err)
		return maxRetryWait
	}
	defer func() { _ = resp.Body.Close() }()
	return c.checkResponse(id, boot, start, ctx, resp)
}

// sendAndLeave sends one request and closes the connection after a random time.
func (c *caller) sendAndLeave(id, method, path string, nonIdempotent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), rand.N(maxLeaveTime))
	defer cancel()
	req, err := newRequest(ctx, c.vm, id, method, path, nonIdempotent)
	if err != nil {
		return
	}
	resp, err := c.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.vm.testbed.ledger.update(id, func(a *attempt) { a.leftAt = time.Now() })
	}
}

func (c *caller) checkResponse(id string, boot int, start time.Time, ctx context.Context, resp *http.Response) time.Duration {
	violations := c.vm.testbed.violations
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.checkLostResponse(id, boot, time.Since(start), ctx.Err() != nil, err)
	case resp.StatusCode == http.StatusOK:
		c.served++
		if resp.Header.Get(headerNames.Seal) != seal(id, body) || resp.Header.Get(headerNames.AttemptID) != id {
			violations.add("MIXED", "attempt %s got the response to %q, %d bytes", id, resp.Header.Get(headerNames.AttemptID), len(body))
		}
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		c.vm.testbed.ledger.update(id, func(a *attempt) { a.refusalStatus = resp.StatusCode })
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil {
			violations.add("REFUSED", "attempt %s got status %d without a valid Retry-After header", id, resp.StatusCode)
		}
		return min(time.Duration(seconds*float64(time.Second)), maxRetryWait)
	case resp.StatusCode < http.StatusInternalServerError:
		violations.add("DENIED", "attempt %s got unexpected status %d", id, resp.StatusCode)
	}
	return 0
}

// checkLostResponse reports a connection that closed without a response to a
// request that the node had read, unless the node was killed or paused.
func (c *caller) checkLostResponse(id string, boot int, elapsed time.Duration, expired bool, err error) {
	currentBoot, disrupted, _, _ := c.vm.state()
	if expired || disrupted || currentBoot != boot {
		return
	}
	executed := false
	c.vm.testbed.ledger.update(id, func(a *attempt) { executed = a.executions > 0 })
	if executed || !c.keepAlive && elapsed >= earlyCloseGrace {
		c.vm.testbed.violations.add("LOST", "attempt %s at %s got no response, executed %t, after %s: %v", id, c.vm.ip, executed, elapsed, err)
	}
}
