package admin

import "github.com/filbertpier/filbertpier/snapshot"

// Status summarises the state of a node and its upstream.
type Status struct {
	VM      string      `json:"vm"`
	Zone    string      `json:"zone"`
	Region  string      `json:"region"`
	Service string      `json:"service"`
	Ready   bool        `json:"ready"`
	Version snapshot.ID `json:"version"`
	// PlatformAgeMs is the age of the last platform read by any node, or -1 if unknown.
	PlatformAgeMs int64 `json:"platformAgeMs"`
	Members       int   `json:"members"`
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	// Violations is the number of invariant violations that the node detected.
	Violations uint64 `json:"violations"`
	// Refused maps the id of each refused version to its error message.
	Refused map[string]string `json:"refused,omitempty"`
}
