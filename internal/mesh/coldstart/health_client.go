package coldstart

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/filbertpier/filbertpier/internal/responsehead"
)

const (
	// probeTimeout bounds a health check: a full upstream may not respond at all.
	probeTimeout = 300 * time.Millisecond
	// maxHealthBytes bounds the body of a health response, which holds no data for nodes.
	maxHealthBytes = 64 << 10
	maxHeadBytes   = 16 << 10
	// maxRemaining bounds what a health response may say. It keeps a faulty upstream from
	// being limited for good.
	maxRemaining = time.Hour
)

// HealthClient reads the health endpoint of the upstream beside the node. It is safe for
// concurrent use.
type HealthClient struct {
	client *resty.Client
	header string
}

// NewHealthClient returns a client for the upstream at addr, an ip:port, that reads the
// remaining cold time in milliseconds from a response header. localIP is the source
// address; empty lets the system choose.
func NewHealthClient(addr, localIP, header string) *HealthClient {
	dialer := &net.Dialer{Timeout: probeTimeout}
	if ip := net.ParseIP(localIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxHeadBytes}
	client := resty.New().SetTransport(responsehead.NewTransport(transport)).SetBaseURL("http://" + addr).SetTimeout(probeTimeout).SetResponseBodyLimit(maxHealthBytes)
	return &HealthClient{client: client, header: header}
}

// Probe returns how long the upstream remains cold. It returns a *ProbeError if there
// is no response or one that does not tell: an upstream that is full rejects health
// checks like calls.
func (c *HealthClient) Probe(ctx context.Context, path string) (time.Duration, error) {
	resp, err := c.client.R().SetContext(ctx).Get(path)
	if err != nil {
		return 0, &ProbeError{Err: err}
	}
	text := resp.Header().Get(c.header)
	if text == "" {
		if resp.StatusCode() != http.StatusOK {
			return 0, &ProbeError{Status: resp.StatusCode()}
		}
		return 0, nil
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) {
		return 0, &ProbeError{Status: resp.StatusCode(), Err: err}
	}
	ms = min(ms, float64(maxRemaining.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// Close closes the idle connection to the upstream.
func (c *HealthClient) Close() { c.client.GetClient().CloseIdleConnections() }
