package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/replica"
)

// maxCandidates bounds the nodes that one round asks.
const maxCandidates = 4

// Client asks other nodes. It implements replica.Fetcher and is safe for
// concurrent use.
type Client struct {
	// Directory lists the upstreams, each of which has a node on its VM.
	Directory *instance.Directory
	// Seeds are control addresses for a node that knows no upstreams.
	Seeds []string
	// Port is the control port of all nodes.
	Port string
	// Self is the node's own control address, Region its region.
	Self, Region string
}

// Candidates implements replica.Fetcher: nodes of the own region go first, and
// one candidate is of another region, in case the own one is cut off.
func (c *Client) Candidates(time.Time) []string {
	var near, far []string
	for _, i := range c.Directory.All() {
		host, _, err := net.SplitHostPort(i.Addr)
		addr := c.Addr(host)
		switch {
		case err != nil || addr == c.Self:
		case i.Region == c.Region:
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	for _, s := range c.Seeds {
		if s != c.Self {
			far = append(far, s)
		}
	}
	shuffle(near)
	shuffle(far)
	near = near[:min(len(near), maxCandidates-1)]
	return append(near, far[:min(len(far), maxCandidates-len(near))]...)
}

// Addr returns the control address of the node on a host.
func (c *Client) Addr(host string) string { return net.JoinHostPort(host, c.Port) }

func shuffle(s []string) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}

// Fetch implements replica.Fetcher. It returns a *FetchError.
func (c *Client) Fetch(ctx context.Context, addr string, after uint64) (replica.Page, error) {
	var page replica.Page
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return page, &FetchError{Addr: addr, Err: err}
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	conn := jsonrpc2.NewConn(ctx, stream(raw), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
		}))
	defer func() { _ = conn.Close() }()
	if err := conn.Call(ctx, fetchMethod, fetchParams{After: after}, &page); err != nil {
		return page, &FetchError{Addr: addr, Err: err}
	}
	return page, nil
}
