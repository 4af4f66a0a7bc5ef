package fleet

import "github.com/filbertpier/filbertpier/snapshot"

// VersionCount is a version and the nodes on which it is in force.
type VersionCount struct {
	ID    snapshot.ID `json:"id"`
	Count int         `json:"count"`
	VMs   []string    `json:"vms"`
}
