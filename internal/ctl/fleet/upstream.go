package fleet

import "github.com/filbertpier/filbertpier/internal/admin"

// Upstream holds the load and the limits of the upstream beside one node.
type Upstream struct {
	// Node is the base URL of the node's administration listener.
	Node   string       `json:"node"`
	Limits admin.Limits `json:"limits"`
}
