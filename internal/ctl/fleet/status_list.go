package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/filbertpier/filbertpier/internal/admin"
)

// StatusList holds the status of the nodes that answered, in the order of the
// client's nodes. It implements ctl.Result.
type StatusList struct {
	Nodes []NodeStatus `json:"nodes"`
}

// Status asks all nodes for their status. If a node does not answer, it returns
// an *Error and the list of the others.
func (c *Client) Status(ctx context.Context) (*StatusList, error) {
	a := requestAll[admin.Status](ctx, c, http.MethodGet, "/v1/status")
	nodes := collect(c, a, func(node string, s admin.Status) NodeStatus { return NodeStatus{Node: node, Status: s} })
	return &StatusList{Nodes: nodes}, a.err()
}

// Text writes a table with one row per node.
func (r *StatusList) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VM\tREGION\tZONE\tSERVICE\tREADY\tVERSION\tPLATFORM AGE\tMEMBERS\tRUNNING\tWAITING\tREFUSED\tVIOLATIONS")
	for _, n := range r.Nodes {
		age := "unknown"
		if n.Status.PlatformAgeMs >= 0 {
			age = fmt.Sprintf("%.1fs", float64(n.Status.PlatformAgeMs)/1000)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%t\t%.14s\t%s\t%d\t%d\t%d\t%d\t%d\n", n.Status.VM, n.Status.Region, n.Status.Zone, n.Status.Service,
			n.Status.Ready, n.Status.Version, age, n.Status.Members, n.Status.Running, n.Status.Waiting, len(n.Status.Refused), n.Status.Violations)
	}
	return t.Flush()
}
