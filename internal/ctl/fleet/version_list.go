package fleet

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/filbertpier/filbertpier/snapshot"
)

// VersionList counts nodes by the version in force, newest first.
type VersionList struct {
	Versions []VersionCount `json:"versions"`
}

// Versions asks all nodes for the version in force. The error is an *Error.
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

// Text implements ctl.Result.
func (r *VersionList) Text(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "VERSION\tNODES\tVMS")
	for _, v := range r.Versions {
		more := ""
		if len(v.VMs) > shownVMs {
			more = " ..."
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%v%s\n", v.ID, v.Count, v.VMs[:min(len(v.VMs), shownVMs)], more)
	}
	return t.Flush()
}

// shownVMs bounds the VM ids in one line of text.
const shownVMs = 8
