package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	maxSentAhead = 8
	// shortRequestTimeout is how long a caller waits for half of the requests sent ahead. A
	// node that stops takes them later than those with requestTimeout.
	shortRequestTimeout = 600 * time.Millisecond
	// readSlack is how much longer than requestTimeout a read lasts, so that a late
	// response is not taken for a lost one.
	readSlack = 50 * time.Millisecond
)

// aheadCaller sends idempotent requests ahead on a connection that it keeps, in batches.
type aheadCaller struct {
	caller
	conn   net.Conn
	reader *bufio.Reader
}

func newAheadCaller(m *vm) *aheadCaller {
	return &aheadCaller{caller: caller{vm: m, keepAlive: true, name: m.ip + "/ahead"}}
}

// run sends batches until the context ends.
func (c *aheadCaller) run(ctx context.Context) {
	defer c.disconnect()
	for n := 0; ctx.Err() == nil; n++ {
		wait := c.sendBatch(n)
		select {
		case <-ctx.Done():
		case <-time.After(wait + rand.N(30*time.Millisecond)):
		}
	}
}

// sendBatch sends the n-th batch, checks the responses and returns how long to wait
// before the next one.
func (c *aheadCaller) sendBatch(n int) time.Duration {
	boot, _, _, _ := c.vm.state()
	if err := c.connect(); err != nil {
		return maxRetryWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var ids []string
	var text bytes.Buffer
	for i := range 2 + rand.IntN(maxSentAhead-1) {
		id := fmt.Sprintf("%s/%d.%d", c.name, n, i)
		req, err := newRequest(ctx, c.vm, id, http.MethodGet, "/safe/x", false)
		if err != nil {
			return 0
		}
		if rand.IntN(2) == 0 {
			req.Header.Set(headerNames.TimeLeft, strconv.FormatInt(shortRequestTimeout.Milliseconds(), 10))
		}
		_ = req.Write(&text)
		ids = append(ids, id)
	}
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(requestTimeout + readSlack))
	// A failed write shows as a failed read.
	_, _ = c.conn.Write(text.Bytes())
	return c.readResponses(ctx, ids, boot, start)
}

// readResponses reads the responses to a batch and returns the longest wait that one
// asks for.
func (c *aheadCaller) readResponses(ctx context.Context, ids []string, boot int, start time.Time) (wait time.Duration) {
	for i, id := range ids {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.lose(ctx, ids[i:], boot, start, err)
			return maxRetryWait
		}
		wait = max(wait, c.checkResponse(id, boot, start, ctx, resp))
		_ = resp.Body.Close()
		if resp.Close {
			c.lose(ctx, ids[i+1:], boot, start, net.ErrClosed)
			return wait
		}
	}
	return wait
}

// lose closes the connection and checks the requests that got no response on it.
func (c *aheadCaller) lose(ctx context.Context, ids []string, boot int, start time.Time, err error) {
	expired := ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
	for _, id := range ids {
		if expired {
			c.vm.testbed.ledger.update(id, func(a *attempt) { a.leftAt = time.Now() })
		}
		c.checkLostResponse(id, boot, time.Since(start), expired, err)
	}
	c.disconnect()
}

// connect opens a connection unless there is one.
func (c *aheadCaller) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.vm.addr(outboundPort), requestTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *aheadCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
