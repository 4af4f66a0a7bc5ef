package fleet

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/filbertpier/filbertpier/snapshot"
)

// VersionList counts nodes by the version in force, newest first. It implements
// ctl.Result.
type VersionList struct {
	Versions []VersionCount `json:"versions"`
}

// Versions asks all nodes for the version in force. If a node does not answer,
// it returns an *Error and the counts of the others.
func (c *Client) Versions(ctx context.Context) (*VersionList, error) {
	status, err := c.Status(ctx)
	byID := map[snapshot.ID]*VersionCount{}
	for _, n := range status.Nodes {
		id := n.Status.Version
		if byID[id] == nil {
			byID[id] = &VersionCount{ID: id}
		}
		byID[id].VMs = append(byID[id].VMs, n.Status.VM)
		byID[id].Count++
	}
	r := &VersionList{Versions: []VersionCount{}}
	for _, v := range byID {
		r.Versions = append(r.Versions, *v)
	}
	slices.SortFunc(r.Versions, func(a, b VersionCount) int { return b.ID.Compare(a.ID) })
	return r, err
}

// Text writes a table with one row per version.
func (r *VersionList) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VERSION\tNODES\tVMS")
	for _, v := range r.Versions {
		ellipsis := ""
		if len(v.VMs) > maxShownVMs {
			ellipsis = " ..."
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%v%s\n", v.ID, v.Count, v.VMs[:min(len(v.VMs), maxShownVMs)], ellipsis)
	}
	return t.Flush()
}

// maxShownVMs is the maximum number of VM ids in a row of the table.
const maxShownVMs = 8
