package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"
)

const (
	// workers bounds the nodes asked at once: 7,300 nodes answer in seconds
	// without as many connections.
	workers = 64
	// maxAnswerBytes bounds one node's answer.
	maxAnswerBytes = 8 << 20
	// DefaultTimeout bounds one request to one node.
	DefaultTimeout = 3 * time.Second
)

// Client asks nodes. It is safe for concurrent use.
type Client struct {
	http  *resty.Client
	nodes []string
}

// NewClient returns a client for the nodes at base URLs of their
// administration listeners.
func NewClient(nodes []string, timeout time.Duration) *Client {
	c := &Client{http: resty.New().SetTimeout(timeout).SetResponseBodyLimit(maxAnswerBytes)}
	for _, n := range nodes {
		c.nodes = append(c.nodes, strings.TrimSuffix(n, "/"))
	}
	return c
}

// ask sends one request to all nodes and waits for all answers.
func ask[T any](ctx context.Context, c *Client, method, path string) *answers[T] {
	a := &answers[T]{values: make([]T, len(c.nodes)), ok: make([]bool, len(c.nodes)), failed: map[string]string{}}
	pool := pond.NewPool(workers)
	for i, node := range c.nodes {
		pool.Submit(func() {
			err := c.request(ctx, method, node+path, &a.values[i])
			if a.ok[i] = err == nil; err != nil {
				a.fail(node, err)
			}
		})
	}
	pool.StopAndWait()
	return a
}

func (c *Client) request(ctx context.Context, method, url string, into any) error {
	resp, err := c.http.R().SetContext(ctx).Execute(method, url)
	if err != nil {
		return &AnswerError{Err: err}
	}
	if resp.StatusCode() != http.StatusOK && resp.StatusCode() != http.StatusNoContent {
		return &AnswerError{Status: resp.StatusCode(), Detail: fmt.Sprintf("%.200s", strings.TrimSpace(resp.String()))}
	}
	if resp.StatusCode() == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return &AnswerError{Status: resp.StatusCode(), Err: err}
	}
	return nil
}
