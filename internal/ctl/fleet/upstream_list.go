package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/filbertpier/filbertpier/internal/admin"
)

// UpstreamList holds the load and the limits of the upstreams beside the nodes
// that answered, in the order of the client's nodes. It implements ctl.Result.
type UpstreamList struct {
	Upstreams []Upstream `json:"upstreams"`
}

// Upstreams asks all nodes for the load and the limits of their upstreams. If a
// node does not answer, it returns an *Error and the list of the others.
func (c *Client) Upstreams(ctx context.Context) (*UpstreamList, error) {
	a := requestAll[admin.Limits](ctx, c, http.MethodGet, "/v1/limits")
	upstreams := collect(c, a, func(node string, l admin.Limits) Upstream { return Upstream{Node: node, Limits: l} })
	return &UpstreamList{Upstreams: upstreams}, a.err()
}

// Text writes a table with one row per upstream and service.
func (r *UpstreamList) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VM\tSERVICE\tSLOTS\tCONNECTIONS\tRUNNING\tWAITING")
	for _, u := range r.Upstreams {
		if len(u.Limits.Services) == 0 {
			_, _ = fmt.Fprintf(t, "%s\tnone\t-\t-\t%d\t%d\n", u.Limits.VM, u.Limits.Running, u.Limits.Waiting)
		}
		for _, s := range u.Limits.Services {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", u.Limits.VM, s.Service, s.Slots, s.Connections, u.Limits.Running, u.Limits.Waiting)
		}
	}
	return t.Flush()
}
