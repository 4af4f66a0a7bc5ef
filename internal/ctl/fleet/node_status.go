package fleet

import "github.com/filbertpier/filbertpier/internal/admin"

// NodeStatus is the status of one node.
type NodeStatus struct {
	// Node is the base URL of the administration listener.
	Node   string       `json:"node"`
	Status admin.Status `json:"status"`
}
