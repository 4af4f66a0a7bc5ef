package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/instance"
	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// maxCandidates bounds the nodes that one round of fetches tries.
const maxCandidates = 4

// Client reads items from other nodes. It implements replica.Fetcher and is safe
// for concurrent use.
type Client struct {
	// Directory lists the upstreams, each of which has a node on its VM.
	Directory *instance.Directory
	// Seeds are control addresses of nodes to try besides those in Directory,
	// for a node whose directory is still empty.
	Seeds []string
	// Port is the control port of all nodes.
	Port string
	// Self is the node's own control address, Region the node's region.
	Self, Region string
	// parent is the persistent connection to the parent node.
	parent       parentConn
	decompressor decompressor
}

// Candidates implements replica.Fetcher. Nodes of the same region go first, in
// random order. At least one place is left for a seed or a node of another
// region, in case the node's own region cannot reach the platform.
func (c *Client) Candidates(time.Time) []string {
	var sameRegion, otherRegions []string
	for _, i := range c.Directory.All() {
		host, _, err := net.SplitHostPort(i.Addr)
		addr := c.ControlAddr(host)
		switch {
		case err != nil || addr == c.Self:
		case i.Region == c.Region:
			sameRegion = append(sameRegion, addr)
		default:
			otherRegions = append(otherRegions, addr)
		}
	}
	for _, s := range c.Seeds {
		if s != c.Self {
			otherRegions = append(otherRegions, s)
		}
	}
	shuffle(sameRegion)
	shuffle(otherRegions)
	sameRegion = sameRegion[:min(len(sameRegion), maxCandidates-1)]
	return append(sameRegion, otherRegions[:min(len(otherRegions), maxCandidates-len(sameRegion))]...)
}

// ServicePeers returns the control addresses of the other nodes beside the upstreams of
// a service.
func (c *Client) ServicePeers(service string) []string {
	var addrs []string
	for _, i := range c.Directory.Service(service) {
		host, _, err := net.SplitHostPort(i.Addr)
		if addr := c.ControlAddr(host); err == nil && addr != c.Self && i.State != instance.Gone && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// ControlAddr returns the control address of the node on a host.
func (c *Client) ControlAddr(host string) string { return net.JoinHostPort(host, c.Port) }

func shuffle(addrs []string) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// TreePosition returns the node's place in the distribution tree of its region,
// computed from the upstreams in Directory.
func (c *Client) TreePosition() replica.TreePosition {
	region := []string{c.Self}
	for _, i := range c.Directory.All() {
		if i.Region != c.Region {
			continue
		}
		if host, _, err := net.SplitHostPort(i.Addr); err == nil {
			region = append(region, c.ControlAddr(host))
		}
	}
	return replica.NewTreePosition(c.Self, region)
}

// Follow implements replica.Fetcher. Only one goroutine may call it. It returns
// a *CallError or a *CodecError.
func (c *Client) Follow(ctx context.Context, addr string, r replica.FollowRequest) (replica.Page, error) {
	conn, err := c.parent.get(ctx, addr)
	if err != nil {
		return replica.Page{}, err
	}
	var page wirePage
	err = callOn(ctx, conn, addr, fetchMethod, newFetchParams(r), &page)
	if err != nil {
		c.parent.drop()
		return replica.Page{}, err
	}
	return c.decompressor.decompressPage(&page)
}

// Fetch implements replica.Fetcher. It returns a *CallError or a *CodecError.
func (c *Client) Fetch(ctx context.Context, addr string, afterRevision revision.Revision) (replica.Page, error) {
	var page wirePage
	if err := Call(ctx, addr, fetchMethod, newFetchParams(replica.FollowRequest{AfterRevision: afterRevision}), &page); err != nil {
		return replica.Page{}, err
	}
	return c.decompressor.decompressPage(&page)
}

func dial(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &CallError{Addr: addr, Err: err}
	}
	return jsonrpc2.NewConn(context.Background(), newStream(raw, maxResponseBytes), jsonrpc2.HandlerWithError(rejectRequest)), nil
}

// rejectRequest rejects requests from the server: the client offers no methods.
func rejectRequest(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound}
}
