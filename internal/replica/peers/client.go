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
	// parent is the kept connection to the node that is followed.
	parent   parentConn
	unpacker unpacker
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

// Plan returns from whom the node learns of changes.
func (c *Client) Plan() replica.Plan {
	region := []string{c.Self}
	for _, i := range c.Directory.All() {
		if i.Region != c.Region {
			continue
		}
		if host, _, err := net.SplitHostPort(i.Addr); err == nil {
			region = append(region, c.Addr(host))
		}
	}
	return replica.NewPlan(c.Self, region)
}

// Follow implements replica.Fetcher. It is used by one goroutine and returns a
// *FetchError.
func (c *Client) Follow(ctx context.Context, addr string, after uint64, wait time.Duration) (replica.Page, error) {
	conn, err := c.parent.get(ctx, addr)
	if err != nil {
		return replica.Page{}, err
	}
	page, err := c.ask(ctx, conn, addr, fetchParams{After: after, WaitMs: wait.Milliseconds()})
	if err != nil {
		c.parent.drop()
	}
	return page, err
}

// Fetch implements replica.Fetcher. It returns a *FetchError.
func (c *Client) Fetch(ctx context.Context, addr string, after uint64) (replica.Page, error) {
	conn, err := dial(ctx, addr)
	if err != nil {
		return replica.Page{}, err
	}
	defer func() { _ = conn.Close() }()
	return c.ask(ctx, conn, addr, fetchParams{After: after})
}

func (c *Client) ask(ctx context.Context, conn *jsonrpc2.Conn, addr string, p fetchParams) (replica.Page, error) {
	var page wirePage
	if err := conn.Call(ctx, fetchMethod, p, &page); err != nil {
		return replica.Page{}, &FetchError{Addr: addr, Err: err}
	}
	return c.unpacker.page(&page)
}

func dial(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &FetchError{Addr: addr, Err: err}
	}
	return jsonrpc2.NewConn(context.Background(), stream(raw), jsonrpc2.HandlerWithError(refuse)), nil
}

// refuse answers calls of the other side: this side only asks.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
}
