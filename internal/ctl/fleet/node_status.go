package fleet

import "github.com/filbertpier/filbertpier/internal/admin"

// NodeStatus is the status that one node reported.
type NodeStatus struct {
	// Node is the base URL of the node's administration listener.
	Node   string       `json:"node"`
	Status admin.Status `json:"status"`
}
