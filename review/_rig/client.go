package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newID returns the id of a new requester attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// client is a requester's kept connection to the outbound address of a node.
type client struct {
	net.Conn
	br *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, br: bufio.NewReader(c)}, nil
}

// head returns the head of a request; length is that of its body, zero for none.
func head(method, host, path, id string, limit time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Filbertpier-Attempt-Id: %s\r\nX-Filbertpier-Request-Deadline: %d\r\n",
		method, path, host, id, limit.Milliseconds())
	if length > 0 {
		text += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	return text + "\r\n"
}

// read reads a whole response until the time limit.
func (c *client) read(limit time.Duration) (status int, seal string, body []byte, err error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, "", nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Filbertpier-Response-Seal"), body, err
}

// ask sends a request without a body, or with a small one, on a new connection and
// returns the status of its response.
func ask(rec *record, addr, method, host, path, id string, limit time.Duration, body []byte) (int, []byte, error) {
	c, err := dial(addr)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(append([]byte(head(method, host, path, id, limit, len(body))), body...)); err != nil {
		return 0, nil, err
	}
	status, _, answer, err := c.read(limit + 500*time.Millisecond)
	return status, answer, err
}
