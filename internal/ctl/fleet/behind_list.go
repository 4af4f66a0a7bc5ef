package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/filbertpier/filbertpier/snapshot"
)

// BehindList holds the nodes whose version is older than a wanted one. It
// implements ctl.Result.
type BehindList struct {
	// Wanted is the lowest version that counts as up to date.
	Wanted uint64 `json:"wanted"`
	// Total is the number of nodes asked.
	Total int          `json:"total"`
	Nodes []NodeStatus `json:"nodes"`
}

// Behind returns the nodes whose version is older than wanted or, if wanted is
// 0, older than the greatest ID in force on any node. If nodes are behind or do
// not answer, it also returns an *Error that names them.
func (c *Client) Behind(ctx context.Context, wanted uint64) (*BehindList, error) {
	status, err := c.Status(ctx)
	minimum := snapshot.ID{Version: wanted}
	if wanted == 0 {
		for _, n := range status.Nodes {
			if minimum.Less(n.Status.Version) {
				minimum = n.Status.Version
			}
		}
	}
	r := &BehindList{Wanted: minimum.Version, Total: len(c.nodes), Nodes: []NodeStatus{}}
	failed := map[string]string{}
	var requestErr *Error
	if errors.As(err, &requestErr) {
		failed = requestErr.Failed
	}
	for _, n := range status.Nodes {
		if n.Status.Version.Less(minimum) {
			r.Nodes = append(r.Nodes, n)
			failed[n.Node] = fmt.Sprintf("%s is at version %d, behind %d", n.Status.VM, n.Status.Version.Version, minimum.Version)
		}
	}
	if len(failed) > 0 {
		return r, &Error{Failed: failed, Total: len(c.nodes)}
	}
	return r, nil
}

// Text writes one line per node and a summary.
func (r *BehindList) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, n := range r.Nodes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\tversion %d\trefused %d\n", n.Status.VM, n.Status.Region, n.Status.Zone, n.Status.Version.Version, len(n.Status.Refused))
	}
	_, _ = fmt.Fprintf(t, "%d of %d nodes are behind version %d\n", len(r.Nodes), r.Total, r.Wanted)
	return t.Flush()
}
