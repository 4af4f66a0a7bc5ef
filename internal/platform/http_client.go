package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"
	"golang.org/x/time/rate"

	"github.com/filbertpier/filbertpier/internal/responsehead"
)

const (
	// readTimeout limits a read; a watch gets its waiting time on top.
	readTimeout = 2 * time.Second
	// readsPerSecond and readBurst limit the reads of one node. In steady state
	// only two nodes per region read. A version that changes every section
	// needs about a hundred reads at once.
	readsPerSecond = 100
	readBurst      = 200
	// maxIdleConns and idleTimeout limit the connections that are kept between reads.
	maxIdleConns = 8
	idleTimeout  = 90 * time.Second
	// maxResponseBytes limits a response; a list of 7,300 VMs is about 1.5 MB.
	maxResponseBytes = 8 << 20
)

// HTTPClient reads the platform over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	client  *resty.Client
	limiter *rate.Limiter
}

// NewHTTPClient returns a client for the platform at baseURL. The client limits
// the rate of its reads.
func NewHTTPClient(baseURL string) *HTTPClient {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout}
	c := resty.New().SetTransport(responsehead.NewTransport(transport)).SetBaseURL(baseURL).SetResponseBodyLimit(maxResponseBytes)
	return &HTTPClient{client: c, limiter: rate.NewLimiter(readsPerSecond, readBurst)}
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Value, error) {
	return c.readValue(ctx, key, "/v1/values/"+key, 0, nil)
}

// Watch implements Client.
func (c *HTTPClient) Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (Value, error) {
	return c.readValue(ctx, key, "/v1/watch/"+key, wait, watchQuery(afterRevision, wait))
}

// WatchVMs implements Client.
func (c *HTTPClient) WatchVMs(ctx context.Context, afterRevision uint64, wait time.Duration) (VMList, error) {
	resp, err := c.get(ctx, VMListKey, "/v1/vms", wait, watchQuery(afterRevision, wait))
	if err != nil {
		return VMList{}, err
	}
	var list VMList
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return VMList{}, &MalformedError{Key: VMListKey, Err: err}
	}
	return list, nil
}

func (c *HTTPClient) readValue(ctx context.Context, key, path string, wait time.Duration, query map[string]string) (Value, error) {
	resp, err := c.get(ctx, key, path, wait, query)
	if err != nil {
		return Value{}, err
	}
	rev, err := strconv.ParseUint(resp.Header().Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, &MalformedError{Key: key, Err: err}
	}
	return Value{Revision: rev, Data: resp.Body()}, nil
}

func (c *HTTPClient) get(ctx context.Context, key, path string, wait time.Duration, query map[string]string) (*resty.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, &UnavailableError{Key: key, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	resp, err := c.client.R().SetContext(ctx).SetQueryParams(query).Get(path)
	if err != nil {
		return nil, &UnavailableError{Key: key, Err: err}
	}
	switch resp.StatusCode() {
	case http.StatusOK:
		return resp, nil
	case http.StatusNotModified:
		rev, _ := strconv.ParseUint(resp.Header().Get(RevisionHeader), 10, 64)
		return nil, &UnchangedError{Key: key, Revision: rev}
	case http.StatusNotFound:
		return nil, &NotFoundError{Key: key}
	}
	return nil, &UnavailableError{Key: key, Status: resp.StatusCode()}
}

func watchQuery(afterRevision uint64, wait time.Duration) map[string]string {
	return map[string]string{
		"after":  strconv.FormatUint(afterRevision, 10),
		"waitMs": strconv.FormatInt(wait.Milliseconds(), 10),
	}
}
