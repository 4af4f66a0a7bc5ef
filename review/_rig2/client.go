package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id, host, path string
	limit          time.Duration
	sent           time.Time
	// ended is when its complete answer or the end of its connection arrived.
	ended    time.Time
	answered bool
	status   int
	seal     bool
	wrong    string
	err      string
}

// clientConn is a kept connection of a requester, which may send safe requests before
// the earlier ones are answered. Answers come in the order of the requests.
type clientConn struct {
	netConn net.Conn
	rec     *record
	mu      sync.Mutex
	waiting []*request
	// ended is closed once the node has closed the connection.
	ended chan struct{}
	// changed receives a value after each answer.
	changed chan struct{}
	closing bool
}

func dialNode(addr string, rec *record) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	out := &clientConn{netConn: c, rec: rec, ended: make(chan struct{}), changed: make(chan struct{}, 100)}
	go out.read()
	return out, nil
}

// send writes requests in one piece.
func (c *clientConn) send(list ...*request) {
	var b strings.Builder
	now := time.Now()
	c.mu.Lock()
	for _, q := range list {
		q.sent = now
		c.waiting = append(c.waiting, q)
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", q.path, q.host, headerAttempt, q.id, headerDeadline, q.limit.Milliseconds())
	}
	c.mu.Unlock()
	for _, q := range list {
		c.rec.line("requester sends %s %s, time limit %s", q.id, q.path, q.limit)
	}
	// A failed write shows as the end of the connection.
	_, _ = io.WriteString(c.netConn, b.String())
}

// read takes the answers until the node closes the connection.
func (c *clientConn) read() {
	defer close(c.ended)
	br := bufio.NewReader(c.netConn)
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			c.fail(err)
			return
		}
		c.take(resp, body)
	}
}

func (c *clientConn) take(resp *http.Response, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || resp.Close
	if len(c.waiting) == 0 {
		c.rec.line("requester gets status %d with no request waiting", resp.StatusCode)
		return
	}
	q := c.waiting[0]
	c.waiting = c.waiting[1:]
	q.ended, q.answered, q.status, q.seal = time.Now(), true, resp.StatusCode, resp.Header.Get(headerSeal) != ""
	if resp.StatusCode == http.StatusOK {
		if id, _, _ := strings.Cut(string(body), "\n"); id != q.id || resp.Header.Get(headerAttempt) != q.id {
			q.wrong = id
		} else if resp.Header.Get(headerSeal) != seal(body) {
			q.wrong = "another body"
		}
	}
	c.rec.line("requester gets %d for %s, %d bytes, close %t", q.status, q.id, len(body), resp.Close)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *clientConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for _, q := range c.waiting {
		q.ended, q.err = time.Now(), err.Error()
		c.rec.line("requester gets no answer to %s: %s", q.id, err)
	}
	c.waiting = nil
	_ = c.netConn.Close()
}

// outstanding returns how many requests have no answer, and whether the node has said
// that it closes the connection.
func (c *clientConn) outstanding() (n int, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting), c.closing
}

func (c *clientConn) close() { _ = c.netConn.Close() }
