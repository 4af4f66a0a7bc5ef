package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/filbertpier/filbertpier/snapshot"
)

// BehindList names the nodes that lack a version.
type BehindList struct {
	// Wanted is the least version that counts as up to date.
	Wanted uint64       `json:"wanted"`
	Total  int          `json:"total"`
	Nodes  []NodeStatus `json:"nodes"`
}

// Behind returns the nodes with an older version than wanted, or than the
// greatest ID in force on any node if wanted is 0. The error is an *Error that
// names the nodes that are behind or do not answer.
func (c *Client) Behind(ctx context.Context, wanted uint64) (*BehindList, error) {
	status, err := c.Status(ctx)
	least := snapshot.ID{Version: wanted}
	if wanted == 0 {
		for _, n := range status.Nodes {
			if least.Less(n.Status.Version) {
				least = n.Status.Version
			}
		}
	}
	r := &BehindList{Wanted: least.Version, Total: len(c.nodes), Nodes: []NodeStatus{}}
	failed := map[string]string{}
	var unanswered *Error
	if errors.As(err, &unanswered) {
		failed = unanswered.Failed
	}
	for _, n := range status.Nodes {
		if n.Status.Version.Less(least) {
			r.Nodes = append(r.Nodes, n)
			failed[n.Node] = fmt.Sprintf("%s is at version %d, behind %d", n.Status.VM, n.Status.Version.Version, least.Version)
		}
	}
	if len(failed) > 0 {
		return r, &Error{Failed: failed, Total: len(c.nodes)}
	}
	return r, nil
}

// Text implements ctl.Result.
func (r *BehindList) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, n := range r.Nodes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\tversion %d\trefused %d\n", n.Status.VM, n.Status.Region, n.Status.Zone, n.Status.Version.Version, len(n.Status.Refused))
	}
	_, _ = fmt.Fprintf(t, "%d of %d nodes are behind version %d\n", len(r.Nodes), r.Total, r.Wanted)
	return t.Flush()
}
