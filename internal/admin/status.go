package admin

import "github.com/filbertpier/filbertpier/snapshot"

// Status is what a node tells about itself.
type Status struct {
	VM      string      `json:"vm"`
	Zone    string      `json:"zone"`
	Region  string      `json:"region"`
	Service string      `json:"service"`
	Ready   bool        `json:"ready"`
	Version snapshot.ID `json:"version"`
	// PlatformAgeMs is the age of the last platform read by any node, or -1.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	Members       int   `json:"members"`
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	// Violations counts broken invariants.
	Violations uint64 `json:"violations"`
	// Refused maps refused versions to their faults.
	Refused map[string]string `json:"refused,omitempty"`
}
