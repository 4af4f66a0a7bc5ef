package fleet

import "github.com/filbertpier/filbertpier/snapshot"

// VersionCount holds a version and the VMs of the nodes on which it is in force.
type VersionCount struct {
	ID    snapshot.ID `json:"id"`
	Count int         `json:"count"`
	VMs   []string    `json:"vms"`
}
