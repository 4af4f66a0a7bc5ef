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

	"github.com/filbertpier/filbertpier/internal/responsehead"
)

const (
	// maxConcurrentRequests limits the open connections. It is enough for 7,300
	// nodes to answer within seconds.
	maxConcurrentRequests = 64
	// maxResponseBytes is the maximum size of a node's response body.
	maxResponseBytes = 8 << 20
	// DefaultTimeout is the default timeout of the request to each node.
	DefaultTimeout = 3 * time.Second
)

// Client sends requests to the administration API of a list of nodes. It is safe
// for concurrent use.
type Client struct {
	http  *resty.Client
	nodes []string
}

// NewClient returns a client for nodes, which are base URLs of administration
// listeners. timeout applies to the request to each node.
func NewClient(nodes []string, timeout time.Duration) *Client {
	// An idle connection to each of 7,300 nodes would exhaust the file descriptors.
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, MaxIdleConns: maxConcurrentRequests}
	c := &Client{http: resty.New().SetTransport(responsehead.NewTransport(transport)).SetTimeout(timeout).SetResponseBodyLimit(maxResponseBytes)}
	for _, n := range nodes {
		c.nodes = append(c.nodes, strings.TrimSuffix(n, "/"))
	}
	return c
}

// requestAll sends one request to each node and waits until all have answered
// or failed.
func requestAll[T any](ctx context.Context, c *Client, method, path string) *responses[T] {
	a := &responses[T]{values: make([]T, len(c.nodes)), ok: make([]bool, len(c.nodes)), failed: map[string]string{}}
	pool := pond.NewPool(maxConcurrentRequests)
	for i, node := range c.nodes {
		pool.Submit(func() {
			err := c.request(ctx, method, node+path, &a.values[i])
			if a.ok[i] = err == nil; err != nil {
				a.addFailure(node, err)
			}
		})
	}
	pool.StopAndWait()
	return a
}

// request sends one request and decodes the response into result, unless
// the status is 204. Errors are of type *ResponseError.
func (c *Client) request(ctx context.Context, method, url string, result any) error {
	resp, err := c.http.R().SetContext(ctx).Execute(method, url)
	if err != nil {
		return &ResponseError{Err: err}
	}
	if resp.StatusCode() != http.StatusOK && resp.StatusCode() != http.StatusNoContent {
		return &ResponseError{Status: resp.StatusCode(), Detail: fmt.Sprintf("%.200s", strings.TrimSpace(resp.String()))}
	}
	if resp.StatusCode() == http.StatusNoContent {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), result); err != nil {
		return &ResponseError{Status: resp.StatusCode(), Err: err}
	}
	return nil
}
